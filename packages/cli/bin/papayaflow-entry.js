#!/usr/bin/env node
// Runs the built program, which `npm run build` creates.
await import('../../../target/papayaflow-entry.js');

#!/usr/bin/env node
// The built program; `npm run build` makes it.
await import('../../../target/papayaflow-sidecar.js');

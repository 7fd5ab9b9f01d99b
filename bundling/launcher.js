// Runs the program whose bundle has the same name as this file.
import process from 'node:process';
import {fileURLToPath} from 'node:url';

// Until the program has loaded and handles this signal itself, it would end the process.
process.on('SIGHUP', () => undefined);

const {loadBundle} = await import('./load.js');
const {exports: program} = loadBundle(fileURLToPath(import.meta.url).replace(/\.js$/v, '.cjs'));
await program.main();

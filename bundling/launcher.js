// Runs the program whose bundle has the same name as this file.
import {fileURLToPath} from 'node:url';
import {loadBundle} from './load.js';

const {exports: program} = loadBundle(fileURLToPath(import.meta.url).replace(/\.js$/v, '.cjs'));
await program.main();

// Stores the compiled code of a bundle, for the flags that this process runs with: `node [FLAGS] bundling/compile.js BUNDLE`.
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {codeCacheOf, loadBundle} from './load.js';

const bundle = path.resolve(process.argv[2]);
// Loading compiles the functions that run at the start; V8 compiles the others when they are first called.
const {script} = loadBundle(bundle);
writeFileSync(codeCacheOf(bundle), script.createCachedData());

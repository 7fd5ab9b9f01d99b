import {existsSync, readFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import path from 'node:path';
import v8 from 'node:v8';
import {Script} from 'node:vm';

/**
Returns the file with the compiled code of a bundle for this version of V8 and its flags.

@example
codeCacheOf('target/papayaflow-entry.cjs'); // 'target/papayaflow-entry.cjs.8c2f1b70.cache'
*/
export function codeCacheOf(bundle) {
	return `${bundle}.${v8.cachedDataVersionTag().toString(16)}.cache`;
}

/**
Loads a CommonJS bundle, with its compiled code if the build has stored it. Returns the
script and the exports of the bundle. `script.cachedDataRejected` is `undefined` without
compiled code, and `true` if V8 did not accept it and has compiled the source instead.

@example
const {exports} = loadBundle('/srv/papayaflow/target/papayaflow-entry.cjs');
await exports.main();
*/
export function loadBundle(bundle) {
	const cache = codeCacheOf(bundle);
	// The bundler escapes all characters beyond ASCII.
	const source = readFileSync(bundle, 'latin1');
	const script = new Script(`(function (exports, require, module, __filename, __dirname) {${source}\n})`, {
		filename: bundle, cachedData: existsSync(cache) ? readFileSync(cache) : undefined,
	});
	const module = {exports: {}};
	script.runInThisContext()(module.exports, createRequire(bundle), module, bundle, path.dirname(bundle));
	return {script, exports: module.exports};
}

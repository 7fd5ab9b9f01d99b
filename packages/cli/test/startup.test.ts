import {execFile} from 'node:child_process';
import {readFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {expect} from 'chai';
import {describe, it} from 'mocha';

const run = promisify(execFile);
const root = path.join(import.meta.dirname, '../../..');

/** The programs of the deploy file, with the flags of Node that it gives them. */
const programs = [...readFileSync(path.join(root, 'deploy/system.toml'), 'utf8').matchAll(/"node (?<flags>.*?)target\/(?<program>[\w\-]+)\.js/gv)]
	.map(({groups}) => ({program: groups!.program, flags: groups!.flags.split(' ').filter(Boolean)}));

// These guard against starts that compile the whole program again, which takes long where hundreds of processes start at once after an outage.
describe('the programs of the deploy file', () => {
	it('start with the code that the build compiled for the flags of that file', async () => {
		expect(programs.map(({program}) => program)).to.deep.equal(['papayaflow-entry', 'papayaflow-sidecar']);
		for (const {program, flags} of programs) {
			const check = `const {loadBundle} = await import('./target/load.js');
				process.stdout.write(String(loadBundle(path.resolve('target/${program}.cjs')).script.cachedDataRejected));`;
			const {stdout} = await run(process.execPath, [...flags, '--input-type=module', '--eval', check], {cwd: root});
			expect(stdout, program).to.equal('false');
		}
	});

	it('start with other flags too, for which there is no compiled code', async () => {
		for (const {program} of programs) {
			const {stdout} = await run(process.execPath, ['--max-old-space-size=111', `target/${program}.js`, 'direct', '--help'], {cwd: root});
			expect(stdout).to.include('--instance');
		}
	});
});

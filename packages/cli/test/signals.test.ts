import {spawn} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createServer} from 'node:http';
import {listenOn} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';

const target = path.join(import.meta.dirname, '../../../target');

const shared = [
	'--instance', 'i-1', '--zone', 'z', '--address', '127.0.0.1', '--store', '127.0.0.1:1', '--peer-port', '0', '--metrics-port', '0', '--grace-s', '0',
];

const programs = {
	'papayaflow-entry': ['--listen', '127.0.0.1:0', '--admin', '127.0.0.1:0'],
	'papayaflow-sidecar': ['--target', '127.0.0.1:1'],
};

/** A module that sends its process a SIGHUP when the launcher reads the bundle of the program. */
const hangUpOnLoad = `data:text/javascript,${encodeURIComponent(`
	import fs from 'node:fs';
	import {syncBuiltinESMExports} from 'node:module';
	const {readFileSync} = fs;
	fs.readFileSync = (file, ...rest) => {
		if (String(file).endsWith('.cjs')) {
			process.kill(process.pid, 'SIGHUP');
		}
		return readFileSync(file, ...rest);
	};
	syncBuiltinESMExports();
`)}`;

describe('a program in direct mode', () => {
	for (const [program, own] of Object.entries(programs)) {
		it(`ignores SIGHUP and exits with 0 after SIGTERM: ${program}`, async () => {
			const child = spawn(process.execPath, [path.join(target, `${program}.js`), 'direct', ...shared, ...own], {stdio: ['ignore', 'pipe', 'inherit']});
			let output = '';
			child.stdout.on('data', chunk => {
				output += String(chunk);
			});
			while (!output.includes('started"')) {
				await sleep(20);
			}

			child.kill('SIGHUP');
			while (!output.includes('SIGHUP ignored')) {
				await sleep(20);
			}

			expect(child.exitCode).to.equal(null);
			child.kill('SIGTERM');
			const [code] = await once(child, 'exit') as [number];
			expect(code).to.equal(0);
			expect(output).to.include(`${program.slice('papayaflow-'.length)} stopped`);
		});

		// Guards against a process that a SIGHUP ends if it comes while the program is loaded, which takes seconds on a busy machine.
		it(`is not ended by a SIGHUP while it is loaded: ${program}`, async () => {
			const child = spawn(process.execPath, ['--import', hangUpOnLoad, path.join(target, `${program}.js`), 'direct', ...shared, ...own], {stdio: ['ignore', 'pipe', 'inherit']});
			const exited = once(child, 'exit');
			const started = once(child.stdout, 'data');
			await Promise.race([exited, started]);
			expect(child.signalCode).to.equal(null);
			child.kill('SIGKILL');
			await exited;
		});

		it(`exits with 0 at once after a SIGTERM during its start: ${program}`, async () => {
			const holder = createServer();
			const holderPort = await listenOn(holder);
			const child = spawn(process.execPath, [path.join(target, `${program}.js`), 'direct', ...shared, ...own, '--metrics-port', String(holderPort)], {stdio: ['ignore', 'pipe', 'inherit']});
			let output = '';
			child.stdout.on('data', chunk => {
				output += String(chunk);
			});
			while (!output.includes('not available yet')) {
				await sleep(20);
			}

			child.kill('SIGTERM');
			const [code, signal] = await once(child, 'exit') as [number | undefined, string | undefined];
			expect({code, signal}).to.deep.equal({code: 0, signal: null});
			holder.close();
		});
	}
});

import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createServer} from 'node:http';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenOn} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';

const target = path.join(import.meta.dirname, '../../../target');

const shared = ['--instance', 'i-1', '--zone', 'z', '--address', '127.0.0.1', '--metrics-port', '0', '--grace-s', '0', '--store-timeout-ms', '100'];

const startProgram = (program: string, args: readonly string[]): {child: ChildProcess; output: () => string} => {
	const child = spawn(process.execPath, [path.join(target, `${program}.js`), 'direct', ...shared, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
	const chunks: string[] = [];
	const collect = (chunk: unknown): void => {
		chunks.push(String(chunk));
	};

	child.stdout.on('data', collect);
	child.stderr.on('data', collect);
	return {child, output: () => chunks.join('')};
};

// These guard against processes that end by themselves as they start, on which the platform starts them again and again.
describe('a program that starts', () => {
	const programs: ReadonlyArray<readonly [string, (port: number) => readonly string[]]> = [
		['papayaflow-entry', port => ['--peer-port', '0', '--store', '127.0.0.1:1', '--listen', `127.0.0.1:${port}`, '--admin', '127.0.0.1:0']],
		['papayaflow-sidecar', port => ['--peer-port', String(port), '--store', '127.0.0.1:1', '--target', '127.0.0.1:1']],
	];
	for (const [program, argsOf] of programs) {
		it(`waits for a port that another process still holds for a moment: ${program}`, async () => {
			const holder = createServer();
			const holderPort = await listenOn(holder);
			const {child, output} = startProgram(program, argsOf(holderPort));
			while (!output().includes('not available yet')) {
				expect(child.exitCode, output()).to.equal(null);
				await sleep(20);
			}

			await sleep(1500);
			holder.close();
			while (!output().includes('started"')) {
				expect(child.exitCode, output()).to.equal(null);
				await sleep(20);
			}

			child.kill('SIGTERM');
			const [code] = await once(child, 'exit') as [number];
			expect(code).to.equal(0);
			expect(output(), 'listeners left by failed attempts').to.not.include('MaxListenersExceededWarning');
		});

		it(`runs on while the store answers nonsense: ${program}`, async () => {
			const bodies = ['', '{}', '[]', 'null', '{"items":[{}],"at":1}', '{"events":{},"at":1}', '{'];
			let calls = 0;
			const store = createServer((req, res) => {
				req.resume();
				res.end(bodies[calls++ % bodies.length]);
			});
			const storePort = await listenOn(store);
			const args = argsOf(0).map(text => text === '127.0.0.1:1' ? `127.0.0.1:${storePort}` : text);
			const {child, output} = startProgram(program, args);
			while (calls < 2 * bodies.length) {
				expect(child.exitCode, output()).to.equal(null);
				await sleep(20);
			}

			expect(output()).to.include('dependency lost').and.not.include('unforeseen');
			child.kill('SIGKILL');
			store.closeAllConnections();
			store.close();
		});
	}

	it('runs on when the reader of its log has closed the pipe', async () => {
		const {child, output} = startProgram('papayaflow-entry', programs[0][1](0));
		while (!output().includes('started"')) {
			await sleep(20);
		}

		child.stdout!.destroy();
		child.stderr!.destroy();
		for (let count = 0; count < 5; count++) {
			child.kill('SIGHUP');
			await sleep(50);
		}

		await sleep(300);
		expect([child.exitCode, child.signalCode]).to.deep.equal([null, null]);
		child.kill('SIGKILL');
	});
});

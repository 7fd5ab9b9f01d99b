import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {createPlatformStore, listenOn} from '@papayaflow/standins';
import {expect} from 'chai';
import {afterEach, describe, it} from 'mocha';

const program = path.join(import.meta.dirname, '../../../target/papayaflow-entry.js');
const requestCount = 1500;

// Guards against a process that stops answering, or does not end, because nothing reads its log.
describe('an entry whose standard output is not read', () => {
	let child: ChildProcess;

	afterEach(() => {
		child.kill('SIGKILL');
	});

	it('answers all requests and ends at a SIGTERM', async () => {
		const store = createPlatformStore(Date.now);
		const storePort = await listenOn(store.server);
		store.put('op/config', JSON.stringify({
			version: 1, services: [], routes: [],
			limits: {
				max_header_bytes: 16_384, max_body_bytes: 1000, header_timeout_ms: 3000, idle_timeout_ms: 10_000,
			},
		}));
		child = spawn(process.execPath, [
			program,
			'direct',
			'--instance',
			'entry-0',
			'--zone',
			'z',
			'--address',
			'127.0.0.1',
			'--store',
			`127.0.0.1:${storePort}`,
			'--peer-port',
			'1',
			'--metrics-port',
			'0',
			'--grace-s',
			'1',
			'--listen',
			'127.0.0.1:0',
			'--admin',
			'127.0.0.1:0',
		], {stdio: ['ignore', 'pipe', 'inherit']});
		let text = '';
		child.stdout!.on('data', chunk => {
			text += String(chunk);
		});
		while (!text.includes('"entry started"') || !text.includes('configuration applied')) {
			await sleep(20);
		}

		child.stdout!.pause();
		const {context: {port}} = JSON.parse(text.split('\n').find(line => line.includes('"entry started"'))!) as {readonly context: {readonly port: number}};
		for (let sent = 0; sent < requestCount; sent += 50) {
			const answers = await Promise.all(Array.from({length: 50}, async () => {
				const res = await fetch(`http://127.0.0.1:${port}/${'x'.repeat(200)}`);
				await res.arrayBuffer();
				return res.status;
			}));
			expect(new Set(answers)).to.deep.equal(new Set([404]));
		}

		child.kill('SIGTERM');
		expect(await Promise.race([once(child, 'exit'), sleep(8000, 'still running')])).to.deep.equal([0, null]);
		store.server.closeAllConnections();
		store.server.close();
	});
});

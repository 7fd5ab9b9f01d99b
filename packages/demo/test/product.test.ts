import {execFile} from 'node:child_process';
import {readFile} from 'node:fs/promises';
import {connect} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {promisify} from 'node:util';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {request} from 'undici';
import {startSmallFleet, type SmallFleet} from './helper.js';
import {
	ask, askModel, orderOnce, startFleet, waitUntil,
} from '@papayaflow/demo';

const run = promisify(execFile);
const root = path.join(import.meta.dirname, '../../..');

type Told = {readonly status: number; readonly problem: Record<string, unknown>; readonly headers: Record<string, unknown>};

type Ended = {readonly code: number; readonly output: string};

async function runProgram(program: string, ...args: readonly string[]): Promise<Ended> {
	try {
		const {stdout, stderr} = await run(process.execPath, [path.join(root, 'target', `${program}.js`), ...args], {timeout: 20_000});
		return {code: 0, output: stdout + stderr};
	} catch (error) {
		const {code, stdout, stderr} = error as {code: number; stdout: string; stderr: string};
		return {code, output: stdout + stderr};
	}
}

describe('the programs', () => {
	it('end with 2 and name what is wrong with a setting', async () => {
		for (const program of ['papayaflow-entry', 'papayaflow-sidecar']) {
			const {code, output} = await runProgram(program, '--port', '70000', '--store', 'http://kv:1');
			expect(code).to.equal(2);
			expect(output).to.contain('--port has the value "70000"; allowed: 0 to 65535').and.to.contain('--store has the value "http://kv:1"');
		}
	}).timeout(30_000);

	it('check their settings and show their help', async () => {
		const good = ['--instance', 'e', '--zone', 'z', '--store', 'http://127.0.0.1:1', '--instances', 'http://127.0.0.1:2'];
		expect(await runProgram('papayaflow-entry', ...good, '--check')).to.include({code: 0, output: 'settings are valid\n'});
		expect((await runProgram('papayaflow-sidecar', '--help')).output).to.contain('PAPAYAFLOW_STORE_TIMEOUT_MS').and.to.contain('milliseconds');
	}).timeout(30_000);

	it('check presets without the platform', async () => {
		expect(await runProgram('papayaflow', 'preset', 'check', path.join(root, 'presets/peak.json'))).to.include({code: 0});
		const bad = await runProgram('papayaflow', 'preset', 'check', path.join(root, 'package.json'));
		expect(bad.code).to.equal(2);
		expect(bad.output).to.contain('services');
	}).timeout(30_000);

	it('end with 1 where the platform can not be reached', async () => {
		expect((await runProgram('papayaflow', 'preset', 'list', '--store', 'http://127.0.0.1:9')).code).to.equal(1);
		expect((await runProgram('papayaflow', 'preset', 'list', '--store', 'nonsense')).code).to.equal(2);
	}).timeout(30_000);
});

describe('a running system', () => {
	let small: SmallFleet;

	const send = async (headers: Record<string, string>, body: string, where = '/v1/chat/completions'): Promise<Told> => {
		const res = await request(`http://127.0.0.1:${small.entries[0].port}${where}`, {method: 'POST', headers, body});
		return {status: res.statusCode, headers: res.headers, problem: await res.body.json() as Record<string, unknown>};
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet();
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('tells a caller what was wrong, and goes on serving others', async () => {
		const {status, problem, headers} = await send({'x-organisation': 'a b'}, '{}');
		expect(status).to.equal(400);
		expect(problem).to.include({outcome: 'notRun', reason: 'badRequest'});
		expect(headers['content-type']).to.equal('application/problem+json');
		expect((await send({'x-organisation': 'o'}, '{}', '/nowhere')).status).to.equal(404);
		const garbage = connect(small.entries[0].port, '127.0.0.1');
		garbage.write('\u{0}\u{1}not http\r\n\r\n');
		garbage.on('error', () => undefined);
		expect((await askModel(small.entries[0].port, 'notice-drafting', 'others')).outcome).to.equal('answered');
		garbage.destroy();
	});

	it('says nothing of a key that it did not ask about', async () => {
		const malformed = await send({'x-organisation': 'a b', 'idempotency-key': 'pay-1'}, '{}', '/ledger/payments');
		expect([malformed.status, malformed.problem.outcome]).to.deep.equal([400, 'unknown']);
		const bare = await startFleet({dist: path.join(root, 'target')});
		const entry = await bare.startEntry('entry-bare', 'salt-lake');
		const keyed = await orderOnce(entry.port, 'pay-1');
		const plain = await askModel(entry.port, 'notice-drafting', 'r-1');
		await bare.stop();
		expect([keyed.outcome, keyed.reason, plain.outcome]).to.deep.equal(['unknown', 'notAsked', 'notRun']);
	}).timeout(30_000);

	it('closes a connection that sends what is no frame, and counts it', async () => {
		const socket = connect(small.notice.port, '127.0.0.1');
		socket.on('error', () => undefined);
		socket.write(new Uint8Array([255, 255, 255, 255, 1, 2, 3]));
		const isClosed = await new Promise<boolean>(resolve => {
			socket.resume();
			socket.once('close', () => {
				resolve(true);
			});
		});
		expect(isClosed).to.equal(true);
		const metrics = await metricsOf(small.notice.adminPort);
		expect(metrics).to.contain('papayaflow_frame_faults_total{reason="oversized"} 1');
		expect((await askModel(small.entries[0].port, 'notice-drafting', 'still')).outcome).to.equal('answered');
	});

	it('shows every counter that the operators\' page lists', async () => {
		await orderOnce(small.entries[0].port, 'metrics-1');
		await askModel(small.entries[0].port, 'notice-drafting', 'metrics-2');
		await small.fleet.operate(['drain', 'ledger-2']);
		await waitUntil(async () => (await metricsOf(small.notice.adminPort)).includes('map_switch_ms'), 15_000);
		const shown = await Promise.all([small.entries[0], small.notice, ...small.ledgers].map(async ({adminPort}) => metricsOf(adminPort)));
		const told = shown.join('\n');
		const page = await readFile(path.join(root, 'docs/OPERATING.md'), 'utf8');
		const table = page.slice(page.indexOf('| metric |'), page.indexOf('Logs are JSON lines'));
		const names = [...table.matchAll(/`(?<name>[a-z_]+)(?:\{\w+\})?`/gv)].map(match => match.groups?.name ?? '');
		expect(names.length).to.be.greaterThan(20);
		expect(names.filter(name => !told.includes(`papayaflow_${name}`))).to.deep.equal([]);
	}).timeout(60_000);

	it('says whether it is healthy and ready, and what is in force where', async () => {
		const ready = await ask(small.entries[0].adminPort, '/readyz');
		expect(ready).to.deep.equal({ready: true});
		expect(await ask(small.ledgers[1].adminPort, '/readyz')).to.deep.equal({ready: false, reason: 'leaving'});
		const {code, output} = await small.fleet.operate(['status']);
		expect(code).to.equal(0);
		expect(output).to.contain('in force: ordinary at revision 2').and.to.contain('level').and.to.contain('leaving');
	}).timeout(30_000);
});

async function metricsOf(adminPort: number): Promise<string> {
	const res = await request(`http://127.0.0.1:${adminPort}/metrics`);
	return res.body.text();
}

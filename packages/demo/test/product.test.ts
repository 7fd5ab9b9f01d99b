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
	ask, requestCompletion, sendOrder, startFleet, waitUntil,
} from '@papayaflow/demo';

const execFileAsync = promisify(execFile);
const root = path.join(import.meta.dirname, '../../..');

type ProblemResponse = {readonly status: number; readonly problem: Record<string, unknown>; readonly headers: Record<string, unknown>};

type ProgramResult = {readonly code: number; readonly output: string};

async function runProgram(program: string, ...args: readonly string[]): Promise<ProgramResult> {
	try {
		const {stdout, stderr} = await execFileAsync(process.execPath, [path.join(root, 'target', `${program}.js`), ...args], {timeout: 20_000});
		return {code: 0, output: stdout + stderr};
	} catch (error) {
		const {code, stdout, stderr} = error as {code: number; stdout: string; stderr: string};
		return {code, output: stdout + stderr};
	}
}

describe('the programs', () => {
	it('exit with code 2 and name each invalid setting', async () => {
		for (const program of ['papayaflow-entry', 'papayaflow-sidecar']) {
			const {code, output} = await runProgram(program, '--port', '70000', '--store', 'http://kv:1');
			expect(code).to.equal(2);
			expect(output).to.contain('--port has the value "70000"; allowed: 0 to 65535').and.to.contain('--store has the value "http://kv:1"');
		}
	}).timeout(30_000);

	it('validate settings with --check and list them with --help', async () => {
		const good = ['--instance', 'e', '--zone', 'z', '--store', 'http://127.0.0.1:1', '--instances', 'http://127.0.0.1:2'];
		expect(await runProgram('papayaflow-entry', ...good, '--check')).to.include({code: 0, output: 'settings are valid\n'});
		expect((await runProgram('papayaflow-sidecar', '--help')).output).to.contain('PAPAYAFLOW_STORE_TIMEOUT_MS').and.to.contain('milliseconds');
	}).timeout(30_000);

	it('check preset files without access to the platform', async () => {
		expect(await runProgram('papayaflow', 'preset', 'check', path.join(root, 'presets/peak.json'))).to.include({code: 0});
		const bad = await runProgram('papayaflow', 'preset', 'check', path.join(root, 'package.json'));
		expect(bad.code).to.equal(2);
		expect(bad.output).to.contain('services');
	}).timeout(30_000);

	it('exit with code 1 when the platform is unreachable and with code 2 when its address is invalid', async () => {
		expect((await runProgram('papayaflow', 'preset', 'list', '--store', 'http://127.0.0.1:9')).code).to.equal(1);
		expect((await runProgram('papayaflow', 'preset', 'list', '--store', 'nonsense')).code).to.equal(2);
	}).timeout(30_000);
});

describe('a running system', () => {
	let small: SmallFleet;

	const send = async (headers: Record<string, string>, body: string, pathname = '/v1/chat/completions'): Promise<ProblemResponse> => {
		const res = await request(`http://127.0.0.1:${small.entries[0].port}${pathname}`, {method: 'POST', headers, body});
		return {status: res.statusCode, headers: res.headers, problem: await res.body.json() as Record<string, unknown>};
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet();
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('answers an invalid request with a problem document and keeps serving other requests', async () => {
		const {status, problem, headers} = await send({'x-organisation': 'a b'}, '{}');
		expect(status).to.equal(400);
		expect(problem).to.include({outcome: 'notRun', reason: 'badRequest'});
		expect(headers['content-type']).to.equal('application/problem+json');
		expect((await send({'x-organisation': 'o'}, '{}', '/nowhere')).status).to.equal(404);
		const garbage = connect(small.entries[0].port, '127.0.0.1');
		garbage.write('\u{0}\u{1}not http\r\n\r\n');
		garbage.on('error', () => undefined);
		expect((await requestCompletion(small.entries[0].port, 'notice-drafting', 'others')).outcome).to.equal('answered');
		garbage.destroy();
	});

	it('answers a keyed request with an unknown outcome when no sidecar was asked about its key', async () => {
		const malformed = await send({'x-organisation': 'a b', 'idempotency-key': 'pay-1'}, '{}', '/ledger/payments');
		expect([malformed.status, malformed.problem.outcome]).to.deep.equal([400, 'unknown']);
		const bare = await startFleet({dist: path.join(root, 'target')});
		const entry = await bare.startEntry('entry-bare', 'salt-lake');
		const keyed = await sendOrder(entry.port, 'pay-1');
		const plain = await requestCompletion(entry.port, 'notice-drafting', 'r-1');
		await bare.stop();
		expect([keyed.outcome, keyed.reason, plain.outcome]).to.deep.equal(['unknown', 'notAsked', 'notRun']);
	}).timeout(30_000);

	it('closes a peer connection that sends an invalid frame and counts the fault', async () => {
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
		const metrics = await readMetrics(small.notice.adminPort);
		expect(metrics).to.contain('papayaflow_frame_faults_total{reason="oversized"} 1');
		expect((await requestCompletion(small.entries[0].port, 'notice-drafting', 'still')).outcome).to.equal('answered');
	});

	it('exposes every metric that the operators\' page lists', async () => {
		await sendOrder(small.entries[0].port, 'metrics-1');
		await requestCompletion(small.entries[0].port, 'notice-drafting', 'metrics-2');
		await small.fleet.runOperatorCommand(['drain', 'ledger-2']);
		await waitUntil(async () => (await readMetrics(small.notice.adminPort)).includes('map_switch_ms'), 15_000);
		const shown = await Promise.all([small.entries[0], small.notice, ...small.ledgers].map(async ({adminPort}) => readMetrics(adminPort)));
		const allMetrics = shown.join('\n');
		const page = await readFile(path.join(root, 'docs/OPERATING.md'), 'utf8');
		const table = page.slice(page.indexOf('| metric |'), page.indexOf('Logs are JSON lines'));
		const names = [...table.matchAll(/`(?<name>[a-z_]+)(?:\{\w+\})?`/gv)].map(match => match.groups?.name ?? '');
		expect(names.length).to.be.greaterThan(20);
		expect(names.filter(name => !allMetrics.includes(`papayaflow_${name}`))).to.deep.equal([]);
	}).timeout(60_000);

	it('shows the readiness of each process and the preset in force', async () => {
		const ready = await ask(small.entries[0].adminPort, '/readyz');
		expect(ready).to.deep.equal({ready: true});
		expect(await ask(small.ledgers[1].adminPort, '/readyz')).to.deep.equal({ready: false, reason: 'leaving'});
		const {code, output} = await small.fleet.runOperatorCommand(['status']);
		expect(code).to.equal(0);
		expect(output).to.contain('in force: ordinary at revision 2').and.to.contain('level').and.to.contain('leaving');
	}).timeout(30_000);
});

async function readMetrics(adminPort: number): Promise<string> {
	const res = await request(`http://127.0.0.1:${adminPort}/metrics`);
	return res.body.text();
}

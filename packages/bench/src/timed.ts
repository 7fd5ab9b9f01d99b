import path from 'node:path';
import process from 'node:process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {
	ask, ordinaryPreset, startFleet, waitUntil,
} from '@papayaflow/demo';
import {quantile} from '@papayaflow/standins';
import {Agent, request} from 'undici';
import {measureProcess} from './process.js';

const distributionDirectory = path.resolve(import.meta.dirname, '../../../target');
const warmUpCalls = 500;
const callCount = 3000;
const keyedCallCount = 40;
const loadDurationMs = 8000;
const callerCount = 32;

type Call = () => Promise<number>;

async function timeCalls(call: Call, count: number): Promise<readonly number[]> {
	const durationsMs: number[] = [];
	for (let i = 0; i < count; i++) {
		const startedMs = performance.now();
		await call();
		durationsMs.push(performance.now() - startedMs);
	}

	return durationsMs;
}

async function measureRate(call: Call, ms: number): Promise<number> {
	const untilMs = performance.now() + ms;
	let answeredCount = 0;
	await Promise.all(Array.from({length: callerCount}, async () => {
		while (performance.now() < untilMs) {
			const status = await call();
			answeredCount += status === 200 ? 1 : 0;
		}
	}));
	return answeredCount / ms * 1000;
}

const fleet = await startFleet({dist: distributionDirectory, args: ['--log-level', 'warn']});
const file = path.join(await mkdtemp(path.join(tmpdir(), 'papayaflow-timed-')), 'preset.json');
await writeFile(file, JSON.stringify({
	...ordinaryPreset, services: {...ordinaryPreset.services, ledger: {kind: 'plain', concurrency: 1000, queueLimit: 1000}},
	organisations: {default: {requestsPerSecond: 1_000_000, burst: 1_000_000}},
}));
await fleet.runOperatorCommand(['preset', 'create', 'ordinary', '--file', file]);
await fleet.runOperatorCommand(['preset', 'use', 'ordinary']);
const target = await fleet.startTarget('plain', ['--work-ms', '0']);
const sidecar = await fleet.startSidecar('ledger-1', 'a', {service: 'ledger', target});
const entry = await fleet.startEntry('entry-1', 'a');
await waitUntil(async () => {
	const status = await ask(entry.adminPort, '/status');
	return ((status?.links ?? []) as Array<{usable: boolean}>).some(({usable}) => usable);
}, 20_000);

const dispatcher = new Agent({connections: callerCount});
let order = 0;
const createCall = (port: number, method: 'GET' | 'POST', isKeyed: boolean): Call => async () => {
	const name = `timed-${order++}`;
	const res = await request(`http://127.0.0.1:${port}/ledger/payments`, {
		method, dispatcher, headers: {'x-organisation': 'ayamoni', ...(isKeyed && {'idempotency-key': name})},
		...(method === 'POST' && {body: JSON.stringify({order: name})}),
	});
	await res.body.dump();
	return res.statusCode;
};

// Writes to the claim log are rate limited, so the number of sequential keyed calls is low enough to stay within the burst.
const calls: ReadonlyArray<readonly [string, Call, number]> = [
	['direct', createCall(target.port, 'GET', false), callCount],
	['through entry and sidecar', createCall(entry.port, 'GET', false), callCount],
	['through entry and sidecar, with a key', createCall(entry.port, 'POST', true), keyedCallCount],
];
for (const [name, call, count] of calls) {
	await timeCalls(call, count === callCount ? warmUpCalls : 1);
	const durationsMs = await timeCalls(call, count);
	process.stdout.write(`${name}: p50 ${(quantile(durationsMs, 0.5) * 1000).toFixed(0)} µs, p99 ${(quantile(durationsMs, 0.99) * 1000).toFixed(0)} µs, ${count} sequential calls\n`);
}

for (const [name, call] of calls) {
	const [rate, entryUse, sidecarUse] = await Promise.all([
		measureRate(call, loadDurationMs), measureProcess(entry.child.pid ?? 0, loadDurationMs - 500), measureProcess(sidecar.child.pid ?? 0, loadDurationMs - 500),
	]);
	process.stdout.write(`${name}: ${rate.toFixed(0)} requests/s, ${callerCount} callers; entry ${(entryUse.cores * 100).toFixed(0)} % of a core, sidecar ${(sidecarUse.cores * 100).toFixed(0)} %\n`);
}

await fleet.stop();
process.exit(0);

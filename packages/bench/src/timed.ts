import path from 'node:path';
import process from 'node:process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {
	ask, ordinary, startFleet, waitUntil,
} from '@papayaflow/demo';
import {quantile} from '@papayaflow/standins';
import {Agent, request} from 'undici';
import {watchProcess} from './process.js';

const distribution = path.resolve(import.meta.dirname, '../../../target');
const warmUp = 500;
const counted = 3000;
const countedKeyed = 40;
const loadMs = 8000;
const workers = 32;

type Call = () => Promise<number>;

async function timeCalls(call: Call, count: number): Promise<readonly number[]> {
	const took: number[] = [];
	for (let i = 0; i < count; i++) {
		const startedMs = performance.now();
		await call();
		took.push(performance.now() - startedMs);
	}

	return took;
}

async function rateOf(call: Call, ms: number): Promise<number> {
	const untilMs = performance.now() + ms;
	let done = 0;
	await Promise.all(Array.from({length: workers}, async () => {
		while (performance.now() < untilMs) {
			const status = await call();
			done += status === 200 ? 1 : 0;
		}
	}));
	return done / ms * 1000;
}

const fleet = await startFleet({dist: distribution, args: ['--log-level', 'warn']});
const file = path.join(await mkdtemp(path.join(tmpdir(), 'papayaflow-timed-')), 'preset.json');
await writeFile(file, JSON.stringify({
	...ordinary, services: {...ordinary.services, ledger: {kind: 'plain', concurrency: 1000, queueLimit: 1000}},
	organisations: {default: {requestsPerSecond: 1_000_000, burst: 1_000_000}},
}));
await fleet.operate(['preset', 'create', 'ordinary', '--file', file]);
await fleet.operate(['preset', 'use', 'ordinary']);
const target = await fleet.startTarget('plain', ['--work-ms', '0']);
const sidecar = await fleet.startSidecar('ledger-1', 'a', {service: 'ledger', target});
const entry = await fleet.startEntry('entry-1', 'a');
await waitUntil(async () => {
	const status = await ask(entry.adminPort, '/status');
	return ((status?.links ?? []) as Array<{usable: boolean}>).some(({usable}) => usable);
}, 20_000);

const dispatcher = new Agent({connections: workers});
let order = 0;
const callTo = (port: number, method: 'GET' | 'POST', keyed: boolean): Call => async () => {
	const name = `timed-${order++}`;
	const res = await request(`http://127.0.0.1:${port}/ledger/payments`, {
		method, dispatcher, headers: {'x-organisation': 'ayamoni', ...(keyed && {'idempotency-key': name})},
		...(method === 'POST' && {body: JSON.stringify({order: name})}),
	});
	await res.body.dump();
	return res.statusCode;
};

// The log of claims is paced, so keyed calls one after the other are timed within its burst.
const calls: ReadonlyArray<readonly [string, Call, number]> = [
	['direct', callTo(target.port, 'GET', false), counted],
	['through entry and sidecar', callTo(entry.port, 'GET', false), counted],
	['through entry and sidecar, with a key', callTo(entry.port, 'POST', true), countedKeyed],
];
for (const [name, call, count] of calls) {
	await timeCalls(call, count === counted ? warmUp : 1);
	const took = await timeCalls(call, count);
	process.stdout.write(`${name}: p50 ${(quantile(took, 0.5) * 1000).toFixed(0)} µs, p99 ${(quantile(took, 0.99) * 1000).toFixed(0)} µs, ${count} calls one after the other\n`);
}

for (const [name, call] of calls) {
	const [rate, entryUse, sidecarUse] = await Promise.all([
		rateOf(call, loadMs), watchProcess(entry.child.pid ?? 0, loadMs - 500), watchProcess(sidecar.child.pid ?? 0, loadMs - 500),
	]);
	process.stdout.write(`${name}: ${rate.toFixed(0)} requests/s with ${workers} callers; entry ${(entryUse.core * 100).toFixed(0)} % of a core, sidecar ${(sidecarUse.core * 100).toFixed(0)} %\n`);
}

await fleet.stop();
process.exit(0);

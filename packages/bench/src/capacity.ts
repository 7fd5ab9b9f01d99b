import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	checkPreset, chunkPreset, createFollower, encodeHead, type Head, type Preset,
} from '@papayaflow/config';
import {
	ask, ordinaryPreset, startFleet, waitUntil, type Fleet, type FleetProcess,
} from '@papayaflow/demo';
import {createClaims, createLease} from '@papayaflow/idempotency';
import {encodeFrame} from '@papayaflow/peer';
import {
	initialMap, pickTarget, planMoves, rendezvousOrder,
} from '@papayaflow/policy';
import {type Store} from '@papayaflow/store';
import {fakeEntries, fakeSidecars} from './peers.js';
import {fitLine, measureProcess} from './process.js';
import {measureTargetLimits} from './target-limits.js';

const distributionDirectory = path.resolve(import.meta.dirname, '../../../target');
const peerCounts = [10, 100, 400];
const organisationCounts = [10, 1000, 3900];
const sampleMs = 8000;
// Heartbeats are sent once a minute, so control traffic is counted over a whole minute.
const heartbeatIntervalMs = 60_000;
const settleMs = 2500;

type Point = readonly [number, number];

function createPreset(organisations: number): unknown {
	const named = Object.fromEntries(Array.from({length: organisations}, (_, index) => [`organisation-${index}`, {weight: 1 + (index % 7), requestsPerSecond: 10 + (index % 90), burst: 100}]));
	return {...ordinaryPreset, organisations: {default: ordinaryPreset.organisations.default, named}};
}

async function startFleetWith(organisations: number): Promise<{fleet: Fleet; file: string}> {
	const fleet = await startFleet({dist: distributionDirectory, args: ['--log-level', 'warn']});
	const file = path.join(await mkdtemp(path.join(tmpdir(), 'papayaflow-capacity-')), 'preset.json');
	await writeFile(file, JSON.stringify(createPreset(organisations)));
	await fleet.runOperatorCommand(['preset', 'create', 'ordinary', '--file', file]);
	await fleet.runOperatorCommand(['preset', 'use', 'ordinary']);
	return {fleet, file};
}

function printFit(name: string, points: readonly Point[], unit: string): void {
	const {base, slope} = fitLine(points);
	process.stdout.write(`${name}: ${points.map(([x, y]) => `${x}: ${y.toPrecision(3)}`).join(', ')}; ${base.toPrecision(3)} ${unit} base and ${slope.toPrecision(3)} ${unit} per additional one\n`);
}

async function listSidecars(fleet: Fleet, port: number, count: number): Promise<void> {
	for (let index = 0; index < count; index++) {
		await fleet.list({
			id: `fake-${index}`, role: 'sidecar', service: `model-${index % 18}`, zone: 'abc'[index % 3], address: '127.0.0.1', port, adminPort: port,
		});
	}
}

async function measureEntries(): Promise<void> {
	const [memory, cpuPercent]: Point[][] = [[], []];
	for (const count of peerCounts) {
		const {fleet} = await startFleetWith(10);
		const peers = await fakeSidecars();
		await listSidecars(fleet, peers.port, count);
		const entry = await fleet.startEntry('entry-1', 'a');
		await waitUntil(() => peers.connections() >= count, 20_000);
		await sleep(settleMs);
		peers.takeByteCount();
		const isLast = count === peerCounts.at(-1);
		const usage = await measureProcess(entry.child.pid ?? 0, isLast ? heartbeatIntervalMs : sampleMs);
		memory.push([count, usage.megabytes]);
		cpuPercent.push([count, usage.cores * 100]);
		if (isLast) {
			process.stdout.write(`entry, idle control traffic with ${count} peers: ${(peers.takeByteCount() / heartbeatIntervalMs * 1000).toFixed(0)} B/s\n`);
		}

		peers.stop();
		await fleet.stop();
	}

	printFit('entry, resident memory by links', memory, 'MB');
	printFit('entry, idle CPU by links', cpuPercent, '% of a core');
}

async function measureSidecars(): Promise<void> {
	const [memory, cpuPercent]: Point[][] = [[], []];
	for (const count of peerCounts) {
		const {fleet} = await startFleetWith(10);
		const target = await fleet.startTarget('plain');
		const sidecar = await fleet.startSidecar('sidecar-1', 'a', {service: 'ledger', target});
		const peers = await fakeEntries(sidecar.port, count);
		await sleep(settleMs);
		peers.takeByteCount();
		const isLast = count === peerCounts.at(-1);
		const usage = await measureProcess(sidecar.child.pid ?? 0, isLast ? heartbeatIntervalMs : sampleMs);
		memory.push([count, usage.megabytes]);
		cpuPercent.push([count, usage.cores * 100]);
		if (isLast) {
			process.stdout.write(`sidecar, idle control traffic with ${count} peers: ${(peers.takeByteCount() / heartbeatIntervalMs * 1000).toFixed(0)} B/s\n`);
		}

		peers.stop();
		await fleet.stop();
	}

	printFit('sidecar, resident memory by connections', memory, 'MB');
	printFit('sidecar, idle CPU by connections', cpuPercent, '% of a core');
}

async function haveRevision(members: readonly FleetProcess[], revision: number): Promise<boolean> {
	const statuses = await Promise.all(members.map(async ({adminPort}) => ask(adminPort, '/status')));
	return statuses.every(status => Number(status?.revision) >= revision);
}

async function measureOrganisations(): Promise<void> {
	const memory: Point[] = [];
	for (const count of organisationCounts) {
		const {fleet} = await startFleetWith(count);
		const target = await fleet.startTarget('plain');
		const sidecars = await Promise.all(Array.from({length: 6}, async (_, index) => fleet.startSidecar(`sidecar-${index}`, 'abc'[index % 3], {service: 'ledger', target})));
		const entry = await fleet.startEntry('entry-1', 'a');
		const members: readonly FleetProcess[] = [...sidecars, entry];
		await waitUntil(async () => haveRevision(members, 2), 20_000);
		const startedMs = performance.now();
		await fleet.runOperatorCommand(['preset', 'edit', 'ordinary', '--set', 'organisations.named.organisation-7.weight=9']);
		const acceptedMs = performance.now();
		await waitUntil(async () => haveRevision(members, 3), 20_000);
		const [editMs, spreadMs] = [acceptedMs - startedMs, performance.now() - acceptedMs];
		process.stdout.write(`change among ${count} organisations: edit ${editMs.toFixed(0)} ms, in force on 7 processes ${spreadMs.toFixed(0)} ms after the edit was accepted\n`);
		const usage = await measureProcess(entry.child.pid ?? 0, 1000);
		memory.push([count, usage.megabytes]);
		await fleet.stop();
	}

	printFit('entry, resident memory by organisations', memory, 'MB');
}

function measureConfigurationUpdates(): void {
	for (const count of organisationCounts) {
		const {preset} = checkPreset(createPreset(count)) as {preset: Preset};
		const before = chunkPreset(preset);
		const named = {...preset.organisations.named, 'organisation-7': {weight: 9, requestsPerSecond: 1, burst: 1}};
		const after = chunkPreset({...preset, organisations: {...preset.organisations, named}});
		const follower = createFollower();
		const headOf = (body: string, revision: number): Head => ({
			revision, inForce: 'ordinary', presets: {ordinary: body, peak: body, maintenance: body}, recent: [],
		});
		follower.applyUpdate({revision: 1, head: encodeHead(headOf(before.body, 1)), chunks: Object.fromEntries(before.chunks)});
		const changedChunks = [...after.chunks].filter(([hash]) => !before.chunks.has(hash));
		const update = {revision: 2, head: encodeHead(headOf(after.body, 2)), chunks: Object.fromEntries(changedChunks)};
		const startedMs = performance.now();
		follower.applyUpdate(update);
		const ms = performance.now() - startedMs;
		const frameBytes = encodeFrame({kind: 'config', update}).length;
		const pullBytes = encodeFrame({kind: 'pullConfig', have: follower.have()}).length;
		const bodyBytes = [...before.chunks.values()].reduce((sum, chunk) => sum + chunk.length, 0);
		process.stdout.write(`change of one of ${count} organisations: body ${bodyBytes} B, frame ${frameBytes} B, pull ${pullBytes} B, ${ms.toFixed(1)} ms of a core to apply\n`);
	}
}

function printMeanTime(label: string, runs: number, run: () => void): void {
	for (let i = 0; i < runs / 5; i++) {
		run();
	}

	const startedMs = performance.now();
	for (let i = 0; i < runs; i++) {
		run();
	}

	process.stdout.write(`${label}: ${((performance.now() - startedMs) * 1000 / runs).toFixed(1)} µs\n`);
}

function measureDecisions(): void {
	const candidates = Array.from({length: 20}, (_, index) => ({
		id: `sidecar-${index}`, zone: 'abc'[index % 3], ownTokens: index, report: undefined, sinceMs: 0,
	}));
	const options = {
		nowMs: 0, random: Math.random, zone: 'a', reportMaxAgeMs: 2000, zoneBias: 0.3, slowStartMs: 0, affinityLoadFactor: 1.25,
	};
	printMeanTime('pick of 20 targets, two choices', 20_000, () => pickTarget(candidates, {...options, affinityKey: undefined}));
	printMeanTime('pick of 20 targets, by prefix', 20_000, () => pickTarget(candidates, {...options, affinityKey: 'x'.repeat(512)}));
	const nodes = Array.from({length: 1160}, (_, index) => `instance-${index}`);
	printMeanTime('rendezvous order of 1,160 instances', 200, () => rendezvousOrder('key', nodes));
	const loads = Array.from({length: 256}, (_, index) => 1 / (index + 1));
	const map = initialMap(64, 256, 5);
	printMeanTime('plan of one layer, 64 ranks, 256 experts, 64 moves', 50, () => planMoves(map, loads, {maxMoves: 64, goodSkew: 1.01}));
}

// Measures the memory that the owner of a shard needs for each key, with answers of 300 bytes. The store discards all writes.
async function measureClaimMemory(): Promise<void> {
	const store: Store = {
		read: async () => ({kind: 'absent'}),
		list: async () => ({kind: 'listed', entries: [], revision: 0}),
		write: async () => ({kind: 'written', revision: 1}),
		remove: async () => ({kind: 'written', revision: 1}),
		transact: async () => ({kind: 'written', revision: 1}),
		changes: async () => ({kind: 'changes', changes: [], revision: 0}),
		grantLease: async () => ({kind: 'granted', lease: '1'}),
		renewLease: async () => ({kind: 'renewed'}),
		watch: async () => undefined,
		era: () => 0,
	};
	const common = {store, holder: 'a', incarnation: 'a'};
	const lease = createLease({...common, ttlMs: () => 1e9, monotonicMs: () => 0});
	await lease.renew();
	const claims = createClaims({
		...common, service: 'ledger', shard: 0, lease, batchMs: () => 0, writeDelayMs: () => 0, nowMs: () => 0, maxRecordedBytes: () => 1000,
		async sleep() {
			await Promise.resolve();
		},
	});
	const points: Point[] = [];
	for (let keys = 0; keys < 60_000; keys++) {
		if (keys % 20_000 === 0 && keys > 0) {
			globalThis.gc?.();
			const {heapUsed, external} = process.memoryUsage();
			points.push([keys, heapUsed + external]);
		}

		const result = await claims.claim(`organisation-1/payment-${keys}`, 'fingerprint-0000');
		if (result.kind === 'claimed') {
			await result.claim.done({status: 200, headers: {'content-type': 'application/json', date: 'Thu, 03 Dec 2026 20:30:56 GMT'}, body: new Uint8Array(300)});
		}
	}

	const {slope} = fitLine(points);
	process.stdout.write(`owner of a shard: ${slope.toFixed(0)} B of memory for each retained key, answers of 300 B\n`);
}

function measureFrameSizes(): void {
	const sizes: ReadonlyArray<readonly [string, Parameters<typeof encodeFrame>[0]]> = [
		['revision', {
			kind: 'revision', revision: 12_345, sentMs: 1.5, ageMs: 1.5,
		}],
		['busy', {kind: 'busy', isBusy: true, tokens: 1234}],
		['load', {
			kind: 'load', load: {
				queued: 1, running: 32, concurrency: 32, isBusy: false, outstandingTokens: 4321, serviceMs: 12.5,
			},
		}],
		['order to a rank without moves', {
			kind: 'order', id: 1, rank: 63, order: {
				kind: 'hold', epoch: 3, version: 12, step: 123_456,
			},
		}],
		['order to a rank with 64 moves', {
			kind: 'order', id: 1, rank: 63, order: {
				kind: 'prepare', epoch: 3, version: 12, moves: Array.from({length: 64}, (_, index) => ({
					layer: index % 60, rank: index, slot: 4, expert: 200 + index,
				})),
			},
		}],
	];
	for (const [name, frame] of sizes) {
		process.stdout.write(`frame "${name}": ${encodeFrame(frame).length} B\n`);
	}
}

await measureClaimMemory();
measureFrameSizes();
measureDecisions();
measureTargetLimits();
measureConfigurationUpdates();
await measureOrganisations();
await measureEntries();
await measureSidecars();
process.exit(0);

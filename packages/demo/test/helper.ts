import process from 'node:process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, orderOnce, ordinary, startFleet, waitUntil, type Fleet, type Member, type Result,
} from '@papayaflow/demo';

const readyTimeoutMs = 20_000;
const distribution = path.resolve(import.meta.dirname, '../../../target');

/** The preset of the tests: short leases and pauses, so that a failure's whole course fits a test. */
export const testPreset = {
	...ordinary,
	idempotency: {leaseMs: 1000},
	drain: {graceMs: 8000, lingerMs: 200},
	timeouts: {requestMs: 10_000, idleMs: 3000},
};

const onePreset = {ordinary: testPreset};

export type SmallFleet = {
	readonly fleet: Fleet;
	readonly engine: Member;
	readonly plains: readonly Member[];
	readonly ledgers: Member[];
	readonly notice: Member;
	readonly entries: Member[];
};

const groupArguments = ['--group', 'notice-a', '--ranks', '4', '--group-ranks', '4'];

/** Starts one model group, two replicas of a plain service and two entries, and waits until they serve. */
export async function startSmallFleet(presets: Readonly<Record<string, unknown>> = onePreset): Promise<SmallFleet> {
	const fleet = await startFleet({
		dist: distribution, logFile: process.env.PAPAYAFLOW_TEST_LOG, args: ['--config-poll-ms', '300', '--instances-interval-ms', '200', '--store-timeout-ms', '500'],
	});
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-test-'));
	for (const [name, preset] of Object.entries(presets)) {
		await writeFile(path.join(directory, `${name}.json`), JSON.stringify(preset));
		await fleet.operate(['preset', 'create', name, '--file', path.join(directory, `${name}.json`)]);
	}

	await fleet.operate(['preset', 'use', Object.keys(presets)[0]]);
	const [engine, ...plains] = await Promise.all([
		fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']), fleet.startTarget('plain'), fleet.startTarget('plain'),
	]);
	const [notice, ...rest] = await Promise.all([
		fleet.startSidecar('notice-1', 'salt-lake', {service: 'notice-drafting', target: engine}, groupArguments),
		fleet.startSidecar('ledger-1', 'salt-lake', {service: 'ledger', target: plains[0]}),
		fleet.startSidecar('ledger-2', 'new-town', {service: 'ledger', target: plains[1]}),
		fleet.startEntry('entry-1', 'salt-lake'),
		fleet.startEntry('entry-2', 'new-town'),
	]);
	const small: SmallFleet = {
		fleet, engine, plains, notice, ledgers: rest.slice(0, 2), entries: rest.slice(2),
	};
	await untilServing(small, 3);
	return small;
}

type ShownLink = {readonly sidecar: string; readonly usable: boolean};

/** The links of each entry, as it shows them; none before it has a configuration. */
export async function linksOf({entries}: SmallFleet): Promise<ReadonlyArray<readonly ShownLink[]>> {
	const statuses = await Promise.all(entries.map(async entry => ask(entry.adminPort, '/status')));
	return statuses.map(status => status?.inForce === undefined ? [] : status.links as ShownLink[]);
}

/** Waits until every entry has a usable link to `sidecars` sidecars. */
export async function untilServing(small: SmallFleet, sidecars: number): Promise<boolean> {
	return waitUntil(async () => {
		const links = await linksOf(small);
		return links.every(list => list.filter(({usable}) => usable).length >= sidecars);
	}, readyTimeoutMs);
}

/** Counts how often each order ran, as the targets themselves have noted. */
export async function runsByOrder(plains: readonly Member[]): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	for (const plain of plains) {
		for (const [order, count] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
			runs.set(order, (runs.get(order) ?? 0) + Number(count));
		}
	}

	return runs;
}

export type OrderLoad = {readonly orders: number; readonly prefix: string; readonly arrivals?: number; readonly gapMs?: number};

export type Ordered = {readonly results: readonly Result[]; readonly runs: ReadonlyMap<string, number>};

/**
Sends orders by both entries at once, each `arrivals` times, while `fail` happens;
then counts at the targets.
*/
export async function orderThrough(small: SmallFleet, {orders, prefix, arrivals = 2, gapMs = 10}: OrderLoad, fail: () => Promise<void>): Promise<Ordered> {
	const sent: Array<Promise<Result>> = [];
	const failing = sleep(orders * gapMs / 4).then(fail);
	for (let order = 0; order < orders; order++) {
		for (let arrival = 0; arrival < arrivals; arrival++) {
			const {port} = small.entries[(order + arrival) % small.entries.length];
			sent.push(orderOnce(port, `${prefix}-${order}`, {deadlineMs: 5000}));
		}

		await sleep(gapMs);
	}

	await failing;
	return {results: await Promise.all(sent), runs: await runsByOrder(small.plains)};
}

/** The orders that were told "not run" each time they came, and yet ran. */
export function falselyRefused({results, runs}: Ordered): readonly string[] {
	const byOrder = groupByOrder(results);
	return [...byOrder].filter(([order, outcomes]) => outcomes.every(outcome => outcome === 'notRun') && runs.has(order)).map(([order]) => order);
}

/** The orders that were answered and are in no target's ledger. */
export function answeredNotRun({results, runs}: Ordered): readonly string[] {
	return results.filter(({outcome, order}) => outcome === 'answered' && !runs.has(order ?? '')).map(({order}) => order ?? '');
}

export function repeated({runs}: Ordered): ReadonlyArray<readonly [string, number]> {
	return [...runs].filter(([, count]) => count > 1);
}

function groupByOrder(results: readonly Result[]): Map<string, string[]> {
	const groups = new Map<string, string[]>();
	for (const {order = '', outcome} of results) {
		groups.set(order, [...groups.get(order) ?? [], outcome]);
	}

	return groups;
}

import process from 'node:process';
import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, sendOrder, ordinaryPreset, startFleet, waitUntil, type Fleet, type FleetProcess, type RequestResult,
} from '@papayaflow/demo';

const readyTimeoutMs = 20_000;
const distributionDirectory = path.resolve(import.meta.dirname, '../../../target');

/** The preset of the tests. Leases and timeouts are short, so that a fault and the recovery from it fit into one test. */
export const testPreset = {
	...ordinaryPreset,
	idempotency: {leaseMs: 1000},
	drain: {graceMs: 8000, lingerMs: 200},
	timeouts: {requestMs: 10_000, idleMs: 3000},
};

const defaultPresets = {ordinary: testPreset};

export type SmallFleet = {
	readonly fleet: Fleet;
	/** The engine of the model group. */
	readonly engine: FleetProcess;
	/** The targets of the plain service `ledger`. */
	readonly plainTargets: readonly FleetProcess[];
	/** The sidecars of `plainTargets`, in the same order. */
	readonly ledgers: FleetProcess[];
	/** The sidecar of `engine`. */
	readonly notice: FleetProcess;
	readonly entries: FleetProcess[];
};

const groupArguments = ['--group', 'notice-a', '--ranks', '4', '--group-ranks', '4'];

/** Starts one model group, two replicas of a plain service and two entries, and waits until both entries have a usable link to each sidecar. */
export async function startSmallFleet(presets: Readonly<Record<string, unknown>> = defaultPresets): Promise<SmallFleet> {
	const fleet = await startFleet({
		dist: distributionDirectory, logFile: process.env.PAPAYAFLOW_TEST_LOG, args: ['--config-poll-ms', '300', '--instances-interval-ms', '200', '--store-timeout-ms', '500'],
	});
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-test-'));
	for (const [name, preset] of Object.entries(presets)) {
		await writeFile(path.join(directory, `${name}.json`), JSON.stringify(preset));
		await fleet.runOperatorCommand(['preset', 'create', name, '--file', path.join(directory, `${name}.json`)]);
	}

	await fleet.runOperatorCommand(['preset', 'use', Object.keys(presets)[0]]);
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
		fleet, engine, plainTargets: plains, notice, ledgers: rest.slice(0, 2), entries: rest.slice(2),
	};
	await waitUntilServing(small, 3);
	return small;
}

type LinkStatus = {readonly sidecar: string; readonly usable: boolean};

/** Reads the links of each entry from its status; an entry without a configuration has none. */
export async function readLinks({entries}: SmallFleet): Promise<ReadonlyArray<readonly LinkStatus[]>> {
	const statuses = await Promise.all(entries.map(async entry => ask(entry.adminPort, '/status')));
	return statuses.map(status => status?.inForce === undefined ? [] : status.links as LinkStatus[]);
}

/** Waits until every entry has usable links to at least `sidecars` sidecars. */
export async function waitUntilServing(small: SmallFleet, sidecars: number): Promise<boolean> {
	return waitUntil(async () => {
		const links = await readLinks(small);
		return links.every(list => list.filter(({usable}) => usable).length >= sidecars);
	}, readyTimeoutMs);
}

/** Reads from `GET /ledger` of each target how often each order was executed, and adds up the counts. */
export async function countRunsByOrder(plains: readonly FleetProcess[]): Promise<Map<string, number>> {
	const runs = new Map<string, number>();
	for (const plain of plains) {
		for (const [order, count] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
			runs.set(order, (runs.get(order) ?? 0) + Number(count));
		}
	}

	return runs;
}

export type OrderLoad = {readonly orders: number; readonly prefix: string; readonly sendsPerOrder?: number; readonly gapMs?: number};

export type OrderResults = {readonly results: readonly RequestResult[]; readonly runs: ReadonlyMap<string, number>};

/**
Sends each order `sendsPerOrder` times, alternating between the entries, and calls
`injectFault` after a quarter of the time. When all requests have ended, reads from
the targets how often each order was executed.
*/
export async function sendOrdersDuringFault(small: SmallFleet, {orders, prefix, sendsPerOrder = 2, gapMs = 10}: OrderLoad, injectFault: () => Promise<void>): Promise<OrderResults> {
	const sent: Array<Promise<RequestResult>> = [];
	const faultInjection = sleep(orders * gapMs / 4).then(injectFault);
	for (let order = 0; order < orders; order++) {
		for (let copy = 0; copy < sendsPerOrder; copy++) {
			const {port} = small.entries[(order + copy) % small.entries.length];
			sent.push(sendOrder(port, `${prefix}-${order}`, {deadlineMs: 5000}));
		}

		await sleep(gapMs);
	}

	await faultInjection;
	return {results: await Promise.all(sent), runs: await countRunsByOrder(small.plainTargets)};
}

/** Returns the orders that were executed although every request for them was answered with `notRun`. */
export function executedButReportedNotRun({results, runs}: OrderResults): readonly string[] {
	const byOrder = groupByOrder(results);
	return [...byOrder].filter(([order, outcomes]) => outcomes.every(outcome => outcome === 'notRun') && runs.has(order)).map(([order]) => order);
}

/** Returns the orders that were answered although no target executed them. */
export function answeredButNotExecuted({results, runs}: OrderResults): readonly string[] {
	return results.filter(({outcome, order}) => outcome === 'answered' && !runs.has(order ?? '')).map(({order}) => order ?? '');
}

/** Returns the orders that were executed more than once, with the count. */
export function executedMoreThanOnce({runs}: OrderResults): ReadonlyArray<readonly [string, number]> {
	return [...runs].filter(([, count]) => count > 1);
}

function groupByOrder(results: readonly RequestResult[]): Map<string, string[]> {
	const groups = new Map<string, string[]>();
	for (const {order = '', outcome} of results) {
		groups.set(order, [...groups.get(order) ?? [], outcome]);
	}

	return groups;
}

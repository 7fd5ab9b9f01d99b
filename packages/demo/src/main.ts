import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, startFleet, waitUntil, type Fleet, type Member,
} from './fleet.js';
import {askModel, orderOnce, type Result} from './load.js';
import {ordinary, peak} from './presets.js';

const rounds = 60;
const perRound = 10;
const roundPauseMs = 20;
const zones = ['salt-lake', 'new-town', 'howrah'];
const readyTimeoutMs = 15_000;

/** Builds the demo's fleet: two model groups, three replicas of a plain service, five sidecars, two entries. */
async function startAll(fleet: Fleet): Promise<{entries: readonly Member[]; engines: readonly Member[]; plains: readonly Member[]}> {
	const engines = await Promise.all([
		fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']),
		fleet.startTarget('engine', ['--model', 'pack-drafting', '--ranks', '4', '--ignores-fencing']),
		fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']),
	]);
	const plains = await Promise.all(zones.map(async () => fleet.startTarget('plain')));
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-demo-'));
	for (const [name, preset] of Object.entries({ordinary, peak})) {
		const file = path.join(directory, `${name}.json`);
		await writeFile(file, JSON.stringify(preset));
		await mustSucceed(fleet, ['preset', 'create', name, '--file', file]);
	}

	await mustSucceed(fleet, ['preset', 'use', 'ordinary']);
	await Promise.all([
		fleet.startSidecar('notice-1', zones[0], {service: 'notice-drafting', target: engines[0]}, groupArguments('notice-a')),
		fleet.startSidecar('pack-1', zones[1], {service: 'pack-drafting', target: engines[1]}, groupArguments('pack-a')),
		fleet.startSidecar('notice-2', zones[2], {service: 'notice-drafting', target: engines[2]}, groupArguments('notice-b')),
		...plains.map(async (plain, index) => fleet.startSidecar(`ledger-${index + 1}`, zones[index], {service: 'ledger', target: plain})),
	]);
	const entries = await Promise.all([fleet.startEntry('entry-1', zones[0]), fleet.startEntry('entry-2', zones[1])]);
	return {entries, engines, plains};
}

function groupArguments(group: string): readonly string[] {
	return ['--group', group, '--ranks', '4', '--group-ranks', '4'];
}

async function mustSucceed(fleet: Fleet, args: readonly string[]): Promise<string> {
	const {code, output} = await fleet.operate(args);
	if (code !== 0) {
		throw new Error(`papayaflow ${args.join(' ')} ended with ${code}: ${output}`);
	}

	return output;
}

async function isReady(entry: Member): Promise<boolean> {
	const status = await ask(entry.adminPort, '/status');
	const links = (status?.links ?? []) as Array<{usable: boolean}>;
	return status?.inForce !== undefined && links.length >= 6 && links.every(link => link.usable);
}

async function runLoad(entries: readonly Member[]): Promise<readonly Result[]> {
	const results: Array<Promise<Result>> = [];
	for (let round = 0; round < rounds; round++) {
		for (let i = 0; i < perRound; i++) {
			const {port} = entries[(round + i) % entries.length];
			const id = `demo-${round}-${i}`;
			switch (i % 5) {
				case 0: {
					// The same order comes by both entries, as from a caller that asks again.
					results.push(orderOnce(entries[0].port, id), orderOnce(entries[1].port, id));
					break;
				}

				case 1: {
					results.push(askModel(port, 'pack-drafting', id, {organisation: 'tisza'}));
					break;
				}

				case 2: {
					results.push(askModel(port, 'notice-drafting', id));
					break;
				}

				default: {
					results.push(askModel(port, i % 2 === 0 ? 'pack-drafting' : 'notice-drafting', id, {isStream: true}));
				}
			}
		}

		await sleep(roundPauseMs);
	}

	return Promise.all(results);
}

async function countRepeated(plains: readonly Member[]): Promise<{runs: number; repeated: number}> {
	const total = new Map<string, number>();
	for (const plain of plains) {
		for (const [order, runs] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
			total.set(order, (total.get(order) ?? 0) + Number(runs));
		}
	}

	return {runs: [...total.values()].reduce((sum, runs) => sum + runs, 0), repeated: [...total.values()].filter(runs => runs > 1).length};
}

function report(results: readonly Result[], repeated: {runs: number; repeated: number}, switched: string): boolean {
	const lines = ['kind      answered  not run  unknown  wrong  cut     p50 ms  p95 ms  p99 ms'];
	for (const kind of ['ordinary', 'streamed', 'keyed'] as const) {
		const own = results.filter(result => result.kind === kind);
		const count = (outcome: Result['outcome']): string => String(own.filter(result => result.outcome === outcome).length);
		const sorted = own.map(({ms}) => ms).toSorted((a, b) => a - b);
		const quantile = (q: number): string => (sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? 0).toFixed(1).padStart(6);
		const counts = [count('answered').padEnd(9), count('notRun').padEnd(8), count('unknown').padEnd(8), count('wrong').padEnd(6), count('cut').padEnd(6)];
		lines.push(`${kind.padEnd(9)} ${counts.join(' ')}  ${quantile(0.5)}  ${quantile(0.95)}  ${quantile(0.99)}`);
	}

	const refusals = new Map<string, number>();
	for (const {reason} of results) {
		if (reason !== undefined) {
			refusals.set(reason, (refusals.get(reason) ?? 0) + 1);
		}
	}

	lines.push(
		`refused or unknown, by reason: ${[...refusals].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none'}`,
		`calls that may not be repeated: ${repeated.runs} ran, ${repeated.repeated} ran more than once`,
		`switch of the preset: ${switched.trim()}`,
	);
	process.stdout.write(`${lines.join('\n')}\n`);
	return repeated.repeated === 0 && results.every(result => result.outcome === 'answered');
}

function hints(fleet: Fleet, entries: readonly Member[]): string {
	const body = '{"model":"notice-drafting","messages":[{"role":"user","content":"hello"}]}';
	return [
		`entries: ${entries.map(({port}) => `http://127.0.0.1:${port}`).join(' ')}`,
		`for the operators' program: --store http://127.0.0.1:${fleet.kvPort} --instances http://127.0.0.1:${fleet.listPort}`,
		`try: curl -s http://127.0.0.1:${entries[0].port}/v1/chat/completions -H 'x-organisation: ayamoni' -d '${body}'`,
		'stop with Ctrl-C',
		'',
	].join('\n');
}

async function main(): Promise<number> {
	const keep = process.argv.includes('--keep');
	const fleet = await startFleet({logFile: process.env.PAPAYAFLOW_DEMO_LOG});
	try {
		const {entries, plains} = await startAll(fleet);
		const isUp = await waitUntil(async () => {
			const ready = await Promise.all(entries.map(async entry => isReady(entry)));
			return ready.every(Boolean);
		}, readyTimeoutMs);
		if (!isUp) {
			process.stderr.write('the entries did not get ready\n');
			return 1;
		}

		const load = runLoad(entries);
		await sleep(rounds * roundPauseMs / 3);
		const switched = await mustSucceed(fleet, ['preset', 'use', 'peak']);
		await mustSucceed(fleet, ['drain', 'notice-2']);
		const isGood = report(await load, await countRepeated(plains), switched);
		process.stdout.write(isGood ? 'each caller got its own whole answer\n' : 'NOT each caller got its own whole answer\n');
		if (keep) {
			process.stdout.write(hints(fleet, entries));
			await new Promise(resolve => {
				process.once('SIGINT', resolve);
				process.once('SIGTERM', resolve);
			});
		}

		return isGood ? 0 : 1;
	} finally {
		await fleet.stop();
	}
}

process.exitCode = await main();

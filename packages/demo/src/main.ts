import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, startFleet, waitUntil, type Fleet, type FleetProcess,
} from './fleet.js';
import {requestCompletion, sendOrder, type RequestResult} from './load.js';
import {ordinaryPreset, peakPreset} from './presets.js';

const roundCount = 60;
const requestsPerRound = 10;
const roundIntervalMs = 20;
const zones = ['salt-lake', 'new-town', 'howrah'];
const readyTimeoutMs = 15_000;

/** Starts three model groups of two models, three replicas of a plain service, a sidecar for each of these six, and two entries. */
async function startDemoFleet(fleet: Fleet): Promise<{entries: readonly FleetProcess[]; engines: readonly FleetProcess[]; plains: readonly FleetProcess[]}> {
	const engines = await Promise.all([
		fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']),
		fleet.startTarget('engine', ['--model', 'pack-drafting', '--ranks', '4', '--ignores-fencing']),
		fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']),
	]);
	const plains = await Promise.all(zones.map(async () => fleet.startTarget('plain')));
	const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-demo-'));
	for (const [name, preset] of Object.entries({ordinary: ordinaryPreset, peak: peakPreset})) {
		const file = path.join(directory, `${name}.json`);
		await writeFile(file, JSON.stringify(preset));
		await runCommandOrThrow(fleet, ['preset', 'create', name, '--file', file]);
	}

	await runCommandOrThrow(fleet, ['preset', 'use', 'ordinary']);
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

async function runCommandOrThrow(fleet: Fleet, args: readonly string[]): Promise<string> {
	const {code, output} = await fleet.runOperatorCommand(args);
	if (code !== 0) {
		throw new Error(`papayaflow ${args.join(' ')} exited with code ${code}: ${output}`);
	}

	return output;
}

async function isReady(entry: FleetProcess): Promise<boolean> {
	const status = await ask(entry.adminPort, '/status');
	const links = (status?.links ?? []) as Array<{usable: boolean}>;
	return status?.inForce !== undefined && links.length >= 6 && links.every(link => link.usable);
}

async function runLoad(entries: readonly FleetProcess[]): Promise<readonly RequestResult[]> {
	const results: Array<Promise<RequestResult>> = [];
	for (let round = 0; round < roundCount; round++) {
		for (let i = 0; i < requestsPerRound; i++) {
			const {port} = entries[(round + i) % entries.length];
			const id = `demo-${round}-${i}`;
			switch (i % 5) {
				case 0: {
					// The same order is sent through both entries, as by a caller that retries.
					results.push(sendOrder(entries[0].port, id), sendOrder(entries[1].port, id));
					break;
				}

				case 1: {
					results.push(requestCompletion(port, 'pack-drafting', id, {organisation: 'tisza'}));
					break;
				}

				case 2: {
					results.push(requestCompletion(port, 'notice-drafting', id));
					break;
				}

				default: {
					results.push(requestCompletion(port, i % 2 === 0 ? 'pack-drafting' : 'notice-drafting', id, {isStream: true}));
				}
			}
		}

		await sleep(roundIntervalMs);
	}

	return Promise.all(results);
}

async function countExecutions(plains: readonly FleetProcess[]): Promise<{runs: number; repeated: number}> {
	const runsByOrder = new Map<string, number>();
	for (const plain of plains) {
		for (const [order, runs] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
			runsByOrder.set(order, (runsByOrder.get(order) ?? 0) + Number(runs));
		}
	}

	return {runs: [...runsByOrder.values()].reduce((sum, runs) => sum + runs, 0), repeated: [...runsByOrder.values()].filter(runs => runs > 1).length};
}

function report(results: readonly RequestResult[], executions: {runs: number; repeated: number}, switchOutput: string): boolean {
	const lines = ['kind      answered  not run  unknown  wrong  cut     p50 ms  p95 ms  p99 ms'];
	for (const kind of ['ordinary', 'streamed', 'keyed'] as const) {
		const ofKind = results.filter(result => result.kind === kind);
		const count = (outcome: RequestResult['outcome']): string => String(ofKind.filter(result => result.outcome === outcome).length);
		const sorted = ofKind.map(({ms}) => ms).toSorted((a, b) => a - b);
		const quantile = (q: number): string => (sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))] ?? 0).toFixed(1).padStart(6);
		const counts = [count('answered').padEnd(9), count('notRun').padEnd(8), count('unknown').padEnd(8), count('wrong').padEnd(6), count('cut').padEnd(6)];
		lines.push(`${kind.padEnd(9)} ${counts.join(' ')}  ${quantile(0.5)}  ${quantile(0.95)}  ${quantile(0.99)}`);
	}

	const countByReason = new Map<string, number>();
	for (const {reason} of results) {
		if (reason !== undefined) {
			countByReason.set(reason, (countByReason.get(reason) ?? 0) + 1);
		}
	}

	lines.push(
		`refused or unknown, by reason: ${[...countByReason].map(([reason, count]) => `${reason} ${count}`).join(', ') || 'none'}`,
		`non-idempotent calls: ${executions.runs} executed, ${executions.repeated} executed more than once`,
		`preset switch: ${switchOutput.trim()}`,
	);
	process.stdout.write(`${lines.join('\n')}\n`);
	return executions.repeated === 0 && results.every(result => result.outcome === 'answered');
}

function usageHints(fleet: Fleet, entries: readonly FleetProcess[]): string {
	const body = '{"model":"notice-drafting","messages":[{"role":"user","content":"hello"}]}';
	return [
		`entries: ${entries.map(({port}) => `http://127.0.0.1:${port}`).join(' ')}`,
		`flags for the operator's program: --store http://127.0.0.1:${fleet.kvPort} --instances http://127.0.0.1:${fleet.instanceListPort}`,
		`try: curl -s http://127.0.0.1:${entries[0].port}/v1/chat/completions -H 'x-organisation: ayamoni' -d '${body}'`,
		'stop with Ctrl-C',
		'',
	].join('\n');
}

async function main(): Promise<number> {
	const keepRunning = process.argv.includes('--keep');
	const fleet = await startFleet({logFile: process.env.PAPAYAFLOW_DEMO_LOG});
	try {
		const {entries, plains} = await startDemoFleet(fleet);
		const areReady = await waitUntil(async () => {
			const ready = await Promise.all(entries.map(async entry => isReady(entry)));
			return ready.every(Boolean);
		}, readyTimeoutMs);
		if (!areReady) {
			process.stderr.write('the entries had no configuration or no usable links in time\n');
			return 1;
		}

		const load = runLoad(entries);
		await sleep(roundCount * roundIntervalMs / 3);
		const switchOutput = await runCommandOrThrow(fleet, ['preset', 'use', 'peak']);
		await runCommandOrThrow(fleet, ['drain', 'notice-2']);
		const isEveryAnswerComplete = report(await load, await countExecutions(plains), switchOutput);
		process.stdout.write(isEveryAnswerComplete ? 'every request got its own complete answer\n' : 'NOT every request got its own complete answer\n');
		if (keepRunning) {
			process.stdout.write(usageHints(fleet, entries));
			await new Promise(resolve => {
				process.once('SIGINT', resolve);
				process.once('SIGTERM', resolve);
			});
		}

		return isEveryAnswerComplete ? 0 : 1;
	} finally {
		await fleet.stop();
	}
}

process.exitCode = await main();

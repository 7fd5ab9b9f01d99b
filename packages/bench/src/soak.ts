import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, sendOrder, ordinaryPreset, startFleet, waitUntil, type Fleet, type FleetProcess, type RequestResult,
} from '@papayaflow/demo';
import {quantile, seededRandom} from '@papayaflow/standins';

const distributionDirectory = path.resolve(import.meta.dirname, '../../../target');
const seed = Number(process.argv.at(2) ?? 1);
const soakMs = Number(process.argv.at(3) ?? 60_000);
const sendIntervalMs = 15;
const switchCount = 20;
const leaseMs = 1000;

type Replica = {readonly plain: FleetProcess; sidecar: FleetProcess};

/** A fault that the soak injects. */
type Fault = 'kill' | 'freeze' | 'loseAnswers' | 'storeDown' | 'cutAnswers' | 'terminate';

const faults: readonly Fault[] = ['kill', 'freeze', 'loseAnswers', 'storeDown', 'cutAnswers', 'terminate'];

async function injectFault(fault: Fault, replica: Replica, fleet: Fleet, name: string): Promise<void> {
	const replace = async (): Promise<void> => {
		const old = replica.sidecar;
		replica.sidecar = await fleet.startSidecar(name, 'a', {service: 'ledger', target: replica.plain});
		await fleet.unlist(old.id);
	};

	switch (fault) {
		case 'kill': {
			replica.sidecar.child.kill('SIGKILL');
			await replace();
			break;
		}

		case 'terminate': {
			replica.sidecar.child.kill('SIGTERM');
			await replace();
			break;
		}

		case 'freeze': {
			replica.sidecar.child.kill('SIGSTOP');
			await sleep(2 * leaseMs);
			replica.sidecar.child.kill('SIGCONT');
			break;
		}

		case 'loseAnswers': {
			await fleet.setFaults(fleet.kvPort, {loseAnswers: 5});
			break;
		}

		case 'storeDown': {
			await fleet.setFaults(fleet.kvPort, {down: true});
			await sleep(1.5 * leaseMs);
			await fleet.setFaults(fleet.kvPort, {down: false});
			break;
		}

		case 'cutAnswers': {
			await fleet.setFaults(replica.plain.port, {cutAnswers: 3});
			break;
		}
	}
}

const random = seededRandom(seed);
const fleet = await startFleet({dist: distributionDirectory, args: ['--log-level', 'warn', '--config-poll-ms', '1000', '--instances-interval-ms', '300', '--store-timeout-ms', '500']});
const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-soak-'));
for (const name of ['ordinary', 'peak']) {
	const file = path.join(directory, `${name}.json`);
	await writeFile(file, JSON.stringify({...ordinaryPreset, idempotency: {leaseMs}, timeouts: {idleMs: 2000}}));
	await fleet.runOperatorCommand(['preset', 'create', name, '--file', file]);
}

await fleet.runOperatorCommand(['preset', 'use', 'ordinary']);
const replicas: Replica[] = await Promise.all([0, 1, 2].map(async index => {
	const plain = await fleet.startTarget('plain');
	return {plain, sidecar: await fleet.startSidecar(`ledger-${index}`, 'abc'[index], {service: 'ledger', target: plain})};
}));
const entries = await Promise.all([fleet.startEntry('entry-1', 'a'), fleet.startEntry('entry-2', 'b')]);
await waitUntil(async () => {
	const statuses = await Promise.all(entries.map(async ({adminPort}) => ask(adminPort, '/status')));
	return statuses.every(status => ((status?.links ?? []) as Array<{usable: boolean}>).filter(({usable}) => usable).length === 3);
}, 20_000);

const switchDurationsMs: number[] = [];
for (let i = 0; i < switchCount; i++) {
	const {output} = await fleet.runOperatorCommand(['preset', 'use', i % 2 === 0 ? 'peak' : 'ordinary', '--json']);
	switchDurationsMs.push((JSON.parse(output) as {inForceAfterMs: number}).inForceAfterMs);
}

const countByFault = new Map<Fault, number>();
let isOver = false;
const injectFaultsUntilOver = async (): Promise<void> => {
	for (let round = 0; !isOver; round++) {
		const fault = faults[Math.floor(random() * faults.length)];
		await injectFault(fault, replicas[Math.floor(random() * replicas.length)], fleet, `ledger-new-${round}`);
		countByFault.set(fault, (countByFault.get(fault) ?? 0) + 1);
		await sleep(300 + (random() * 1200));
	}
};

const faultInjection = injectFaultsUntilOver();
const sent: Array<Promise<RequestResult>> = [];
const untilMs = Date.now() + soakMs;
for (let order = 0; Date.now() < untilMs; order++) {
	for (const entry of entries) {
		sent.push(sendOrder(entry.port, `soak-${order}`, {deadlineMs: 6000}));
	}

	await sleep(sendIntervalMs);
}

isOver = true;
await faultInjection;
const results = await Promise.all(sent);
const runs = new Map<string, number>();
for (const {plain} of replicas) {
	for (const [order, count] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
		runs.set(order, (runs.get(order) ?? 0) + Number(count));
	}
}

const byOrder = new Map<string, RequestResult[]>();
for (const result of results) {
	byOrder.set(result.order ?? '', [...byOrder.get(result.order ?? '') ?? [], result]);
}

const repeatedCount = [...runs.values()].filter(count => count > 1).length;
const falselyRefusedCount = [...byOrder].filter(([order, all]) => runs.has(order) && all.every(({outcome}) => outcome === 'notRun')).length;
const lostCount = [...byOrder].filter(([order, all]) => !runs.has(order) && all.some(({outcome}) => outcome === 'answered')).length;
const count = (outcome: RequestResult['outcome']): number => results.filter(result => result.outcome === outcome).length;
process.stdout.write([
	`seed ${seed}, ${soakMs} ms, faults: ${[...countByFault].map(([name, times]) => `${name} ${times}`).join(', ')}`,
	`${byOrder.size} keys, each sent to both entries: ${runs.size} ran, ${repeatedCount} more than once, ${falselyRefusedCount} although every answer was "not run", ${lostCount} answered but not run`,
	`requests: ${count('answered')} answered, ${count('notRun')} not run, ${count('unknown')} unknown, ${count('wrong') + count('cut')} with a cut or wrong answer`,
	`time to an answer: p50 ${quantile(results.map(({ms}) => ms), 0.5).toFixed(0)} ms, p99 ${quantile(results.map(({ms}) => ms), 0.99).toFixed(0)} ms`,
	`switch in force on 5 processes: median ${quantile(switchDurationsMs, 0.5).toFixed(0)} ms, worst ${Math.max(...switchDurationsMs)} ms of ${switchCount}`,
	`${repeatedCount + falselyRefusedCount + lostCount === 0 ? 1 : 0} passed, ${repeatedCount + falselyRefusedCount + lostCount === 0 ? 0 : 1} failed`,
	'',
].join('\n'));
await fleet.stop();
process.exit(repeatedCount + falselyRefusedCount + lostCount === 0 ? 0 : 1);

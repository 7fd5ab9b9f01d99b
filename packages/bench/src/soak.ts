import {mkdtemp, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ask, orderOnce, ordinary, startFleet, waitUntil, type Fleet, type Member, type Result,
} from '@papayaflow/demo';
import {quantile, seededRandom} from '@papayaflow/standins';

const distribution = path.resolve(import.meta.dirname, '../../../target');
const seed = Number(process.argv.at(2) ?? 1);
const soakMs = Number(process.argv.at(3) ?? 60_000);
const gapMs = 15;
const switches = 20;
const leaseMs = 1000;

type Slot = {readonly plain: Member; sidecar: Member};

/** One failure of the soak, by its name. */
type Failure = 'kill' | 'freeze' | 'loseAnswers' | 'storeDown' | 'cutAnswers' | 'terminate';

const failures: readonly Failure[] = ['kill', 'freeze', 'loseAnswers', 'storeDown', 'cutAnswers', 'terminate'];

async function fail(failure: Failure, slot: Slot, fleet: Fleet, name: string): Promise<void> {
	const replace = async (): Promise<void> => {
		const old = slot.sidecar;
		slot.sidecar = await fleet.startSidecar(name, 'a', {service: 'ledger', target: slot.plain});
		await fleet.unlist(old.id);
	};

	switch (failure) {
		case 'kill': {
			slot.sidecar.child.kill('SIGKILL');
			await replace();
			break;
		}

		case 'terminate': {
			slot.sidecar.child.kill('SIGTERM');
			await replace();
			break;
		}

		case 'freeze': {
			slot.sidecar.child.kill('SIGSTOP');
			await sleep(2 * leaseMs);
			slot.sidecar.child.kill('SIGCONT');
			break;
		}

		case 'loseAnswers': {
			await fleet.fault(fleet.kvPort, {loseAnswers: 5});
			break;
		}

		case 'storeDown': {
			await fleet.fault(fleet.kvPort, {down: true});
			await sleep(1.5 * leaseMs);
			await fleet.fault(fleet.kvPort, {down: false});
			break;
		}

		case 'cutAnswers': {
			await fleet.fault(slot.plain.port, {cutAnswers: 3});
			break;
		}
	}
}

const random = seededRandom(seed);
const fleet = await startFleet({dist: distribution, args: ['--log-level', 'warn', '--config-poll-ms', '1000', '--instances-interval-ms', '300', '--store-timeout-ms', '500']});
const directory = await mkdtemp(path.join(tmpdir(), 'papayaflow-soak-'));
for (const name of ['ordinary', 'peak']) {
	const file = path.join(directory, `${name}.json`);
	await writeFile(file, JSON.stringify({...ordinary, idempotency: {leaseMs}, timeouts: {idleMs: 2000}}));
	await fleet.operate(['preset', 'create', name, '--file', file]);
}

await fleet.operate(['preset', 'use', 'ordinary']);
const slots: Slot[] = await Promise.all([0, 1, 2].map(async index => {
	const plain = await fleet.startTarget('plain');
	return {plain, sidecar: await fleet.startSidecar(`ledger-${index}`, 'abc'[index], {service: 'ledger', target: plain})};
}));
const entries = await Promise.all([fleet.startEntry('entry-1', 'a'), fleet.startEntry('entry-2', 'b')]);
await waitUntil(async () => {
	const statuses = await Promise.all(entries.map(async ({adminPort}) => ask(adminPort, '/status')));
	return statuses.every(status => ((status?.links ?? []) as Array<{usable: boolean}>).filter(({usable}) => usable).length === 3);
}, 20_000);

const spreadMs: number[] = [];
for (let i = 0; i < switches; i++) {
	const {output} = await fleet.operate(['preset', 'use', i % 2 === 0 ? 'peak' : 'ordinary', '--json']);
	spreadMs.push((JSON.parse(output) as {inForceAfterMs: number}).inForceAfterMs);
}

const counts = new Map<Failure, number>();
let isOver = false;
const failUntilOver = async (): Promise<void> => {
	for (let round = 0; !isOver; round++) {
		const failure = failures[Math.floor(random() * failures.length)];
		await fail(failure, slots[Math.floor(random() * slots.length)], fleet, `ledger-new-${round}`);
		counts.set(failure, (counts.get(failure) ?? 0) + 1);
		await sleep(300 + (random() * 1200));
	}
};

const failing = failUntilOver();
const sent: Array<Promise<Result>> = [];
const untilMs = Date.now() + soakMs;
for (let order = 0; Date.now() < untilMs; order++) {
	for (const entry of entries) {
		sent.push(orderOnce(entry.port, `soak-${order}`, {deadlineMs: 6000}));
	}

	await sleep(gapMs);
}

isOver = true;
await failing;
const results = await Promise.all(sent);
const runs = new Map<string, number>();
for (const {plain} of slots) {
	for (const [order, count] of Object.entries(await ask(plain.port, '/ledger') ?? {})) {
		runs.set(order, (runs.get(order) ?? 0) + Number(count));
	}
}

const byOrder = new Map<string, Result[]>();
for (const result of results) {
	byOrder.set(result.order ?? '', [...byOrder.get(result.order ?? '') ?? [], result]);
}

const doubled = [...runs.values()].filter(count => count > 1).length;
const falselyRefused = [...byOrder].filter(([order, all]) => runs.has(order) && all.every(({outcome}) => outcome === 'notRun')).length;
const lost = [...byOrder].filter(([order, all]) => !runs.has(order) && all.some(({outcome}) => outcome === 'answered')).length;
const count = (outcome: Result['outcome']): number => results.filter(result => result.outcome === outcome).length;
process.stdout.write([
	`seed ${seed}, ${soakMs} ms, failures: ${[...counts].map(([name, times]) => `${name} ${times}`).join(', ')}`,
	`${byOrder.size} keys, each sent by both entries: ${runs.size} ran, ${doubled} ran more than once, ${falselyRefused} ran though each arrival was told "not run", ${lost} answered and not run`,
	`arrivals: ${count('answered')} answered, ${count('notRun')} not run, ${count('unknown')} unknown, ${count('wrong') + count('cut')} without an answer of their own`,
	`time to an answer: p50 ${quantile(results.map(({ms}) => ms), 0.5).toFixed(0)} ms, p99 ${quantile(results.map(({ms}) => ms), 0.99).toFixed(0)} ms`,
	`switch in force on 5 processes: median ${quantile(spreadMs, 0.5).toFixed(0)} ms, worst ${Math.max(...spreadMs)} ms of ${switches}`,
	`${doubled + falselyRefused + lost === 0 ? 1 : 0} passed, ${doubled + falselyRefused + lost === 0 ? 0 : 1} failed`,
	'',
].join('\n'));
await fleet.stop();
process.exit(doubled + falselyRefused + lost === 0 ? 0 : 1);

import process from 'node:process';
import {createDispenser, ownedTargets, type Dispenser} from '@papayaflow/limit';
import {encodeFrame} from '@papayaflow/peer';
import {type TargetRecord} from '@papayaflow/routing';
import {seededRandom} from '@papayaflow/standins';
import {type Log, type Metrics} from '@papayaflow/telemetry';

const entryCounts = [14, 100, 370];
const engineCount = 787;
const plainCounts = [3, 30, 100];
const simulatedMs = 120_000;
const stepMs = 10;
const target = {id: 'i-7f3a91c2', incarnation: 1_700_000_000_000};

// Logging and counting are left out, so that the decisions alone are measured.
const noMetrics = {count: () => undefined} as unknown as Metrics;
const noLog = {info: () => undefined} as unknown as Log;

function createOwner(monotonicMs: () => number): Dispenser {
	const dispenser = createDispenser({
		announce: () => undefined, monotonicMs, random: seededRandom(1), metrics: noMetrics, log: noLog,
	});
	dispenser.setOwned(new Map([[target.id, {incarnation: target.incarnation, isBeside: true}]]));
	return dispenser;
}

/** Lets entries that all have work compete for one request a second, in virtual time; prints the asks and grants a second. */
function measureCompetition(): void {
	for (const count of entryCounts) {
		let nowMs = 0;
		const dispenser = createOwner(() => nowMs);
		const nextMs = Array.from({length: count}, () => 0);
		let asks = 0;
		let grants = 0;
		for (; nowMs < simulatedMs; nowMs += stepMs) {
			for (const [entry, atMs] of nextMs.entries()) {
				if (atMs > nowMs) {
					continue;
				}

				const {isGranted, retryMs} = dispenser.ask(`entry-${entry}`, {id: 'r', target, perSecond: 1});
				nextMs[entry] = nowMs + retryMs;
				asks++;
				grants += isGranted ? 1 : 0;
			}
		}

		const perSecond = (times: number): string => (times * 1000 / simulatedMs).toFixed(2);
		process.stdout.write(`${count} entries that compete for 1 request a second: ${perSecond(asks)} asks and ${perSecond(grants)} grants a second\n`);
	}
}

function measureDecision(): void {
	const dispenser = createOwner(() => performance.now());
	const times = 20_000;
	const startedMs = performance.now();
	for (let i = 0; i < times; i++) {
		dispenser.ask(`entry-${i % 14}`, {id: 'r', target, perSecond: 1000});
	}

	process.stdout.write(`one decision, without its metric and log line: ${((performance.now() - startedMs) * 1000 / times).toFixed(1)} µs\n`);
}

function measureOwnership(): void {
	const recordOf = (service: string, index: number): TargetRecord => ({
		id: `${service}-${index}`, incarnation: 1, registeredAt: 1, service, host: `10.0.${index >> 8}.${index & 255}`, port: 8000, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
	});
	for (const plains of plainCounts) {
		const targets = [
			...Array.from({length: engineCount}, (_, index) => recordOf('llm', index)),
			...Array.from({length: plains}, (_, index) => recordOf('ledger', index)),
		];
		const times = 50;
		const startedMs = performance.now();
		for (let i = 0; i < times; i++) {
			ownedTargets('10.0.0.0:8000', {targets, isEngine: ({service}) => service === 'llm'});
		}

		process.stdout.write(`owned targets of ${engineCount} engines and ${plains} plain targets: ${((performance.now() - startedMs) / times).toFixed(2)} ms\n`);
	}
}

/**
Measures what the limits of targets cost: asks and grants of competing entries, the time
of a decision and of a change of the list of targets, and the frames.

@example
measureTargetLimits();
*/
export function measureTargetLimits(): void {
	measureCompetition();
	measureDecision();
	measureOwnership();
	const id = '9c41d07be2a35f68/12';
	const sizes = {
		askPermit: encodeFrame({
			kind: 'askPermit', id, target, perSecond: 1.5,
		}).length,
		permit: encodeFrame({
			kind: 'permit', id, isGranted: false, retryMs: 812.25,
		}).length,
		limit: encodeFrame({kind: 'limit', limit: {target, perSecond: 1.5, version: 3}}).length,
		limitSeen: encodeFrame({kind: 'limitSeen', seen: {target, perSecond: 1.5, basis: 2}}).length,
	};
	process.stdout.write(`frames: ${Object.entries(sizes).map(([kind, bytes]) => `${kind} ${bytes} B`).join(', ')}\n`);
}

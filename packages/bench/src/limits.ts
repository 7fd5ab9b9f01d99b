import {createAdmission} from '@papayaflow/sidecar';
import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {createEventQueue} from './events.js';

const concurrencyLimit = 32;
const msPerToken = 4.5;
const meanTokens = 200;
const deadlineMs = 4000;
const endMs = 120_000;
const warmUpMs = 20_000;
const neverAborted = new AbortController().signal;

/** The figures of one target under one load. */
export type LimitsRun = {
	/** Answers before their deadline, per second. */
	readonly goodput: number;
	/** Refused requests per second. */
	readonly refused: number;
	/** Answers after their deadline, per second. */
	readonly tooLate: number;
	/** The p95 time to the complete answer for the organisation `small`, in milliseconds. */
	readonly smallP95Ms: number;
	/** The share of requests of the organisation `small` that were answered before their deadline. */
	readonly smallInTimeRatio: number;
};

export type OfferedLoad = {
	/** The total load as a multiple of the capacity of the target. */
	readonly load: number;
	/** The part of `load` that the organisation `small` sends, as a multiple of the capacity. */
	readonly small: number;
};

/** Admits a request: resolves to a function that releases its slot, or to `undefined` when the request is refused. */
type AdmissionGate = (request: {organisation: string; cost: number; deadlineMs: number}) => Promise<((answered: boolean) => void) | undefined>;

/**
Sends a load to one target in virtual time. The kind `ours` uses the admission of the
sidecar; the baseline is an unbounded first-in, first-out queue.
*/
export async function runLimits(kind: 'ours' | 'in order of arrival', {load, small}: OfferedLoad, seed: number): Promise<LimitsRun> {
	const random = seededRandom(seed);
	const events = createEventQueue();
	const gate = kind === 'ours' ? createProductGate(() => events.nowMs) : createFifoGate();
	const capacityPerMs = concurrencyLimit / (meanTokens * msPerToken);
	const smallLatenciesMs: number[] = [];
	let goodCount = 0;
	let refusedCount = 0;
	let tooLateCount = 0;
	let smallSentCount = 0;
	let smallGoodCount = 0;

	const send = async (organisation: string): Promise<void> => {
		const arrivedMs = events.nowMs;
		const isMeasured = arrivedMs >= warmUpMs && arrivedMs < endMs - deadlineMs;
		const tokens = Math.min(4 * meanTokens, 1 + Math.floor(exponential(random) * meanTokens));
		smallSentCount += isMeasured && organisation === 'small' ? 1 : 0;
		const release = await gate({organisation, cost: tokens, deadlineMs: arrivedMs + deadlineMs});
		if (!release) {
			refusedCount += isMeasured ? 1 : 0;
			return;
		}

		events.at(events.nowMs + (tokens * msPerToken), () => {
			release(true);
			const ms = events.nowMs - arrivedMs;
			const isGood = ms <= deadlineMs;
			if (!isMeasured) {
				return;
			}

			goodCount += isGood ? 1 : 0;
			tooLateCount += isGood ? 0 : 1;
			if (organisation === 'small') {
				smallLatenciesMs.push(ms);
				smallGoodCount += isGood ? 1 : 0;
			}
		});
	};

	const scheduleArrivals = (organisation: string, ratePerMs: number): void => {
		if (ratePerMs > 0) {
			events.at(events.nowMs + (exponential(random) / ratePerMs), () => {
				void send(organisation);
				scheduleArrivals(organisation, ratePerMs);
			});
		}
	};

	scheduleArrivals('small', capacityPerMs * small);
	scheduleArrivals('flood', capacityPerMs * (load - small));
	await events.runUntilAsync(endMs);
	const seconds = (endMs - deadlineMs - warmUpMs) / 1000;
	return {
		goodput: goodCount / seconds, refused: refusedCount / seconds, tooLate: tooLateCount / seconds, smallP95Ms: quantile(smallLatenciesMs, 0.95), smallInTimeRatio: smallGoodCount / smallSentCount,
	};
}

function createProductGate(monotonicMs: () => number): AdmissionGate {
	const admission = createAdmission({concurrency: () => concurrencyLimit, queueLimit: () => 256, monotonicMs});
	return async ({organisation, cost, deadlineMs: requestDeadlineMs}) => {
		const admitted = await admission.admit({
			organisation, weight: 1, priority: 5, cost, deadlineMs: requestDeadlineMs, signal: neverAborted,
		});
		return admitted.kind === 'admitted' ? admitted.release : undefined;
	};
}

function createFifoGate(): AdmissionGate {
	let running = 0;
	const waiting: Array<() => void> = [];
	const release = (): void => {
		const next = waiting.shift();
		if (next) {
			next();
		} else {
			running--;
		}
	};

	return async () => {
		if (running < concurrencyLimit) {
			running++;
			return release;
		}

		await new Promise<void>(resolve => {
			waiting.push(resolve);
		});
		return release;
	};
}

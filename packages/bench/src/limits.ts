import {createAdmission} from '@papayaflow/sidecar';
import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {createEvents} from './events.js';

const places = 32;
const msPerToken = 4.5;
const meanTokens = 200;
const deadlineMs = 4000;
const endMs = 120_000;
const warmUpMs = 20_000;
const never = new AbortController().signal;

/** What a load came to at one target. */
export type LimitsRun = {
	/** Answers within their deadline, a second. */
	readonly goodput: number;
	readonly refused: number;
	/** Answers that came after their deadline, a second. */
	readonly tooLate: number;
	/** The p95 time to the whole answer of the organisation `small`, in milliseconds. */
	readonly smallP95: number;
	/** The part of the small organisation's requests that were answered in time. */
	readonly smallShare: number;
};

export type Offered = {
	/** The whole load over the capacity of the target. */
	readonly load: number;
	/** The load of the organisation `small` over the capacity, a part of it. */
	readonly small: number;
};

/** Lets a request in: resolves with what ends its place, or `undefined` when it is refused. */
type Gate = (request: {organisation: string; cost: number; deadlineMs: number}) => Promise<((answered: boolean) => void) | undefined>;

/**
Offers one target more or less than it can serve, in virtual time. Baseline is a
queue in the order of arrival without limits.
*/
export async function runLimits(kind: 'ours' | 'in order of arrival', {load, small}: Offered, seed: number): Promise<LimitsRun> {
	const random = seededRandom(seed);
	const events = createEvents();
	const gate = kind === 'ours' ? ourGate(() => events.nowMs) : orderedGate();
	const capacityPerMs = places / (meanTokens * msPerToken);
	const took: number[] = [];
	let good = 0;
	let refused = 0;
	let tooLate = 0;
	let smallSent = 0;
	let smallGood = 0;

	const send = async (organisation: string): Promise<void> => {
		const arrivedMs = events.nowMs;
		const isMeasured = arrivedMs >= warmUpMs && arrivedMs < endMs - deadlineMs;
		const tokens = Math.min(4 * meanTokens, 1 + Math.floor(exponential(random) * meanTokens));
		smallSent += isMeasured && organisation === 'small' ? 1 : 0;
		const release = await gate({organisation, cost: tokens, deadlineMs: arrivedMs + deadlineMs});
		if (!release) {
			refused += isMeasured ? 1 : 0;
			return;
		}

		events.at(events.nowMs + (tokens * msPerToken), () => {
			release(true);
			const ms = events.nowMs - arrivedMs;
			const isGood = ms <= deadlineMs;
			if (!isMeasured) {
				return;
			}

			good += isGood ? 1 : 0;
			tooLate += isGood ? 0 : 1;
			if (organisation === 'small') {
				took.push(ms);
				smallGood += isGood ? 1 : 0;
			}
		});
	};

	const arrive = (organisation: string, ratePerMs: number): void => {
		if (ratePerMs > 0) {
			events.at(events.nowMs + (exponential(random) / ratePerMs), () => {
				void send(organisation);
				arrive(organisation, ratePerMs);
			});
		}
	};

	arrive('small', capacityPerMs * small);
	arrive('flood', capacityPerMs * (load - small));
	await events.runUntilAsync(endMs);
	const seconds = (endMs - deadlineMs - warmUpMs) / 1000;
	return {
		goodput: good / seconds, refused: refused / seconds, tooLate: tooLate / seconds, smallP95: quantile(took, 0.95), smallShare: smallGood / smallSent,
	};
}

function ourGate(monotonicMs: () => number): Gate {
	const admission = createAdmission({concurrency: () => places, queueLimit: () => 256, monotonicMs});
	return async ({organisation, cost, deadlineMs: until}) => {
		const admitted = await admission.admit({
			organisation, weight: 1, priority: 5, cost, deadlineMs: until, signal: never,
		});
		return admitted.kind === 'admitted' ? admitted.release : undefined;
	};
}

function orderedGate(): Gate {
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
		if (running < places) {
			running++;
			return release;
		}

		await new Promise<void>(resolve => {
			waiting.push(resolve);
		});
		return release;
	};
}

import {predictPassMs, type PassModel} from './pass-time.js';

/** The limit on the predicted pass time, as a ratio of the longest allowed pause between two events of a stream. The rest covers the delivery of an event and the prediction error; a higher value makes streams late. */
export const maxPassToGapRatio = 0.82;

/** The part of its answer that a running request has written on average, as a ratio. */
const meanProgressRatio = 0.5;

export type BalancedLoad = {
	/** For each rank, whether it runs requests; the experts of the others work for them all the same. */
	readonly ranks: readonly boolean[];
	readonly usualAnswerTokens: number;
	/** The ratio of the greatest to the mean expert load of a rank. */
	readonly skew: number;
	/** The ratio of the measured to the predicted pass time; 1 by default. */
	readonly slowdown?: number;
};

export type GroupCapacityOptions = BalancedLoad & {
	/** The most requests that one rank decodes at once. */
	readonly slots: number;
	/** The longest pause between two events that is on time, in milliseconds. */
	readonly gapMs: number;
};

/**
Predicts the pass time for `count` decoding requests of average progress, spread evenly
over the ranks that run requests, in milliseconds.

@example
balancedPassMs(model, 72, {ranks: Array.from({length: 24}, () => true), usualAnswerTokens: 138, skew: 1.2});
*/
export function balancedPassMs(model: PassModel, count: number, {ranks, usualAnswerTokens, skew, slowdown = 1}: BalancedLoad): number {
	const perRank = count / ranks.filter(Boolean).length;
	const work = ranks.map(isRunning => ({
		decodingRequests: isRunning ? perRank : 0, contextTokens: isRunning ? perRank * usualAnswerTokens * meanProgressRatio : 0, prefillTokens: 0,
	}));
	return slowdown * predictPassMs(model, work, skew);
}

/**
Returns how many requests, spread evenly over the ranks that run some, can decode at once
with passes that keep their streams on time. At least one for each of these ranks.

@example
groupCapacity(model, {ranks: Array.from({length: 24}, () => true), slots: 7, usualAnswerTokens: 138, skew: 3, gapMs: 120}); // 72
*/
export function groupCapacity(model: PassModel, {slots, gapMs, ...load}: GroupCapacityOptions): number {
	const ranks = load.ranks.filter(Boolean).length;
	const maxRequests = ranks * slots;
	for (let count = ranks; count <= maxRequests; count += ranks) {
		if (balancedPassMs(model, count, load) > maxPassToGapRatio * gapMs) {
			return Math.max(ranks, count - ranks);
		}
	}

	return maxRequests;
}

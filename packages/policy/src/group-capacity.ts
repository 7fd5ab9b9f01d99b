import {predictPassMs, type PassModel} from './pass-time.js';

/** The limit on the predicted pass time, as a ratio of the longest allowed pause between two events of a stream. The rest covers the delivery of an event and the prediction error; a higher value makes streams late. */
const maxPassToGapRatio = 0.82;

/** The part of its answer that a running request has written on average, as a ratio. */
const meanProgressRatio = 0.5;

/**
Returns the longest predicted pass that keeps streams on time, in milliseconds. `gapMs` is
the longest pause between two of their events that is on time, in milliseconds.

@example
onTimePassMs(120); // 98.4
*/
export function onTimePassMs(gapMs: number): number {
	return maxPassToGapRatio * gapMs;
}

export type BalancedLoad = {
	/** For each rank, whether it runs requests; the experts of the others work for them all the same. */
	readonly ranks: readonly boolean[];
	readonly usualAnswerTokens: number;
	/** The ratio of the greatest to the mean expert load of a rank. */
	readonly skew: number;
	/** The ratio of the measured to the predicted pass time; 1 by default. */
	readonly slowdown?: number;
	/** The prompt tokens that one of the ranks prefills in the pass; 0 by default. */
	readonly prefillTokens?: number;
};

export type GroupCapacityOptions = BalancedLoad & {
	/** The most requests that one rank decodes at once. */
	readonly slots: number;
	/** The longest pass, in milliseconds. */
	readonly maxPassMs: number;
};

/**
Predicts the pass time for `count` decoding requests of average progress, spread evenly
over the ranks that run requests, in milliseconds.

@example
balancedPassMs(model, 72, {ranks: Array.from({length: 24}, () => true), usualAnswerTokens: 138, skew: 1.2});
*/
export function balancedPassMs(model: PassModel, count: number, {ranks, usualAnswerTokens, skew, slowdown = 1, prefillTokens = 0}: BalancedLoad): number {
	const perRank = count / ranks.filter(Boolean).length;
	const prefilling = ranks.indexOf(true);
	const work = ranks.map((isRunning, rank) => ({
		decodingRequests: isRunning ? perRank : 0, contextTokens: isRunning ? perRank * usualAnswerTokens * meanProgressRatio : 0, prefillTokens: rank === prefilling ? prefillTokens : 0,
	}));
	return slowdown * predictPassMs(model, work, skew);
}

/**
Returns how many requests, spread evenly over the ranks that run some, can decode at once
with passes of at most `maxPassMs`. At least one for each of these ranks.

@example
groupCapacity(model, {ranks: Array.from({length: 24}, () => true), slots: 7, usualAnswerTokens: 138, skew: 3, maxPassMs: onTimePassMs(120)}); // 72
*/
export function groupCapacity(model: PassModel, {slots, maxPassMs, ...load}: GroupCapacityOptions): number {
	const ranks = load.ranks.filter(Boolean).length;
	const maxRequests = ranks * slots;
	for (let count = ranks; count <= maxRequests; count += ranks) {
		if (balancedPassMs(model, count, load) > maxPassMs) {
			return Math.max(ranks, count - ranks);
		}
	}

	return maxRequests;
}

/**
Returns the number of passes that a stream takes: one that prefills its prompt, and those
that decode its answer of `answerTokens` tokens.

@example
passesOfStream({...model, stepsPerPass: 4}, 138); // 35.5
*/
export function passesOfStream({stepsPerPass}: Pick<PassModel, 'stepsPerPass'>, answerTokens: number): number {
	return (answerTokens / stepsPerPass) + prefillPasses;
}

/**
Returns how many requests, spread evenly over the ranks that run some, end per second while
the group runs as many as its passes of at most `maxPassMs` and its slots allow; 0 if
a pass with one request and the prefill of `prefillTokens` takes longer.

@example
streamsPerSecond(model, {ranks: Array.from({length: 24}, () => true), slots: 7, usualAnswerTokens: 138, skew: 3, maxPassMs: onTimePassMs(120), prefillTokens: 900});
*/
export function streamsPerSecond(model: PassModel, {slots, maxPassMs, ...load}: GroupCapacityOptions): number {
	const fits = (count: number): boolean => balancedPassMs(model, count, load) <= maxPassMs;
	let count = 0;
	// The pass time grows with the count, so the largest one that fits is found by bisection.
	for (let above = (load.ranks.filter(Boolean).length * slots) + 1; above - count > 1;) {
		const middle = Math.floor((count + above) / 2);
		if (fits(middle)) {
			count = middle;
		} else {
			above = middle;
		}
	}

	return count === 0 ? 0 : count * msPerSecond / (balancedPassMs(model, count, load) * passesOfStream(model, load.usualAnswerTokens));
}

const prefillPasses = 1;
const msPerSecond = 1000;

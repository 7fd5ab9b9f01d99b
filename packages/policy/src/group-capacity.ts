import {predictPassMs, type PassModel} from './pass-time.js';

/** The limit on the predicted pass time, as a ratio of the longest pause that streams allow; the rest covers the delivery of an event. */
const maxPassToGapRatio = 0.82;

/** The part of its answer that a running request has written on average, as a ratio. */
const meanProgressRatio = 0.5;

export type GroupCapacityOptions = {
	readonly ranks: number;
	/** The most requests that one rank decodes at once. */
	readonly slots: number;
	readonly usualAnswerTokens: number;
	/** The ratio of the greatest to the mean expert load of a rank. */
	readonly skew: number;
	/** The longest pause between two events that is on time, in milliseconds. */
	readonly gapMs: number;
};

/**
Returns how many requests, spread evenly over the ranks of a group, can decode at once
with passes that keep their streams on time. At least one per rank.

@example
groupCapacity(model, {ranks: 24, slots: 7, usualAnswerTokens: 138, skew: 3, gapMs: 120}); // 72
*/
export function groupCapacity(model: PassModel, {ranks, slots, usualAnswerTokens, skew, gapMs}: GroupCapacityOptions): number {
	for (let perRank = 1; perRank <= slots; perRank++) {
		const work = Array.from({length: ranks}, () => ({decodingRequests: perRank, contextTokens: perRank * usualAnswerTokens * meanProgressRatio, prefillTokens: 0}));
		if (predictPassMs(model, work, skew) > maxPassToGapRatio * gapMs) {
			return ranks * Math.max(1, perRank - 1);
		}
	}

	return ranks * slots;
}

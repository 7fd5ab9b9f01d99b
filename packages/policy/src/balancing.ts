/** The ratio of the pass time to the longest one that keeps streams on time, up to which a lower skew makes no stream more punctual. */
const shortPassRatio = 0.5;

/** The ratio from which a lower skew is worth its full gain. Bursts and prefills lengthen the next passes, so it is below 1. */
const longPassRatio = 0.8;

/**
Returns how much a lower skew is worth, from 0 to 1, for the ratio of a group's pass
time to the longest pass time that keeps its streams on time; 1 while that is not known.

Load pattern: demand shifts every few seconds while a group is lightly loaded. Its
passes are short enough with any map, and copies of experts would slow them for nothing.

@example
balancingNeed(0.4); // 0: every stream is on time with the present map.
*/
export function balancingNeed(passRatio: number | undefined): number {
	return passRatio === undefined ? 1 : Math.min(1, Math.max(0, (passRatio - shortPassRatio) / (longPassRatio - shortPassRatio)));
}

/** The approximate part of a stream's worth that is lost when a pause makes it late, as a ratio. */
export const lateStreamLossRatio = 0.5;

/** The memory of what each limit earns, in milliseconds. A group that refuses until its passes are short enough serves few others meanwhile, so a short deviation must not decide. */
const memoryMs = 1000;

/** By which ratio another limit must earn more than the current one to replace it. */
const minGainRatio = 0.1;

/** The compared limits, by the part of the streams that they make late, from 0 to 1. With passes as long as the allowed pause, about all are late. */
const latenesses = [0, 0.5, 1];

/** Chooses how late a group makes its streams. */
export type LatenessChoice = {
	/** Compares the limits anew by the streams that end per second with each, and returns the part of the streams that the best one makes late, from 0 to 1. */
	choose(streamsPerSecond: (lateness: number) => number): number;
};

/**
Creates a choice that begins with streams on time. A limit on the pass earns the rate at
which streams end, each with its worth: one that is late is worth about half of one that is
on time, one that is refused nothing. So the passes may be longer than streams on time allow if
far fewer could be served otherwise.

Load pattern: every pass takes longer than the longest one that keeps streams on time,
whatever runs, for as long as the machines of the group are busy.

@example
const choice = createLatenessChoice(() => performance.now());
choice.choose(lateness => lateness < 1 ? 7 : 8); // 0, since eight late streams are worth less than seven on time
*/
export function createLatenessChoice(nowMs: () => number): LatenessChoice {
	const earned = latenesses.map(() => 0);
	let chosen = 0;
	let lastMs = nowMs();
	return {
		choose(streamsPerSecond) {
			const weight = 1 - Math.exp((lastMs - nowMs()) / memoryMs);
			lastMs = nowMs();
			for (const [index, lateness] of latenesses.entries()) {
				earned[index] += weight * ((streamsPerSecond(lateness) * (1 - (lateStreamLossRatio * lateness))) - earned[index]);
			}

			const best = earned.indexOf(Math.max(...earned));
			if (earned[best] > (1 + minGainRatio) * earned[chosen]) {
				chosen = best;
			}

			return latenesses[chosen];
		},
	};
}

import {
	spreadExpertsInSteps, type LayerLoad, type Spread, type SpreadOptions,
} from '@papayaflow/policy';

/** How long a plan is worked on before other work of the process gets its turn, in milliseconds. Placements wait for no longer than this. */
const sliceMs = 4;

export type PlanningDeps = {
	readonly nowMs: () => number;
	/** Lets other work of the process run. */
	readonly yieldTurn: () => Promise<void>;
};

/** The spreads for each limit, and the time that was spent on them without the turns of other work, in milliseconds. */
export type SlicedPlan = {readonly spreads: readonly Spread[]; readonly workMs: number};

/**
Does the same as `spreadExperts` for each of several limits on the experts new to a
rank, in ascending order, until `isEnough` returns true for a spread, but lets other
work of the process run every few milliseconds.

Load pattern: a group of dozens of ranks with many layers shifts its demand while
requests arrive. A plan then takes some ten milliseconds of processor time, several
times as long on a small instance, and the same process places the requests.

@example
const {spreads} = await planInSlices(layers, {...options, newPerRankLimits: [1, 2, 4]}, ({skewAfter}) => skewAfter < 1.2, deps);
*/
export async function planInSlices(
	layers: readonly LayerLoad[],
	options: Omit<SpreadOptions, 'maxNewPerRank'> & {readonly newPerRankLimits: readonly number[]},
	isEnough: (spread: Spread) => boolean,
	{nowMs, yieldTurn}: PlanningDeps,
): Promise<SlicedPlan> {
	const spreads: Spread[] = [];
	let sliceStartMs = nowMs();
	let workMs = 0;
	for (const spread of spreadExpertsInSteps(layers, options)) {
		if (spread) {
			spreads.push(spread);
			if (isEnough(spread)) {
				break;
			}
		}

		const sliceWorkMs = nowMs() - sliceStartMs;
		if (sliceWorkMs >= sliceMs) {
			workMs += sliceWorkMs;
			await yieldTurn();
			sliceStartMs = nowMs();
		}
	}

	return {spreads, workMs: workMs + nowMs() - sliceStartMs};
}

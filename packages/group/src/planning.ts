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

/**
Does the same as `spreadExperts`, but lets other work of the process run every few
milliseconds.

Load pattern: a group of dozens of ranks with many layers shifts its demand while
requests arrive. A plan then takes some ten milliseconds of processor time, several
times as long on a small instance, and the same process places the requests.

@example
const spread = await planInSlices(layers, options, {nowMs: () => performance.now(), yieldTurn: async () => setImmediate()});
*/
export async function planInSlices(layers: readonly LayerLoad[], options: SpreadOptions, {nowMs, yieldTurn}: PlanningDeps): Promise<Spread> {
	const planning = spreadExpertsInSteps(layers, options);
	let sliceStartMs = nowMs();
	for (;;) {
		const step = planning.next();
		if (step.done) {
			return step.value;
		}

		if (nowMs() - sliceStartMs >= sliceMs) {
			await yieldTurn();
			sliceStartMs = nowMs();
		}
	}
}

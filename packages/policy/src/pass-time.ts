/** The published figures of an engine that decide how long its passes take. */
export type PassModel = {
	/** Token steps of a pass in which anything is written. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	/** What one writing request adds to a step, in milliseconds. */
	readonly sequenceMs: number;
	readonly contextMsPerThousand: number;
	readonly prefillTokensPerMs: number;
	readonly pairsMsPerMillion: number;
	/** Prompt tokens that one step reads at most. */
	readonly chunkTokens: number;
	/** The part of the work for tokens that the experts do, 0 to 1. */
	readonly expertShare: number;
};

/** What one rank has to do in a pass. */
export type RankWork = {
	readonly writers: number;
	/** Tokens of context that the writers have together. */
	readonly contextTokens: number;
	/** Prompt tokens that wait to be read. */
	readonly prefillTokens: number;
};

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/**
Predicts how long a group's next pass takes, in milliseconds: the slowest rank's own
part and, over the layers, the most loaded rank's part of the experts' work. `skew`
is the mean over the layers of the greatest load of a rank over the mean load.

@example
const ms = predictPassMs(model, [{writers: 4, contextTokens: 3600, prefillTokens: 0}], 1.3);
*/
export function predictPassMs(model: PassModel, ranks: readonly RankWork[], skew: number): number {
	let slowest = 0;
	let all = 0;
	let hasWork = false;
	for (const rank of ranks) {
		const ms = tokenWorkMs(model, rank);
		slowest = Math.max(slowest, ms);
		all += ms;
		hasWork ||= ms > 0;
	}

	if (!hasWork) {
		return 0;
	}

	const experts = model.expertShare * skew * all / ranks.length;
	return (model.stepsPerPass * model.stepMs) + ((1 - model.expertShare) * slowest) + experts;
}

/** The work for tokens that one rank brings to a pass, in milliseconds. */
export function tokenWorkMs(model: PassModel, {writers, contextTokens, prefillTokens}: RankWork): number {
	const steps = model.stepsPerPass;
	const writing = steps * ((model.sequenceMs * writers) + (model.contextMsPerThousand * contextTokens / tokensPerThousand));
	const read = Math.min(prefillTokens, model.chunkTokens * steps);
	const pairs = read * read / 2 / pairsPerMillion * model.pairsMsPerMillion;
	return writing + (read / model.prefillTokensPerMs) + pairs;
}

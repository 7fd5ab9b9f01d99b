/** The published engine figures that determine how long a pass takes. */
export type PassModel = {
	/** The number of token steps in a pass in which at least one request decodes. */
	readonly stepsPerPass: number;
	/** The fixed time of a step, in milliseconds. */
	readonly stepMs: number;
	/** The time that one decoding request adds to a step, in milliseconds. */
	readonly sequenceMs: number;
	/** The time that 1000 tokens of context of the decoding requests add to a step, in milliseconds. */
	readonly contextMsPerThousand: number;
	readonly prefillTokensPerMs: number;
	/** The time of prefill attention per million pairs of prompt tokens, in milliseconds. */
	readonly pairsMsPerMillion: number;
	/** The most prompt tokens that one step prefills. */
	readonly chunkTokens: number;
	/** The part of the token work that is done by the experts, from 0 to 1. */
	readonly expertShare: number;
};

/** The work of one rank in a pass. */
export type RankWork = {
	readonly decodingRequests: number;
	/** The total context of the decoding requests, in tokens. */
	readonly contextTokens: number;
	/** The prompt tokens that wait for prefill. */
	readonly prefillTokens: number;
};

const tokensPerThousand = 1000;
const pairsPerMillion = 1_000_000;

/**
Predicts how long the next pass of a group takes, in milliseconds. All ranks wait for
each other, so the prediction adds the fixed time of the steps, the non-expert work of
the slowest rank and the expert work of the most loaded rank in each layer. `skew` is
the ratio of the greatest to the mean expert load of a rank, averaged over the layers.

Returns 0 if no rank has work.

@example
const ms = predictPassMs(model, [{decodingRequests: 4, contextTokens: 3600, prefillTokens: 0}], 1.3);
*/
export function predictPassMs(model: PassModel, ranks: readonly RankWork[], skew: number): number {
	let slowestRankMs = 0;
	let totalMs = 0;
	let hasWork = false;
	for (const rank of ranks) {
		const ms = tokenWorkMs(model, rank);
		slowestRankMs = Math.max(slowestRankMs, ms);
		totalMs += ms;
		hasWork ||= ms > 0;
	}

	if (!hasWork) {
		return 0;
	}

	const expertMs = model.expertShare * skew * totalMs / ranks.length;
	return (model.stepsPerPass * model.stepMs) + ((1 - model.expertShare) * slowestRankMs) + expertMs;
}

/** Returns the time of the token work that the requests of one rank add to a pass, in milliseconds. */
export function tokenWorkMs(model: PassModel, {decodingRequests, contextTokens, prefillTokens}: RankWork): number {
	const steps = model.stepsPerPass;
	const decodeMs = steps * ((model.sequenceMs * decodingRequests) + (model.contextMsPerThousand * contextTokens / tokensPerThousand));
	const prefilledTokens = Math.min(prefillTokens, model.chunkTokens * steps);
	const attentionMs = prefilledTokens * prefilledTokens / 2 / pairsPerMillion * model.pairsMsPerMillion;
	return decodeMs + (prefilledTokens / model.prefillTokensPerMs) + attentionMs;
}

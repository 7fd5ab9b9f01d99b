/** What the head of a target's answer says about the rate at which the target takes requests. */
export type NamedLimit
	/** The answer names no limit, so the target takes requests at any rate. */
	= | {readonly kind: 'none'}
		| {readonly kind: 'rate'; readonly perSecond: number}
		/** The value is not a decimal number, or there are several; `text` is its beginning. */
		| {readonly kind: 'malformed'; readonly text: string};

/** The limit of one target as this process believes it to be. */
export type Belief = {
	/** The requests per second that the target takes from all entries together; `undefined` if it names no limit. */
	readonly perSecond: number | undefined;
	/** When this belief was formed, in milliseconds of the monotonic clock. */
	readonly learnedMs: number;
};

/** The belief about a target that has never named a limit. */
export const unlimited: Belief = {perSecond: undefined, learnedMs: Number.NEGATIVE_INFINITY};

/**
Whether a limit is lower than another; `undefined`, no limit, is higher than any.

@example
isLowerLimit(2, undefined); // true
*/
export function isLowerLimit(perSecond: number | undefined, other: number | undefined): boolean {
	return (perSecond ?? Number.POSITIVE_INFINITY) < (other ?? Number.POSITIVE_INFINITY);
}

/**
Returns the belief after an answer to a request that was sent at `sentMs`. A lower limit
counts at once. A higher limit, or none, counts only if the request was sent after the
present belief was formed, because answers on different connections overtake each other.
A malformed value changes nothing.

@example
let belief = afterAnswer(unlimited, {kind: 'rate', perSecond: 2}, {sentMs: 10, nowMs: 30});
belief = afterAnswer(belief, {kind: 'none'}, {sentMs: 20, nowMs: 40}); // Still 2 a second.
*/
export function afterAnswer(belief: Belief, named: NamedLimit, {sentMs, nowMs}: {readonly sentMs: number; readonly nowMs: number}): Belief {
	if (named.kind === 'malformed') {
		return belief;
	}

	const perSecond = named.kind === 'rate' ? named.perSecond : undefined;
	return perSecond !== belief.perSecond && (isLowerLimit(perSecond, belief.perSecond) || sentMs > belief.learnedMs) ? {perSecond, learnedMs: nowMs} : belief;
}

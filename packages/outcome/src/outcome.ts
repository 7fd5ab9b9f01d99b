/**
Why a request was refused before it ran.

Each reason is a stable name: it stands in the problem document that the caller
gets, in the logs and as the label of a counter.
*/
export const refusalReasons = [
	'badRequest',
	'noRoute',
	'noTarget',
	'quotaExceeded',
	'queueFull',
	'deadlineTooShort',
	'deadlinePassed',
	'targetLeaving',
	'targetUnreachable',
	'connectionLost',
	'storeUnavailable',
	'withdrawn',
	'wrongOwner',
	'keyReused',
	'keyInProgress',
	'configurationStale',
	'unsupported',
	'overloaded',
	'unknownKey',
	'resendBudgetSpent',
] as const;

export type RefusalReason = typeof refusalReasons[number];

/** Why it can't be told whether a request ran, or why its answer is not whole. */
export const lossReasons = [
	'connectionLost',
	'targetLost',
	'timeout',
	'truncated',
	'shutdown',
	'ownershipLost',
	'claimedEarlier',
	'notOwner',
	'notAsked',
	'callerGone',
	'wrongAnswer',
	'cancelled',
] as const;

export type LossReason = typeof lossReasons[number];

/** The status line and headers of an answer. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/**
How a request ends. There are three families, and silence is none of them:

- `answered`: the whole answer reached the one who asked.
- `notRun`: it is proved that the request did not run and never will.
- `unknown`: neither of the two can be shown.

`retryAfterMs` says when it is worth coming back, in milliseconds.

@example
const outcome: Outcome = {kind: 'notRun', reason: 'queueFull', retryAfterMs: 250};
*/
export type Outcome
	= | {readonly kind: 'answered'}
		| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string}
		| {readonly kind: 'unknown'; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string};

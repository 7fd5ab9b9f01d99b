/**
Why a request was refused before it ran.

The names are stable: they appear in the problem document that the caller receives,
in the logs and as label values of a counter.
*/
export const refusalReasons = [
	'badRequest',
	'noRoute',
	'noTarget',
	'groupForming',
	'zoneEvacuated',
	'noTargetInRegion',
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
	'rateLimited',
	'targetsPaused',
	'targetsCold',
	'quarantined',
	'shuttingDown',
] as const;

export type RefusalReason = typeof refusalReasons[number];

/** Why it is unknown whether a request ran, or why its answer is incomplete. */
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
	'answerTooLong',
	'cancelled',
	'internalError',
] as const;

export type LossReason = typeof lossReasons[number];

/** The status code and headers of an answer. */
export type ResponseHead = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
};

/**
How a request ends. Every request ends in one of three ways:

- `answered`: the caller received the complete answer.
- `notRun`: the request provably did not run and will not run later.
- `unknown`: neither of these could be established.

`retryAfterMs` is the recommended delay before a retry, in milliseconds.

@example
const outcome: Outcome = {kind: 'notRun', reason: 'queueFull', retryAfterMs: 250};
*/
export type Outcome
	= | {readonly kind: 'answered'}
		| {readonly kind: 'notRun'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string}
		| {readonly kind: 'unknown'; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string};

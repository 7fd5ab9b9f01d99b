import {type LossReason, type Outcome, type RefusalReason} from '@papayaflow/outcome';

const msPerSecond = 1000;

const refusalStatus: Readonly<Partial<Record<RefusalReason, number>>> = {
	badRequest: 400,
	noRoute: 404,
	unsupported: 501,
	quotaExceeded: 429,
	keyReused: 422,
	keyInProgress: 409,
	deadlinePassed: 504,
	unknownKey: 401,
};

const lossStatus: Readonly<Partial<Record<LossReason, number>>> = {
	timeout: 504,
	internalError: 500,
	notOwner: 503,
	notAsked: 503,
};

/** The body sent in place of an answer, as `application/problem+json`. */
export type Problem = {
	readonly type: string;
	readonly title: string;
	readonly status: number;
	readonly outcome: 'notRun' | 'unknown';
	readonly reason: string;
	readonly detail?: string;
	readonly requestId: string;
};

/**
Creates the problem document for a request that was not answered.

@example
const problem = problemOf({kind: 'notRun', reason: 'queueFull', retryAfterMs: 250}, 'r-1');
*/
export function problemOf(outcome: Exclude<Outcome, {kind: 'answered'}>, requestId: string): Problem {
	return {
		type: `urn:papayaflow:${outcome.reason}`,
		title: outcome.kind === 'notRun' ? 'The request was not run.' : 'It is not known whether the request ran.',
		status: outcome.kind === 'notRun' ? refusalStatus[outcome.reason] ?? 503 : lossStatus[outcome.reason] ?? 502,
		outcome: outcome.kind,
		reason: outcome.reason,
		...(outcome.detail !== undefined && {detail: outcome.detail}),
		requestId,
	};
}

/** Converts a retry delay to the value of the `Retry-After` header: whole seconds, rounded up, at least 1. */
export function retryAfterSeconds(retryAfterMs: number): number {
	return Math.max(1, Math.ceil(retryAfterMs / msPerSecond));
}

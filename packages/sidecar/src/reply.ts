import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type Frame, type PeerRequest} from '@papayaflow/peer';
import {type Metrics} from '@papayaflow/telemetry';

/** The `retryAfterMs` of losses, whose outcome is unknown. */
const unknownRetryMs = 1000;

/** The `retryAfterMs` of refusals for which there is no better estimate. */
export const refusedRetryMs = 1000;

/** One attempt received from an entry. */
export type ReceivedAttempt = {
	readonly attempt: number;
	readonly request: PeerRequest;
	/** How much longer the request frame was in transit than the fastest frame seen on the connection, in milliseconds. */
	readonly ageMs: number;
	/** Aborts when the entry cancels the attempt or the connection closes. */
	readonly signal: AbortSignal;
	readonly send: (frame: Frame) => void;
};

/** Why an attempt is refused, and the owner of the key's shard if another sidecar owns it. `standing` is true when the store has just confirmed that owner. */
export type Refusal = {readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string; readonly owner?: string; readonly standing?: boolean};

/** Sends the entry a `refused` frame: the attempt did not run and never will. */
export function refuse({attempt, send}: ReceivedAttempt, refusal: Refusal, {metrics}: {readonly metrics: Metrics}): void {
	metrics.count('refusals', {reason: refusal.reason});
	send({
		kind: 'refused', attempt, reason: refusal.reason, retryAfterMs: refusal.retryAfterMs,
		...(refusal.detail !== undefined && {detail: refusal.detail}),
		...(refusal.owner !== undefined && {owner: refusal.owner, standing: refusal.standing ?? false}),
	});
}

/** Sends the entry a `lost` frame: whether the attempt ran is unknown. */
export function reportLost({attempt, send}: ReceivedAttempt, reason: LossReason, {metrics}: {readonly metrics: Metrics}, detail?: string): void {
	metrics.count('losses', {reason});
	send({
		kind: 'lost', attempt, reason, retryAfterMs: unknownRetryMs, ...(detail !== undefined && {detail}),
	});
}

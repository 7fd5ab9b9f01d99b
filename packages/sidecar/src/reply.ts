import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type Frame, type PeerRequest} from '@papayaflow/peer';
import {type Metrics} from '@papayaflow/telemetry';

const unknownRetryMs = 1000;

/** When it is worth coming back after a refusal that names no better time, in milliseconds. */
export const refusedRetryMs = 1000;

/** One attempt as it came from an entry. */
export type Arrived = {
	readonly attempt: number;
	readonly request: PeerRequest;
	/** How long its frame was under way beyond the usual, in milliseconds. */
	readonly ageMs: number;
	/** Fires when the entry cancels it or the connection is gone. */
	readonly signal: AbortSignal;
	readonly send: (frame: Frame) => void;
};

/** Why an attempt is refused, and who should be asked instead. */
export type Refusal = {readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string; readonly owner?: string; readonly standing?: boolean};

/** Tells the entry that an attempt did not run and will not. */
export function refuse({attempt, send}: Arrived, refusal: Refusal, {metrics}: {readonly metrics: Metrics}): void {
	metrics.count('refusals', {reason: refusal.reason});
	send({
		kind: 'refused', attempt, reason: refusal.reason, retryAfterMs: refusal.retryAfterMs,
		...(refusal.detail !== undefined && {detail: refusal.detail}),
		...(refusal.owner !== undefined && {owner: refusal.owner, standing: refusal.standing ?? false}),
	});
}

/** Tells the entry that it is not known what became of an attempt. */
export function lose({attempt, send}: Arrived, reason: LossReason, {metrics}: {readonly metrics: Metrics}, detail?: string): void {
	metrics.count('losses', {reason});
	send({
		kind: 'lost', attempt, reason, retryAfterMs: unknownRetryMs, ...(detail !== undefined && {detail}),
	});
}

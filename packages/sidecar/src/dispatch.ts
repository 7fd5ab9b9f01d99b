import {findOrganisation, type Preset} from '@papayaflow/config';
import {type Claims} from '@papayaflow/idempotency';
import {type Target, type TargetOutcome} from '@papayaflow/target';
import {type Metrics} from '@papayaflow/telemetry';
import {type Admission, type AdmissionResult} from './admission.js';
import {
	reportLost, refuse, refusedRetryMs, type ReceivedAttempt,
} from './reply.js';

export type ServeDeps = {
	readonly admission: Admission;
	readonly target: Target;
	/** Returns the claims of a shard of this service's idempotency log. */
	readonly claimsOf: (shard: number) => Claims;
	readonly preset: () => Preset | undefined;
	readonly isStale: (preset: Preset) => boolean;
	readonly metrics: Metrics;
	readonly monotonicMs: () => number;
	/** Whether the target is leaving, so that no new call may be dispatched to it. */
	readonly isLeaving: () => boolean;
};

/** Waits for admission at the target. */
export async function admit(received: ReceivedAttempt, deadlineMs: number, preset: Preset, deps: ServeDeps): Promise<AdmissionResult> {
	const {organisation, priority, tokens} = received.request;
	return deps.admission.admit({
		organisation, priority, cost: Math.max(1, tokens), deadlineMs, signal: received.signal,
		weight: findOrganisation(preset, organisation).weight,
	});
}

/** Calls the target and forwards its answer to the entry frame by frame. */
export async function dispatch(received: ReceivedAttempt, signal: AbortSignal, deps: ServeDeps): Promise<TargetOutcome> {
	const {attempt, request, send} = received;
	const headers = {...request.headers, 'x-organisation': request.organisation, 'x-priority': String(request.priority)};
	return deps.target.call({
		method: request.method, path: request.path, headers, body: request.body,
	}, {
		head(status, answerHeaders) {
			send({
				kind: 'head', attempt, status, headers: answerHeaders,
			});
		},
		data(bytes) {
			send({kind: 'data', attempt, bytes});
		},
	}, signal);
}

/** Ends an attempt with the frame for the outcome of its call: `end`, `refused` or `lost`. */
export function reportOutcome(received: ReceivedAttempt, outcome: TargetOutcome, deps: ServeDeps): void {
	switch (outcome.kind) {
		case 'answered': {
			received.send({kind: 'end', attempt: received.attempt, length: outcome.bytes});
			break;
		}

		case 'notRun': {
			refuse(received, {reason: 'targetUnreachable', retryAfterMs: refusedRetryMs, detail: outcome.detail}, deps);
			break;
		}

		case 'unknown': {
			reportLost(received, outcome.reason === 'cancelled' ? 'callerGone' : outcome.reason, deps, outcome.detail);
			break;
		}
	}
}

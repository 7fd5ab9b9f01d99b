import {organisationOf, type Preset} from '@papayaflow/config';
import {type Claims} from '@papayaflow/idempotency';
import {type Target, type TargetOutcome} from '@papayaflow/target';
import {type Metrics} from '@papayaflow/telemetry';
import {type Admission, type Admitted} from './admission.js';
import {
	lose, refuse, refusedRetryMs, type Arrived,
} from './reply.js';

export type ServeDeps = {
	readonly admission: Admission;
	readonly target: Target;
	/** The claims of a shard of this service's log. */
	readonly claimsOf: (shard: number) => Claims;
	readonly preset: () => Preset | undefined;
	readonly isStale: (preset: Preset) => boolean;
	readonly metrics: Metrics;
	readonly monotonicMs: () => number;
	/** Whether the target has been told to leave. */
	readonly isLeaving: () => boolean;
};

/** Waits for a place at the target. */
export async function admit(arrived: Arrived, deadlineMs: number, preset: Preset, deps: ServeDeps): Promise<Admitted> {
	const {organisation, priority, tokens} = arrived.request;
	return deps.admission.admit({
		organisation, priority, cost: Math.max(1, tokens), deadlineMs, signal: arrived.signal,
		weight: organisationOf(preset, organisation).weight,
	});
}

/** Makes the call and passes its answer's frames on as they come. */
export async function dispatch(arrived: Arrived, signal: AbortSignal, deps: ServeDeps): Promise<TargetOutcome> {
	const {attempt, request, send} = arrived;
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

/** Ends an attempt by what became of its call. */
export function report(arrived: Arrived, outcome: TargetOutcome, deps: ServeDeps): void {
	switch (outcome.kind) {
		case 'answered': {
			arrived.send({kind: 'end', attempt: arrived.attempt, length: outcome.bytes});
			break;
		}

		case 'notRun': {
			refuse(arrived, {reason: 'targetUnreachable', retryAfterMs: refusedRetryMs, detail: outcome.detail}, deps);
			break;
		}

		case 'unknown': {
			lose(arrived, outcome.reason === 'cancelled' ? 'callerGone' : outcome.reason, deps, outcome.detail);
			break;
		}
	}
}

import {
	admit, dispatch, reportOutcome, type ServeDeps,
} from './dispatch.js';
import {serveKeyed} from './keyed.js';
import {
	reportLost, refuse, refusedRetryMs, type ReceivedAttempt,
} from './reply.js';

/**
Serves one attempt up to its last frame. In every case exactly one of `end`,
`refused` and `lost` is sent.

@example
await serveAttempt(received, deps);
*/
export async function serveAttempt(received: ReceivedAttempt, deps: ServeDeps): Promise<void> {
	const {request, ageMs} = received;
	const deadlineMs = deps.monotonicMs() + request.deadlineMs - ageMs;
	const preset = deps.preset();
	if (!preset || (preset.whenStale === 'refuse' && deps.isStale(preset))) {
		// The key has not been looked up, so the attempt can't be refused as not run.
		if (request.key !== undefined) {
			reportLost(received, 'notAsked', deps, 'it is not known here whether this preset is in force');
			return;
		}

		refuse(received, {reason: 'configurationStale', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	if (request.key !== undefined) {
		await serveKeyed(received, request.key, {deadlineMs, preset}, deps);
		return;
	}

	if (deadlineMs <= deps.monotonicMs()) {
		refuse(received, {reason: 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	const admissionResult = await admit(received, deadlineMs, preset, deps);
	if (admissionResult.kind === 'refused') {
		refuse(received, admissionResult, deps);
		return;
	}

	const outcome = await dispatch(received, received.signal, deps);
	admissionResult.release(outcome.kind === 'answered');
	reportOutcome(received, outcome, deps);
}

import {
	admit, dispatch, report, type ServeDeps,
} from './dispatch.js';
import {serveKeyed} from './keyed.js';
import {
	lose, refuse, refusedRetryMs, type Arrived,
} from './reply.js';

/**
Serves one attempt from its arrival to its last frame. Whatever happens, exactly
one of `end`, `refused` and `lost` is sent.

@example
await serveAttempt(arrived, deps);
*/
export async function serveAttempt(arrived: Arrived, deps: ServeDeps): Promise<void> {
	const {request, ageMs} = arrived;
	const deadlineMs = deps.monotonicMs() + request.deadlineMs - ageMs;
	const preset = deps.preset();
	if (!preset || (preset.whenStale === 'refuse' && deps.isStale(preset))) {
		// Of a key that was not looked at nothing is known here.
		if (request.key !== undefined) {
			lose(arrived, 'notAsked', deps, 'it is not known here whether this preset is in force');
			return;
		}

		refuse(arrived, {reason: 'configurationStale', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	if (request.key !== undefined) {
		await serveKeyed(arrived, request.key, {deadlineMs, preset}, deps);
		return;
	}

	if (deadlineMs <= deps.monotonicMs()) {
		refuse(arrived, {reason: 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	const admitted = await admit(arrived, deadlineMs, preset, deps);
	if (admitted.kind === 'refused') {
		refuse(arrived, admitted, deps);
		return;
	}

	const outcome = await dispatch(arrived, arrived.signal, deps);
	admitted.release(outcome.kind === 'answered');
	report(arrived, outcome, deps);
}

import {isRequestSubject, type Quarantine} from '@papayaflow/quarantine';
import {type Call} from './call.js';
import {type Place, type PlaceResult, type Placer} from './place.js';

export type QuarantinedPlacerOptions = {
	/** Chooses the target of a call. */
	readonly place: Placer;
	readonly quarantine: Pick<Quarantine, 'knowsRequests' | 'check' | 'admit' | 'endTrial'>;
};

/**
Creates a placer that refuses calls which may crash targets, themselves or by a part of their
prompts. Both can become suspected while a call waits for its place or its connection, so the call
is checked before and after it is placed, and again when it is sent.

@example
const place = createQuarantinedPlacer({place: createGroupPlacer(options).place, quarantine});
*/
export function createQuarantinedPlacer({place, quarantine}: QuarantinedPlacerOptions): Placer {
	const refusalOf = (call: Call): Extract<PlaceResult, {kind: 'refused'}> | undefined => {
		const admission = quarantine.check(subjectsOf(call, quarantine));
		return admission.kind === 'refused' ? toRefusal(admission) : undefined;
	};

	const watchTrial = (trialPlace: Place, part: string): Place => ({
		...trialPlace,
		ended(outcome) {
			trialPlace.ended(outcome);
			// After a failure it is not known yet whether the target has crashed.
			if (outcome === 'rejected' || outcome === 'neutral') {
				quarantine.endTrial(part);
			}
		},
	});

	return async request => {
		const {call} = request;
		const refusal = refusalOf(call);
		if (refusal) {
			return refusal;
		}

		const placed = await place(request);
		if (placed.kind === 'refused' || request.signal.aborted) {
			return placed;
		}

		const admission = quarantine.admit(subjectsOf(call, quarantine), placed.place.target.record.id);
		switch (admission.kind) {
			case 'admitted': {
				return {
					kind: 'placed', place: {...placed.place, mayStart: () => placed.place.mayStart() && refusalOf(call) === undefined},
				};
			}

			case 'trial': {
				return {kind: 'placed', place: watchTrial(placed.place, admission.part)};
			}

			case 'refused': {
				placed.place.ended('neutral');
				return toRefusal(admission);
			}
		}
	};
}

/**
Returns what a call may be suspected for. The id of the call itself is a digest of its body, so
it is only made while any request is suspected.

@example
quarantine.onBegun(subjectsOf(call, quarantine));
*/
export function subjectsOf(call: Pick<Call, 'sharedParts' | 'subject'>, {knowsRequests}: Pick<Quarantine, 'knowsRequests'>): readonly string[] {
	return knowsRequests() ? [...call.sharedParts, call.subject()] : call.sharedParts;
}

function toRefusal({part, retryAfterMs}: {readonly part: string; readonly retryAfterMs: number}): Extract<PlaceResult, {kind: 'refused'}> {
	return {
		kind: 'refused', reason: 'quarantined', retryAfterMs, detail: `${isRequestSubject(part) ? '' : 'part '}${part} may crash targets`,
	};
}

import {type Quarantine} from '@papayaflow/quarantine';
import {type Place, type PlaceResult, type Placer} from './place.js';

export type QuarantinedPlacerOptions = {
	/** Chooses the target of a call. */
	readonly place: Placer;
	readonly quarantine: Pick<Quarantine, 'check' | 'admit' | 'endTrial'>;
};

/**
Creates a placer that refuses calls whose prompts have a part that may crash targets. A
part can become suspected while a call waits for its place or its connection, so the call
is checked before and after it is placed, and again when it is sent.

@example
const place = createQuarantinedPlacer({place: createGroupPlacer(options).place, quarantine});
*/
export function createQuarantinedPlacer({place, quarantine}: QuarantinedPlacerOptions): Placer {
	const refusalOf = (parts: readonly string[]): Extract<PlaceResult, {kind: 'refused'}> | undefined => {
		const admission = quarantine.check(parts);
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
		const {call: {sharedParts}} = request;
		if (sharedParts.length === 0) {
			return place(request);
		}

		const refusal = refusalOf(sharedParts);
		if (refusal) {
			return refusal;
		}

		const placed = await place(request);
		if (placed.kind === 'refused' || request.signal.aborted) {
			return placed;
		}

		const admission = quarantine.admit(sharedParts, placed.place.target.record.id);
		switch (admission.kind) {
			case 'admitted': {
				return {
					kind: 'placed', place: {...placed.place, mayStart: () => placed.place.mayStart() && refusalOf(sharedParts) === undefined},
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

function toRefusal({part, retryAfterMs}: {readonly part: string; readonly retryAfterMs: number}): Extract<PlaceResult, {kind: 'refused'}> {
	return {
		kind: 'refused', reason: 'quarantined', retryAfterMs, detail: `part ${part} may crash targets`,
	};
}

import {type ColdTargets} from '@papayaflow/limit';
import {type TargetRecord} from '@papayaflow/routing';
import {type Call} from './call.js';
import {type Placer, type PlaceResult} from './place.js';
import {type Targets} from './targets.js';

/** The shortest span over which the retries of refused callers are spread, in milliseconds. */
const minRetrySpreadMs = 200;

export type ColdPlacerOptions = {
	/** Chooses among the targets that are not excluded. */
	readonly place: Placer;
	readonly targets: Targets;
	readonly cold: ColdTargets;
	/** Whether a call goes to no cold target while any other one takes requests. The coordinators of groups weigh cold ranks themselves. */
	readonly avoidsCold: (call: Call) => boolean;
	readonly random: () => number;
};

/**
Adds the limits of cold targets to a placer. A cold target that may get no request now is
excluded, so that the request goes to another one. If no target of the service may get
one, the request is refused with the time at which one may, plus a random delay that
spreads the callers.

Load patterns: one target starts while others are busy; all targets of a service start at
the same time, after an outage or an evacuation.

@example
const place = createColdPlacer({place: createPlainPlacer(options), targets, cold, avoidsCold: () => true, random});
*/
export function createColdPlacer({place, targets, cold, avoidsCold, random}: ColdPlacerOptions): Placer {
	const refuse = (records: readonly TargetRecord[]): PlaceResult => {
		const earliestMs = Math.min(...records.map(record => cold.waitMs(record)));
		return {kind: 'refused', reason: 'targetsCold', retryAfterMs: earliestMs + (random() * Math.max(earliestMs, minRetrySpreadMs))};
	};

	return async request => {
		const denied = new Set<string>();
		for (;;) {
			const serving = cold.isActive() ? targets.servingTargets(request.call).map(({record}) => record).filter(({id}) => !request.excluded.has(id)) : [];
			const blocked = serving.filter(record => denied.has(record.id) || cold.waitMs(record) > 0);
			if (serving.length > 0 && blocked.length === serving.length) {
				return refuse(serving);
			}

			const coldOnes = serving.filter(record => cold.isCold(record));
			const avoided = avoidsCold(request.call) && coldOnes.length < serving.length ? coldOnes : blocked;
			const placed = await place(avoided.length === 0 ? request : {...request, excluded: new Set([...request.excluded, ...avoided.map(({id}) => id)])});
			if (placed.kind === 'refused') {
				return placed;
			}

			const {place: chosen} = placed;
			const {record} = chosen.target;
			const reservation = cold.reserve(record);
			if (reservation) {
				return {
					kind: 'placed', place: {
						...chosen,
						mayStart: () => chosen.mayStart() && reservation.use(),
						ended(outcome) {
							reservation.release();
							chosen.ended(outcome);
						},
					},
				};
			}

			chosen.ended('neutral');
			if (request.signal.aborted) {
				return {kind: 'refused', reason: 'withdrawn', retryAfterMs: 0};
			}

			// A placer must not return a denied target again; if it does, the call is refused instead of asking without end.
			if (denied.has(record.id)) {
				return refuse([record]);
			}

			denied.add(record.id);
		}
	};
}

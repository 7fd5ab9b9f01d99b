import {type ColdTargets} from '@papayaflow/limit';
import {spreadRetryDelayMs} from '@papayaflow/policy';
import {type TargetRecord} from '@papayaflow/routing';
import {type Call} from './call.js';
import {type Placer, type PlaceResult} from './place.js';
import {type Targets, type ZonedCall} from './targets.js';

export type ColdPlacerOptions = {
	/** Chooses among the targets that are not excluded. */
	readonly place: Placer;
	readonly targets: Targets;
	readonly cold: ColdTargets;
	/** Whether a call goes to no cold target while any other one takes requests. The coordinators of groups weigh cold ranks themselves. */
	readonly avoidsCold: (call: Pick<Call, 'service'>) => boolean;
	/**
	Whether coordinators place the calls of a service now; none by default. They bound what a
	cold rank gets from all entries, so this entry's share, which is much lower, does not apply.
	*/
	readonly isCoordinated?: (call: Pick<Call, 'service'>) => boolean;
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
export function createColdPlacer({place, ...limits}: ColdPlacerOptions): Placer {
	return async request => {
		if (limits.cold.isActive() && limits.isCoordinated?.(request.call)) {
			return place(request);
		}

		const denied = new Set<string>();
		for (;;) {
			const avoided = chooseAvoided(request.call, request.excluded, limits, denied);
			if (avoided.kind === 'refused') {
				return avoided;
			}

			const placed = await place(avoided.ids.length === 0 ? request : {...request, excluded: new Set([...request.excluded, ...avoided.ids])});
			if (placed.kind === 'refused') {
				return placed;
			}

			const {place: chosen} = placed;
			const {record} = chosen.target;
			const reservation = limits.cold.reserve(record);
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
				return refuse([record], limits);
			}

			denied.add(record.id);
		}
	};
}

export type ColdLimits = Omit<ColdPlacerOptions, 'place'>;

type Avoided = {readonly kind: 'avoided'; readonly ids: readonly string[]};

type Refusal = Extract<PlaceResult, {kind: 'refused'}>;

/**
Returns the ids of the targets that a call must not go to because they are cold, or the refusal of the call if each one that serves may get nothing now.

@example
chooseAvoided({service: 'ledger'}, new Set(), {targets, cold, avoidsCold: () => true, random});
*/
export function chooseAvoided(call: ZonedCall, excluded: ReadonlySet<string>, limits: ColdLimits, denied: ReadonlySet<string> = new Set()): Avoided | Refusal {
	const {targets, cold, avoidsCold, isCoordinated} = limits;
	const serving = cold.isActive() && !isCoordinated?.(call) ? targets.servingTargets(call).map(({record}) => record).filter(({id}) => !excluded.has(id)) : [];
	const blocked = serving.filter(record => denied.has(record.id) || cold.waitMs(record) > 0);
	if (serving.length > 0 && blocked.length === serving.length) {
		return refuse(serving, limits);
	}

	const coldOnes = serving.filter(record => cold.isCold(record));
	const avoided = avoidsCold(call) && coldOnes.length < serving.length ? coldOnes : blocked;
	return {kind: 'avoided', ids: avoided.map(({id}) => id)};
}

function refuse(records: readonly TargetRecord[], {cold, random}: ColdLimits): Refusal {
	const earliestMs = Math.min(...records.map(record => cold.waitMs(record)));
	return {kind: 'refused', reason: 'targetsCold', retryAfterMs: spreadRetryDelayMs(earliestMs, random)};
}

import {type Permits} from '@papayaflow/limit';
import {type Placer, type PlaceResult} from './place.js';
import {type Targets} from './targets.js';

/** The shortest span over which the retries of refused callers are spread, in milliseconds. */
const minRetrySpreadMs = 200;

export type LimitedPlacerOptions = {
	/** Chooses among the targets that are not excluded. */
	readonly place: Placer;
	readonly targets: Targets;
	readonly permits: Permits;
	readonly random: () => number;
};

/**
Adds the limits of the targets to a placer. A target whose limit allows no request now is
excluded, so that the request goes to another one. If all targets of the service are
excluded, the request is refused with the time at which one of them may take it, plus a
random delay that spreads the callers.

Load pattern: one or a few targets of a service name a limit far below their usual load.

@example
const place = createLimitedPlacer({place: createPlainPlacer(options), targets, permits, random});
*/
export function createLimitedPlacer({place, targets, permits, random}: LimitedPlacerOptions): Placer {
	const refuse = (waitsMs: readonly number[]): PlaceResult => {
		const earliestMs = Math.min(...waitsMs);
		return {kind: 'refused', reason: 'rateLimited', retryAfterMs: earliestMs + (random() * Math.max(earliestMs, minRetrySpreadMs))};
	};

	return async request => {
		const denied = new Set<string>();
		for (;;) {
			const waits = targets.servingTargets(request.call.service).map(({record}) => ({id: record.id, waitMs: permits.waitMs(record)}));
			const blocked = waits.filter(({id, waitMs}) => waitMs > 0 || denied.has(id));
			if (waits.length > 0 && blocked.length === waits.length) {
				return refuse(blocked.map(({waitMs}) => waitMs));
			}

			const placed = await place({...request, excluded: new Set([...request.excluded, ...blocked.map(({id}) => id)])});
			if (placed.kind === 'refused') {
				return placed;
			}

			const {record} = placed.place.target;
			const permit = denied.has(record.id) ? undefined : await permits.acquire(record, request.call.requestId);
			if (permit) {
				return {kind: 'placed', place: {...placed.place, mayStart: permit.isValid}};
			}

			placed.place.ended('neutral');
			if (request.signal.aborted || denied.has(record.id)) {
				return request.signal.aborted ? {kind: 'refused', reason: 'withdrawn', retryAfterMs: 0} : refuse([permits.waitMs(record)]);
			}

			denied.add(record.id);
		}
	};
}

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
			const excluded = new Set([...request.excluded, ...permits.blocked(), ...denied]);
			const serving = excluded.size === 0 ? [] : targets.servingTargets(request.call.service).map(({record}) => record);
			if (serving.length > 0 && serving.every(({id}) => excluded.has(id))) {
				return refuse(serving.map(record => permits.waitMs(record)));
			}

			const placed = await place({...request, excluded});
			if (placed.kind === 'refused') {
				return placed;
			}

			const {record} = placed.place.target;
			// A placer must not return a denied target again; if it does, the call is refused instead of asking without end.
			const isDenied = denied.has(record.id);
			const permit = isDenied ? undefined : await permits.acquire(record, request.call.requestId);
			if (permit) {
				return {kind: 'placed', place: {...placed.place, mayStart: permit.use}};
			}

			placed.place.ended('neutral');
			if (request.signal.aborted) {
				return {kind: 'refused', reason: 'withdrawn', retryAfterMs: 0};
			}

			if (isDenied) {
				return refuse([permits.waitMs(record)]);
			}

			denied.add(record.id);
		}
	};
}

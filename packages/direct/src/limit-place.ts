import {type Pauses, type Permits} from '@papayaflow/limit';
import {spreadRetryDelayMs} from '@papayaflow/policy';
import {type TargetRecord} from '@papayaflow/routing';
import {type Placer, type PlaceResult} from './place.js';
import {type Targets} from './targets.js';

export type LimitedPlacerOptions = {
	/** Chooses among the targets that are not excluded. */
	readonly place: Placer;
	readonly targets: Targets;
	readonly permits: Permits;
	readonly pauses: Pauses;
	readonly random: () => number;
};

/**
Adds what the targets say of themselves to a placer. A target whose limit allows no
request now, or that has named a later time, is excluded, so that the request goes to
another one. If all targets of the service are excluded, the request is refused with the
time at which one of them may take it, plus a random delay that spreads the callers.

Load patterns: one or a few targets of a service name a limit far below their usual load;
some or all targets of a service turn requests away until a time that they name.

@example
const place = createLimitedPlacer({place: createPlainPlacer(options), targets, permits, pauses, random});
*/
export function createLimitedPlacer({place, targets, permits, pauses, random}: LimitedPlacerOptions): Placer {
	const restrictions = {
		targets, permits, pauses, random,
	};
	return async request => {
		const denied = new Set<string>();
		for (;;) {
			const excluded = new Set([...request.excluded, ...restrictedTargets(restrictions), ...denied]);
			const serving = excluded.size === 0 ? [] : targets.servingTargets(request.call).map(({record}) => record);
			const refusal = refusalIfAllRestricted(serving, excluded, restrictions);
			if (refusal) {
				return refusal;
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
				// The target may have named a later time while the permission was asked for or the connection opened.
				return {kind: 'placed', place: {...placed.place, mayStart: () => placed.place.mayStart() && pauses.waitMs(record) === 0 && permit.use()}};
			}

			placed.place.ended('neutral');
			if (request.signal.aborted) {
				return {kind: 'refused', reason: 'withdrawn', retryAfterMs: 0};
			}

			if (isDenied) {
				return refuse([record], restrictions);
			}

			denied.add(record.id);
		}
	};
}

/** What the targets say of the rate and the time at which they take requests. */
export type Restrictions = Pick<LimitedPlacerOptions, 'targets' | 'permits' | 'pauses' | 'random'>;

/** Returns the ids of the targets that take no request now, by their limits or by the times that they have named. What a target of an earlier lifetime said does not count. */
export function restrictedTargets({targets, permits, pauses}: Restrictions): readonly string[] {
	return [...permits.blocked(), ...pauses.blocked()].filter(({id, incarnation}) => targets.byId(id)?.record.incarnation === incarnation).map(({id}) => id);
}

/**
Returns the refusal of a call if each target that serves is excluded; `undefined` if one may be used or none serves.

@example
refusalIfAllRestricted(serving, new Set(restrictedTargets(restrictions)), restrictions)?.retryAfterMs;
*/
export function refusalIfAllRestricted(serving: readonly TargetRecord[], excluded: ReadonlySet<string>, restrictions: Restrictions): Refusal | undefined {
	return serving.length > 0 && serving.every(({id}) => excluded.has(id)) ? refuse(serving, restrictions) : undefined;
}

type Refusal = Extract<PlaceResult, {kind: 'refused'}>;

function refuse(records: readonly TargetRecord[], {permits, pauses, random}: Omit<Restrictions, 'targets'>): Refusal {
	const earliestMs = Math.min(...records.map(record => Math.max(permits.waitMs(record), pauses.waitMs(record))));
	const reason = records.every(record => pauses.waitMs(record) > 0) ? 'targetsPaused' : 'rateLimited';
	return {kind: 'refused', reason, retryAfterMs: spreadRetryDelayMs(earliestMs, random)};
}

import {type RefusalReason} from '@papayaflow/outcome';
import {withoutEjected, type EjectOptions} from '@papayaflow/policy';
import {mayReach, type Call} from './call.js';
import {type Target, type TargetOutcome, type Targets} from './targets.js';

/** A target reserved for one attempt. `forward` reports the progress of the attempt through it. */
export type Place = {
	readonly target: Target;
	/** Reports that the first event of a stream has arrived. */
	began(): void;
	ended(outcome: TargetOutcome): void;
	/** Reports that the target has refused the request without running it, although it is the one that was meant. */
	refused?(): void;
	/** Whether the request may still be sent. To be checked at the moment of sending. */
	mayStart(): boolean;
};

export type PlaceResult
	= | {readonly kind: 'placed'; readonly place: Place}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string};

export type PlaceRequest = {
	readonly call: Call;
	/** Whether the caller already has a part of the response, so that its stream is being resumed. */
	readonly hasBegun: boolean;
	/** The ids of the targets already tried for this call; they are used again only if no other target is left. */
	readonly tried: ReadonlySet<string>;
	/** The ids of the targets that must not be used now. */
	readonly excluded: ReadonlySet<string>;
	readonly signal: AbortSignal;
};

/** Chooses the target of a call, or returns why no target can take it now. */
export type Placer = (request: PlaceRequest) => Promise<PlaceResult>;

/** The retry delay suggested to the caller of a service without a target, in milliseconds. The list of targets changes within about this time. */
const noTargetRetryAfterMs = 500;

/** The assumed latency of a target while no target of its service has a measured latency, in milliseconds. */
const defaultLatencyMs = 20;

/**
Creates the placer for plain services. It chooses the target with the lowest cost: the
number of requests in flight there, including this one, times the recent latency. A
target without a measured latency counts as faster than the fastest one, so that it
gets a call and its latency is measured.

The placer is meant for few small calls from several entries, where a target that has
become slow must lose its share of the calls within a few responses.

@example
const placer = createPlainPlacer({targets, ejection, nowMs, random, zone: 'a'});
*/
export function createPlainPlacer({targets, ejection, nowMs, random, zone}: {
	readonly targets: Targets;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	readonly random: () => number;
	readonly zone: string;
}): Placer {
	return async ({call, tried, excluded}) => {
		const serving = targets.servingTargets(call).filter(({record}) => !excluded.has(record.id));
		const untried = serving.filter(({record}) => !tried.has(record.id));
		const candidates = (untried.length > 0 ? untried : serving).map(target => ({target, health: target.health, ownTokens: target.inFlight}));
		const usable = withoutEjected(candidates, nowMs(), ejection).map(({target}) => target);
		if (usable.length === 0) {
			return {kind: 'refused', reason: targets.absenceReason(call), retryAfterMs: noTargetRetryAfterMs};
		}

		const lowestLatencyMs = Math.min(...usable.map(({latencyMs}) => latencyMs ?? Number.POSITIVE_INFINITY));
		const assumedLatencyMs = Number.isFinite(lowestLatencyMs) ? lowestLatencyMs * assumedLatencyRatio : defaultLatencyMs;
		const cost = (target: Target): number => (target.inFlight + 1) * (target.latencyMs ?? assumedLatencyMs) * (target.record.zone === zone ? 1 : zoneCostFactor) * (1 + (random() * jitterRatio));
		const [best] = usable.map(target => ({target, cost: cost(target)})).toSorted((a, b) => a.cost - b.cost);
		return {kind: 'placed', place: reservePlace(best.target, call)};
	};
}

/** The assumed latency of a target without a measured one, as a ratio of the lowest measured latency of its service. */
const assumedLatencyRatio = 0.5;

/** The cost factor of a target in another availability zone. Traffic between zones is charged, but an idle target there is still better than a busy one in this zone. */
const zoneCostFactor = 1.1;

/** The largest random increase of a cost, as a ratio. It keeps entries from all choosing the same target. */
const jitterRatio = 0.2;

/** Reserves a target for one attempt, without a coordinator to notify: `began` has no effect. */
export function reservePlace(target: Target, call: Pick<Call, 'allowedZones'>): Place {
	const endRequest = target.startRequest();
	return {
		target, began: () => undefined, ended: endRequest, mayStart: () => target.isServing && mayReach(call, target.record.zone),
	};
}

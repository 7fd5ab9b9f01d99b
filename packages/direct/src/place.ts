import {type RefusalReason} from '@papayaflow/outcome';
import {withoutEjected, type EjectOptions} from '@papayaflow/policy';
import {mayReach, type Call} from './call.js';
import {
	type Target, type TargetOutcome, type Targets, type ZonedCall,
} from './targets.js';

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

export type PlainChoiceOptions = {
	readonly targets: Targets;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	readonly random: () => number;
	readonly zone: string;
};

/** What a choice among the targets of a service depends on. */
export type ChoiceRequest = ZonedCall & {readonly tried: ReadonlySet<string>; readonly excluded: ReadonlySet<string>};

/** The targets from which a plain call may choose, and the one that it gets now; `undefined` if there is none. */
export type PlainChoice = {readonly usable: readonly Target[]; readonly best: Target | undefined};

/**
Returns the targets that a call may be sent to: those that have not been tried for it, or all if every one has been.

@example
candidatesOf(targets, {service: 'ledger', tried: new Set(['i-1']), excluded: new Set()});
*/
export function candidatesOf(targets: Targets, {tried, excluded, ...call}: ChoiceRequest): readonly Target[] {
	const serving = targets.servingTargets(call).filter(({record}) => !excluded.has(record.id));
	const untried = serving.filter(({record}) => !tried.has(record.id));
	return untried.length > 0 ? untried : serving;
}

/**
Chooses the target of a plain call without reserving it.

@example
const {best} = choosePlainTarget({service: 'ledger', tried: new Set(), excluded: new Set()}, options);
*/
export function choosePlainTarget(request: ChoiceRequest, {targets, ejection, nowMs, random, zone}: PlainChoiceOptions): PlainChoice {
	const candidates = candidatesOf(targets, request).map(target => ({target, health: target.health, ownTokens: target.inFlight}));
	const usable = withoutEjected(candidates, nowMs(), ejection).map(({target}) => target);
	const lowestLatencyMs = Math.min(...usable.map(({latencyMs}) => latencyMs ?? Number.POSITIVE_INFINITY));
	const assumedLatencyMs = Number.isFinite(lowestLatencyMs) ? lowestLatencyMs * assumedLatencyRatio : defaultLatencyMs;
	const cost = (target: Target): number => (target.inFlight + 1) * (target.latencyMs ?? assumedLatencyMs) * (target.record.zone === zone ? 1 : zoneCostFactor) * (1 + (random() * jitterRatio));
	const best = usable.map(target => ({target, cost: cost(target)})).toSorted((a, b) => a.cost - b.cost).at(0)?.target;
	return {usable, best};
}

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
export function createPlainPlacer(options: PlainChoiceOptions): Placer {
	return async ({call, tried, excluded}) => {
		const {best} = choosePlainTarget({
			service: call.service, allowedZones: call.allowedZones, tried, excluded,
		}, options);
		return best ? {kind: 'placed', place: reservePlace(best, call)} : {kind: 'refused', reason: options.targets.absenceReason(call), retryAfterMs: noTargetRetryAfterMs};
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

import {type RefusalReason} from '@papayaflow/outcome';
import {withoutEjected, type EjectOptions} from '@papayaflow/policy';
import {type Call} from './call.js';
import {type Target, type TargetOutcome, type Targets} from './targets.js';

/** A place for one exchange; the course of the exchange is told to it. */
export type Place = {
	readonly target: Target;
	/** The first event of a stream has come. */
	began(): void;
	ended(how: TargetOutcome): void;
};

export type Placed
	= | {readonly kind: 'placed'; readonly place: Place}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string};

export type PlaceNeed = {
	readonly call: Call;
	/** Whether its caller has a part of the answer already. */
	readonly hasBegun: boolean;
	/** Targets that have failed this call. */
	readonly tried: ReadonlySet<string>;
	readonly signal: AbortSignal;
};

/** Chooses where a call goes, or says why it can't go anywhere now. */
export type Placer = (need: PlaceNeed) => Promise<Placed>;

/** When to come back to a service that has no target, in milliseconds: about the time in which a list of targets changes. */
const noTargetRetryMs = 500;

/** What a target that was not tried yet is taken to need, in milliseconds, where none of its service is known better. */
const unknownLatencyMs = 20;

/**
Makes the placer for plain services. It takes the target that is likely to answer
first: the least of requests there, with this one, times the recent latency. A
target that was never used counts as faster than the fastest, so that it is found out.

Pattern: few small calls and several entries, where a target that turned slow must
lose its share within a few answers.

@example
const placer = createPlainPlacer({targets, ejection, nowMs, random});
*/
export function createPlainPlacer({targets, ejection, nowMs, random, zone}: {
	readonly targets: Targets;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	readonly random: () => number;
	readonly zone: string;
}): Placer {
	return async ({call, tried}) => {
		const serving = targets.of(call.service);
		const fresh = serving.filter(({record}) => !tried.has(record.id));
		const watched = (fresh.length > 0 ? fresh : serving).map(target => ({target, health: target.health, ownTokens: target.inFlight}));
		const usable = withoutEjected(watched, nowMs(), ejection).map(({target}) => target);
		if (usable.length === 0) {
			return {kind: 'refused', reason: 'noTarget', retryAfterMs: noTargetRetryMs};
		}

		const leastMs = Math.min(...usable.map(({latencyMs}) => latencyMs ?? Number.POSITIVE_INFINITY));
		const usualMs = Number.isFinite(leastMs) ? leastMs * untriedPart : unknownLatencyMs;
		const cost = (target: Target): number => (target.inFlight + 1) * (target.latencyMs ?? usualMs) * (target.record.zone === zone ? 1 : farCost) * (1 + (random() * tieSpread));
		const [best] = usable.map(target => ({target, cost: cost(target)})).toSorted((a, b) => a.cost - b.cost);
		return {kind: 'placed', place: placeAt(best.target)};
	};
}

/** What a target that was never used is taken to need of what the fastest does. */
const untriedPart = 0.5;

/** What a target in another availability zone costs more, as a factor: the bytes between zones are priced, a free target there is still better than a busy near one. */
const farCost = 1.1;

/** How far two costs may differ and still be drawn between, as a ratio, so that entries don't all take one target. */
const tieSpread = 0.2;

/** Makes the place for an exchange at a target, with nothing to tell but its end. */
export function placeAt(target: Target): Place {
	const end = target.begin();
	return {target, began: () => undefined, ended: end};
}

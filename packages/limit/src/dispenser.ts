import {type Log, type Metrics} from '@papayaflow/telemetry';
import {isLowerLimit} from './belief.js';
import {
	burstOf, createBucket, sendRate, type Bucket,
} from './bucket.js';
import {createLifetimeTable, type TargetLifetime} from './lifetimes.js';
import {type OwnedTarget} from './owner.js';

/** How long a process that takes over a target from another one grants nothing, in milliseconds: the longest time for which two processes may disagree about who grants, and the validity of a permission. */
const handOverMs = 2500;

/** How long a part of the rate is kept back for an entry that has disconnected, in milliseconds: several times what a restart takes. */
const absentEntryMs = 30_000;

/** How long an entry that may ask again still counts as one that competes for the target, in milliseconds. */
const askerMs = 2000;

/** The number of entries that may ask again as soon as there is a permission; with more, each waits for a random multiple of that time. */
const askersPerPermission = 4;

/** How long an entry that asked the wrong process waits, in milliseconds. */
const wrongDispenserRetryMs = 500;

const msPerSecond = 1000;

/** The limit of a target as its dispenser announces it. Each change has a higher version. */
export type AnnouncedLimit = {
	readonly target: TargetLifetime;
	/** Requests per second; absent if the target names no limit. */
	readonly perSecond?: number;
	readonly version: number;
};

/** A limit that an entry has seen in an answer. */
export type SeenLimit = {
	readonly target: TargetLifetime;
	/** Requests per second; absent if the answer names no limit. */
	readonly perSecond?: number;
	/** The version of the limit that the entry knew when it sent the request; absent if it knew none from this dispenser. */
	readonly basis?: number;
};

export type PermitDecision = {
	readonly isGranted: boolean;
	/** When to ask again after a denial, in milliseconds; 0 after a grant. */
	readonly retryMs: number;
};

export type DispenserOptions = {
	/** Sends a limit to all connected entries. */
	readonly announce: (limit: AnnouncedLimit) => void;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** Grants the permissions to send requests to the targets that this process owns. */
export type Dispenser = {
	/** Decides whether an entry may send one request now. `perSecond` is the limit that the entry knows. */
	ask(instance: string, request: {readonly id: string; readonly target: TargetLifetime; readonly perSecond: number}): PermitDecision;
	/** Takes in what an entry has seen. Returns the limit in force if the entry's view is out of date. */
	onSeen(instance: string, seen: SeenLimit): AnnouncedLimit | undefined;
	/** Adds an entry that has connected and returns the limits to send to it. */
	onEntryUp(instance: string): readonly AnnouncedLimit[];
	onEntryDown(instance: string): void;
	/** Replaces the targets that this process owns; what it knew about any others is forgotten. To be called when the list of targets changes. */
	setOwned(next: ReadonlyMap<string, OwnedTarget>): void;
	status(): unknown;
};

/** An owned target, with the limit that it names once it has named one. */
type TargetState = {
	readonly grantsFromMs: number;
	limit: AnnouncedLimit | undefined;
	bucket: Bucket | undefined;
	/** When each entry that has asked may ask again. */
	readonly askAgainMs: Map<string, number>;
};

/**
Creates the dispenser of one process. For each target with a limit it keeps one token
bucket, from which all entries draw. It starts empty, because it is not known what was
sent before, and a process that was chosen for a target also waits until its
predecessor must have stopped granting (rate-limit.pml: handOver).

A part of the rate is kept back for each entry that has disconnected within the last
half minute, since it may be sending its own share.

Load pattern: hundreds of entries that compete for one request a second.

@example
const dispenser = createDispenser({announce, monotonicMs, random, metrics, log});
dispenser.setOwned(ownedTargets(address, fleet));
const {isGranted, retryMs} = dispenser.ask('entry-1', {id: 'r-1', target, perSecond: 2});
*/
export function createDispenser({announce, monotonicMs, random, metrics, log}: DispenserOptions): Dispenser {
	const owned = createLifetimeTable<TargetState>();
	/** The entries that are or were connected, with the number of their connections. */
	const entries = new Map<string, {readonly connections: number; readonly seenMs: number}>();

	const connectedRatio = (): number => {
		const now = monotonicMs();
		for (const [instance, {connections, seenMs}] of entries) {
			if (connections === 0 && now - seenMs > absentEntryMs) {
				entries.delete(instance);
			}
		}

		const connected = [...entries.values()].filter(({connections}) => connections > 0).length;
		return entries.size === 0 ? 1 : Math.max(1, connected) / entries.size;
	};

	const changeConnections = (instance: string, by: number): void => {
		entries.set(instance, {connections: (entries.get(instance)?.connections ?? 0) + by, seenMs: monotonicMs()});
	};

	const setLimit = (target: TargetLifetime, state: TargetState, perSecond: number | undefined, instance: string): void => {
		const before = state.limit;
		state.limit = {target, version: (before?.version ?? 0) + 1, ...(perSecond !== undefined && {perSecond})};
		// Without a limit nothing is counted, so a bucket from before would hold tokens that were used meanwhile.
		state.bucket = perSecond === undefined ? undefined : state.bucket;
		log.info({
			target: target.id, incarnation: target.incarnation, before: before?.perSecond ?? null, perSecond: perSecond ?? null, version: state.limit.version, source: instance,
			grantsInMs: Math.max(0, Math.round(state.grantsFromMs - monotonicMs())),
		}, 'limit of an owned target changed');
		announce(state.limit);
	};

	/** Returns the bucket of a target, at the part of its rate that is not kept back. */
	const bucketOf = (state: TargetState, perSecond: number, usedRatio: number): Bucket => {
		const rate = sendRate(perSecond) * usedRatio;
		const capacity = burstOf(sendRate(perSecond));
		state.bucket ??= createBucket({
			perSecond: rate, capacity, tokens: 0, monotonicMs,
		});
		state.bucket.setRate(rate, capacity);
		return state.bucket;
	};

	/** Returns the number of entries that have asked and will probably ask again. */
	const countAskers = ({askAgainMs}: TargetState): number => {
		const now = monotonicMs();
		for (const [entry, againMs] of askAgainMs) {
			if (now - againMs > askerMs) {
				askAgainMs.delete(entry);
			}
		}

		return askAgainMs.size;
	};

	const decide = (state: TargetState, instance: string, usedRatio: number): PermitDecision => {
		const perSecond = state.limit?.perSecond;
		if (perSecond === undefined) {
			return {isGranted: true, retryMs: 0};
		}

		const heldMs = state.grantsFromMs - monotonicMs();
		if (heldMs > 0) {
			return {isGranted: false, retryMs: heldMs};
		}

		// The bucket is created, and empty, only now: what was granted until now is not known.
		const bucket = bucketOf(state, perSecond, usedRatio);
		state.askAgainMs.set(instance, monotonicMs());
		if (bucket.tryTake()) {
			return {isGranted: true, retryMs: 0};
		}

		const competing = Math.max(0, countAskers(state) - askersPerPermission) / askersPerPermission;
		const retryMs = bucket.waitMs() + (random() * competing * msPerSecond / sendRate(perSecond));
		state.askAgainMs.set(instance, monotonicMs() + retryMs);
		return {isGranted: false, retryMs};
	};

	return {
		ask(instance, {id, target, perSecond}) {
			const state = owned.get(target);
			if (state && !state.limit) {
				setLimit(target, state, perSecond, instance);
			}

			const usedRatio = connectedRatio();
			const decision = state ? decide(state, instance, usedRatio) : {isGranted: false, retryMs: wrongDispenserRetryMs};
			metrics.count('permits', {result: decision.isGranted ? 'granted' : 'denied'});
			log.info({
				requestId: id, entry: instance, target: target.id, perSecond: state?.limit?.perSecond ?? null, version: state?.limit?.version ?? null,
				outcome: decision.isGranted ? 'granted' : 'denied', retryMs: Math.round(decision.retryMs), absentRatio: 1 - usedRatio,
			}, 'permission decided');
			return decision;
		},
		onSeen(instance, {target, perSecond, basis}) {
			const state = owned.get(target);
			if (!state) {
				return undefined;
			}

			const {limit} = state;
			if (isLowerLimit(perSecond, limit?.perSecond) || (limit !== undefined && basis === limit.version && perSecond !== limit.perSecond)) {
				setLimit(target, state, perSecond, instance);
				return undefined;
			}

			return limit;
		},
		onEntryUp(instance) {
			changeConnections(instance, 1);
			return owned.entries().flatMap(([, {limit}]) => limit ?? []);
		},
		onEntryDown(instance) {
			changeConnections(instance, -1);
		},
		setOwned(next) {
			const lifetimes = [...next].map(([id, {incarnation}]) => ({id, incarnation}));
			owned.retain(lifetimes);
			for (const target of lifetimes.filter(lifetime => !owned.get(lifetime))) {
				owned.set(target, {
					grantsFromMs: next.get(target.id)!.isBeside ? Number.NEGATIVE_INFINITY : monotonicMs() + handOverMs, limit: undefined, bucket: undefined, askAgainMs: new Map(),
				});
			}
		},
		status: () => ({
			entries: entries.size, connectedRatio: connectedRatio(), limits: owned.entries().flatMap(([, {limit}]) => limit
				? [{id: limit.target.id, perSecond: limit.perSecond ?? null, version: limit.version}]
				: []),
		}),
	};
}

import {
	afterFailure, afterSuccess, healthy, type EjectOptions, type Health,
} from '@papayaflow/policy';
import {LRUCache} from 'lru-cache';
import {
	addressOf, isSameTarget, latestByAddress, type TargetRecord,
} from '@papayaflow/routing';
import {tryConnect} from './connection-trial.js';
import {createPool, type Pool} from './pool.js';
import {createReachability} from './reachability.js';

/** The weight of a new sample in the moving average of a target's latency. */
const latencyWeight = 0.2;

/** The number of lifetimes of targets that are remembered as leaving. */
const maxLeavingLifetimes = 4096;

/** A target with this entry's own measurements of it. */
export type Target = {
	readonly record: TargetRecord;
	/** The target's `IP:PORT`. */
	readonly address: string;
	readonly pool: Pool;
	/** Requests of this entry in flight at the target. */
	readonly inFlight: number;
	/** The moving average latency of this entry's requests at the target, in milliseconds; `undefined` before the first success. */
	readonly latencyMs: number | undefined;
	readonly health: Health;
	/** Whether the target is no longer at its address although it is still registered there. */
	readonly isGone: boolean;
	/** Whether the target has said that it leaves, in its registration or in an answer. */
	readonly isLeaving: boolean;
	/** Whether the target takes new requests. */
	readonly isServing: boolean;
	/** Whether the target has accepted the last connection of this entry. */
	readonly isReachable: boolean;
	/** Records the start of a request; call the returned function with the outcome of the request. */
	startRequest(): (outcome: TargetOutcome) => void;
	/** Records that the target has accepted no connection, so that it takes no requests until it accepts one. */
	markUnreachable(): void;
	/** Records that the target is no longer at its address, so that it takes no requests until it registers again. */
	markGone(): void;
	/** Records that the target has said that it leaves, so that it takes no requests in this lifetime. */
	markLeaving(): void;
};

/** The outcome of a request as it affects the health of its target; `neutral` and `rejected` leave it unchanged. */
export type TargetOutcome = 'served' | 'failed' | 'rejected' | 'neutral';

export type Targets = {
	/** Replaces the list of targets. Measurements of targets that are removed or have restarted are discarded. */
	update(records: readonly TargetRecord[]): void;
	/** Returns the addresses at which a service has targets that are leaving, by an answer or by their registration, or that accept no connection, but none that takes requests. */
	departingAddresses(service: string): readonly string[];
	/** Returns the targets of a service that take new requests. Among several targets registered at one address, only the latest that is not gone and has a known service counts. */
	servingTargets(service: string): readonly Target[];
	byId(id: string): Target | undefined;
	all(): readonly Target[];
};

export type TargetsOptions = {
	readonly connectMs: number;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	/** Whether the configuration names a service. A registration that names another one hides no target at its address; after a change, `update` is to be called. */
	readonly isKnownService: (service: string) => boolean;
	/** Called when a target is added, removed, leaving, found to be gone, accepts no connection or accepts one again. */
	readonly onChange: (change: 'added' | 'removed' | 'leaving' | 'gone' | 'unreachable' | 'reachable', record: TargetRecord) => void;
};

/** A target whose record the list replaces when its registration changes. */
type ListedTarget = Target & {
	readonly replaceRecord: (record: TargetRecord) => void;
	/** Ends the trials of the target and closes its connections. */
	readonly close: () => void;
};

type CreateTargetOptions = TargetsOptions & {
	/** Called when the target is found to be gone. */
	readonly onGone: () => void;
	/** The lifetimes that have said that they leave, as `ID/INCARNATION`. */
	readonly leaving: LRUCache<string, true>;
};

/**
Creates the list of targets, with this entry's own measurements of each.

@example
targets.update(records);
const [first] = targets.servingTargets('ledger');
*/
export function createTargets(options: TargetsOptions): Targets {
	/** The lifetimes that have said that they leave. They are remembered when their registrations lapse, as these may come back. */
	const leaving = new LRUCache<string, true>({max: maxLeavingLifetimes});
	let targets = new Map<string, ListedTarget>();
	/** The targets that count at their addresses, of the present list; `undefined` after a change. */
	let latest: readonly Target[] | undefined;
	const onGone = (): void => {
		latest = undefined;
	};

	const latestTargets = (): readonly Target[] => {
		const present = [...targets.values()].filter(({record, isGone}) => !isGone && options.isKnownService(record.service));
		return [...latestByAddress(present.map(({record}) => record)).values()].map(({id}) => targets.get(id)!);
	};

	return {
		update(records) {
			const next = new Map<string, ListedTarget>();
			for (const record of records) {
				const known = targets.get(record.id);
				const isSame = known !== undefined && isSameIncarnation(known.record, record);
				if (!isSame) {
					known?.close();
					options.onChange('added', record);
					next.set(record.id, createTarget(record, {...options, onGone, leaving}));
					continue;
				}

				if (record.state === 'leaving' && known.record.state !== 'leaving') {
					options.onChange('leaving', record);
				}

				if (!isSameTarget(known.record, record)) {
					known.replaceRecord(record);
				}

				next.set(record.id, known);
			}

			for (const [id, target] of targets) {
				if (!next.has(id)) {
					options.onChange('removed', target.record);
					target.close();
				}
			}

			targets = next;
			latest = undefined;
		},
		servingTargets(service) {
			latest ??= latestTargets();
			return latest.filter(({record, isServing, isReachable}) => record.service === service && isServing && isReachable);
		},
		departingAddresses(service) {
			const departing = [...targets.values()].filter(({record, isServing, isReachable, isGone}) => record.service === service && !(isServing && isReachable) && !isGone);
			const serving = new Set(departing.length === 0 ? [] : this.servingTargets(service).map(({address}) => address));
			return departing.map(({address}) => address).filter(address => !serving.has(address));
		},
		byId: id => targets.get(id),
		all: () => [...targets.values()],
	};
}

function createTarget(initialRecord: TargetRecord, {connectMs, ejection, nowMs, onChange, onGone, leaving}: CreateTargetOptions): ListedTarget {
	let record = initialRecord;
	let inFlight = 0;
	let latencyMs: number | undefined;
	let health = healthy;
	let isGone = false;
	const lifetime = `${initialRecord.id}/${initialRecord.incarnation}`;
	let isLeaving = leaving.has(lifetime);
	const pool = createPool({
		host: initialRecord.host, port: initialRecord.port, connectMs, nowMs,
	});
	const reachability = createReachability({
		tryConnect: async () => await tryConnect(initialRecord.host, initialRecord.port, connectMs) === 'accepted',
		onChange(isReachable) {
			onChange(isReachable ? 'reachable' : 'unreachable', record);
		},
	});
	return {
		address: addressOf(initialRecord),
		pool,
		get record() {
			return record;
		},
		get inFlight() {
			return inFlight;
		},
		get latencyMs() {
			return latencyMs;
		},
		get health() {
			return health;
		},
		get isGone() {
			return isGone;
		},
		get isLeaving() {
			return isLeaving || record.state === 'leaving';
		},
		get isServing() {
			return record.state === 'serving' && !isGone && !isLeaving;
		},
		get isReachable() {
			return reachability.isReachable();
		},
		replaceRecord(next) {
			record = next;
		},
		close() {
			reachability.stop();
			pool.close();
		},
		startRequest() {
			const startedMs = nowMs();
			let hasEnded = false;
			inFlight++;
			return outcome => {
				if (hasEnded) {
					return;
				}

				hasEnded = true;
				inFlight--;
				if (outcome === 'served') {
					const tookMs = nowMs() - startedMs;
					latencyMs = latencyMs === undefined ? tookMs : latencyMs + ((tookMs - latencyMs) * latencyWeight);
					health = afterSuccess();
				} else if (outcome === 'failed') {
					health = afterFailure(health, nowMs(), ejection);
				}
			};
		},
		markUnreachable: reachability.onUnreachable,
		markGone() {
			if (!isGone) {
				isGone = true;
				onGone();
				onChange('gone', record);
				pool.dropIdle();
			}
		},
		markLeaving() {
			if (!isLeaving) {
				isLeaving = true;
				leaving.set(lifetime, true);
				onChange('leaving', record);
			}
		},
	};
}

/** Whether two records belong to the same process of a target at the same address. */
function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
	return a.incarnation === b.incarnation && a.host === b.host && a.port === b.port && a.service === b.service;
}

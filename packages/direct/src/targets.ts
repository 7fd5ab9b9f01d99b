import {type RefusalReason} from '@papayaflow/outcome';
import {
	afterFailure, afterSuccess, healthy, type EjectOptions, type Health,
} from '@papayaflow/policy';
import {LRUCache} from 'lru-cache';
import {
	addressOf, isSameTarget, latestByAddress, type TargetRecord,
} from '@papayaflow/routing';
import {mayReach, type Call} from './call.js';
import {tryConnect} from './connection-trial.js';
import {createPool, type Pool} from './pool.js';
import {createReachability} from './reachability.js';

/** The weight of a new sample in the moving average of a target's latency. */
const latencyWeight = 0.2;

/** The number of lifetimes of targets that are remembered after their registrations have lapsed, and as leaving. */
const maxRememberedLifetimes = 4096;

/** How long what is known of a target is remembered after its registration has lapsed, in milliseconds. */
const rememberedMs = 3_600_000;

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
	/** Whether the target takes new requests; none in an evacuated zone does. */
	readonly isServing: boolean;
	/** Whether the target has accepted the last connection of this entry. */
	readonly isReachable: boolean;
	/** Records the start of a request; call the returned function with the outcome of the request. */
	startRequest(): (outcome: TargetOutcome) => void;
	/** Records that the target has accepted no connection, so that it takes no requests until it accepts one. */
	markUnreachable(): void;
	/** Records that another target has refused a request sent at `sentMs`, so that this one takes none until it registers again. Has no effect if it has done so since. */
	markGone(sentMs: number): void;
	/** Records that the target has said that it leaves, so that it takes no requests in this lifetime. */
	markLeaving(): void;
};

/** The outcome of a request as it affects the health of its target; `neutral` and `rejected` leave it unchanged. */
export type TargetOutcome = 'served' | 'failed' | 'rejected' | 'neutral';

/** The parts of a call that decide which targets it may reach. */
export type ZonedCall = Pick<Call, 'service' | 'allowedZones'>;

export type Targets = {
	/**
	Replaces the list of targets. What is known of a target is kept for its lifetime: its
	registration may lapse and come back, and calls that run meanwhile learn more. A target
	that has restarted starts anew.
	*/
	update(records: readonly TargetRecord[]): void;
	/** Returns the addresses at which a service has targets that are leaving, by an answer or by their registration, or that accept no connection, but none that takes requests. Those in evacuated zones are left out. */
	departingAddresses(service: string): readonly string[];
	/** Returns the availability zones in which the service of a call has targets that must not get it, because the zone is evacuated or the call may not reach it. */
	closedZones(call: ZonedCall): readonly string[];
	/** Returns why no target takes a call: `noTargetInRegion` if all targets of its service are where it may not reach them, `zoneEvacuated` if the others are in evacuated zones. */
	absenceReason(call: ZonedCall): Extract<RefusalReason, 'noTargetInRegion' | 'zoneEvacuated' | 'noTarget'>;
	/** Returns the targets that may get a new call of a service. Among several targets registered at one address, only the latest that is not gone and has a known service counts. */
	servingTargets(call: ZonedCall): readonly Target[];
	byId(id: string): Target | undefined;
	all(): readonly Target[];
};

export type TargetsOptions = {
	readonly connectMs: number;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	/** Whether the configuration names a service. A registration that names another one hides no target at its address; after a change, `update` is to be called. */
	readonly isKnownService: (service: string) => boolean;
	/** Whether the targets of an availability zone get no new requests, by order of the operator; asked at each use of a target. */
	readonly isEvacuated?: (zone: string) => boolean;
	/** Called when a target that has refused connections accepts one: it has started again, since a target that is only cut off refuses none. */
	readonly onRestarted?: (record: TargetRecord) => void;
	/** Called when a target is added, removed, leaving, found to be gone, accepts no connection or accepts one again. */
	readonly onChange: (change: 'added' | 'removed' | 'leaving' | 'gone' | 'unreachable' | 'reachable', record: TargetRecord) => void;
};

/** A target whose record the list replaces when its registration changes. */
type ListedTarget = Target & {
	readonly replaceRecord: (record: TargetRecord) => void;
	/** Ends the trials of the target and closes its connections while it is not registered. */
	readonly suspend: () => void;
	/** Takes the target in use again with the registration that has come back. */
	readonly resume: (record: TargetRecord) => void;
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
const [first] = targets.servingTargets({service: 'ledger'});
*/
export function createTargets(options: TargetsOptions): Targets {
	/** The lifetimes that have said that they leave, at whichever address. */
	const leaving = new LRUCache<string, true>({max: maxRememberedLifetimes});
	/** The targets whose registrations have lapsed, by lifetime. Each comes back as the same object, which the calls that run there hold. */
	const lapsed = new LRUCache<string, ListedTarget>({max: maxRememberedLifetimes, ttl: rememberedMs});
	let targets = new Map<string, ListedTarget>();
	/** The targets that count at their addresses, of the present list; `undefined` after a change. */
	let latest: readonly Target[] | undefined;
	const {isEvacuated = () => false} = options;
	const onGone = (): void => {
		latest = undefined;
	};

	/** Takes back the target whose registration lapsed, if it is still at the same address; `undefined` if there is none. */
	const returned = (record: TargetRecord): ListedTarget | undefined => {
		const lifetime = lifetimeOf(record);
		const target = lapsed.get(lifetime);
		if (!target || !isSameIncarnation(target.record, record)) {
			return undefined;
		}

		lapsed.delete(lifetime);
		target.resume(record);
		return target;
	};

	const zonesOf = (service: string): readonly string[] => [...new Set([...targets.values()].filter(({record}) => record.service === service).map(({record}) => record.zone))];

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
					options.onChange('added', record);
					next.set(record.id, returned(record) ?? createTarget(record, {...options, onGone, leaving}));
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
				if (next.get(id) !== target) {
					target.suspend();
					lapsed.set(lifetimeOf(target.record), target);
				}

				if (!next.has(id)) {
					options.onChange('removed', target.record);
				}
			}

			targets = next;
			latest = undefined;
		},
		servingTargets(call) {
			latest ??= latestTargets();
			return latest.filter(({record, isServing, isReachable}) => record.service === call.service && isServing && isReachable && mayReach(call, record.zone));
		},
		departingAddresses(service) {
			const present = [...targets.values()].filter(({record, isGone}) => record.service === service && !isGone && !isEvacuated(record.zone));
			const departing = present.filter(({isServing, isReachable}) => !(isServing && isReachable));
			const serving = new Set(departing.length === 0 ? [] : this.servingTargets({service}).map(({address}) => address));
			return departing.map(({address}) => address).filter(address => !serving.has(address));
		},
		closedZones: call => zonesOf(call.service).filter(zone => isEvacuated(zone) || !mayReach(call, zone)),
		absenceReason(call) {
			const zones = zonesOf(call.service);
			const allowed = zones.filter(zone => mayReach(call, zone));
			if (zones.length === 0 || allowed.some(zone => !isEvacuated(zone))) {
				return 'noTarget';
			}

			return allowed.length === 0 ? 'noTargetInRegion' : 'zoneEvacuated';
		},
		byId: id => targets.get(id),
		all: () => [...targets.values()],
	};
}

function createTarget(initialRecord: TargetRecord, {connectMs, ejection, nowMs, isEvacuated = () => false, onChange, onRestarted = () => undefined, onGone, leaving}: CreateTargetOptions): ListedTarget {
	let record = initialRecord;
	let inFlight = 0;
	let latencyMs: number | undefined;
	let health = healthy;
	let isGone = false;
	let hasRefused = false;
	let registeredMs = nowMs();
	const lifetime = lifetimeOf(initialRecord);
	const hasSaidLeaving = (): boolean => leaving.has(lifetime);
	const pool = createPool({
		host: initialRecord.host, port: initialRecord.port, connectMs, nowMs,
	});
	const reachability = createReachability({
		async tryConnect() {
			const trial = await tryConnect(initialRecord.host, initialRecord.port, connectMs);
			hasRefused ||= trial === 'refused';
			return trial === 'accepted';
		},
		onChange(isReachable) {
			onChange(isReachable ? 'reachable' : 'unreachable', record);
			if (isReachable && hasRefused) {
				hasRefused = false;
				onRestarted(record);
			}
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
			return hasSaidLeaving() || record.state === 'leaving';
		},
		get isServing() {
			return record.state === 'serving' && !isGone && !hasSaidLeaving() && !isEvacuated(record.zone);
		},
		get isReachable() {
			return reachability.isReachable();
		},
		replaceRecord(next) {
			record = next;
		},
		suspend() {
			reachability.suspend();
			pool.close();
		},
		resume(next) {
			record = next;
			registeredMs = nowMs();
			isGone = false;
			pool.reopen();
			reachability.resume();
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
		markGone(sentMs) {
			if (!isGone && sentMs >= registeredMs) {
				isGone = true;
				onGone();
				onChange('gone', record);
				pool.dropIdle();
			}
		},
		markLeaving() {
			if (!hasSaidLeaving()) {
				leaving.set(lifetime, true);
				onChange('leaving', record);
			}
		},
	};
}

function lifetimeOf({id, incarnation}: TargetRecord): string {
	return `${id}/${incarnation}`;
}

/** Whether two records belong to the same process of a target at the same address. */
function isSameIncarnation(a: TargetRecord, b: TargetRecord): boolean {
	return a.incarnation === b.incarnation && a.host === b.host && a.port === b.port && a.service === b.service;
}

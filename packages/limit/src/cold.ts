import {type ColdShare} from '@papayaflow/policy';
import {type ColdService, type TargetRecord} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {LRUCache} from 'lru-cache';

/** How many targets are remembered after their registrations have lapsed, so that one which comes back within its lifetime does not count as started. */
const maxKnownTargets = 10_000;

/** How long the first reports of coordinators may be too low, in milliseconds. A coordinator that has just started is not connected to all entries yet. */
const settleMs = 5000;

/** The fewest entries that are assumed while none are reported. */
const minAssumedEntries = 16;

/** The most entries per target that are assumed while none are reported. Fleets have about one entry for two to thirteen targets. */
const entriesPerTarget = 0.5;

/** The permission to send one request to a target. */
export type ColdReservation = {
	/** Returns whether the request may be sent now; to be asked once, at the moment of sending. */
	use(): boolean;
	/** Gives the permission back if the request was not sent. */
	release(): void;
};

/** The targets that are cold, as one process knows, and its share of the requests that they may get. */
export type ColdTargets = {
	/** Takes in the registrations. All but those of the first non-empty list count as started during traffic when they are new. */
	update(records: readonly TargetRecord[]): void;
	/** Records that a target said that it is cold for this long, in milliseconds. */
	onStated(record: TargetRecord, ms: number): void;
	/** Records that targets have started again, or got no requests for long, although no registration says yet that they are cold. */
	onStarted(records: readonly TargetRecord[]): void;
	/** Whether any target is cold. */
	isActive(): boolean;
	isCold(record: TargetRecord): boolean;
	/** How long this process may send a target nothing, in milliseconds; 0 if it may send now. */
	waitMs(record: TargetRecord): number;
	/** Reserves the next request to a target; `undefined` if it may get none now. While the reservation is neither used nor released, the target gets no other one. */
	reserve(record: TargetRecord): ColdReservation | undefined;
	/** Logs which targets are no longer cold; to be called regularly. */
	tick(): void;
	status(): unknown;
};

export type ColdTargetsOptions = {
	/** The figures of a service; `undefined` if its targets are never cold. */
	readonly service: (name: string) => ColdService | undefined;
	/** This process's share of a service's rate. */
	readonly share: (perSecond: number) => ColdShare;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

type ColdState = {
	readonly record: TargetRecord;
	readonly perSecond: number;
	untilMs: number;
	/** When the next request may be sent. */
	nextMs: number;
	isReserved: boolean;
};

/**
Creates an empty table of cold targets. It needs no messages: a target is cold from the
time that its registration or one of its answers says so, or that it starts during
traffic, by this process's own clock.

@example
const cold = createColdTargets({service, share: perSecond => coldShare({perSecond, overrun: 1.5, slack: 5, entries: 16}), monotonicMs, random, metrics, log});
cold.update(records);
*/
export function createColdTargets({service, share, monotonicMs, random, metrics, log}: ColdTargetsOptions): ColdTargets {
	const states = new Map<string, ColdState>();
	/** The lifetime and the revision of each registration that was taken in. */
	const known = new LRUCache<string, {readonly incarnation: number; readonly registeredAt: number}>({max: maxKnownTargets});
	let present: ReadonlySet<string> = new Set();
	let hasBegun = false;

	const stateOf = ({id}: TargetRecord): ColdState | undefined => {
		const state = states.get(id);
		return state && state.untilMs > monotonicMs() ? state : undefined;
	};

	const extend = (record: TargetRecord, ms: number, source: 'registration' | 'answer' | 'start'): void => {
		const cold = service(record.service);
		const now = monotonicMs();
		const state = stateOf(record);
		if (!cold || cold.perSecond <= 0 || ms <= 0) {
			return;
		}

		if (state) {
			state.untilMs = Math.max(state.untilMs, now + ms);
			return;
		}

		const {spacingMs, lapseMs} = share(cold.perSecond);
		states.set(record.id, {
			record, perSecond: cold.perSecond, untilMs: now + ms, nextMs: Number.isFinite(lapseMs) ? now + (random() * spacingMs) : now, isReserved: false,
		});
		log.info({
			target: record.id, service: record.service, incarnation: record.incarnation, coldMs: Math.round(ms), source, spacingMs: Math.round(spacingMs),
		}, 'target is cold');
	};

	/** Returns when the next request may be sent; moments that have lapsed are skipped. */
	const nextMsOf = (state: ColdState): number => {
		const {spacingMs, lapseMs} = share(state.perSecond);
		const lateMs = monotonicMs() - state.nextMs - lapseMs;
		if (lateMs > 0) {
			state.nextMs += Math.ceil(lateMs / spacingMs) * spacingMs;
		}

		return state.nextMs;
	};

	const onSent = (state: ColdState): void => {
		const {spacingMs, lapseMs} = share(state.perSecond);
		state.nextMs = (Number.isFinite(lapseMs) ? state.nextMs : monotonicMs()) + spacingMs;
	};

	const waitMs = (record: TargetRecord): number => {
		const state = stateOf(record);
		if (!state) {
			return 0;
		}

		const now = monotonicMs();
		const untilNextMs = Math.max(nextMsOf(state) - now, state.isReserved ? share(state.perSecond).spacingMs : 0);
		return Math.max(0, Math.min(untilNextMs, state.untilMs - now));
	};

	return {
		update(records) {
			for (const record of records) {
				const cold = service(record.service);
				const before = known.get(record.id);
				// Targets that don't say when they started can't be told from the ones before them.
				const isStarted = before?.incarnation !== record.incarnation || (record.incarnation === 0 && !present.has(record.id));
				if (isStarted && hasBegun && cold) {
					extend(record, Math.max(cold.startMs, record.warmingMs), 'start');
				} else if (before?.registeredAt !== record.registeredAt) {
					extend(record, record.warmingMs, 'registration');
				}

				known.set(record.id, record);
			}

			present = new Set(records.map(({id}) => id));
			hasBegun ||= records.length > 0;
		},
		onStated(record, ms) {
			extend(record, ms, 'answer');
		},
		onStarted(records) {
			for (const record of records) {
				extend(record, service(record.service)?.startMs ?? 0, 'start');
			}
		},
		isActive: () => states.size > 0,
		isCold: record => stateOf(record) !== undefined,
		waitMs,
		reserve(record) {
			if (waitMs(record) > 0) {
				metrics.count('cold_denials');
				return undefined;
			}

			const reserved = stateOf(record);
			let isHeld = reserved !== undefined;
			if (reserved) {
				reserved.isReserved = true;
			}

			const release = (): void => {
				if (reserved && isHeld) {
					isHeld = false;
					reserved.isReserved = false;
				}
			};

			return {
				use() {
					const wasHeld = isHeld;
					release();
					const state = stateOf(record);
					if (!state) {
						return true;
					}

					// The target has become cold since, or the reserved moment has passed before the connection was open.
					if (!(wasHeld && state === reserved) && waitMs(record) > 0) {
						metrics.count('cold_denials');
						return false;
					}

					onSent(state);
					return true;
				},
				release,
			};
		},
		tick() {
			const now = monotonicMs();
			for (const [id, {record, untilMs}] of states) {
				if (untilMs <= now) {
					states.delete(id);
					log.info({target: id, service: record.service, incarnation: record.incarnation}, 'target is warm');
				}
			}
		},
		status: () => [...states].map(([id, state]) => ({id, remainingMs: Math.max(0, Math.round(state.untilMs - monotonicMs()))})),
	};
}

/**
Creates an estimate of the number of entries that share a cold target. The largest number
that a coordinator has reported counts for good, since entries that a partition hides send
requests too. Before the reports have settled, many entries are assumed, by the number of targets.

@example
const entries = createEntryEstimate({reported: () => groupPlacer.entries(), targets: () => directory.records().length, monotonicMs});
entries(); // 39, with 77 targets and no report yet
*/
export function createEntryEstimate({reported, targets, monotonicMs}: {
	readonly reported: () => number | undefined; readonly targets: () => number; readonly monotonicMs: () => number;
}): () => number {
	let largest = 1;
	let firstReportMs: number | undefined;
	return () => {
		const count = reported();
		if (count !== undefined) {
			firstReportMs ??= monotonicMs();
			largest = Math.max(largest, count);
		}

		const isSettled = firstReportMs !== undefined && monotonicMs() - firstReportMs >= settleMs;
		return isSettled ? largest : Math.max(largest, minAssumedEntries, Math.ceil(targets() * entriesPerTarget));
	};
}

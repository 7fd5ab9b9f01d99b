import {
	afterFailure, afterSuccess, healthy, type EjectOptions, type Health,
} from '@papayaflow/policy';
import {addressOf, isSameTarget, type TargetRecord} from '@papayaflow/routing';
import {createPool, type Pool} from './pool.js';

/** The weight of one more latency in a target's mean. */
const latencyWeight = 0.2;

/** A target as this entry knows it. */
export type Target = {
	readonly record: TargetRecord;
	readonly pool: Pool;
	/** Requests of this entry that are there. */
	readonly inFlight: number;
	/** The recent mean latency of this entry's requests there, in milliseconds; `undefined` before the first. */
	readonly latencyMs: number | undefined;
	readonly health: Health;
	/** Whether it has left its address without a word. */
	readonly isGone: boolean;
	/** Whether new work may go there. */
	readonly isServing: boolean;
	/** Notes that a request goes there; call what it returns with the end of it. */
	begin(): (how: TargetOutcome) => void;
	/** Notes that the target has gone from its address, so that nothing more is sent before it registers again. */
	markGone(): void;
};

/** How a request at a target ended, as far as it tells of the target's health. */
export type TargetOutcome = 'served' | 'failed' | 'rejected' | 'neutral';

export type Targets = {
	/** Takes the whole list; targets that are gone or start anew are forgotten. */
	update(records: readonly TargetRecord[]): void;
	/** The targets of a service that take new work; of those registered at one address, the one that is there. */
	of(service: string): readonly Target[];
	byId(id: string): Target | undefined;
	all(): readonly Target[];
};

export type TargetsOptions = {
	readonly connectMs: number;
	readonly ejection: EjectOptions;
	readonly nowMs: () => number;
	/** Told of each change of belief in a target. */
	readonly onChange: (what: 'added' | 'removed' | 'leaving' | 'gone', record: TargetRecord) => void;
};

/**
Makes the list of targets with this entry's own knowledge of each.

@example
targets.update(records);
const [first] = targets.of('ledger');
*/
export function createTargets(options: TargetsOptions): Targets {
	let targets = new Map<string, Target & {readonly replaceRecord: (record: TargetRecord) => void}>();
	return {
		update(records) {
			const next = new Map<string, Target & {readonly replaceRecord: (record: TargetRecord) => void}>();
			for (const record of records) {
				const known = targets.get(record.id);
				const isSame = known !== undefined && isSameStart(known.record, record);
				if (!isSame) {
					known?.pool.close();
					options.onChange('added', record);
					next.set(record.id, createTarget(record, options));
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
					target.pool.close();
				}
			}

			targets = next;
		},
		of(service) {
			const present = presentByAddress([...targets.values()]);
			return present.filter(({record, isServing}) => record.service === service && isServing);
		},
		byId: id => targets.get(id),
		all: () => [...targets.values()],
	};
}

// A target that ended without a word stays registered for a while, and another one may have started at its address.
function presentByAddress(targets: readonly Target[]): readonly Target[] {
	const latest = new Map<string, Target>();
	for (const target of targets) {
		const address = addressOf(target.record);
		const other = latest.get(address);
		if (!target.isGone && (!other || other.record.registeredAt < target.record.registeredAt)) {
			latest.set(address, target);
		}
	}

	return [...latest.values()];
}

function createTarget(first: TargetRecord, {connectMs, ejection, nowMs, onChange}: TargetsOptions): Target & {readonly replaceRecord: (record: TargetRecord) => void} {
	let record = first;
	let inFlight = 0;
	let latencyMs: number | undefined;
	let health = healthy;
	let isGone = false;
	const pool = createPool({
		host: first.host, port: first.port, connectMs, nowMs,
	});
	return {
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
		get isServing() {
			return record.state === 'serving' && !isGone;
		},
		replaceRecord(next) {
			record = next;
		},
		begin() {
			const startedMs = nowMs();
			inFlight++;
			return how => {
				inFlight--;
				if (how === 'served') {
					const tookMs = nowMs() - startedMs;
					latencyMs = latencyMs === undefined ? tookMs : latencyMs + ((tookMs - latencyMs) * latencyWeight);
					health = afterSuccess();
				} else if (how === 'failed') {
					health = afterFailure(health, nowMs(), ejection);
				}
			};
		},
		markGone() {
			if (!isGone) {
				isGone = true;
				onChange('gone', record);
				pool.dropResting();
			}
		},
	};
}

/** Whether two records are of one start of a target, at one address. */
function isSameStart(a: TargetRecord, b: TargetRecord): boolean {
	return a.incarnation === b.incarnation && a.host === b.host && a.port === b.port && a.service === b.service;
}

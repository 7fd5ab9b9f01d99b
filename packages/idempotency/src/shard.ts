import {type Store} from '@papayaflow/store';
import {type Lease} from './lease.js';
import {
	decodeSegment, encodeValue, segmentKey, type LogRecord, type RecordedAnswer,
} from './segment.js';

const maxSegmentBytes = 786_432;
const recordOverheadBytes = 64;
const rewriteDelayMs = 250;

/** The state of one key. */
export type KeyState
	/** Claimed by this owner; the call has not ended yet. */
	= | {readonly kind: 'running'; readonly fingerprint: string; readonly ended: Promise<void>}
	/** Claimed without a known outcome, such as under an earlier owner: the call may have run. */
		| {readonly kind: 'claimed'; readonly fingerprint: string; readonly atMs: number}
		| {readonly kind: 'done'; readonly fingerprint: string; readonly answer: RecordedAnswer; readonly atMs: number}
		| {readonly kind: 'doneUnrecorded'; readonly fingerprint: string; readonly status: number; readonly atMs: number}
	/** The claimed call is known not to have run, so the key may be claimed again. */
		| {readonly kind: 'withdrawn'; readonly fingerprint: string; readonly atMs: number};

/** The result of an append to the log. */
export type AppendResult
	= | {readonly kind: 'recorded'}
	/** The epoch is sealed because another process has acquired the shard. */
		| {readonly kind: 'sealed'}
	/** The store did not confirm the write; the record may or may not be in the log. */
		| {readonly kind: 'unavailable'};

/** A shard in an epoch that this process owns. */
export type OwnedShard = {
	readonly epoch: number;
	/** The generation of the lease under which the shard was acquired. */
	readonly generation: number;
	readonly keys: Map<string, KeyState>;
	/** Whether the lease is still valid and no seal of this epoch has been seen. */
	isOpen(): boolean;
	/** Appends a record to the log. Records that arrive during a write are batched into the next one. */
	append(record: LogRecord): Promise<AppendResult>;
};

export type ShardOptions = {
	readonly store: Store;
	readonly service: string;
	readonly shard: number;
	readonly holder: string;
	readonly incarnation: string;
	readonly lease: Lease;
	/** Time for which records are collected into one write, in milliseconds. */
	readonly batchMs: () => number;
	/** Asks the rate limiter for one write. Returns 0 when the write may start now, else the milliseconds to wait before asking again. */
	readonly writeDelayMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Called after each write with the number of its records, for the metrics. */
	readonly onWrite?: (records: number) => void;
};

/** Computes the state of each key from the records of a log, given in log order. */
export function replay(records: readonly LogRecord[]): Map<string, KeyState> {
	const keys = new Map<string, KeyState>();
	for (const record of records) {
		const fingerprint = record.kind === 'claim' ? record.fingerprint : keys.get(record.key)?.fingerprint ?? '';
		switch (record.kind) {
			case 'claim': {
				keys.set(record.key, {kind: 'claimed', fingerprint, atMs: record.atMs});
				break;
			}

			case 'done': {
				keys.set(record.key, {
					kind: 'done', fingerprint, answer: record.answer, atMs: record.atMs,
				});
				break;
			}

			case 'doneUnrecorded': {
				keys.set(record.key, {
					kind: 'doneUnrecorded', fingerprint, status: record.status, atMs: record.atMs,
				});
				break;
			}

			case 'withdrawn': {
				keys.set(record.key, {kind: 'withdrawn', fingerprint, atMs: record.atMs});
				break;
			}
		}
	}

	return keys;
}

type QueuedRecord = {readonly record: LogRecord; readonly resolve: (result: AppendResult) => void};

type UnconfirmedSegment = {readonly value: Uint8Array; readonly records: readonly LogRecord[]};

/** Opens a shard in an epoch that this process owns, with the key states replayed from the log of the earlier epochs. */
export function openShard(options: ShardOptions, epoch: number, generation: number, keys: Map<string, KeyState>): OwnedShard {
	const {store, service, shard, holder, incarnation, lease, sleep} = options;
	const writer = `${holder}/${incarnation}/${epoch}`;
	const isSameLease = (): boolean => lease.generation() === generation;
	let isSealed = false;
	let isWriting = false;
	let index = 0;
	let queue: QueuedRecord[] = [];
	// A segment whose write was not confirmed. The same bytes are written again until the store confirms or rejects them.
	let unconfirmed: UnconfirmedSegment | undefined;

	const writeSegment = async (value: Uint8Array): Promise<AppendResult> => {
		const written = await store.write(segmentKey(service, shard, epoch, index), value, {expected: 0});
		switch (written.kind) {
			case 'written': {
				return {kind: 'recorded'};
			}

			case 'conflict': {
				// The segment found is this writer's own if an earlier attempt took effect without an answer. Any other value is the next owner's seal. (sealed-log.pml: readBack)
				const existing = written.current && decodeSegment(written.current.value);
				return existing?.kind === 'records' && existing.writer === writer ? {kind: 'recorded'} : {kind: 'sealed'};
			}

			case 'unknown': {
				return {kind: 'unavailable'};
			}
		}
	};

	const rewriteUnconfirmed = async (): Promise<void> => {
		while (unconfirmed && isSameLease() && !isSealed) {
			await sleep(rewriteDelayMs);
			const {value, records} = unconfirmed;
			const result = await writeSegment(value);
			if (result.kind === 'unavailable') {
				continue;
			}

			unconfirmed = undefined;
			isSealed = result.kind === 'sealed';
			if (!isSealed) {
				index++;
				appendOutcomes(records);
			}
		}
	};

	// Outcomes that could not be appended while the segment was unconfirmed are appended after it.
	const appendOutcomes = (records: readonly LogRecord[]): void => {
		const atMs = records.at(-1)?.atMs ?? 0;
		for (const key of new Set(records.map(record => record.key))) {
			const state = keys.get(key);
			const record = state && outcomeRecord(key, state, atMs);
			if (record) {
				void append(record);
			}
		}
	};

	const writeBatches = async (): Promise<void> => {
		isWriting = true;
		while (queue.length > 0) {
			await sleep(options.batchMs());
			// The write rate is limited. When calls arrive faster than that, more of them share one write.
			for (let pauseMs = options.writeDelayMs(); pauseMs > 0; pauseMs = options.writeDelayMs()) {
				await sleep(pauseMs);
			}

			const batch = nextBatch(queue);
			queue = queue.slice(batch.length);
			const records = batch.map(({record}) => record);
			const value = encodeValue({kind: 'records', writer, records});
			const result = await writeSegment(value);
			options.onWrite?.(batch.length);
			// The index advances only after a confirmed write, so that one segment is in flight at a time and no index is skipped.
			index += result.kind === 'recorded' ? 1 : 0;
			isSealed ||= result.kind === 'sealed';
			for (const {resolve} of batch) {
				resolve(result);
			}

			if (result.kind === 'recorded') {
				continue;
			}

			for (const {resolve} of queue) {
				resolve(result);
			}

			if (result.kind === 'unavailable') {
				unconfirmed = {value, records: [...records, ...queue.map(({record}) => record)]};
				void rewriteUnconfirmed();
			}

			queue = [];
		}

		isWriting = false;
	};

	const append = async (record: LogRecord): Promise<AppendResult> => {
		if (isSealed) {
			return {kind: 'sealed'};
		}

		// No segment can follow an unconfirmed one. The caller gets an answer at once instead of waiting for the store.
		if (unconfirmed) {
			unconfirmed = {...unconfirmed, records: [...unconfirmed.records, record]};
			return {kind: 'unavailable'};
		}

		return new Promise(resolve => {
			queue.push({record, resolve});
			if (!isWriting) {
				void writeBatches();
			}
		});
	};

	return {
		epoch,
		generation,
		keys,
		isOpen: () => !isSealed && lease.isValid() && isSameLease(),
		append,
	};
}

function outcomeRecord(key: string, state: KeyState, atMs: number): LogRecord | undefined {
	switch (state.kind) {
		case 'done': {
			return {
				kind: 'done', key, answer: state.answer, atMs,
			};
		}

		case 'doneUnrecorded': {
			return {
				kind: 'doneUnrecorded', key, status: state.status, atMs,
			};
		}

		case 'withdrawn': {
			return {kind: 'withdrawn', key, atMs};
		}

		case 'running':
		case 'claimed': {
			return undefined;
		}
	}
}

function nextBatch(queue: readonly QueuedRecord[]): readonly QueuedRecord[] {
	let bytes = 0;
	const end = queue.findIndex(({record}, position) => {
		bytes += recordOverheadBytes + record.key.length + (record.kind === 'done' ? record.answer.body.length : 0);
		return bytes > maxSegmentBytes && position > 0;
	});
	return end === -1 ? [...queue] : queue.slice(0, end);
}

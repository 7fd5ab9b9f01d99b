import {type Store} from '@papayaflow/store';
import {type Lease} from './lease.js';
import {
	decodeSegment, encodeValue, segmentKey, type LogRecord, type RecordedAnswer,
} from './segment.js';

const maxSegmentBytes = 786_432;
const recordOverheadBytes = 64;
const settlePauseMs = 250;

/** What is known of one key. */
export type KeyState
	/** Claimed by this owner and not yet ended. */
	= | {readonly kind: 'running'; readonly fingerprint: string; readonly ended: Promise<void>}
	/** Claimed under an earlier owner with no outcome: it may have run. */
		| {readonly kind: 'claimed'; readonly fingerprint: string; readonly atMs: number}
		| {readonly kind: 'done'; readonly fingerprint: string; readonly answer: RecordedAnswer; readonly atMs: number}
		| {readonly kind: 'doneUnrecorded'; readonly fingerprint: string; readonly status: number; readonly atMs: number}
	/** Claimed once, proved not to have run: it may be claimed again. */
		| {readonly kind: 'withdrawn'; readonly fingerprint: string; readonly atMs: number};

/** How an append to the log ends. */
export type AppendResult
	= | {readonly kind: 'recorded'}
	/** The epoch is sealed: another owner has taken the shard. */
		| {readonly kind: 'sealed'}
	/** The service did not answer in time; the record may stand in the log. */
		| {readonly kind: 'unavailable'};

/** The owner's view of a shard during one epoch. */
export type OwnedShard = {
	readonly epoch: number;
	readonly generation: number;
	readonly keys: Map<string, KeyState>;
	/** Whether this epoch may still be written to, as far as is known here. */
	isOpen(): boolean;
	/** Records a line; lines that come while a write is out leave together in the next. */
	append(record: LogRecord): Promise<AppendResult>;
};

export type ShardOptions = {
	readonly store: Store;
	readonly service: string;
	readonly shard: number;
	readonly holder: string;
	readonly incarnation: string;
	readonly lease: Lease;
	/** Time over which lines are gathered into one write, in milliseconds. */
	readonly batchMs: () => number;
	/** Takes leave for one write: 0 when it may go now, else how long to wait before asking again, in milliseconds. */
	readonly writePauseMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Notes a write that took several records, for the counters. */
	readonly onWrite?: (records: number) => void;
};

/** Brings the state of each key out of the lines of a log, in their order. */
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

type Waiting = {readonly record: LogRecord; readonly resolve: (result: AppendResult) => void};

type Pending = {readonly value: Uint8Array; readonly records: readonly LogRecord[]};

/** Opens an epoch that this process has raised and whose log it has read. */
export function openShard(options: ShardOptions, epoch: number, generation: number, keys: Map<string, KeyState>): OwnedShard {
	const {store, service, shard, holder, incarnation, lease, sleep} = options;
	const writer = `${holder}/${incarnation}/${epoch}`;
	const isCurrent = (): boolean => lease.generation() === generation;
	let isSealed = false;
	let isWriting = false;
	let index = 0;
	let waiting: Waiting[] = [];
	// A segment whose write got no answer. It is written again with the same bytes until its fate is known.
	let pending: Pending | undefined;

	const writeSegment = async (value: Uint8Array): Promise<AppendResult> => {
		const written = await store.write(segmentKey(service, shard, epoch, index), value, {expected: 0});
		switch (written.kind) {
			case 'written': {
				return {kind: 'recorded'};
			}

			case 'conflict': {
				// A lost answer of our own earlier try reads as our own segment; anyone else's is a seal. (sealed-log.pml: readBack)
				const found = written.current && decodeSegment(written.current.value);
				return found?.kind === 'records' && found.writer === writer ? {kind: 'recorded'} : {kind: 'sealed'};
			}

			case 'unknown': {
				return {kind: 'unavailable'};
			}
		}
	};

	const settlePending = async (): Promise<void> => {
		while (pending && isCurrent() && !isSealed) {
			await sleep(settlePauseMs);
			const {value, records} = pending;
			const result = await writeSegment(value);
			if (result.kind === 'unavailable') {
				continue;
			}

			pending = undefined;
			isSealed = result.kind === 'sealed';
			if (!isSealed) {
				index++;
				catchUp(records);
			}
		}
	};

	// What became of the keys while the service was away follows the late segment into the log.
	const catchUp = (records: readonly LogRecord[]): void => {
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
		while (waiting.length > 0) {
			await sleep(options.batchMs());
			// The store's rate is bounded: where calls come faster than writes may, more of them share one.
			for (let pauseMs = options.writePauseMs(); pauseMs > 0; pauseMs = options.writePauseMs()) {
				await sleep(pauseMs);
			}

			const batch = takeBatch(waiting);
			waiting = waiting.slice(batch.length);
			const records = batch.map(({record}) => record);
			const value = encodeValue({kind: 'records', writer, records});
			const result = await writeSegment(value);
			options.onWrite?.(batch.length);
			// The index moves on only after a write that is known to stand: one segment in flight, none skipped.
			index += result.kind === 'recorded' ? 1 : 0;
			isSealed ||= result.kind === 'sealed';
			for (const {resolve} of batch) {
				resolve(result);
			}

			if (result.kind === 'recorded') {
				continue;
			}

			for (const {resolve} of waiting) {
				resolve(result);
			}

			if (result.kind === 'unavailable') {
				pending = {value, records: [...records, ...waiting.map(({record}) => record)]};
				void settlePending();
			}

			waiting = [];
		}

		isWriting = false;
	};

	const append = async (record: LogRecord): Promise<AppendResult> => {
		if (isSealed) {
			return {kind: 'sealed'};
		}

		// While a segment's fate is open nothing can follow it, and nobody is kept waiting for it.
		if (pending) {
			pending = {...pending, records: [...pending.records, record]};
			return {kind: 'unavailable'};
		}

		return new Promise(resolve => {
			waiting.push({record, resolve});
			if (!isWriting) {
				void writeBatches();
			}
		});
	};

	return {
		epoch,
		generation,
		keys,
		isOpen: () => !isSealed && lease.isValid() && isCurrent(),
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

function takeBatch(waiting: readonly Waiting[]): readonly Waiting[] {
	let bytes = 0;
	const end = waiting.findIndex(({record}, position) => {
		bytes += recordOverheadBytes + record.key.length + (record.kind === 'done' ? record.answer.body.length : 0);
		return bytes > maxSegmentBytes && position > 0;
	});
	return end === -1 ? [...waiting] : waiting.slice(0, end);
}

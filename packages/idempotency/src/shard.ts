import {type Store} from '@papayaflow/store';
import {type Lease} from './lease.js';
import {
	decodeOwnership, decodeSegment, encodeValue, livenessKey, ownerKey, segmentKey, segmentPlace, shardPrefix,
	type LogRecord, type Ownership, type RecordedAnswer,
} from './segment.js';

const maxSegmentBytes = 786_432;
const recordOverheadBytes = 64;
const writeAttempts = 6;
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

export type AcquireResult
	= | {readonly kind: 'owned'; readonly shard: OwnedShard}
		| {readonly kind: 'elsewhere'; readonly holder: string}
		| {readonly kind: 'unavailable'; readonly detail: string};

export type ShardOptions = {
	readonly store: Store;
	readonly service: string;
	readonly shard: number;
	readonly holder: string;
	readonly incarnation: string;
	readonly lease: Lease;
	/** Time over which lines are gathered into one write, in milliseconds. */
	readonly batchMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Notes a write that took several records, for the counters. */
	readonly onWrite?: (records: number) => void;
};

/**
Takes a shard, if its owner's lease is gone: raises the epoch, seals every epoch
before it back to the last one known to be sealed, and reads the whole log.

@example
const result = await acquireShard(options);
if (result.kind === 'owned') …
*/
export async function acquireShard(options: ShardOptions): Promise<AcquireResult> {
	const {store, service, shard, lease} = options;
	const generation = lease.generation();
	if (!lease.isValid()) {
		return {kind: 'unavailable', detail: 'no lease'};
	}

	const raised = await raiseEpoch(options);
	if (raised.kind !== 'raised') {
		return raised;
	}

	// Every epoch back to the last one known sealed, not the one before alone:
	// its owner may have paused before it sealed its own predecessor. (sealed-log.pml: sealAll)
	const {ownership, revision} = raised;
	for (let epoch = ownership.sealedThrough + 1; epoch < ownership.epoch; epoch++) {
		if (!await sealEpoch(options, epoch)) {
			return {kind: 'unavailable', detail: `epoch ${epoch} is not sealed`};
		}
	}

	// Read after the seals, so that nothing can be added to what was read. (sealed-log.pml: readAfterSeal)
	const listed = await store.list(shardPrefix(service, shard));
	if (listed.kind === 'unavailable') {
		return listed;
	}

	const records = listed.entries.flatMap(entry => {
		const segment = decodeSegment(entry.value);
		return segment.kind === 'records' ? segment.records : [];
	});
	const sealed = encodeValue({...ownership, sealedThrough: ownership.epoch - 1});
	await store.write(ownerKey(service, shard), sealed, {expected: revision});
	return {kind: 'owned', shard: openShard(options, ownership.epoch, generation, replay(records))};
}

type Raised = {readonly kind: 'raised'; readonly ownership: Ownership; readonly revision: number};

async function raiseEpoch(options: ShardOptions): Promise<Raised | Exclude<AcquireResult, {kind: 'owned'}>> {
	const {store, service, shard, holder, incarnation} = options;
	const key = ownerKey(service, shard);
	const present = await store.read(key);
	if (present.kind === 'unavailable') {
		return present;
	}

	const before = present.kind === 'found' ? decodeOwnership(present.entry.value) : undefined;
	const standing = before && await standingOwner(options, before);
	if (standing) {
		return standing;
	}

	const ownership: Ownership = {
		epoch: (before?.epoch ?? 0) + 1, holder, incarnation, sealedThrough: before?.sealedThrough ?? 0,
	};
	// One owner an epoch: the swap expects the ownership that was read. (sealed-log.pml: raise)
	const written = await store.write(key, encodeValue(ownership), {expected: present.kind === 'found' ? present.entry.revision : 0});
	switch (written.kind) {
		case 'written': {
			return {kind: 'raised', ownership, revision: written.revision};
		}

		case 'conflict': {
			const winner = written.current && decodeOwnership(written.current.value);
			return winner && winner.holder !== holder ? {kind: 'elsewhere', holder: winner.holder} : {kind: 'unavailable', detail: 'raced'};
		}

		case 'unknown': {
			// This epoch may be ours and may not: the next try raises it again.
			return {kind: 'unavailable', detail: written.detail};
		}
	}
}

// An owner whose lease stands keeps its shard. Correctness rests on the seals; the lease only keeps owners from taking turns.
async function standingOwner(options: ShardOptions, before: Ownership): Promise<Exclude<AcquireResult, {kind: 'owned'}> | undefined> {
	const {store, holder, incarnation} = options;
	if (before.holder === holder && before.incarnation === incarnation) {
		return undefined;
	}

	const alive = await store.read(livenessKey(before.holder, before.incarnation));
	if (alive.kind !== 'found') {
		return alive.kind === 'unavailable' ? alive : undefined;
	}

	return before.holder === holder
		? {kind: 'unavailable', detail: 'an earlier incarnation still holds its lease'}
		: {kind: 'elsewhere', holder: before.holder};
}

/**
Removes segments of sealed epochs whose every line is older than `beforeMs` (wall
clock, milliseconds), at most `most` of them; returns how many.

A seal is never removed: where it is gone, an owner that slept could write again.
Nor is a segment of the open epoch: the next owner finds the place of its seal by
the last one.

@example
const removed = await clearSegments(options, shard.epoch, {beforeMs: Date.now() - retentionMs, most: 100});
*/
export async function clearSegments(options: ShardOptions, ownEpoch: number, {beforeMs, most}: {readonly beforeMs: number; readonly most: number}): Promise<number> {
	const listed = await options.store.list(shardPrefix(options.service, options.shard));
	if (listed.kind === 'unavailable') {
		return 0;
	}

	const old = listed.entries.filter(({key, value}) => {
		const segment = decodeSegment(value);
		return segmentPlace(key).epoch < ownEpoch && segment.kind === 'records' && segment.records.every(record => record.atMs < beforeMs);
	});
	let removed = 0;
	for (const {key, revision} of old.slice(0, most)) {
		const result = await options.store.remove(key, revision);
		removed += result.kind === 'written' ? 1 : 0;
	}

	return removed;
}

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

async function sealEpoch(options: ShardOptions, epoch: number): Promise<boolean> {
	const {store, service, shard, holder, incarnation} = options;
	const listed = await store.list(`${shardPrefix(service, shard)}${String(epoch).padStart(10, '0')}/`);
	if (listed.kind === 'unavailable') {
		return false;
	}

	const last = listed.entries.at(-1);
	if (last && decodeSegment(last.value).kind === 'seal') {
		return true;
	}

	let index = last ? segmentPlace(last.key).index + 1 : 0;
	for (let attempt = 0; attempt < writeAttempts;) {
		const sealed = await store.write(segmentKey(service, shard, epoch, index), encodeValue({kind: 'seal', writer: `${holder}/${incarnation}`}), {expected: 0});
		if (sealed.kind === 'written') {
			return true;
		}

		if (sealed.kind === 'unknown') {
			attempt++;
			continue;
		}

		if (sealed.current && decodeSegment(sealed.current.value).kind === 'seal') {
			return true;
		}

		index++;
	}

	return false;
}

type Waiting = {readonly record: LogRecord; readonly resolve: (result: AppendResult) => void};

type Pending = {readonly value: Uint8Array; readonly records: readonly LogRecord[]};

function openShard(options: ShardOptions, epoch: number, generation: number, keys: Map<string, KeyState>): OwnedShard {
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

import {
	decodeOwnership, decodeSegment, encodeValue, epochPrefix, livenessKey, ownerKey, segmentKey, parseSegmentKey, shardPrefix, type Ownership,
} from './segment.js';
import {
	openShard, replay, type OwnedShard, type ShardOptions,
} from './shard.js';

const maxWriteAttempts = 6;

export type AcquireResult
	= | {readonly kind: 'owned'; readonly shard: OwnedShard}
		| {readonly kind: 'elsewhere'; readonly holder: string}
		| {readonly kind: 'unavailable'; readonly detail: string};

/**
Acquires a shard if its owner no longer holds a lease: raises the epoch, seals all
earlier epochs that are not known to be sealed, and reads the whole log.

@example
const result = await acquireShard(options);
if (result.kind === 'owned') …
*/
export async function acquireShard(options: ShardOptions): Promise<AcquireResult> {
	const {store, service, shard, lease} = options;
	const generation = lease.generation();
	if (!lease.isValid()) {
		return {kind: 'unavailable', detail: 'this process holds no valid lease'};
	}

	const raised = await raiseEpoch(options);
	if (raised.kind !== 'raised') {
		return raised;
	}

	// Sealing only the preceding epoch is not enough, because its owner may have
	// paused before it sealed the epochs before its own. (sealed-log.pml: sealAll)
	const {ownership, revision} = raised;
	for (let epoch = ownership.sealedThrough + 1; epoch < ownership.epoch; epoch++) {
		if (!await sealEpoch(options, epoch)) {
			return {kind: 'unavailable', detail: `epoch ${epoch} could not be sealed`};
		}
	}

	// Read after sealing, so that no earlier owner can append after this read. (sealed-log.pml: readAfterSeal)
	const listed = await store.list(shardPrefix(service, shard));
	if (listed.kind === 'unavailable') {
		return listed;
	}

	const records = listed.entries.flatMap(entry => {
		const segment = decodeSegment(entry.value);
		return segment.kind === 'records' ? segment.records : [];
	});
	const sealedOwnership = encodeValue({...ownership, sealedThrough: ownership.epoch - 1});
	await store.write(ownerKey(service, shard), sealedOwnership, {expected: revision});
	return {kind: 'owned', shard: openShard(options, ownership.epoch, generation, replay(records))};
}

type RaisedEpoch = {readonly kind: 'raised'; readonly ownership: Ownership; readonly revision: number};

async function raiseEpoch(options: ShardOptions): Promise<RaisedEpoch | Exclude<AcquireResult, {kind: 'owned'}>> {
	const {store, service, shard, holder, incarnation} = options;
	const key = ownerKey(service, shard);
	const current = await store.read(key);
	if (current.kind === 'unavailable') {
		return current;
	}

	const previous = current.kind === 'found' ? decodeOwnership(current.entry.value) : undefined;
	const liveOwner = previous && await findLiveOwner(options, previous);
	if (liveOwner) {
		return liveOwner;
	}

	const ownership: Ownership = {
		epoch: (previous?.epoch ?? 0) + 1, holder, incarnation, sealedThrough: previous?.sealedThrough ?? 0,
	};
	// The compare-and-swap expects the revision that was read, so that each epoch has one owner. (sealed-log.pml: raise)
	const written = await store.write(key, encodeValue(ownership), {expected: current.kind === 'found' ? current.entry.revision : 0});
	switch (written.kind) {
		case 'written': {
			return {kind: 'raised', ownership, revision: written.revision};
		}

		case 'conflict': {
			const winner = written.current && decodeOwnership(written.current.value);
			return winner && winner.holder !== holder ? {kind: 'elsewhere', holder: winner.holder} : {kind: 'unavailable', detail: 'the ownership changed meanwhile'};
		}

		case 'unknown': {
			// It is not known whether the write took effect. The next attempt raises the epoch again.
			return {kind: 'unavailable', detail: written.detail};
		}
	}
}

// An owner with a live lease keeps its shard. That a key runs at most once depends on the seals alone. The lease
// prevents processes from acquiring the shard from each other over and over, and it lets the owner report `notRun`
// while the store is unavailable.
async function findLiveOwner(options: ShardOptions, previous: Ownership): Promise<Exclude<AcquireResult, {kind: 'owned'}> | undefined> {
	const {store, holder, incarnation} = options;
	if (previous.holder === holder && previous.incarnation === incarnation) {
		return undefined;
	}

	const alive = await store.read(livenessKey(previous.holder, previous.incarnation));
	if (alive.kind !== 'found') {
		return alive.kind === 'unavailable' ? alive : undefined;
	}

	return previous.holder === holder
		? {kind: 'unavailable', detail: 'an earlier incarnation of this instance still holds its lease'}
		: {kind: 'elsewhere', holder: previous.holder};
}

/**
Deletes at most `maxDeleted` segments of sealed epochs in which every record is
older than `beforeMs` (wall clock, milliseconds). Returns the number deleted, 0
when the store can't be read.

Seals are never deleted: without the seal, an earlier owner that was paused could
append to its epoch again. Segments of the open epoch are kept as well, because
the next owner writes its seal after the last segment that it finds.

@example
const removed = await deleteExpiredSegments(options, shard.epoch, {beforeMs: Date.now() - retentionMs, maxDeleted: 100});
*/
export async function deleteExpiredSegments(options: ShardOptions, ownEpoch: number, {beforeMs, maxDeleted}: {readonly beforeMs: number; readonly maxDeleted: number}): Promise<number> {
	const listed = await options.store.list(shardPrefix(options.service, options.shard));
	if (listed.kind === 'unavailable') {
		return 0;
	}

	const expired = listed.entries.filter(({key, value}) => {
		const segment = decodeSegment(value);
		return parseSegmentKey(key).epoch < ownEpoch && segment.kind === 'records' && segment.records.every(record => record.atMs < beforeMs);
	});
	let removed = 0;
	for (const {key, revision} of expired.slice(0, maxDeleted)) {
		const result = await options.store.remove(key, revision);
		removed += result.kind === 'written' ? 1 : 0;
	}

	return removed;
}

async function sealEpoch(options: ShardOptions, epoch: number): Promise<boolean> {
	const {store, service, shard, holder, incarnation} = options;
	const listed = await store.list(epochPrefix(service, shard, epoch));
	if (listed.kind === 'unavailable') {
		return false;
	}

	const lastSegment = listed.entries.at(-1);
	if (lastSegment && decodeSegment(lastSegment.value).kind === 'seal') {
		return true;
	}

	let index = lastSegment ? parseSegmentKey(lastSegment.key).index + 1 : 0;
	for (let attempt = 0; attempt < maxWriteAttempts;) {
		const written = await store.write(segmentKey(service, shard, epoch, index), encodeValue({kind: 'seal', writer: `${holder}/${incarnation}`}), {expected: 0});
		if (written.kind === 'written') {
			return true;
		}

		if (written.kind === 'unknown') {
			attempt++;
			continue;
		}

		if (written.current && decodeSegment(written.current.value).kind === 'seal') {
			return true;
		}

		index++;
	}

	return false;
}

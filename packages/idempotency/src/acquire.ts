import {
	decodeOwnership, decodeSegment, encodeValue, epochPrefix, livenessKey, ownerKey, segmentKey, segmentPlace, shardPrefix, type Ownership,
} from './segment.js';
import {
	openShard, replay, type OwnedShard, type ShardOptions,
} from './shard.js';

const writeAttempts = 6;

export type AcquireResult
	= | {readonly kind: 'owned'; readonly shard: OwnedShard}
		| {readonly kind: 'elsewhere'; readonly holder: string}
		| {readonly kind: 'unavailable'; readonly detail: string};

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

async function sealEpoch(options: ShardOptions, epoch: number): Promise<boolean> {
	const {store, service, shard, holder, incarnation} = options;
	const listed = await store.list(epochPrefix(service, shard, epoch));
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

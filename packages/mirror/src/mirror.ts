import {type Change, type Entry} from '@papayaflow/store';
import {LRUCache} from 'lru-cache';

/** How many removed entries are remembered: more than the targets that leave a large fleet within the age of a copy of its store. */
const maxRemovedEntries = 1000;

/** All entries under the prefix, complete up to `revision`. Some of them may be newer. */
export type Snapshot = {readonly revision: number; readonly entries: readonly Entry[]};

/** The changes that a mirror passes to its listeners. */
export type MirrorChange = {readonly changes: readonly Change[]; readonly revision: number};

/** A local copy of the store's keys under a prefix. */
export type Mirror = {
	/** The store revision up to which the mirror is complete; 0 before the first list. */
	revision(): number;
	/** The revision of the last change that listeners were notified of; 0 before the first one. */
	changedAt(): number;
	entries(): readonly Entry[];
	has(key: string): boolean;
	/** Whether the mirror holds entries of this key at all. */
	isMirrored(key: string): boolean;
	/** The entries that were added after a revision or changed after it to a value that is not equivalent. */
	changedSince(afterRevision: number): readonly Entry[];
	/** Applies changes in order, up to `revision`. Ignores changes that are older than the mirror's entry of the same key. */
	apply(changes: readonly Change[], revision: number): void;
	/**
	Replaces the content with a snapshot. Removes keys that are not in the snapshot,
	except those for which `isRetained` returns true. Ignores a snapshot that is older
	than the mirror's revision.
	*/
	replace(snapshot: Snapshot, isRetained?: (key: string) => boolean): void;
	onChange(listener: (change: MirrorChange) => void): void;
};

export type MirrorOptions = {
	/** Whether two entries of a key are equivalent, so that listeners need not be notified of the newer one. */
	readonly isEquivalent: (a: Entry, b: Entry) => boolean;
	/** Whether to hold entries of a key; by default of all. Those of other keys are neither held nor copied to peers. */
	readonly isMirrored?: (key: string) => boolean;
	/**
	Whether the content of an entry is an earlier state than the one that the mirror holds,
	although its revision is higher. A store that has come back from an older copy has such
	entries until their owners have written again; the mirror keeps the content that it holds.
	*/
	readonly isEarlierState?: (next: Entry, held: Entry) => boolean;
	/**
	Whether an entry is a state that its key had before the mirror removed it, although its
	revision is higher. The mirror ignores such an entry until its owner has written again.
	`removed` is the last entry that the mirror held; the last thousand removed entries
	are remembered.
	*/
	readonly isRemovedState?: (next: Entry, removed: Entry) => boolean;
	/** Called when the mirror ignores the content of an entry because it is an earlier state. */
	readonly onEarlierState?: (next: Entry, held: Entry) => void;
};

/**
Creates an empty mirror. An older revision of a key never replaces a newer one,
whether it arrives from the store or from a peer.

@example
const mirror = createMirror({isEquivalent: () => false});
mirror.replace({revision: 7, entries: []});
*/
export function createMirror({
	isEquivalent, isMirrored = () => true, isEarlierState = () => false, isRemovedState = () => false, onEarlierState = () => undefined,
}: MirrorOptions): Mirror {
	const entries = new Map<string, Entry>();
	/** The last entry of each key that was removed and has not been written again. */
	const removedEntries = new LRUCache<string, Entry>({max: maxRemovedEntries});
	/** The revision at which each key was added or last changed to a value that is not equivalent. */
	const changeRevisions = new Map<string, number>();
	const listeners: Array<(change: MirrorChange) => void> = [];
	let knownRevision = 0;
	let lastChangeRevision = 0;

	/** Applies a change and returns whether listeners have to be notified of it. */
	const applyChange = (change: Change): boolean => {
		const key = change.kind === 'written' ? change.entry.key : change.key;
		const held = entries.get(key);
		if (!isMirrored(key)) {
			return false;
		}

		if (change.kind === 'removed') {
			if (held === undefined || change.revision <= held.revision) {
				return false;
			}

			entries.delete(key);
			changeRevisions.delete(key);
			removedEntries.set(key, held);
			return true;
		}

		if (held && held.revision >= change.entry.revision) {
			return false;
		}

		if (held && isEarlierState(change.entry, held)) {
			entries.set(key, {...held, revision: change.entry.revision});
			onEarlierState(change.entry, held);
			return false;
		}

		const removed = held ? undefined : removedEntries.get(key);
		if (removed && isRemovedState(change.entry, removed)) {
			onEarlierState(change.entry, removed);
			return false;
		}

		removedEntries.delete(key);
		entries.set(key, change.entry);
		if (held && isEquivalent(held, change.entry)) {
			return false;
		}

		changeRevisions.set(key, change.entry.revision);
		return true;
	};

	const applyAndNotify = (changes: readonly Change[], revision: number): void => {
		knownRevision = Math.max(knownRevision, revision);
		const changesToNotify = changes.filter(change => applyChange(change));
		if (changesToNotify.length === 0) {
			return;
		}

		lastChangeRevision = Math.max(lastChangeRevision, ...changesToNotify.map(change => change.kind === 'written' ? change.entry.revision : change.revision));
		for (const listener of listeners) {
			listener({changes: changesToNotify, revision: knownRevision});
		}
	};

	return {
		revision: () => knownRevision,
		changedAt: () => lastChangeRevision,
		entries: () => [...entries.values()],
		has: key => entries.has(key),
		isMirrored,
		changedSince: afterRevision => [...entries.values()].filter(({key}) => changeRevisions.get(key)! > afterRevision),
		apply: applyAndNotify,
		replace(snapshot, isRetained = () => false) {
			if (snapshot.revision < knownRevision) {
				return;
			}

			const listed = new Set(snapshot.entries.map(({key}) => key));
			const removed = [...entries.values()]
				.filter(({key, revision}) => !listed.has(key) && revision <= snapshot.revision && !isRetained(key))
				.map(({key}): Change => ({kind: 'removed', key, revision: snapshot.revision}));
			// Entries may be newer than the snapshot's revision because a list reads its pages at different revisions.
			applyAndNotify([...snapshot.entries.map((entry): Change => ({kind: 'written', entry})), ...removed], snapshot.revision);
		},
		onChange(listener) {
			listeners.push(listener);
		},
	};
}

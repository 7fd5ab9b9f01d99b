import {type Change, type Entry} from '@papayaflow/store';

/** A whole copy at one moment, as one peer gives it to another. */
export type Snapshot = {readonly revision: number; readonly entries: readonly Entry[]};

/** What has become of the copy, for those who use it. */
export type MirrorChange = {readonly changes: readonly Change[]; readonly revision: number};

/** A copy of the keys under a prefix. */
export type Mirror = {
	/** The service's revision up to which this copy holds everything; 0 before the first list. */
	revision(): number;
	/** The revision of the last change that means anything to this project. */
	changedAt(): number;
	entries(): readonly Entry[];
	/** Takes changes in their order, up to a revision. Older ones than are held are left out. */
	apply(changes: readonly Change[], revision: number): void;
	/**
	Takes a whole copy. Keys that it lacks are removed, but those that `spares` names
	stay. One that is older than what is held is left out.
	*/
	replace(snapshot: Snapshot, spares?: (key: string) => boolean): void;
	onChange(listener: (change: MirrorChange) => void): void;
};

export type MirrorOptions = {
	/** Whether a value says the same as another of its key, so that users need not hear of it. */
	readonly isSame: (a: Entry, b: Entry) => boolean;
};

/**
Makes an empty copy. It never goes back: an older revision of a key does not take
the place of a newer one, wherever it comes from.

@example
const mirror = createMirror({isSame: () => false});
mirror.replace({revision: 7, entries: []});
*/
export function createMirror({isSame}: MirrorOptions): Mirror {
	const entries = new Map<string, Entry>();
	const listeners: Array<(change: MirrorChange) => void> = [];
	let known = 0;
	let changed = 0;

	const take = (change: Change): boolean => {
		const key = change.kind === 'written' ? change.entry.key : change.key;
		const held = entries.get(key);
		if (change.kind === 'removed') {
			return held !== undefined && change.revision > held.revision && entries.delete(key);
		}

		if (held && held.revision >= change.entry.revision) {
			return false;
		}

		entries.set(key, change.entry);
		return held === undefined || !isSame(held, change.entry);
	};

	const tell = (changes: readonly Change[], revision: number): void => {
		known = Math.max(known, revision);
		const news = changes.filter(change => take(change));
		if (news.length === 0) {
			return;
		}

		changed = Math.max(changed, ...news.map(change => change.kind === 'written' ? change.entry.revision : change.revision));
		for (const listener of listeners) {
			listener({changes: news, revision: known});
		}
	};

	return {
		revision: () => known,
		changedAt: () => changed,
		entries: () => [...entries.values()],
		apply: tell,
		replace(snapshot, spares = () => false) {
			if (snapshot.revision < known) {
				return;
			}

			const listed = new Set(snapshot.entries.map(({key}) => key));
			const removed = [...entries.values()]
				.filter(({key, revision}) => !listed.has(key) && revision <= snapshot.revision && !spares(key))
				.map(({key}): Change => ({kind: 'removed', key, revision: snapshot.revision}));
			// An entry may have been written after the moment for which the copy holds all.
			tell([...snapshot.entries.map((entry): Change => ({kind: 'written', entry})), ...removed], snapshot.revision);
		},
		onChange(listener) {
			listeners.push(listener);
		},
	};
}

import {type Entry} from '@papayaflow/store';
import {type Mirror} from './mirror.js';

/** The part of a mirror that a peer needs to bring its own mirror up to date. */
export type MirrorCopy = {
	readonly revision: number;
	/** The entries changed after the revision that the peer has; entries that were only rewritten with an equivalent value are left out. */
	readonly entries: readonly Entry[];
	/** All keys of the mirror, so that the peer can detect removed keys. */
	readonly keys: readonly string[];
};

/** Creates the copy for a peer that has all changes up to `afterRevision`. */
export function copySince(mirror: Mirror, afterRevision: number): MirrorCopy {
	return {revision: mirror.revision(), entries: mirror.changedSince(afterRevision), keys: mirror.entries().map(({key}) => key)};
}

/**
Applies a copy from a peer. Returns `incomplete` and changes nothing if the copy lists
a key whose entry is neither in the copy nor in the mirror; a later copy can still be
applied. Otherwise returns `taken`, even if the mirror ignores the copy because it is
older than the mirror's own revision.

@example
applyCopy(mirror, frame.copy);
*/
export function applyCopy(mirror: Mirror, {revision, entries, keys}: MirrorCopy): 'taken' | 'incomplete' {
	const merged = new Map(mirror.entries().map(entry => [entry.key, entry]));
	for (const entry of entries) {
		merged.set(entry.key, entry);
	}

	// A peer of an earlier version also lists the keys that this mirror does not hold.
	const mirroredKeys = keys.filter(key => mirror.isMirrored(key));
	const complete = mirroredKeys.flatMap(key => merged.get(key) ?? []);
	if (complete.length < mirroredKeys.length) {
		return 'incomplete';
	}

	mirror.replace({revision, entries: complete});
	return 'taken';
}

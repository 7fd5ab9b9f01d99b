import {type Entry} from '@papayaflow/store';
import {type Mirror} from './mirror.js';

/** What another process lacks of a mirror. */
export type MirrorCopy = {
	readonly revision: number;
	/** What was written after the revision that the other one has. */
	readonly entries: readonly Entry[];
	/** Every key there is, so that the other one can tell what was removed. */
	readonly keys: readonly string[];
};

/** Makes the copy for a process that has everything up to `after`. */
export function copySince(mirror: Mirror, after: number): MirrorCopy {
	const entries = mirror.entries();
	return {revision: mirror.revision(), entries: entries.filter(({revision}) => revision > after), keys: entries.map(({key}) => key)};
}

/**
Takes the copy of a peer. One that is older than what is held, or that names a key
which neither side has, is left out: the next one will do.

@example
takeCopy(mirror, frame.copy);
*/
export function takeCopy(mirror: Mirror, {revision, entries, keys}: MirrorCopy): 'taken' | 'incomplete' {
	const own = new Map(mirror.entries().map(entry => [entry.key, entry]));
	for (const entry of entries) {
		own.set(entry.key, entry);
	}

	const whole = keys.flatMap(key => own.get(key) ?? []);
	if (whole.length < keys.length) {
		return 'incomplete';
	}

	mirror.replace({revision, entries: whole});
	return 'taken';
}

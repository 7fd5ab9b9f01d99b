import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {type Entry} from '@papayaflow/store';

/** An entry as it is copied between processes. With an `encoding`, its value is compressed. */
export type CopiedEntry = Entry & {readonly encoding?: 'deflate'};

/** The length in bytes from which a value is compressed. Shorter ones, such as registrations, do not repeat themselves enough. */
const minCompressedBytes = 2048;

/** The level of compression: configurations shrink to about a seventh at a third of the time that the default level takes. */
const compressionLevel = 3;

/** The longest value that is expanded, in bytes. */
const maxExpandedBytes = 8_388_608;

/** The compressed form of the entries that were sent or received, so that each value is compressed once in a process. */
const compressedForms = new WeakMap<Entry, CopiedEntry>();

/**
Compresses a long value for a copy to another process; returns the entry itself if its
value is short. All processes copy each change of the configuration, dozens of them from
one entry, whose link also carries the events of its callers' streams.

@example
peer.send({kind: 'copy', copy: {...copy, entries: copy.entries.map(entry => compressEntry(entry))}});
*/
export function compressEntry(entry: Entry): CopiedEntry {
	if (entry.value.length < minCompressedBytes) {
		return entry;
	}

	const known = compressedForms.get(entry);
	if (known) {
		return known;
	}

	const compressed: CopiedEntry = {...entry, value: deflateRawSync(entry.value, {level: compressionLevel}), encoding: 'deflate'};
	compressedForms.set(entry, compressed);
	return compressed;
}

/**
Restores an entry that was copied from another process. Returns `undefined` if its value
can't be expanded, or is longer than 8 MB then.

@example
const entries = copy.entries.flatMap(entry => expandEntry(entry) ?? []);
*/
export function expandEntry(copied: CopiedEntry): Entry | undefined {
	const {encoding, ...entry} = copied;
	if (encoding === undefined) {
		return copied;
	}

	if (encoding !== 'deflate') {
		return undefined;
	}

	try {
		const expanded: Entry = {...entry, value: inflateRawSync(entry.value, {maxOutputLength: maxExpandedBytes})};
		compressedForms.set(expanded, copied);
		return expanded;
	} catch {
		return undefined;
	}
}

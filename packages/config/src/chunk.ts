import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Preset} from './preset.js';

const hashHexDigits = 20;
const organisationBuckets = 64;

/** The chunk hash of each part of a preset. A part is one field or one bucket of the organisations. */
type Manifest = Readonly<Record<string, string>>;

/** A preset split into chunks that are named by their hash. */
export type ChunkedPreset = {
	/** The hash of the manifest, which identifies this content of the preset. */
	readonly body: string;
	readonly chunks: ReadonlyMap<string, Uint8Array>;
};

/**
Splits a preset into chunks: a manifest, one chunk for each field, and the named
organisations in up to 64 buckets. An edit of one organisation changes only its
bucket and the manifest, so that few bytes are sent.

@example
const {body, chunks} = chunkPreset(preset);
*/
export function chunkPreset(preset: Preset): ChunkedPreset {
	const chunks = new Map<string, Uint8Array>();
	const manifest: Record<string, string> = {};
	const add = (value: unknown): string => {
		const bytes = Buffer.from(JSON.stringify(value));
		const hash = createHash('sha256').update(bytes).digest('hex').slice(0, hashHexDigits);
		chunks.set(hash, bytes);
		return hash;
	};

	const {organisations, ...fields} = preset;
	for (const [field, value] of Object.entries(fields)) {
		manifest[`field:${field}`] = add(value);
	}

	manifest['organisations:default'] = add(organisations.default);
	const buckets = new Map<number, Record<string, unknown>>();
	for (const name of Object.keys(organisations.named).toSorted()) {
		const index = bucketOf(name);
		const bucket = buckets.get(index) ?? {};
		bucket[name] = organisations.named[name];
		buckets.set(index, bucket);
	}

	for (const [index, bucket] of buckets) {
		manifest[`organisations:${index}`] = add(bucket);
	}

	return {body: add(manifest), chunks};
}

/**
Lists the hashes of the chunks that a preset consists of, its manifest first.
Returns `undefined` when the manifest itself is missing.
*/
export function requiredChunks(body: string, chunks: ReadonlyMap<string, Uint8Array>): readonly string[] | undefined {
	const manifest = chunks.get(body);
	return manifest && [body, ...Object.values(parse(manifest) as Manifest)];
}

/** Reassembles a preset from its chunks. Returns `undefined` when a chunk is missing. */
export function joinPreset(body: string, chunks: ReadonlyMap<string, Uint8Array>): unknown {
	const hashes = requiredChunks(body, chunks);
	if (!hashes || hashes.some(hash => !chunks.has(hash))) {
		return undefined;
	}

	const document: Record<string, unknown> = {};
	const named: Record<string, unknown> = {};
	let defaultOrganisation: unknown;
	for (const [part, hash] of Object.entries(parse(chunks.get(body)!) as Manifest)) {
		const value = parse(chunks.get(hash)!);
		const [kind, field] = part.split(':');
		if (kind === 'field') {
			document[field] = value;
		} else if (field === 'default') {
			defaultOrganisation = value;
		} else {
			Object.assign(named, value);
		}
	}

	return {...document, organisations: {default: defaultOrganisation, named}};
}

/** Checks that `bytes` have the given hash. A follower checks every chunk that it receives. */
export function matchesHash(hash: string, bytes: Uint8Array): boolean {
	return createHash('sha256').update(bytes).digest('hex').slice(0, hashHexDigits) === hash;
}

function bucketOf(name: string): number {
	return createHash('sha256').update(name).digest()[0] % organisationBuckets;
}

function parse(bytes: Uint8Array): unknown {
	return JSON.parse(Buffer.from(bytes).toString());
}

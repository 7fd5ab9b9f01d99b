import {decode, Encoder} from 'cbor-x';

/** What a target answered to a claimed call, kept so that it can be given again. */
export type RecordedAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/**
One line of the log. A `claim` says that its call may have been dispatched; the
others say what became of the claim before them: `done` with the whole answer,
`doneUnrecorded` where the answer was too large to keep, `withdrawn` where it is
proved that the claimed call did not run.
*/
export type LogRecord
	= | {readonly kind: 'claim'; readonly key: string; readonly fingerprint: string; readonly atMs: number}
		| {readonly kind: 'done'; readonly key: string; readonly answer: RecordedAnswer; readonly atMs: number}
		| {readonly kind: 'doneUnrecorded'; readonly key: string; readonly status: number; readonly atMs: number}
		| {readonly kind: 'withdrawn'; readonly key: string; readonly atMs: number};

/** One value of the log: records by their writer, or the seal that ends an epoch. */
export type Segment
	= | {readonly kind: 'records'; readonly writer: string; readonly records: readonly LogRecord[]}
		| {readonly kind: 'seal'; readonly writer: string};

/** Who owns a shard: the epoch rises by one with each owner. */
export type Ownership = {
	readonly epoch: number;
	/** The instance to which calls for this shard go. */
	readonly holder: string;
	readonly incarnation: string;
	/** The highest epoch that is known to be sealed, with every one below it. */
	readonly sealedThrough: number;
};

const root = 'papayaflow/idempotency';
const indexDigits = 10;
const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/** Names the key that tells that a process still holds its lease. */
export function livenessKey(holder: string, incarnation: string): string {
	return `${root}/alive/${holder}/${incarnation}`;
}

/** Names the key of a shard's ownership. */
export function ownerKey(service: string, shard: number): string {
	return `${root}/owner/${service}/${shard}`;
}

/** Names the prefix of a shard's segments. */
export function shardPrefix(service: string, shard: number): string {
	return `${root}/log/${service}/${shard}/`;
}

/** Names the prefix of the segments of one epoch of a shard. */
export function epochPrefix(service: string, shard: number, epoch: number): string {
	return `${shardPrefix(service, shard)}${pad(epoch)}/`;
}

/** Names the key of a segment; the keys of a shard sort by epoch, then index. */
export function segmentKey(service: string, shard: number, epoch: number, index: number): string {
	return `${epochPrefix(service, shard, epoch)}${pad(index)}`;
}

/** Reads epoch and index from the key of a segment. */
export function segmentPlace(key: string): {readonly epoch: number; readonly index: number} {
	const [epoch, index] = key.split('/').slice(-2).map(Number);
	return {epoch, index};
}

/** Encodes a segment or an ownership for the key-value service. */
export function encodeValue(value: Segment | Ownership): Uint8Array {
	return encoder.encode(value);
}

/** Decodes what `encodeValue` made of a segment. */
export function decodeSegment(bytes: Uint8Array): Segment {
	return decode(bytes) as Segment;
}

/** Decodes what `encodeValue` made of an ownership. */
export function decodeOwnership(bytes: Uint8Array): Ownership {
	return decode(bytes) as Ownership;
}

function pad(value: number): string {
	return String(value).padStart(indexDigits, '0');
}

import {decode, Encoder} from 'cbor-x';

/** The answer of a target to a claimed call, stored so that a repeated request gets the same answer. */
export type RecordedAnswer = {
	readonly status: number;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/**
One record of the log. A `claim` is written before its call is dispatched, so the
call may have run. The other kinds give the outcome of the preceding claim of the
same key: `done` with the whole answer, `doneUnrecorded` when the answer was too
large to store, `withdrawn` when the claimed call is known not to have run.
*/
export type LogRecord
	= | {readonly kind: 'claim'; readonly key: string; readonly fingerprint: string; readonly atMs: number}
		| {readonly kind: 'done'; readonly key: string; readonly answer: RecordedAnswer; readonly atMs: number}
		| {readonly kind: 'doneUnrecorded'; readonly key: string; readonly status: number; readonly atMs: number}
		| {readonly kind: 'withdrawn'; readonly key: string; readonly atMs: number};

/** One value of the log: a batch of records from one writer, or the seal that ends an epoch. */
export type Segment
	= | {readonly kind: 'records'; readonly writer: string; readonly records: readonly LogRecord[]}
		| {readonly kind: 'seal'; readonly writer: string};

/** The owner of a shard. Each change of owner raises the epoch by one. */
export type Ownership = {
	readonly epoch: number;
	/** The id of the instance that calls for this shard are routed to. */
	readonly holder: string;
	readonly incarnation: string;
	/** This epoch and all lower ones are known to be sealed. */
	readonly sealedThrough: number;
};

const keyRoot = 'papayaflow/idempotency';
const indexDigits = 10;
const encoder = new Encoder({useRecords: false, tagUint8Array: false});

/** Returns the key that exists as long as a process holds its lease. */
export function livenessKey(holder: string, incarnation: string): string {
	return `${keyRoot}/alive/${holder}/${incarnation}`;
}

/** Returns the key of a shard's ownership. */
export function ownerKey(service: string, shard: number): string {
	return `${keyRoot}/owner/${service}/${shard}`;
}

/** Returns the key prefix of a shard's segments. */
export function shardPrefix(service: string, shard: number): string {
	return `${keyRoot}/log/${service}/${shard}/`;
}

/** Returns the key prefix of the segments of one epoch of a shard. */
export function epochPrefix(service: string, shard: number, epoch: number): string {
	return `${shardPrefix(service, shard)}${pad(epoch)}/`;
}

/** Returns the key of a segment. The keys of a shard sort by epoch, then by index. */
export function segmentKey(service: string, shard: number, epoch: number, index: number): string {
	return `${epochPrefix(service, shard, epoch)}${pad(index)}`;
}

/** Parses the epoch and the index from the key of a segment. */
export function parseSegmentKey(key: string): {readonly epoch: number; readonly index: number} {
	const [epoch, index] = key.split('/').slice(-2).map(Number);
	return {epoch, index};
}

/** Encodes a segment or an ownership for the key-value service. */
export function encodeValue(value: Segment | Ownership): Uint8Array {
	return encoder.encode(value);
}

/** Decodes a segment that `encodeValue` encoded. */
export function decodeSegment(bytes: Uint8Array): Segment {
	return decode(bytes) as Segment;
}

/** Decodes an ownership that `encodeValue` encoded. */
export function decodeOwnership(bytes: Uint8Array): Ownership {
	return decode(bytes) as Ownership;
}

function pad(value: number): string {
	return String(value).padStart(indexDigits, '0');
}

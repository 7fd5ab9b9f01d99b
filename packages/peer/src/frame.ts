import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {
	type CommandResult, type GuardedCommand, type RankOrder, type RankReply, type RankView,
} from '@papayaflow/experts';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type GroupNeed} from '@papayaflow/policy';

/** The version of the frames; a peer that speaks another one is turned away. */
export const protocolVersion = 1;

/** The largest frame that is read, in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;

const headerBytes = 4;

/** A call as it travels from an entry to a sidecar. */
export type PeerRequest = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly organisation: string;
	/** 0 is served first, 9 last. */
	readonly priority: number;
	/** How long the caller still waits, in milliseconds from the frame's sending. */
	readonly deadlineMs: number;
	readonly requestId: string;
	/** Whether the call may be dispatched more than once. */
	readonly idempotent: boolean;
	/** The caller's idempotency key; claims are recorded under it. */
	readonly key?: string;
	/** The work the call is expected to bring, in tokens. */
	readonly tokens: number;
};

/** What a sidecar tells of its load; it rides on the answers' connection. */
export type LoadReport = {
	readonly queued: number;
	readonly running: number;
	readonly concurrency: number;
	/** Whether work waits, or has waited and there is little room yet. */
	readonly isBusy: boolean;
	/** The tokens of the work queued and running. */
	readonly outstandingTokens: number;
	/** The mean time from dispatch to answer, in milliseconds. */
	readonly serviceMs: number;
};

/** The head of the configuration with the chunks that the other side lacks, by hash. */
export type ConfigUpdate = {
	readonly revision: number;
	readonly head: Uint8Array;
	readonly chunks: Readonly<Record<string, Uint8Array>>;
};

/** Where a rank stands and whom its group obeys, as its sidecar knows it. */
export type RankNotice = {
	readonly group: string;
	readonly formation: number;
	readonly rank: number;
	readonly size: number;
	readonly isOpen: boolean;
	/** The rank's engine, as `IP:PORT`. */
	readonly target: string;
	/** Whether this sidecar coordinates the group: it places requests and switches maps. */
	readonly isCoordinator: boolean;
	/** Rises each time that this sidecar begins to coordinate, with nothing known of what runs. */
	readonly term: number;
};

/** A request that asks a group's coordinator for a place; it names engines where the admission has ranks. */
export type PlaceAsk = Omit<GroupNeed, 'excluded'> & {
	/** Engines that have failed it, as `IP:PORT`. */
	readonly excluded: readonly string[];
};

/** A request that runs in a group, as its entry knows it. */
export type StreamNotice = {
	readonly id: string;
	/** The engine, as `IP:PORT`. */
	readonly target: string;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly hasBegun: boolean;
};

/** A group's load, for entries that can't ask its coordinator. */
export type GroupLoad = {
	readonly running: number;
	/** Requests that the group can run at once. */
	readonly room: number;
	/** Entries that ask this coordinator. */
	readonly entries: number;
	readonly passMs: number;
};

/** A part of the key-value service's keys as one process gives it to another. */
export type StoreCopy = {
	readonly revision: number;
	/** What was written after the revision that the other one has. */
	readonly entries: ReadonlyArray<{readonly key: string; readonly value: Uint8Array; readonly revision: number}>;
	/** Every key there is. */
	readonly keys: readonly string[];
};

/**
The messages on the way of requests through sidecars, tagged by `kind`. `sentMs` is
the sender's monotonic clock in milliseconds; only differences of it mean anything.
*/
export type PathFrame
	= | {
		readonly kind: 'hello'; readonly version: number; readonly role: 'entry' | 'sidecar'; readonly instance: string;
		readonly incarnation: string; readonly zone: string; readonly sentMs: number;
		/** The ranks of a group whose engine stands beside this sidecar. */
		readonly ranks?: {readonly group: string; readonly first: number; readonly count: number};
	}
	| {readonly kind: 'request'; readonly attempt: number; readonly incarnation: string; readonly sentMs: number; readonly request: PeerRequest}
	| {readonly kind: 'cancel'; readonly attempt: number}
	| {readonly kind: 'head'; readonly attempt: number; readonly status: number; readonly headers: Readonly<Record<string, string>>}
	| {readonly kind: 'data'; readonly attempt: number; readonly bytes: Uint8Array}
	| {readonly kind: 'end'; readonly attempt: number; readonly length: number}
	| {
		readonly kind: 'refused'; readonly attempt: number; readonly reason: RefusalReason; readonly retryAfterMs: number;
		readonly detail?: string; readonly owner?: string;
		/** Whether the key-value service has just named this owner. */
		readonly standing?: boolean;
	}
	| {readonly kind: 'lost'; readonly attempt: number; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string}
	| {readonly kind: 'load'; readonly load: LoadReport}
	/** Work begins to wait before the target, or it has room again; sent on its own, so it is kept small. */
	| {readonly kind: 'busy'; readonly isBusy: boolean; readonly tokens: number}
	| {
		readonly kind: 'leaving';
		/** The sender ends once its callers have closed; what is on the way to it until then is still answered. */
		readonly isClosing?: boolean;
	}
	| {
		readonly kind: 'revision'; readonly revision: number; readonly sentMs: number;
		/** How long ago the key-value service was last known to hold just this revision, in milliseconds. */
		readonly ageMs: number;
	}
	| {readonly kind: 'pullConfig'; readonly have: readonly string[]}
	| {readonly kind: 'config'; readonly update: ConfigUpdate}
	| {readonly kind: 'order'; readonly id: number; readonly rank: number; readonly order: RankOrder}
	/** Without a reply the rank did not answer in time. */
	| {readonly kind: 'orderReply'; readonly id: number; readonly reply?: RankReply};

/** The messages of sidecars that coordinate groups, and of the entries that ask them. */
export type GroupFrame
	/** Shows that the sender lives, that it will show it again within `everyMs` milliseconds, and whether it needs to hear as often itself. */
	= | {readonly kind: 'alive'; readonly isNear: boolean; readonly everyMs: number}
		| {readonly kind: 'rank'; readonly notice: RankNotice}
		| {readonly kind: 'place'; readonly ask: PlaceAsk}
		| {readonly kind: 'placed'; readonly id: string; readonly target: string}
		| {readonly kind: 'turnedAway'; readonly id: string; readonly reason: RefusalReason; readonly retryAfterMs: number}
	/** A request runs at a target that the entry chose by itself. */
		| {readonly kind: 'running'; readonly stream: StreamNotice}
	/** All requests of an entry that run in a group: those that are not named have ended. */
		| {readonly kind: 'streams'; readonly streams: readonly StreamNotice[]}
		| {readonly kind: 'began'; readonly id: string}
		| {readonly kind: 'ended'; readonly id: string}
		| {readonly kind: 'groupLoad'; readonly group: string; readonly load: GroupLoad}
	/** How often each expert was chosen for one rank's requests in the last stretch of time: each byte times `unit`. */
		| {readonly kind: 'counts'; readonly formation: number; readonly pass: number; readonly unit: number; readonly counts: Uint8Array}
		| {readonly kind: 'command'; readonly id: number; readonly guarded: GuardedCommand}
		| {readonly kind: 'look'; readonly id: number}
		| {readonly kind: 'viewed'; readonly id: number; readonly result: CommandResult; readonly view?: RankView}
	/** The revision of the last change that the sender knows of, for those who can't ask the service. */
		| {readonly kind: 'known'; readonly changedAt: number}
		| {readonly kind: 'pull'; readonly after: number}
		| {readonly kind: 'copy'; readonly copy: StoreCopy};

/** Any message between two processes of papayaflow. */
export type Frame = PathFrame | GroupFrame;

const pathKinds = [
	'hello',
	'request',
	'cancel',
	'head',
	'data',
	'end',
	'refused',
	'lost',
	'load',
	'busy',
	'leaving',
	'revision',
	'pullConfig',
	'config',
	'order',
	'orderReply',
] as const satisfies ReadonlyArray<PathFrame['kind']>;

const groupKinds = [
	'alive',
	'rank',
	'place',
	'placed',
	'turnedAway',
	'running',
	'streams',
	'began',
	'ended',
	'groupLoad',
	'counts',
	'command',
	'look',
	'viewed',
	'known',
	'pull',
	'copy',
] as const satisfies ReadonlyArray<GroupFrame['kind']>;

const frameKinds: ReadonlySet<string> = new Set<string>([...pathKinds, ...groupKinds]);
const groupKindSet: ReadonlySet<string> = new Set<string>(groupKinds);

/** Whether a frame belongs to groups and their coordinators rather than to the way of a request. */
export function isGroupFrame(frame: Frame): frame is GroupFrame {
	return groupKindSet.has(frame.kind);
}

/** Why a connection was closed by the one who reads it. */
export type FrameFault = 'oversized' | 'malformed' | 'unknownKind' | 'wrongVersion';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({useRecords: false});

/**
Encodes a frame: four bytes of length, then the frame as cbor.

@example
socket.write(encodeFrame({kind: 'cancel', attempt: 7}));
*/
export function encodeFrame(frame: Frame): Uint8Array {
	const body = encoder.encode(frame);
	const bytes = Buffer.allocUnsafe(headerBytes + body.length);
	bytes.writeUInt32BE(body.length, 0);
	body.copy(bytes, headerBytes);
	return bytes;
}

/**
Reads the frames of a byte stream in their order. The stream ends the sequence;
a fault is yielded as the last item, and nothing after it is read.

@example
for await (const item of readFrames(socket)) {
	if (item.kind === 'fault') …
}
*/
export async function * readFrames(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<Frame | {readonly kind: 'fault'; readonly fault: FrameFault}> {
	let rest: Uint8Array = new Uint8Array(0);
	for await (const chunk of chunks) {
		rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
		while (rest.length >= headerBytes) {
			const length = new DataView(rest.buffer, rest.byteOffset).getUint32(0);
			if (length > maxFrameBytes) {
				yield {kind: 'fault', fault: 'oversized'};
				return;
			}

			if (rest.length < headerBytes + length) {
				break;
			}

			const frame = decodeFrame(rest.subarray(headerBytes, headerBytes + length));
			yield frame;
			if (frame.kind === 'fault') {
				return;
			}

			rest = rest.subarray(headerBytes + length);
		}
	}
}

function decodeFrame(bytes: Uint8Array): Frame | {readonly kind: 'fault'; readonly fault: FrameFault} {
	try {
		const value = decoder.decode(bytes) as {kind?: unknown; version?: unknown} | undefined;
		if (typeof value?.kind !== 'string' || !frameKinds.has(value.kind)) {
			return {kind: 'fault', fault: 'unknownKind'};
		}

		if (value.kind === 'hello' && value.version !== protocolVersion) {
			return {kind: 'fault', fault: 'wrongVersion'};
		}

		return value as Frame;
	} catch {
		return {kind: 'fault', fault: 'malformed'};
	}
}

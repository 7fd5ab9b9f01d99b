import {Buffer} from 'node:buffer';
import {Decoder, Encoder} from 'cbor-x';
import {
	type CommandResult, type GuardedCommand, type MapChanges, type PassCommand, type RankExperts, type RankOrder, type RankReply, type RankView,
} from '@papayaflow/experts';
import {type AnnouncedLimit, type SeenLimit, type TargetLifetime} from '@papayaflow/limit';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type PlacementRequest} from '@papayaflow/policy';
import {type AgedSuspicion} from '@papayaflow/quarantine';

/** The version of the frame format; a `hello` frame with another version is rejected. */
export const protocolVersion = 1;

/** The largest frame body that is accepted, in bytes. */
export const maxFrameBytes = 8 * 1024 * 1024;

/** The largest first frame of a connection, in bytes. The sender is not known before it. */
const maxFirstFrameBytes = 65_536;

const headerBytes = 4;

/** A call as an entry forwards it to a sidecar. */
export type PeerRequest = {
	readonly service: string;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly organisation: string;
	/** 0 is served first, 9 last. */
	readonly priority: number;
	/** The time until the caller stops waiting, in milliseconds from when the frame was sent. */
	readonly deadlineMs: number;
	readonly requestId: string;
	/** Whether the call may be dispatched more than once. */
	readonly idempotent: boolean;
	/** The caller's idempotency key, under which claims are recorded. */
	readonly key?: string;
	/** The estimated cost of the call, in tokens. */
	readonly tokens: number;
};

/** The load that a sidecar reports over the connection that also carries its answers. */
export type LoadReport = {
	readonly queued: number;
	readonly running: number;
	readonly concurrency: number;
	/** Becomes true when requests queue, and false again when none are queued and most of the concurrency is no longer in use. */
	readonly isBusy: boolean;
	/** The estimated cost of all queued and running requests, in tokens. */
	readonly outstandingTokens: number;
	/** The mean time from dispatch to answer, in milliseconds. */
	readonly serviceMs: number;
};

/** The head of the configuration and the chunks that the receiver lacks, by hash. */
export type ConfigUpdate = {
	readonly revision: number;
	readonly head: Uint8Array;
	readonly chunks: Readonly<Record<string, Uint8Array>>;
};

/** The state of a rank, announced by its sidecar, and whether that sidecar coordinates the group. */
export type RankNotice = {
	readonly group: string;
	readonly formation: number;
	readonly rank: number;
	readonly size: number;
	readonly isOpen: boolean;
	/** The address of the rank's engine, as `IP:PORT`. */
	readonly target: string;
	/** Whether this sidecar is the coordinator of the group, which places requests and switches expert maps. */
	readonly isCoordinator: boolean;
	/** Increases each time this sidecar becomes the coordinator. A new coordinator knows no running requests, so each entry reports its running requests again. */
	readonly term: number;
	/** Increases each time this sidecar asks the receiving entry for its list of streams again; absent before the first time. */
	readonly listing?: number;
};

/** Asks a group's coordinator to choose an engine for a request of an entry. Excluded engines are given by address, whereas `PlacementRequest` excludes ranks. The zone is that of the connection. */
export type PeerPlacementRequest = Omit<PlacementRequest, 'excluded' | 'zone'> & {
	/** What the request has in common with a retry of it, which has another id; absent if its caller states nothing that tells it apart. */
	readonly identity?: string;
	/** The addresses of engines that failed the request before, as `IP:PORT`. */
	readonly excluded: readonly string[];
	/** The availability zones whose engines must not get the request: evacuated zones, and those that it may not reach. A list of their addresses would be many times as long. Absent if there are none. */
	readonly excludedZones?: readonly string[];
};

/** A request that runs in a group, as its entry reports it. */
export type StreamNotice = {
	readonly id: string;
	/** The address of the engine, as `IP:PORT`. */
	readonly target: string;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly hasBegun: boolean;
};

/** The load of a group. Entries use it to place requests themselves while the group's coordinator can't be reached. */
export type GroupLoad = {
	readonly running: number;
	/** The number of requests that the group can run at once. */
	readonly room: number;
	/** The number of entries connected to the coordinator. */
	readonly entries: number;
	/** The predicted time of one pass, in milliseconds. */
	readonly passMs: number;
	/** The requests refused since the previous report, by which entries recognise their retries. */
	readonly refused?: readonly RefusedRequest[];
};

/** The identity of a refused request, and the time since its caller first sent it, in milliseconds. */
export type RefusedRequest = readonly [identity: string, waitedMs: number];

/** An update that one process sends to another for its copy of the key-value service's entries. */
export type StoreCopy = {
	readonly revision: number;
	/** The entries changed after the revision that the receiver has; the value of one with an `encoding` is compressed. */
	readonly entries: ReadonlyArray<{readonly key: string; readonly value: Uint8Array; readonly revision: number; readonly encoding?: 'deflate'}>;
	/** All keys that exist, from which the receiver finds the removed ones. */
	readonly keys: readonly string[];
};

/**
A map as a coordinator sends it: by its changes to the last map on the same connection, or
to the map in which the experts are assigned to the ranks in turn. `digest` identifies the
map that the changes lead to; a sidecar of an earlier version sends none.
*/
export type MapUpdate = {readonly digest?: string} & (
	| {readonly base: 'previous'; readonly changes: MapChanges}
	| {readonly base: 'inTurn'; readonly layers: number; readonly ranks: number; readonly expertsPerLayer: number; readonly changes: MapChanges});

/** A command to a rank as a coordinator sends it to the rank's sidecar. */
export type PeerCommand = Omit<GuardedCommand, 'command'> & {
	readonly command: Exclude<PassCommand, {kind: 'prepare'}> | {readonly kind: 'prepare'; readonly version: number; readonly map: MapUpdate};
};

/**
The frames that forward requests through sidecars, tagged by `kind`. `sentMs` is the
time on the sender's monotonic clock in milliseconds; only differences between two
frames of the same sender are meaningful.
*/
export type RequestPathFrame
	= | {
		readonly kind: 'hello'; readonly version: number; readonly role: 'entry' | 'sidecar'; readonly instance: string;
		readonly incarnation: string; readonly zone: string; readonly sentMs: number;
		/** The range of a group's ranks whose engine this sidecar serves. */
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
		/** Whether the key-value service has just confirmed that `owner` holds the lease. */
		readonly standing?: boolean;
	}
	| {readonly kind: 'lost'; readonly attempt: number; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string}
	| {readonly kind: 'load'; readonly load: LoadReport}
	/** Sent when requests begin to queue for the target and when the target has capacity again. The frame is small because it is sent on its own, not along with an answer. */
	| {readonly kind: 'busy'; readonly isBusy: boolean; readonly tokens: number}
	| {
		readonly kind: 'leaving';
		/** Whether the sender exits once its callers have closed their connections. It still answers requests that arrive before that. */
		readonly isClosing?: boolean;
	}
	| {
		readonly kind: 'revision'; readonly revision: number; readonly sentMs: number;
		/** The time since the key-value service was last known to hold exactly this revision, in milliseconds. */
		readonly ageMs: number;
	}
	| {readonly kind: 'pullConfig'; readonly have: readonly string[]}
	| {readonly kind: 'config'; readonly update: ConfigUpdate}
	| {readonly kind: 'order'; readonly id: number; readonly rank: number; readonly order: RankOrder}
	/** `reply` is absent if the rank did not answer in time. */
	| {readonly kind: 'orderReply'; readonly id: number; readonly reply?: RankReply};

/** The frames for heartbeats, for coordinating a group, for placing requests in it and for copying the key-value service's entries between processes. */
export type GroupFrame
	/** A heartbeat. `everyMs` is the sender's heartbeat interval in milliseconds; `isNear` asks the receiver to send its heartbeats at the short interval too. */
	= | {readonly kind: 'alive'; readonly isNear: boolean; readonly everyMs: number}
		| {readonly kind: 'rank'; readonly notice: RankNotice}
		| {readonly kind: 'place'; readonly ask: PeerPlacementRequest}
		| {readonly kind: 'placed'; readonly id: string; readonly target: string}
		| {readonly kind: 'turnedAway'; readonly id: string; readonly reason: RefusalReason; readonly retryAfterMs: number}
	/** A request runs at a target that the entry chose without the coordinator. */
		| {readonly kind: 'running'; readonly stream: StreamNotice}
	/**
	All requests of an entry that run in the group, and the ids of those that it has asked to
	place and has no reply to. All others have ended. Without `pending`, as processes of earlier
	versions send it, nothing is said of requests without a decision.
	*/
		| {readonly kind: 'streams'; readonly streams: readonly StreamNotice[]; readonly pending?: readonly string[]}
		| {readonly kind: 'began'; readonly id: string}
		| {readonly kind: 'ended'; readonly id: string}
		| {readonly kind: 'groupLoad'; readonly group: string; readonly load: GroupLoad}
	/** How often each expert was selected for one rank's requests since the rank's previous sample. The count of an expert is its byte in `counts` times `unit`. */
		| {readonly kind: 'counts'; readonly formation: number; readonly pass: number; readonly unit: number; readonly counts: Uint8Array}
		| {readonly kind: 'command'; readonly id: number; readonly guarded: PeerCommand}
		| {readonly kind: 'look'; readonly id: number}
		| {readonly kind: 'viewed'; readonly id: number; readonly result: CommandResult; readonly view?: RankView}
	/** A coordinator asks for the experts that the receiver's rank holds under the map in use. */
		| {readonly kind: 'askExperts'; readonly id: number}
	/** The reply to `askExperts`; without `held` if the rank did not answer. */
		| {readonly kind: 'experts'; readonly id: number; readonly held?: RankExperts}
	/** The revision of the last change known to the sender, for receivers that do not or cannot read the key-value service themselves. */
		| {
			readonly kind: 'known'; readonly changedAt: number;
			/** Whether the sender wants to be told of changes; absent in frames that do not alter that. A peer that has never said so is told. */
			readonly follows?: boolean;
		}
		/** Asks for a copy of what changed after a revision. Without `accepts`, as processes of earlier versions send it, no value is compressed. */
		| {readonly kind: 'pull'; readonly after: number; readonly accepts?: 'deflate'}
		| {readonly kind: 'copy'; readonly copy: StoreCopy}
	/** An entry asks for the permission to send one request to a target; `perSecond` is the limit that it knows. */
		| {readonly kind: 'askPermit'; readonly id: string; readonly target: TargetLifetime; readonly perSecond: number}
	/** The reply to `askPermit`; after a denial the entry may ask again `retryMs` milliseconds later. */
		| {readonly kind: 'permit'; readonly id: string; readonly isGranted: boolean; readonly retryMs: number}
	/** A limit that an entry has seen in an answer of a target. */
		| {readonly kind: 'limitSeen'; readonly seen: SeenLimit}
	/** A limit in force, from the sidecar that grants the permissions for the target. */
		| {readonly kind: 'limit'; readonly limit: AnnouncedLimit}
	/** What the sender has learned of parts of prompts that crash targets. */
		| {readonly kind: 'suspicions'; readonly suspicions: readonly AgedSuspicion[]};

/** Any frame between two processes of papayaflow. */
export type Frame = RequestPathFrame | GroupFrame;

const requestPathKinds = [
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
] as const satisfies ReadonlyArray<RequestPathFrame['kind']>;

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
	'askExperts',
	'experts',
	'known',
	'pull',
	'copy',
	'askPermit',
	'permit',
	'limitSeen',
	'limit',
	'suspicions',
] as const satisfies ReadonlyArray<GroupFrame['kind']>;

/** All kinds of frames. */
export const frameKinds: ReadonlySet<string> = new Set<string>([...requestPathKinds, ...groupKinds]);
const groupKindSet: ReadonlySet<string> = new Set<string>(groupKinds);

/** Returns whether a frame belongs to the coordination of a group and not to the forwarding of requests through sidecars. */
export function isGroupFrame(frame: Frame): frame is GroupFrame {
	return groupKindSet.has(frame.kind);
}

/** Why a reader stopped reading a connection. */
export type FrameFault = 'oversized' | 'malformed' | 'unknownKind' | 'wrongVersion';

const encoder = new Encoder({useRecords: false, tagUint8Array: false});
const decoder = new Decoder({useRecords: false});

/**
Encodes a frame as its length in four bytes (big-endian), followed by the frame as CBOR.

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
Reads the frames of a byte stream in order, until the stream ends. At the first frame
that can't be read it yields a fault as the last item and stops reading.

@example
for await (const item of readFrames(socket)) {
	if (item.kind === 'fault') …
}
*/
export async function * readFrames(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<Frame | {readonly kind: 'fault'; readonly fault: FrameFault}> {
	let buffered: Uint8Array = new Uint8Array(0);
	let maxBytes = maxFirstFrameBytes;
	for await (const chunk of chunks) {
		buffered = buffered.length === 0 ? chunk : Buffer.concat([buffered, chunk]);
		while (buffered.length >= headerBytes) {
			const length = new DataView(buffered.buffer, buffered.byteOffset).getUint32(0);
			if (length > maxBytes) {
				yield {kind: 'fault', fault: 'oversized'};
				return;
			}

			if (buffered.length < headerBytes + length) {
				break;
			}

			const frame = decodeFrame(buffered.subarray(headerBytes, headerBytes + length));
			yield frame;
			if (frame.kind === 'fault') {
				return;
			}

			buffered = buffered.subarray(headerBytes + length);
			maxBytes = maxFrameBytes;
		}
	}
}

function decodeFrame(bytes: Uint8Array): Frame | {readonly kind: 'fault'; readonly fault: FrameFault} {
	try {
		const value = decoder.decode(bytes) as {kind?: unknown; version?: unknown} | undefined;
		if (typeof value?.kind !== 'string' || !frameKinds.has(value.kind)) {
			return {kind: 'fault', fault: 'unknownKind'};
		}

		if (value.kind !== 'hello') {
			return value as Frame;
		}

		if (value.version !== protocolVersion) {
			return {kind: 'fault', fault: 'wrongVersion'};
		}

		return isHello(value) ? value as Frame : {kind: 'fault', fault: 'malformed'};
	} catch {
		return {kind: 'fault', fault: 'malformed'};
	}
}

/** Whether a frame names its sender; all state of a connection is kept under these names. */
function isHello({role, instance, incarnation, zone}: Readonly<Record<string, unknown>>): boolean {
	return (role === 'entry' || role === 'sidecar') && [instance, incarnation, zone].every(name => typeof name === 'string');
}

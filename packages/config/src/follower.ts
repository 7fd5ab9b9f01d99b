import {setTimeout as sleep} from 'node:timers/promises';
import {withTimeLimit, type Store} from '@papayaflow/store';
import {
	requiredChunks, matchesHash, joinPreset,
} from './chunk.js';
import {readHead} from './change.js';
import {
	bodyInForce, chunkKey, decodeHead, emptyHead, encodeHead, headKey, type Head,
} from './head.js';
import {checkPreset, type Preset} from './preset.js';

const pullTimeoutMs = 1000;

/** The preset in force on this process. */
export type AppliedConfig = {readonly revision: number; readonly name: string; readonly preset: Preset};

/** The head, with those of its chunks that the receiving process lacks. */
export type ConfigUpdate = {readonly revision: number; readonly head: Uint8Array; readonly chunks: Readonly<Record<string, Uint8Array>>};

export type ApplyResult = 'applied' | 'notNewer' | 'incomplete' | 'malformed';

/** The configuration as known to one process. */
export type Follower = {
	/** The configuration in force; `undefined` until one has been applied. */
	applied(): AppliedConfig | undefined;
	revision(): number;
	/** The latest time at which the applied revision is known to have been current, in monotonic milliseconds; minus infinity for never. */
	confirmedAtMs(): number;
	/** Notes that `revision` was current in the store at `atMs`. Returns `behind` when it is higher than the revision applied here, else `level`. */
	noteRevision(revision: number, atMs: number): 'behind' | 'level';
	/** Whether a higher revision than the applied one is known to exist. */
	isBehind(): boolean;
	/**
	Reserves the next pull; `false` while an earlier pull is outstanding. A process that
	learns of a change from a hundred peers at once pulls it from one of them, and from
	another one if no update has been applied within a second.
	*/
	startPull(nowMs: number): boolean;
	/** The hashes of the chunks held here, so that a peer sends only the missing ones. */
	have(): readonly string[];
	/** Creates the update for a peer that holds the chunks `have`; `undefined` when no configuration is held here. */
	updateFor(have: readonly string[]): ConfigUpdate | undefined;
	/** Applies an update from a peer or the store. A revision that is not higher changes nothing. */
	applyUpdate(update: ConfigUpdate): ApplyResult;
	/** Calls `listener` after each update that was applied. */
	onApplied(listener: (applied: AppliedConfig) => void): void;
};

/**
Creates an empty follower. It applies only complete configurations and only higher
revisions, in whatever order and from whatever source they arrive.

@example
const follower = createFollower();
follower.onApplied(({revision}) => log.info({revision}, 'configuration applied'));
*/
export function createFollower(): Follower {
	let head: Head = emptyHead;
	let applied: AppliedConfig | undefined;
	let lastConfirmedMs = Number.NEGATIVE_INFINITY;
	let highestKnownRevision = 0;
	let pullDeadlineMs = Number.NEGATIVE_INFINITY;
	let chunks = new Map<string, Uint8Array>();
	const listeners: Array<(applied: AppliedConfig) => void> = [];

	return {
		applied: () => applied,
		revision: () => head.revision,
		confirmedAtMs: () => lastConfirmedMs,
		isBehind: () => highestKnownRevision > head.revision,
		startPull(nowMs) {
			if (nowMs < pullDeadlineMs) {
				return false;
			}

			pullDeadlineMs = nowMs + pullTimeoutMs;
			return true;
		},
		noteRevision(revision, atMs) {
			highestKnownRevision = Math.max(highestKnownRevision, revision);
			if (revision > head.revision) {
				return 'behind';
			}

			lastConfirmedMs = revision === head.revision ? Math.max(lastConfirmedMs, atMs) : lastConfirmedMs;
			return 'level';
		},
		have: () => [...chunks.keys()],
		updateFor(have) {
			if (head.revision === 0) {
				return undefined;
			}

			const held = new Set(have);
			const missing = [...chunks].filter(([hash]) => !held.has(hash));
			return {revision: head.revision, head: encodeHead(head), chunks: Object.fromEntries(missing)};
		},
		applyUpdate(update) {
			const next = decodeHead(update.head);
			const body = next && bodyInForce(next);
			if (!next || body === undefined) {
				return 'malformed';
			}

			// A lower revision is never applied, whatever its source. (head.pml: newer)
			if (next.revision <= head.revision) {
				return 'notNewer';
			}

			const merged = new Map(chunks);
			for (const [hash, bytes] of Object.entries(update.chunks)) {
				if (!matchesHash(hash, bytes)) {
					return 'malformed';
				}

				merged.set(hash, bytes);
			}

			const needed = requiredChunks(body, merged);
			const document = joinPreset(body, merged);
			if (!needed || document === undefined) {
				return 'incomplete';
			}

			const checked = checkPreset(document);
			if (checked.kind === 'invalid') {
				return 'malformed';
			}

			// Chunks of other presets are dropped, since only the preset in force is used here.
			chunks = new Map(needed.map(hash => [hash, merged.get(hash)!]));
			head = next;
			pullDeadlineMs = Number.NEGATIVE_INFINITY;
			applied = {revision: next.revision, name: next.inForce!, preset: checked.preset};
			for (const listener of listeners) {
				listener(applied);
			}

			return 'applied';
		},
		onApplied(listener) {
			listeners.push(listener);
		},
	};
}

/**
Updates a follower from the key-value service: reads the head and the chunks that
are missing here. Returns `false` when the head or a chunk could not be read.
*/
export async function refreshFromStore(store: Store, follower: Follower, nowMs: () => number): Promise<boolean> {
	const requestedAtMs = nowMs();
	const result = await readHead(store);
	if (result.kind === 'unavailable') {
		return false;
	}

	const {head} = result;
	const body = bodyInForce(head);
	if (body === undefined || follower.noteRevision(head.revision, requestedAtMs) === 'level') {
		return true;
	}

	const held = new Set(follower.have());
	const chunks: Record<string, Uint8Array> = {};
	const fetchChunk = async (hash: string): Promise<boolean> => {
		if (held.has(hash)) {
			return true;
		}

		const chunk = await store.read(chunkKey(hash));
		if (chunk.kind !== 'found') {
			return false;
		}

		chunks[hash] = chunk.entry.value;
		return true;
	};

	if (!await fetchChunk(body)) {
		return false;
	}

	const manifest = held.has(body) ? follower.updateFor([])?.chunks[body] : chunks[body];
	const needed = manifest ? requiredChunks(body, new Map([[body, manifest]])) ?? [] : [];
	const fetched = await Promise.all(needed.map(async hash => fetchChunk(hash)));
	if (fetched.includes(false)) {
		return false;
	}

	follower.applyUpdate({revision: head.revision, head: encodeHead(head), chunks});
	follower.noteRevision(head.revision, requestedAtMs);
	return true;
}

/**
Keeps a follower up to date from the store until `signal` aborts. While `isReader`
returns true, this process is one of the few that watch the head; it reads the
head before each watch. Other processes read it only until they have a
configuration. The delay between rounds is `pauseMs` with a jitter of 50 %.
*/
export async function followStore(
	store: Store,
	follower: Follower,
	options: {
		readonly isReader: () => boolean; readonly pauseMs: number; readonly random: () => number;
		readonly nowMs: () => number; readonly signal: AbortSignal;
	},
): Promise<void> {
	while (!options.signal.aborted) {
		if (options.isReader() || follower.applied() === undefined) {
			const isFresh = await refreshFromStore(store, follower, options.nowMs);
			if (isFresh && options.isReader()) {
				await watchOnce(store, follower, options);
			}
		}

		await sleep(options.pauseMs * (0.5 + options.random()), undefined, {signal: options.signal}).catch(() => undefined);
	}
}

async function watchOnce(store: Store, follower: Follower, options: {readonly nowMs: () => number; readonly pauseMs: number; readonly signal: AbortSignal}): Promise<void> {
	const current = await store.read(headKey);
	if (current.kind !== 'found') {
		return;
	}

	const refresh = (): void => {
		void refreshFromStore(store, follower, options.nowMs);
	};

	if ((decodeHead(current.entry.value)?.revision ?? 0) > follower.revision()) {
		refresh();
	}

	// The watch is restarted, after a read, at least every ten pauses, so that a lost event is noticed.
	const {revision} = current.entry;
	await withTimeLimit(options.signal, options.pauseMs * 10, async bounded => store.watch(headKey, revision, refresh, bounded));
}

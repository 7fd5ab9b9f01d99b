import {setTimeout as sleep} from 'node:timers/promises';
import {type Store} from '@papayaflow/store';
import {
	chunksOf, isChunk, joinPreset,
} from './chunk.js';
import {readHead} from './change.js';
import {
	bodyInForce, chunkKey, decodeHead, emptyHead, encodeHead, headKey, type Head,
} from './head.js';
import {checkPreset, type Preset} from './preset.js';

const pullTimeoutMs = 1000;

/** What is in force on this process. */
export type Applied = {readonly revision: number; readonly name: string; readonly preset: Preset};

/** The head and the chunks that another process lacks. */
export type Update = {readonly revision: number; readonly head: Uint8Array; readonly chunks: Readonly<Record<string, Uint8Array>>};

export type OfferResult = 'applied' | 'notNewer' | 'incomplete' | 'malformed';

/** The configuration as one process knows it. */
export type Follower = {
	/** What is in force here; `undefined` until a first configuration was learned. */
	applied(): Applied | undefined;
	revision(): number;
	/** When a source last confirmed that nothing newer is known, in monotonic milliseconds; minus infinity for never. */
	confirmedAtMs(): number;
	/** Notes that the store held just `revision` at `atMs`; `behind` when that is more than this process knows. */
	heard(revision: number, atMs: number): 'behind' | 'level';
	/** Whether some source has named a higher revision than is in force here. */
	isBehind(): boolean;
	/**
	Takes leave for one pull. A process that hears of a change from a hundred peers at
	once pulls it from one of them, and from another when nothing came within a second.
	*/
	takePull(nowMs: number): boolean;
	/** The hashes held here, so that a peer sends the others alone. */
	have(): readonly string[];
	/** Makes the update for a peer that holds `have`; `undefined` when nothing is known here. */
	updateFor(have: readonly string[]): Update | undefined;
	/** Takes what a peer or the store says. A revision that is not higher changes nothing. */
	offer(update: Update): OfferResult;
	/** Calls `listener` after each change that was applied. */
	onApplied(listener: (applied: Applied) => void): void;
};

/**
Makes an empty follower. It applies whole configurations alone, and only ever
higher revisions, whatever order and source they come from.

@example
const follower = createFollower();
follower.onApplied(({revision}) => log.info({revision}, 'configuration applied'));
*/
export function createFollower(): Follower {
	let head: Head = emptyHead;
	let applied: Applied | undefined;
	let confirmed = Number.NEGATIVE_INFINITY;
	let highestHeard = 0;
	let pullingUntilMs = Number.NEGATIVE_INFINITY;
	let chunks = new Map<string, Uint8Array>();
	const listeners: Array<(applied: Applied) => void> = [];

	return {
		applied: () => applied,
		revision: () => head.revision,
		confirmedAtMs: () => confirmed,
		isBehind: () => highestHeard > head.revision,
		takePull(nowMs) {
			if (nowMs < pullingUntilMs) {
				return false;
			}

			pullingUntilMs = nowMs + pullTimeoutMs;
			return true;
		},
		heard(revision, atMs) {
			highestHeard = Math.max(highestHeard, revision);
			if (revision > head.revision) {
				return 'behind';
			}

			confirmed = revision === head.revision ? Math.max(confirmed, atMs) : confirmed;
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
		offer(update) {
			const next = decodeHead(update.head);
			const body = next && bodyInForce(next);
			if (!next || body === undefined) {
				return 'malformed';
			}

			// Never a lower revision, whoever says it. (head.pml: newer)
			if (next.revision <= head.revision) {
				return 'notNewer';
			}

			const merged = new Map(chunks);
			for (const [hash, bytes] of Object.entries(update.chunks)) {
				if (!isChunk(hash, bytes)) {
					return 'malformed';
				}

				merged.set(hash, bytes);
			}

			const needed = chunksOf(body, merged);
			const document = joinPreset(body, merged);
			if (!needed || document === undefined) {
				return 'incomplete';
			}

			const checked = checkPreset(document);
			if (checked.kind === 'invalid') {
				return 'malformed';
			}

			// The other presets' chunks are dropped: this process never serves them.
			chunks = new Map(needed.map(hash => [hash, merged.get(hash)!]));
			head = next;
			pullingUntilMs = Number.NEGATIVE_INFINITY;
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
Brings a follower up to what the key-value service says: reads the head and the
chunks that are missing here. `false` when the service could not be asked.
*/
export async function refreshFromStore(store: Store, follower: Follower, nowMs: () => number): Promise<boolean> {
	const askedAtMs = nowMs();
	const result = await readHead(store);
	if (result.kind === 'unavailable') {
		return false;
	}

	const {head} = result;
	const body = bodyInForce(head);
	if (body === undefined || follower.heard(head.revision, askedAtMs) === 'level') {
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

	const known = held.has(body) ? follower.updateFor([])?.chunks[body] : chunks[body];
	const needed = known ? chunksOf(body, new Map([[body, known]])) ?? [] : [];
	const fetched = await Promise.all(needed.map(async hash => fetchChunk(hash)));
	if (fetched.includes(false)) {
		return false;
	}

	follower.offer({revision: head.revision, head: encodeHead(head), chunks});
	follower.heard(head.revision, askedAtMs);
	return true;
}

/**
Keeps a follower up to date from the store until `signal` fires: a watch while
`isReader` says that this process is one of the few that hold one, and a read at
each end of a watch or pause.
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
	const present = await store.read(headKey);
	if (present.kind !== 'found') {
		return;
	}

	const refresh = (): void => {
		void refreshFromStore(store, follower, options.nowMs);
	};

	if ((decodeHead(present.entry.value)?.revision ?? 0) > follower.revision()) {
		refresh();
	}

	// A watch that lost its event is noticed within ten pauses, since it is then re-armed after a read.
	const bounded = AbortSignal.any([options.signal, AbortSignal.timeout(options.pauseMs * 10)]);
	await store.watch(headKey, present.entry.revision, refresh, bounded);
}

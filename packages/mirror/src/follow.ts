import {type Store, type Unavailable} from '@papayaflow/store';
import {type Mirror} from './mirror.js';

/** The delay after the first failed call, before jitter. It doubles with each further failure up to the maximum. */
const initialBackoffMs = 100;
const maxBackoffMs = 1000;

export type FollowOptions = {
	readonly prefix: string;
	/** The pause between two polls in milliseconds, which bounds the calls per second, and the pause before it is checked again whether to poll. */
	readonly pauseMs: number;
	/** The pause between two polls of a process that polls only while no peer keeps it up to date, in milliseconds. Called before each pause; `pauseMs` by default. */
	readonly standbyPauseMs?: () => number;
	/** How long one poll waits for changes, in milliseconds. */
	readonly waitMs: number;
	/**
	How long a key that expired during an outage, or that a store which came back from an
	older copy has lost, is kept after the store is available again, in milliseconds, so that
	its owner can write it again before it is removed.
	*/
	readonly expiredKeyGraceMs: number;
	/** The shortest time without the store in which a key can expire although its owner is well, in milliseconds. */
	readonly expiryMs: number;
	/** Whether this process currently polls the store; a process that gets copies from peers doesn't need to. */
	readonly isReader: () => boolean;
	readonly nowMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	/** Called with an exception that a listener of the mirror or a call to the store throws; the prefix is then listed again. */
	readonly onError: (error: unknown) => void;
	/** Called when the store has answered for the first time. */
	readonly onStoreConnected: () => void;
	/** Called when a call gets no answer; the store is then listed on a new connection before it counts as unavailable. */
	readonly onStoreSilent: (detail: string) => void;
	/** Called when the store becomes unavailable. */
	readonly onStoreUnavailable: (failure: Unavailable) => void;
	/** Called when the store is available again, with the length of the outage in milliseconds. */
	readonly onStoreAvailable: (outageMs: number) => void;
	/** Called when the store has come back from an older copy, after its content was listed. */
	readonly onStoreRestored: (eras: {readonly before: number; readonly now: number}) => void;
};

/**
Keeps a mirror up to date by lists and watches until `signal` is aborted. After an
outage, and when the store has compacted its history, it lists the prefix again. Keys
that expired during an outage, or that were lost when the store came back from an older
copy, are kept for another `expiredKeyGraceMs`. A call without an answer may mean that
only its connection is dead: the prefix is then listed at once on a new one, and if the
store answers before a key can have expired, a missing key was removed.

@example
void followStore(store, mirror, options);
*/
export async function followStore(store: Store, mirror: Mirror, options: FollowOptions): Promise<void> {
	const {prefix, signal, sleep, nowMs, random} = options;
	let mustList = true;
	let hasConnected = false;
	let disconnectedAtMs: number | undefined;
	/** The era of the store in the last list. */
	let listedEra: number | undefined;
	let graceEndsAtMs = 0;
	let mustRelistAfterGrace = false;
	let lastAnsweredMs: number | undefined;
	/** Whether the last call got no answer, so that this one is made on a new connection. */
	let wasSilent = false;
	let backoffMs = initialBackoffMs;

	const mayHaveExpired = (): boolean => (disconnectedAtMs !== undefined || wasSilent) && (lastAnsweredMs === undefined || nowMs() - lastAnsweredMs >= options.expiryMs);

	const poll = async (): Promise<'done' | Unavailable> => {
		if (mustRelistAfterGrace && nowMs() >= graceEndsAtMs) {
			mustList = true;
		}

		if (!mustList) {
			const result = await store.changes(prefix, mirror.revision(), options.waitMs, signal);
			switch (result.kind) {
				case 'unavailable': {
					return result;
				}

				case 'compacted': {
					mustList = true;
					return 'done';
				}

				case 'changes': {
					mirror.apply(result.changes, result.revision);
					return 'done';
				}
			}
		}

		const result = await store.list(prefix);
		if (result.kind === 'unavailable') {
			return result;
		}

		const era = store.era();
		const eraBefore = listedEra ?? era;
		listedEra = era;
		if (mayHaveExpired() || era > eraBefore) {
			graceEndsAtMs = nowMs() + options.expiredKeyGraceMs;
			mustRelistAfterGrace = true;
		}

		const isWithinGrace = nowMs() < graceEndsAtMs;
		mirror.replace(result, () => isWithinGrace);
		if (era > eraBefore) {
			options.onStoreRestored({before: eraBefore, now: era});
		}

		mustRelistAfterGrace &&= isWithinGrace;
		mustList = false;
		return 'done';
	};

	const pollSafely = async (): ReturnType<typeof poll> => {
		try {
			return await poll();
		} catch (error) {
			options.onError(error);
			return {kind: 'unavailable', detail: String(error)};
		}
	};

	while (!signal.aborted) {
		if (!options.isReader()) {
			mustList = true;
			await sleep(options.pauseMs);
			continue;
		}

		const pollResult = await pollSafely();
		if (signal.aborted) {
			return;
		}

		if (pollResult === 'done') {
			lastAnsweredMs = nowMs();
			wasSilent = false;
			if (!hasConnected) {
				hasConnected = true;
				options.onStoreConnected();
			}

			if (disconnectedAtMs !== undefined && !mustList) {
				options.onStoreAvailable(nowMs() - disconnectedAtMs);
				disconnectedAtMs = undefined;
				backoffMs = initialBackoffMs;
			}

			await sleep(mustList ? 0 : options.standbyPauseMs?.() ?? options.pauseMs);
			continue;
		}

		mustList = mirror.revision() > 0 || mustList;
		if (pollResult.cause === 'silent' && !wasSilent && disconnectedAtMs === undefined) {
			wasSilent = true;
			options.onStoreSilent(pollResult.detail);
			continue;
		}

		if (disconnectedAtMs === undefined) {
			disconnectedAtMs = nowMs();
			options.onStoreUnavailable(pollResult);
		}

		await sleep(backoffMs * (0.5 + random()));
		backoffMs = Math.min(maxBackoffMs, backoffMs * 2);
	}
}

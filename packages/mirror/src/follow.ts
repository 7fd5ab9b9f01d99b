import {type Store} from '@papayaflow/store';
import {type Mirror} from './mirror.js';

/** The pause after the first call that failed; it doubles up to the longest. */
const firstBackoffMs = 100;
const longestBackoffMs = 1000;

export type FollowOptions = {
	readonly prefix: string;
	/** Pause between two looks, which bounds the calls a second. */
	readonly pauseMs: number;
	/** How long one look waits for changes. */
	readonly waitMs: number;
	/**
	How long a key that lapsed while the service was away may take to come back
	after its return, before it counts as gone.
	*/
	readonly returnMs: number;
	/** Whether this process asks the service at all now; one that is fed by peers need not. */
	readonly isReader: () => boolean;
	readonly nowMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	/** Told when the service is lost and regained. */
	readonly onLost: (detail: string) => void;
	readonly onRegained: (awayMs: number) => void;
};

/**
Keeps a mirror by lists and watches until `signal` fires. After an outage, and when
the service has dropped its history, the prefix is listed anew; keys that lapsed
during an outage get `returnMs` to come back.

@example
void followStore(store, mirror, options);
*/
export async function followStore(store: Store, mirror: Mirror, options: FollowOptions): Promise<void> {
	const {prefix, signal, sleep, nowMs, random} = options;
	let mustList = true;
	let lostAtMs: number | undefined;
	let sparesUntilMs = 0;
	let mustRecheck = false;
	let backoffMs = firstBackoffMs;

	const look = async (): Promise<'done' | {readonly lost: string}> => {
		if (mustRecheck && nowMs() >= sparesUntilMs) {
			mustList = true;
		}

		if (!mustList) {
			const result = await store.changes(prefix, mirror.revision(), options.waitMs, signal);
			switch (result.kind) {
				case 'unavailable': {
					return {lost: result.detail};
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
			return {lost: result.detail};
		}

		if (lostAtMs !== undefined) {
			sparesUntilMs = nowMs() + options.returnMs;
			mustRecheck = true;
		}

		const isSparing = nowMs() < sparesUntilMs;
		mirror.replace(result, () => isSparing);
		mustRecheck &&= isSparing;
		mustList = false;
		return 'done';
	};

	while (!signal.aborted) {
		if (!options.isReader()) {
			mustList = true;
			await sleep(options.pauseMs);
			continue;
		}

		const looked = await look();
		if (signal.aborted) {
			return;
		}

		if (looked === 'done') {
			if (lostAtMs !== undefined && !mustList) {
				options.onRegained(nowMs() - lostAtMs);
				lostAtMs = undefined;
				backoffMs = firstBackoffMs;
			}

			await sleep(mustList ? 0 : options.pauseMs);
			continue;
		}

		if (lostAtMs === undefined) {
			lostAtMs = nowMs();
			options.onLost(looked.lost);
		}

		mustList = mirror.revision() > 0 || mustList;
		await sleep(backoffMs * (0.5 + random()));
		backoffMs = Math.min(longestBackoffMs, backoffMs * 2);
	}
}

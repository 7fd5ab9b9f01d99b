/** A stored value (base64), its revision, and the lease that it expires with (`0` for none). */
export type StoredValue = {readonly value: string; readonly revision: number; readonly lease: string};

/** Fault switches of the key-value service stand-in. */
export type KvFaults = {
	/** While true, every call fails. */
	down: boolean;
	/** Delay of each call, in milliseconds. */
	slowMs: number;
	/** Number of further writes that take effect but get no response. */
	loseAnswers: number;
	/** While true, watches deliver no events. */
	muteWatches: boolean;
};

type Watcher = {readonly key: string; readonly notify: (key: string, stored: StoredValue) => void};

/** The state of the stand-in: keys, leases and watches. One revision counts the changes of all keys. */
export type Kv = {
	readonly faults: KvFaults;
	/** Number of calls by kind (`read`, `write`, `watch`). */
	readonly calls: Map<string, number>;
	revision(): number;
	get(key: string): StoredValue | undefined;
	/** Returns the entries from key `from` (inclusive) to key `to` (exclusive) in key order. */
	list(from: string, to: string): ReadonlyArray<readonly [string, StoredValue]>;
	/**
	Writes the value, or removes the key if `value` is `undefined`, provided that the key is at
	revision `expected` (0 for an absent key) and the lease exists. Returns the new revision, or
	`undefined` if nothing was written.
	*/
	compareAndSwap(key: string, expected: number, value: string | undefined, lease?: string): number | undefined;
	grant(ttlMs: number): string;
	/** Extends a lease by its TTL. Returns `false` if it has expired. */
	renew(lease: string): boolean;
	/** Calls `notify` after each write of the key until the returned function is called. */
	watch(key: string, notify: (key: string, stored: StoredValue) => void): () => void;
	/** All writes and removals in order, for tests. Keys removed by an expired lease are not included. */
	readonly history: ReadonlyArray<{readonly key: string; readonly revision: number; readonly value: string | undefined}>;
};

/**
Creates an empty in-memory key-value service. Leases expire by the clock `nowMs`.

@example
const kv = createKv(Date.now);
*/
export function createKv(nowMs: () => number): Kv {
	const values = new Map<string, StoredValue>();
	const leases = new Map<string, {ttlMs: number; expiresAtMs: number}>();
	const watchers = new Set<Watcher>();
	const history: Array<{key: string; revision: number; value: string | undefined}> = [];
	const calls = new Map<string, number>();
	let revision = 1;
	let lastLease = 0;

	const removeExpiredLeases = (): void => {
		for (const [id, lease] of leases) {
			if (lease.expiresAtMs > nowMs()) {
				continue;
			}

			leases.delete(id);
			for (const [key, stored] of values) {
				if (stored.lease === id) {
					values.delete(key);
					revision++;
				}
			}
		}
	};

	const countCall = (kind: string): void => {
		calls.set(kind, (calls.get(kind) ?? 0) + 1);
	};

	return {
		faults: {
			down: false, slowMs: 0, loseAnswers: 0, muteWatches: false,
		},
		calls,
		history,
		revision: () => revision,
		get(key) {
			removeExpiredLeases();
			countCall('read');
			return values.get(key);
		},
		list(from, to) {
			removeExpiredLeases();
			countCall('read');
			return [...values].filter(([key]) => key >= from && key < to).toSorted(([a], [b]) => a < b ? -1 : 1);
		},
		compareAndSwap(key, expected, value, lease = '0') {
			removeExpiredLeases();
			countCall('write');
			if ((values.get(key)?.revision ?? 0) !== expected || (lease !== '0' && !leases.has(lease))) {
				return undefined;
			}

			revision++;
			history.push({key, revision, value});
			if (value === undefined) {
				values.delete(key);
				return revision;
			}

			const stored = {value, revision, lease};
			values.set(key, stored);
			for (const watcher of this.faults.muteWatches ? [] : watchers) {
				if (watcher.key === key) {
					watcher.notify(key, stored);
				}
			}

			return revision;
		},
		grant(ttlMs) {
			countCall('write');
			const id = String(++lastLease);
			leases.set(id, {ttlMs, expiresAtMs: nowMs() + ttlMs});
			return id;
		},
		renew(lease) {
			removeExpiredLeases();
			countCall('write');
			const found = leases.get(lease);
			if (found) {
				found.expiresAtMs = nowMs() + found.ttlMs;
			}

			return found !== undefined;
		},
		watch(key, notify) {
			countCall('watch');
			const watcher = {key, notify};
			watchers.add(watcher);
			return () => {
				watchers.delete(watcher);
			};
		},
	};
}

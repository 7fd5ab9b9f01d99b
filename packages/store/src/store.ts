/** A value of the key-value service, with the revision of its last write. */
export type Entry = {readonly key: string; readonly value: Uint8Array; readonly revision: number};

/**
The service can't be reached or answered with an error. The cause is `silent` if no answer
came within the time limit, on a connection that may be dead although the service is well,
`turnedAway` if the service answered that it does not serve this call, and absent otherwise.
*/
export type Unavailable = {readonly kind: 'unavailable'; readonly detail: string; readonly cause?: 'silent' | 'turnedAway'};

export type ReadResult
	= | {readonly kind: 'found'; readonly entry: Entry}
		| {readonly kind: 'absent'}
		| Unavailable;

/** `revision` is the service's revision at the time of the list; later changes may be missing from `entries`. */
export type ListResult = {readonly kind: 'listed'; readonly entries: readonly Entry[]; readonly revision: number} | Unavailable;

/** One write or removal of a key. */
export type Change
	= | {readonly kind: 'written'; readonly entry: Entry}
		| {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/**
The changes under a prefix, in order, up to `revision`. `compacted` means that the
service has dropped some of the requested revisions, so the caller has to list the
prefix again.
*/
export type ChangesResult
	= | {readonly kind: 'changes'; readonly changes: readonly Change[]; readonly revision: number}
		| {readonly kind: 'compacted'}
		| Unavailable;

/**
The result of a write. `conflict` means that the key is not at the expected revision
and that nothing was written. `unknown` means that there was no usable response: the
write may have taken effect, or may still do so later.
*/
export type WriteResult
	= | {readonly kind: 'written'; readonly revision: number}
		| {readonly kind: 'conflict'; readonly current: Entry | undefined}
		| {readonly kind: 'unknown'; readonly detail: string};

export type LeaseResult = {readonly kind: 'granted'; readonly lease: string} | Unavailable;

export type RenewResult = {readonly kind: 'renewed'} | {readonly kind: 'expired'} | Unavailable;

/** Writes and removals that take effect together or not at all. */
export type Transaction = {
	/** The revision that each of these keys must have; 0 means that the key must be absent. */
	readonly conditions: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts: ReadonlyArray<{readonly key: string; readonly value: Uint8Array; readonly lease?: string}>;
	readonly removals: readonly string[];
};

/** The result of a transaction. `conflict` contains the current entries of the keys in its conditions; absent keys are omitted. */
export type TransactionResult
	= | {readonly kind: 'written'; readonly revision: number}
		| {readonly kind: 'conflict'; readonly current: readonly Entry[]}
		| {readonly kind: 'unknown'; readonly detail: string};

export type WriteOptions = {
	/** The revision that the key must have; 0 means that the key must be absent. */
	readonly expected: number;
	/** The lease that the key is attached to; the key is removed when the lease expires. */
	readonly lease?: string;
};

/**
The platform's key-value service as this project uses it: compare-and-swap of one
or several keys, leases, lists and watches. Every call ends within its timeout. Calls
are not retried here, because only the caller knows whether a retry is safe.

@example
const result = await store.write('config/head', bytes, {expected: 0});
if (result.kind === 'conflict') …
*/
export type Store = {
	read(key: string): Promise<ReadResult>;
	/** Lists the keys that start with `prefix`, in byte order. */
	list(prefix: string): Promise<ListResult>;
	write(key: string, value: Uint8Array, options: WriteOptions): Promise<WriteResult>;
	/** Removes a key if it has the expected revision. */
	remove(key: string, expected: number): Promise<WriteResult>;
	/** Writes and removes several keys atomically if all conditions hold. */
	transact(transaction: Transaction): Promise<TransactionResult>;
	/**
	Waits up to `waitMs` milliseconds for changes under `prefix` after `afterRevision`.
	Returns an empty list if there are none. The caller passes the returned revision to
	the next call.
	*/
	changes(prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ChangesResult>;
	grantLease(ttlMs: number): Promise<LeaseResult>;
	renewLease(lease: string): Promise<RenewResult>;
	/**
	Calls `onChange` for each write of `key` after `sinceRevision`. Resolves when the
	stream breaks or `signal` is aborted. Changes may be missed, so read the key again after
	the watch ends.
	*/
	watch(key: string, sinceRevision: number, onChange: (entry: Entry) => void, signal: AbortSignal): Promise<void>;
	/**
	The era of the service's latest answer. It rises each time the service comes back from an
	older copy, without what was written since; its revisions go on rising all the same.
	Always 0 for a service that never does.
	*/
	era(): number;
};

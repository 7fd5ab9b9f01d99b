/** A value of the key-value service, with the revision of its last write. */
export type Entry = {readonly key: string; readonly value: Uint8Array; readonly revision: number};

/** The service can't be reached, or answered that it can't serve. */
export type Unavailable = {readonly kind: 'unavailable'; readonly detail: string};

export type ReadResult
	= | {readonly kind: 'found'; readonly entry: Entry}
		| {readonly kind: 'absent'}
		| Unavailable;

/** `revision` is the service's own when it answered: changes after it are not in the list. */
export type ListResult = {readonly kind: 'listed'; readonly entries: readonly Entry[]; readonly revision: number} | Unavailable;

/** What happened to one key. */
export type Change
	= | {readonly kind: 'written'; readonly entry: Entry}
		| {readonly kind: 'removed'; readonly key: string; readonly revision: number};

/**
What happened under a prefix, in its order, up to `revision`. `compacted` says that
the service no longer knows all of it: list the prefix again.
*/
export type ChangesResult
	= | {readonly kind: 'changes'; readonly changes: readonly Change[]; readonly revision: number}
		| {readonly kind: 'compacted'}
		| Unavailable;

/**
How a write ends. `conflict` says that the key is not at the expected revision
and that nothing was written. `unknown` says that the answer was lost: the write
may have taken effect, now or later.
*/
export type WriteResult
	= | {readonly kind: 'written'; readonly revision: number}
		| {readonly kind: 'conflict'; readonly current: Entry | undefined}
		| {readonly kind: 'unknown'; readonly detail: string};

export type LeaseResult = {readonly kind: 'granted'; readonly lease: string} | Unavailable;

export type RenewResult = {readonly kind: 'renewed'} | {readonly kind: 'expired'} | Unavailable;

/** Writes and removals that take effect together or not at all. */
export type Transaction = {
	/** The revision that each of these keys must have; 0 means that it must be absent. */
	readonly conditions: ReadonlyArray<{readonly key: string; readonly revision: number}>;
	readonly puts: ReadonlyArray<{readonly key: string; readonly value: Uint8Array; readonly lease?: string}>;
	readonly removals: readonly string[];
};

/** How a transaction ends; `conflict` brings the keys of its conditions as they are, but for the absent ones. */
export type TransactionResult
	= | {readonly kind: 'written'; readonly revision: number}
		| {readonly kind: 'conflict'; readonly current: readonly Entry[]}
		| {readonly kind: 'unknown'; readonly detail: string};

export type WriteOptions = {
	/** The revision the key must have; 0 means that it must be absent. */
	readonly expected: number;
	/** The lease with which the key goes. */
	readonly lease?: string;
};

/**
The platform's key-value service as this project uses it: compare-and-swap of one
or several keys, leases, lists and watches. Every call ends by its timeout; nothing is
retried here, since only the one who asks knows whether asking again is safe.

@example
const result = await store.write('config/head', bytes, {expected: 0});
if (result.kind === 'conflict') …
*/
export type Store = {
	read(key: string): Promise<ReadResult>;
	/** Lists the keys that start with `prefix`, in the order of their bytes. */
	list(prefix: string): Promise<ListResult>;
	write(key: string, value: Uint8Array, options: WriteOptions): Promise<WriteResult>;
	/** Removes a key that has the expected revision. */
	remove(key: string, expected: number): Promise<WriteResult>;
	/** Writes several keys under conditions, all or nothing. */
	transact(transaction: Transaction): Promise<TransactionResult>;
	/**
	Waits up to `waitMs` (milliseconds) for changes under `prefix` after a revision.
	Without any it answers with none; the caller goes on from the revision it brings.
	*/
	changes(prefix: string, afterRevision: number, waitMs: number, signal: AbortSignal): Promise<ChangesResult>;
	/** Asks for a lease of `ttlMs` milliseconds. */
	grantLease(ttlMs: number): Promise<LeaseResult>;
	renewLease(lease: string): Promise<RenewResult>;
	/**
	Calls `onChange` for each write of `key` after `sinceRevision`; resolves when
	the stream breaks or `signal` fires. Changes may be missed: read after it ends.
	*/
	watch(key: string, sinceRevision: number, onChange: (entry: Entry) => void, signal: AbortSignal): Promise<void>;
};

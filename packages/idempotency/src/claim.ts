import {type LogRecord, type RecordedAnswer} from './segment.js';
import {acquireShard, deleteExpiredSegments} from './acquire.js';
import {type KeyState, type OwnedShard, type ShardOptions} from './shard.js';

/** How many epochs a long-lived owner opens per retention period, so that its own older segments become deletable. */
const epochsPerRetention = 4;
const maxSegmentsPerCleanup = 100;

/** A claim that is stored in the log. Its call may now be dispatched, once. */
export type Claim = {
	/** Records the answer, which later requests with the same key then get. Of an answer that is too large, only the status is recorded. */
	done(answer: RecordedAnswer): Promise<void>;
	/** Records that the call is known not to have run, so that the key may be claimed again. */
	withdrawn(): Promise<void>;
	/** Gives up the claim without an outcome. The call may have run, so the key is never run again. */
	lost(): void;
};

/** How to handle a call that carries an idempotency key. */
export type ClaimResult
	= | {readonly kind: 'claimed'; readonly claim: Claim}
		| {readonly kind: 'replay'; readonly answer: RecordedAnswer}
	/** The call has run and ended with this status, but its answer was too large to store. */
		| {readonly kind: 'ranUnrecorded'; readonly status: number}
	/** An earlier call with the same key is running; look the key up again once `ended` resolves. */
		| {readonly kind: 'inProgress'; readonly ended: Promise<void>}
	/** The key was used before for a different request. */
		| {readonly kind: 'reused'}
	/** The key was claimed before and its outcome is not known. The call may have run, so it is never run again. */
		| {readonly kind: 'claimedEarlier'}
	/** Another process owns the shard; `holder` is its instance, or `undefined` when it is not known. `standing` is true when the store has just confirmed that owner. */
		| {readonly kind: 'elsewhere'; readonly holder: string | undefined; readonly standing: boolean}
	/** No call with this key has run. */
		| {readonly kind: 'notRun'}
	/** This process can't determine the state of the key at the moment. */
		| {readonly kind: 'unknown'};

export type Claims = {
	/** Looks up a key without claiming it. Returns `fresh` when this process owns the shard and the key may be claimed. */
	lookUp(key: string, fingerprint: string): Promise<ClaimResult | {readonly kind: 'fresh'}>;
	/**
	Claims a key. The call may be dispatched only when the result is `claimed`.
	`fingerprint` identifies the request, so that the reuse of a key for a different
	request is detected.
	*/
	claim(key: string, fingerprint: string): Promise<ClaimResult>;
	/**
	Forgets keys older than `retentionMs` and deletes their segments from the store.
	Returns the number of deleted segments. An owner that has held its epoch for long
	opens the next epoch first, so that its own old segments can be deleted as well.
	*/
	maintain(retentionMs: number): Promise<number>;
	/** The epoch that this process owns, or 0 for none; for status and tests. */
	epoch(): number;
};

/**
Creates the claims of one shard. The shard is acquired when the first key arrives.

@example
const claims = createClaims({...options, nowMs: Date.now, maxRecordedBytes: () => 32_768});
const result = await claims.claim('ayamoni/pay-17', 'a3f…');
*/
export function createClaims(options: ShardOptions & {readonly nowMs: () => number; readonly maxRecordedBytes: () => number}): Claims {
	let owned: OwnedShard | undefined;
	let ownedSinceMs = 0;
	let lastHolder: string | undefined;
	let pendingAcquisition: Promise<ClaimResult | undefined> | undefined;

	const acquire = async (): Promise<ClaimResult | undefined> => {
		const result = await acquireShard(options);
		switch (result.kind) {
			case 'owned': {
				lastHolder = undefined;
				carryOverKeys(owned, result.shard);
				ownedSinceMs = options.nowMs();
				owned = result.shard;
				return undefined;
			}

			case 'elsewhere': {
				lastHolder = result.holder;
				return {...result, standing: true};
			}

			case 'unavailable': {
				// While the store is unavailable, the last known holder is the most likely owner.
				return lastHolder === undefined ? {kind: 'unknown'} : {kind: 'elsewhere', holder: lastHolder, standing: false};
			}
		}
	};

	const ensureOwned = async (): Promise<ClaimResult | undefined> => {
		if (!pendingAcquisition && owned?.isOpen()) {
			return undefined;
		}

		// A process that has released its lease never acquires a shard again, so the caller has to try another process.
		if (options.lease.isReleased()) {
			return {kind: 'elsewhere', holder: undefined, standing: false};
		}

		pendingAcquisition ??= acquire().finally(() => {
			pendingAcquisition = undefined;
		});
		return pendingAcquisition;
	};

	const claimInShard = async (shard: OwnedShard, key: string, fingerprint: string): Promise<ClaimResult> => {
		// Checked again in the event-loop turn that stores the claim, because two concurrent calls may both have looked up the key as fresh.
		const knownState = shard.keys.get(key);
		if (knownState && knownState.kind !== 'withdrawn') {
			return resultOfKnownKey(knownState, fingerprint);
		}

		let markEnded = (): void => undefined;
		const ended = new Promise<void>(resolve => {
			markEnded = resolve;
		});
		// Set before the write, so that a second call with the key waits for this one. (sealed-log.pml: noteFirst)
		const running: KeyState = {kind: 'running', fingerprint, ended};
		shard.keys.set(key, running);
		const settle = (state: KeyState): void => {
			// If another process has owned the shard meanwhile, the state replayed from its log is kept.
			if (owned?.keys.get(key) === running) {
				owned.keys.set(key, state);
			}

			shard.keys.set(key, state);
			markEnded();
		};

		const appended = await shard.append({
			kind: 'claim', key, fingerprint, atMs: options.nowMs(),
		});
		if (appended.kind === 'sealed') {
			settle({kind: 'claimed', fingerprint, atMs: options.nowMs()});
			return {kind: 'unknown'};
		}

		if (appended.kind === 'unavailable') {
			// Nothing was dispatched, and no other process can own the shard while this lease is valid, so the key has not run. (sealed-log.pml: leaseStands)
			const wasLeaseHeld = options.lease.isValid() && options.lease.generation() === shard.generation;
			settle({kind: 'withdrawn', fingerprint, atMs: options.nowMs()});
			return {kind: wasLeaseHeld ? 'notRun' : 'unknown'};
		}

		// The caller may dispatch only after the claim is confirmed to be in the log. (sealed-log.pml: claimFirst)
		return {kind: 'claimed', claim: createClaim(shard, key, fingerprint, settle)};
	};

	// The outcome is appended to the current epoch if this process has owned the shard without interruption.
	const appendOutcome = async (shard: OwnedShard, logRecord: LogRecord): Promise<void> => {
		const currentShard = owned?.keys.get(logRecord.key) === shard.keys.get(logRecord.key) ? owned : shard;
		await currentShard?.append(logRecord);
	};

	const createClaim = (shard: OwnedShard, key: string, fingerprint: string, settle: (state: KeyState) => void): Claim => ({
		async done(answer) {
			const atMs = options.nowMs();
			const fits = answer.body.length <= options.maxRecordedBytes();
			settle(fits
				? {
					kind: 'done', fingerprint, answer, atMs,
				}
				: {
					kind: 'doneUnrecorded', fingerprint, status: answer.status, atMs,
				});
			await appendOutcome(shard, fits
				? {
					kind: 'done', key, answer, atMs,
				}
				: {
					kind: 'doneUnrecorded', key, status: answer.status, atMs,
				});
		},
		async withdrawn() {
			const atMs = options.nowMs();
			settle({kind: 'withdrawn', fingerprint, atMs});
			await appendOutcome(shard, {kind: 'withdrawn', key, atMs});
		},
		lost() {
			settle({kind: 'claimed', fingerprint, atMs: options.nowMs()});
		},
	});

	const lookUp = async (key: string, fingerprint: string): Promise<ClaimResult | {readonly kind: 'fresh'; readonly shard: OwnedShard}> => {
		// A recorded outcome is final, so it holds even if another process owns the shard now.
		const cached = owned?.keys.get(key);
		if (cached?.kind === 'done' || cached?.kind === 'doneUnrecorded') {
			return resultOfKnownKey(cached, fingerprint);
		}

		const notOwned = await ensureOwned();
		if (notOwned) {
			return notOwned;
		}

		// Ownership may have ended during the await, and only the current owner knows the state of the key. (sealed-log.pml: current)
		const shard = owned;
		if (!shard?.isOpen()) {
			return {kind: 'unknown'};
		}

		const knownState = shard.keys.get(key);
		return knownState && knownState.kind !== 'withdrawn' ? resultOfKnownKey(knownState, fingerprint) : {kind: 'fresh', shard};
	};

	return {
		lookUp,
		async claim(key, fingerprint) {
			const lookedUp = await lookUp(key, fingerprint);
			return lookedUp.kind === 'fresh' ? claimInShard(lookedUp.shard, key, fingerprint) : lookedUp;
		},
		async maintain(retentionMs) {
			const beforeMs = options.nowMs() - retentionMs;
			if (!owned?.isOpen()) {
				return 0;
			}

			if (ownedSinceMs < options.nowMs() - (retentionMs / epochsPerRetention)) {
				pendingAcquisition ??= acquire().finally(() => {
					pendingAcquisition = undefined;
				});
				await pendingAcquisition;
			}

			for (const [key, state] of owned.keys) {
				if (state.kind !== 'running' && state.atMs < beforeMs) {
					owned.keys.delete(key);
				}
			}

			return deleteExpiredSegments(options, owned.epoch, {beforeMs, maxDeleted: maxSegmentsPerCleanup});
		},
		epoch: () => owned?.isOpen() ? owned.epoch : 0,
	};
}

// An owner that acquires its own shard again knows more than the log: which calls are still running and
// which were withdrawn. If another epoch lies in between, its owner may have run the key, and only the log is valid.
function carryOverKeys(previous: OwnedShard | undefined, next: OwnedShard): void {
	if (!previous || next.epoch !== previous.epoch + 1) {
		return;
	}

	for (const [key, state] of previous.keys) {
		if (state.kind !== 'claimed') {
			next.keys.set(key, state);
		}
	}
}

function resultOfKnownKey(knownState: Exclude<KeyState, {kind: 'withdrawn'}>, fingerprint: string): ClaimResult {
	if (knownState.fingerprint !== fingerprint) {
		return {kind: 'reused'};
	}

	switch (knownState.kind) {
		case 'running': {
			return {kind: 'inProgress', ended: knownState.ended};
		}

		case 'claimed': {
			return {kind: 'claimedEarlier'};
		}

		case 'done': {
			return {kind: 'replay', answer: knownState.answer};
		}

		case 'doneUnrecorded': {
			return {kind: 'ranUnrecorded', status: knownState.status};
		}
	}
}

import {type LogRecord, type RecordedAnswer} from './segment.js';
import {acquireShard, clearSegments} from './acquire.js';
import {type KeyState, type OwnedShard, type ShardOptions} from './shard.js';

/** Epochs that one owner goes through in the time that keys are kept. */
const epochsKept = 4;
const mostCleared = 100;

/** A claim that stands in the log: its call may now be dispatched, once. */
export type Claim = {
	/** Records the whole answer, so that the same key gets it again. */
	done(answer: RecordedAnswer): Promise<void>;
	/** Records that the call is proved not to have run; the key may be claimed again. */
	withdrawn(): Promise<void>;
	/** Leaves the claim without an outcome: from now on the key is unknown. */
	lost(): void;
};

/** What may be done about a call that carries a key. */
export type ClaimResult
	= | {readonly kind: 'claimed'; readonly claim: Claim}
		| {readonly kind: 'replay'; readonly answer: RecordedAnswer}
	/** It has run, with this status, but its answer was too large to keep. */
		| {readonly kind: 'ranUnrecorded'; readonly status: number}
	/** Another arrival of the same key is at the target now; ask again when it has ended. */
		| {readonly kind: 'inProgress'; readonly ended: Promise<void>}
	/** The key came before with another request. */
		| {readonly kind: 'reused'}
	/** It may have run under an earlier owner, and it is never run again. */
		| {readonly kind: 'claimedEarlier'}
		/**
	Another process owns the shard; without a holder it is not known which. It is
	`standing` when the store has just said that its lease stands.
	*/
		| {readonly kind: 'elsewhere'; readonly holder: string | undefined; readonly standing: boolean}
	/** It is proved that no call with this key has run. */
		| {readonly kind: 'notRun'}
	/** Nothing can be said of the key here and now. */
		| {readonly kind: 'unknown'};

export type Claims = {
	/** Says what is known of a key without claiming it: `fresh` when its owner, this process, has never seen it. */
	look(key: string, fingerprint: string): Promise<ClaimResult | {readonly kind: 'fresh'}>;
	/**
	Claims a key before its call is dispatched. `fingerprint` tells whether a
	second call with the key is the same request.
	*/
	claim(key: string, fingerprint: string): Promise<ClaimResult>;
	/**
	Forgets keys older than `retentionMs` and clears their segments; returns how many
	segments went. An owner of long standing takes the next epoch first, so that its
	own old segments can go too.
	*/
	maintain(retentionMs: number): Promise<number>;
	/** The epoch held, 0 for none, for status and tests. */
	epoch(): number;
};

/**
Makes the claims of one shard. The shard is taken when the first key comes.

@example
const claims = createClaims({...options, nowMs: Date.now, maxRecordedBytes: () => 32_768});
const result = await claims.claim('ayamoni/pay-17', 'a3f…');
*/
export function createClaims(options: ShardOptions & {readonly nowMs: () => number; readonly maxRecordedBytes: () => number}): Claims {
	let owned: OwnedShard | undefined;
	let ownedSinceMs = 0;
	let lastHolder: string | undefined;
	let acquiring: Promise<ClaimResult | undefined> | undefined;

	const acquire = async (): Promise<ClaimResult | undefined> => {
		const result = await acquireShard(options);
		switch (result.kind) {
			case 'owned': {
				lastHolder = undefined;
				carryOver(owned, result.shard);
				ownedSinceMs = options.nowMs();
				owned = result.shard;
				return undefined;
			}

			case 'elsewhere': {
				lastHolder = result.holder;
				return {...result, standing: true};
			}

			case 'unavailable': {
				// While the store can't say, the last holder it named is still the best one to ask.
				return lastHolder === undefined ? {kind: 'unknown'} : {kind: 'elsewhere', holder: lastHolder, standing: false};
			}
		}
	};

	const ensureOwned = async (): Promise<ClaimResult | undefined> => {
		if (!acquiring && owned?.isOpen()) {
			return undefined;
		}

		// A process that has given its lease up takes no shard again; whoever asks should ask another.
		if (options.lease.isReleased()) {
			return {kind: 'elsewhere', holder: undefined, standing: false};
		}

		acquiring ??= acquire().finally(() => {
			acquiring = undefined;
		});
		return acquiring;
	};

	const claimIn = async (shard: OwnedShard, key: string, fingerprint: string): Promise<ClaimResult> => {
		// Looked at again in the same turn that notes the claim: two arrivals may both have been told that the key is fresh.
		const known = shard.keys.get(key);
		if (known && known.kind !== 'withdrawn') {
			return fromKnown(known, fingerprint);
		}

		let end = (): void => undefined;
		const ended = new Promise<void>(resolve => {
			end = resolve;
		});
		// Noted before the write, so that a second arrival of the key joins this one. (sealed-log.pml: noteFirst)
		const running: KeyState = {kind: 'running', fingerprint, ended};
		shard.keys.set(key, running);
		const settle = (state: KeyState): void => {
			// Another owner may have held the shard since, and what it knows of the key stays.
			if (owned?.keys.get(key) === running) {
				owned.keys.set(key, state);
			}

			shard.keys.set(key, state);
			end();
		};

		const appended = await shard.append({
			kind: 'claim', key, fingerprint, atMs: options.nowMs(),
		});
		if (appended.kind === 'sealed') {
			settle({kind: 'claimed', fingerprint, atMs: options.nowMs()});
			return {kind: 'unknown'};
		}

		if (appended.kind === 'unavailable') {
			// Nothing was dispatched and no owner can follow while the lease stands, so the key has not run. (sealed-log.pml: leaseStands)
			const hasStood = options.lease.isValid() && options.lease.generation() === shard.generation;
			settle({kind: 'withdrawn', fingerprint, atMs: options.nowMs()});
			return {kind: hasStood ? 'notRun' : 'unknown'};
		}

		// Dispatch only after the claim is known to stand. (sealed-log.pml: claimFirst)
		return {kind: 'claimed', claim: openClaim(shard, key, fingerprint, settle)};
	};

	// An outcome goes to the epoch that is open now, if this process has held the shard without a break.
	const record = async (shard: OwnedShard, line: LogRecord): Promise<void> => {
		const open = owned?.keys.get(line.key) === shard.keys.get(line.key) ? owned : shard;
		await open?.append(line);
	};

	const openClaim = (shard: OwnedShard, key: string, fingerprint: string, settle: (state: KeyState) => void): Claim => ({
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
			await record(shard, fits
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
			await record(shard, {kind: 'withdrawn', key, atMs});
		},
		lost() {
			settle({kind: 'claimed', fingerprint, atMs: options.nowMs()});
		},
	});

	const look = async (key: string, fingerprint: string): Promise<ClaimResult | {readonly kind: 'fresh'; readonly shard: OwnedShard}> => {
		// An answer once recorded stays true, whoever owns the shard now.
		const ended = owned?.keys.get(key);
		if (ended?.kind === 'done' || ended?.kind === 'doneUnrecorded') {
			return fromKnown(ended, fingerprint);
		}

		const refused = await ensureOwned();
		if (refused) {
			return refused;
		}

		// Another task may have run since; only an owner that is current now may speak of the key. (sealed-log.pml: current)
		const shard = owned;
		if (!shard?.isOpen()) {
			return {kind: 'unknown'};
		}

		const known = shard.keys.get(key);
		return known && known.kind !== 'withdrawn' ? fromKnown(known, fingerprint) : {kind: 'fresh', shard};
	};

	return {
		look,
		async claim(key, fingerprint) {
			const looked = await look(key, fingerprint);
			return looked.kind === 'fresh' ? claimIn(looked.shard, key, fingerprint) : looked;
		},
		async maintain(retentionMs) {
			const beforeMs = options.nowMs() - retentionMs;
			if (!owned?.isOpen()) {
				return 0;
			}

			if (ownedSinceMs < options.nowMs() - (retentionMs / epochsKept)) {
				acquiring ??= acquire().finally(() => {
					acquiring = undefined;
				});
				await acquiring;
			}

			for (const [key, state] of owned.keys) {
				if (state.kind !== 'running' && state.atMs < beforeMs) {
					owned.keys.delete(key);
				}
			}

			return clearSegments(options, owned.epoch, {beforeMs, most: mostCleared});
		},
		epoch: () => owned?.isOpen() ? owned.epoch : 0,
	};
}

// An owner that follows itself knows more than its log: what still runs here, and what was withdrawn.
// With an epoch between, another owner may have run the key, and the log alone counts.
function carryOver(before: OwnedShard | undefined, next: OwnedShard): void {
	if (!before || next.epoch !== before.epoch + 1) {
		return;
	}

	for (const [key, state] of before.keys) {
		if (state.kind !== 'claimed') {
			next.keys.set(key, state);
		}
	}
}

function fromKnown(known: Exclude<KeyState, {kind: 'withdrawn'}>, fingerprint: string): ClaimResult {
	if (known.fingerprint !== fingerprint) {
		return {kind: 'reused'};
	}

	switch (known.kind) {
		case 'running': {
			return {kind: 'inProgress', ended: known.ended};
		}

		case 'claimed': {
			return {kind: 'claimedEarlier'};
		}

		case 'done': {
			return {kind: 'replay', answer: known.answer};
		}

		case 'doneUnrecorded': {
			return {kind: 'ranUnrecorded', status: known.status};
		}
	}
}

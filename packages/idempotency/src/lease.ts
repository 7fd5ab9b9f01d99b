import {type Store} from '@papayaflow/store';
import {livenessKey} from './segment.js';

/** The lease of one process, which covers all shards that the process owns. */
export type Lease = {
	/** Whether the lease is held and unexpired by this process's monotonic clock. */
	isValid(): boolean;
	/** Whether `release` was called, after which the lease is never acquired again. */
	isReleased(): boolean;
	/** Counts the leases that this process has acquired. Shards opened under an earlier lease must not be used. */
	generation(): number;
	/** Renews the lease, or acquires a new one when none is held. */
	renew(): Promise<void>;
	/** Releases the lease for good, so that other processes can acquire the shards at once. Resolves once the store has answered or could not be reached. */
	release(): Promise<void>;
};

export type LeaseOptions = {
	readonly store: Store;
	readonly holder: string;
	readonly incarnation: string;
	readonly ttlMs: () => number;
	/** A monotonic clock, in milliseconds. */
	readonly monotonicMs: () => number;
};

/**
Creates a lease that is not yet acquired; `renew` acquires it. Its validity is
counted from before each request to the store, so that it ends in this process no
later than in the store.

@example
const lease = createLease({store, holder: 'sidecar-1', incarnation, ttlMs: () => 9000, monotonicMs: () => performance.now()});
await lease.renew();
*/
export function createLease({store, holder, incarnation, ttlMs, monotonicMs}: LeaseOptions): Lease {
	let leaseId: string | undefined;
	let validUntilMs = 0;
	let generation = 0;
	let revision = 0;
	let grantedTtlMs = 0;
	let isReleased = false;
	let pendingRenewal: Promise<void> | undefined;
	let pendingRelease: Promise<void> | undefined;

	const acquire = async (): Promise<void> => {
		const requestedAtMs = monotonicMs();
		const ttl = ttlMs();
		const granted = await store.grantLease(ttl);
		if (granted.kind === 'unavailable') {
			return;
		}

		const key = livenessKey(holder, incarnation);
		const current = await store.read(key);
		if (current.kind === 'unavailable') {
			return;
		}

		const expected = current.kind === 'found' ? current.entry.revision : 0;
		const written = await store.write(key, new Uint8Array([1]), {expected, lease: granted.lease});
		if (written.kind !== 'written' || isReleased) {
			return;
		}

		leaseId = granted.lease;
		revision = written.revision;
		generation++;
		grantedTtlMs = ttl;
		validUntilMs = requestedAtMs + ttl;
	};

	const renewOrAcquire = async (): Promise<void> => {
		if (leaseId === undefined || monotonicMs() >= validUntilMs) {
			leaseId = undefined;
			await acquire();
			return;
		}

		const requestedAtMs = monotonicMs();
		const renewed = await store.renewLease(leaseId);
		if (renewed.kind === 'renewed') {
			// The store renews a lease for the TTL it was granted with, even if the preset has changed since.
			validUntilMs = Math.max(validUntilMs, requestedAtMs + grantedTtlMs);
		} else if (renewed.kind === 'expired') {
			leaseId = undefined;
		}
	};

	const releaseLease = async (): Promise<void> => {
		isReleased = true;
		if (leaseId === undefined) {
			return;
		}

		// Invalidated here before its key is removed, so that no other process acquires the shards while this one still treats the lease as valid.
		leaseId = undefined;
		validUntilMs = 0;
		await store.remove(livenessKey(holder, incarnation), revision);
	};

	return {
		isValid: () => leaseId !== undefined && monotonicMs() < validUntilMs,
		isReleased: () => isReleased,
		generation: () => generation,
		async renew() {
			// Concurrent calls share one request: if two acquired a lease each, the liveness key could stay attached to the lease that is not renewed.
			pendingRenewal ??= renewOrAcquire().finally(() => {
				pendingRenewal = undefined;
			});
			return pendingRenewal;
		},
		async release() {
			pendingRelease ??= releaseLease();
			return pendingRelease;
		},
	};
}

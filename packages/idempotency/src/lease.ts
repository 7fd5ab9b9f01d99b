import {type Store} from '@papayaflow/store';
import {livenessKey} from './segment.js';

/** One process's lease, which stands for all the shards that it owns. */
export type Lease = {
	/** Whether the lease stands by this process's own monotonic clock. */
	isValid(): boolean;
	/** Whether the lease was given up for good. */
	isReleased(): boolean;
	/** Counts the leases this process has had; work begun under an earlier one is not trusted. */
	generation(): number;
	/** Renews the lease, or takes a new one when there is none. */
	tick(): Promise<void>;
	/** Gives the lease up for good, so that others may take the shards at once; resolves when the store has been asked. */
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
Makes a lease that is not yet taken. Its time counts from before it was asked
for, so that this process stops believing in it before the service does.

@example
const lease = createLease({store, holder: 'sidecar-1', incarnation, ttlMs: () => 9000, monotonicMs: () => performance.now()});
await lease.tick();
*/
export function createLease({store, holder, incarnation, ttlMs, monotonicMs}: LeaseOptions): Lease {
	let id: string | undefined;
	let validUntilMs = 0;
	let generation = 0;
	let revision = 0;
	let grantedMs = 0;
	let isReleased = false;
	let ticking: Promise<void> | undefined;
	let releasing: Promise<void> | undefined;

	const take = async (): Promise<void> => {
		const askedAtMs = monotonicMs();
		const ttl = ttlMs();
		const granted = await store.grantLease(ttl);
		if (granted.kind === 'unavailable') {
			return;
		}

		const key = livenessKey(holder, incarnation);
		const present = await store.read(key);
		if (present.kind === 'unavailable') {
			return;
		}

		const expected = present.kind === 'found' ? present.entry.revision : 0;
		const written = await store.write(key, new Uint8Array([1]), {expected, lease: granted.lease});
		if (written.kind !== 'written' || isReleased) {
			return;
		}

		id = granted.lease;
		revision = written.revision;
		generation++;
		grantedMs = ttl;
		validUntilMs = askedAtMs + ttl;
	};

	const tickOnce = async (): Promise<void> => {
		if (id === undefined || monotonicMs() >= validUntilMs) {
			id = undefined;
			await take();
			return;
		}

		const askedAtMs = monotonicMs();
		const renewed = await store.renewLease(id);
		if (renewed.kind === 'renewed') {
			// A lease keeps the time it was granted with, whatever the preset says by now.
			validUntilMs = Math.max(validUntilMs, askedAtMs + grantedMs);
		} else if (renewed.kind === 'expired') {
			id = undefined;
		}
	};

	const releaseOnce = async (): Promise<void> => {
		isReleased = true;
		if (id === undefined) {
			return;
		}

		// Disbelieved here first, then taken from the store: at no moment do two processes believe in it.
		id = undefined;
		validUntilMs = 0;
		await store.remove(livenessKey(holder, incarnation), revision);
	};

	return {
		isValid: () => id !== undefined && monotonicMs() < validUntilMs,
		isReleased: () => isReleased,
		generation: () => generation,
		async tick() {
			// One at a time: two that take the lease together would leave its key bound to the one not renewed.
			ticking ??= tickOnce().finally(() => {
				ticking = undefined;
			});
			return ticking;
		},
		async release() {
			releasing ??= releaseOnce();
			return releasing;
		},
	};
}

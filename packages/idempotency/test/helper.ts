import {createKv, memoryStore, type StoreFaults} from '@papayaflow/standins';
import {
	createClaims, createLease, type Claims, type Lease,
} from '@papayaflow/idempotency';

/** A clock that the test sets. */
export type TestClock = {nowMs: number};

export const answer = (text: string) => ({status: 200, headers: {}, body: new TextEncoder().encode(text)});

type OwnerOptions = StoreFaults & {readonly writeDelayMs?: () => number};

/** Creates one owner of shard 0 of a service, on a key-value service that several owners share. */
export async function owner(kv: ReturnType<typeof createKv>, clock: TestClock, holder: string, options: OwnerOptions = {}): Promise<{claims: Claims; lease: Lease}> {
	const store = memoryStore(kv, options);
	const incarnation = `${holder}-incarnation`;
	const lease = createLease({
		store, holder, incarnation, ttlMs: () => 9000, monotonicMs: () => clock.nowMs,
	});
	await lease.renew();
	const claims = createClaims({
		store, service: 'ledger', shard: 0, holder, incarnation, lease, nowMs: () => clock.nowMs,
		batchMs: () => 0, maxRecordedBytes: () => 100, writeDelayMs: options.writeDelayMs ?? (() => 0),
		async sleep() {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		},
	});
	return {claims, lease};
}

export function createPlatform(): {kv: ReturnType<typeof createKv>; clock: TestClock} {
	const clock = {nowMs: 0};
	return {kv: createKv(() => clock.nowMs), clock};
}

import {createClaims, createLease} from '@papayaflow/idempotency';
import {
	claimShards, shardOfKey, takeQuota, type Bucket,
} from '@papayaflow/policy';
import {
	createKv, exponential, memoryStore, quantile, seededRandom,
} from '@papayaflow/standins';
import {createEvents} from './events.js';

const endMs = 60_000;
const warmUpMs = 20_000;
const storeMs = 3;
const targetMs = 20;
const batchMs = 5;
const writesPerSecond = 3.5;
const writeBurst = 20;

/** What the log of one service came to at one rate of keyed calls. */
export type ClaimsRun = {
	/** Writes to the key-value service, a second. */
	readonly writes: number;
	/** The time a call waited for its claim, in milliseconds. */
	readonly waitP50: number;
	readonly waitP95: number;
	readonly claimed: number;
};

/**
Claims keys at a rate over the eight parts of a service's log, in virtual time, with
a store that takes 3 ms and calls that take 20 ms at their target.
*/
export async function runClaims(callsPerSecond: number, seed: number): Promise<ClaimsRun> {
	const random = seededRandom(seed);
	const events = createEvents();
	const kv = createKv(() => events.nowMs);
	const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
		events.at(events.nowMs + ms, resolve);
	});
	const store = memoryStore(kv, {
		async pause(when) {
			await (when === 'before' ? sleep(storeMs) : undefined);
		},
	});
	const common = {store, holder: 'a', incarnation: 'a'};
	const lease = createLease({...common, ttlMs: () => 10 * endMs, monotonicMs: () => events.nowMs});
	const shards = Array.from({length: claimShards}, (_, shard) => {
		let bucket: Bucket | undefined;
		return createClaims({
			...common, service: 'ledger', shard, lease, sleep, batchMs: () => batchMs, nowMs: () => events.nowMs, maxRecordedBytes: () => 1000,
			writePauseMs() {
				const taken = takeQuota(bucket, {requestsPerSecond: writesPerSecond, burst: writeBurst, entries: 1}, events.nowMs);
				bucket = taken.bucket;
				return taken.kind === 'within' ? 0 : taken.retryAfterMs;
			},
		});
	});
	const waited: number[] = [];
	let claimed = 0;

	const call = async (key: string): Promise<void> => {
		const arrivedMs = events.nowMs;
		const result = await shards[shardOfKey('o', key)].claim(key, key);
		if (result.kind !== 'claimed') {
			return;
		}

		claimed++;
		if (arrivedMs >= warmUpMs) {
			waited.push(events.nowMs - arrivedMs);
		}

		await sleep(targetMs);
		await result.claim.done({status: 200, headers: {}, body: new Uint8Array(100)});
	};

	void lease.tick();
	let sent = 0;
	const arrive = (): void => {
		void call(`pay-${sent++}`);
		events.at(events.nowMs + (exponential(random) * 1000 / callsPerSecond), arrive);
	};

	events.at(100, arrive);
	let before = 0;
	const countWrites = (): number => kv.history.filter(({key}) => key.includes('/log/')).length;
	events.at(warmUpMs, () => {
		before = countWrites();
	});
	await events.runUntilAsync(endMs);
	return {
		writes: (countWrites() - before) / (endMs - warmUpMs) * 1000, waitP50: quantile(waited, 0.5), waitP95: quantile(waited, 0.95), claimed,
	};
}

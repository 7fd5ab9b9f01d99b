import {createClaims, createLease} from '@papayaflow/idempotency';
import {
	claimShards, shardOfKey, consumeQuota, type Bucket,
} from '@papayaflow/policy';
import {
	createKv, exponential, memoryStore, quantile, seededRandom,
} from '@papayaflow/standins';
import {createEventQueue} from './events.js';

const endMs = 60_000;
const warmUpMs = 20_000;
const storeLatencyMs = 3;
const targetLatencyMs = 20;
const batchMs = 5;
const writesPerSecond = 3.5;
const writeBurst = 20;

/** The figures of the claim log of one service at one rate of keyed calls. */
export type ClaimsRun = {
	/** Writes to the key-value store per second. */
	readonly writesPerSecond: number;
	/** Percentiles of the time that a call waited for its claim, in milliseconds. */
	readonly waitP50Ms: number;
	readonly waitP95Ms: number;
	/** Calls that got their claim. */
	readonly claimed: number;
};

/**
Claims keys at a given rate in the eight shards of a service's claim log, in virtual
time. A store operation takes 3 ms and a call takes 20 ms at its target.
*/
export async function runClaims(callsPerSecond: number, seed: number): Promise<ClaimsRun> {
	const random = seededRandom(seed);
	const events = createEventQueue();
	const kv = createKv(() => events.nowMs);
	const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
		events.at(events.nowMs + ms, resolve);
	});
	const store = memoryStore(kv, {
		async pause(when) {
			await (when === 'before' ? sleep(storeLatencyMs) : undefined);
		},
	});
	const common = {store, holder: 'a', incarnation: 'a'};
	const lease = createLease({...common, ttlMs: () => 10 * endMs, monotonicMs: () => events.nowMs});
	const shards = Array.from({length: claimShards}, (_, shard) => {
		let bucket: Bucket | undefined;
		return createClaims({
			...common, service: 'ledger', shard, lease, sleep, batchMs: () => batchMs, nowMs: () => events.nowMs, maxRecordedBytes: () => 1000,
			writeDelayMs() {
				const taken = consumeQuota(bucket, {requestsPerSecond: writesPerSecond, burst: writeBurst, entries: 1}, events.nowMs);
				bucket = taken.bucket;
				return taken.kind === 'within' ? 0 : taken.retryAfterMs;
			},
		});
	});
	const claimWaitsMs: number[] = [];
	let claimed = 0;

	const call = async (key: string): Promise<void> => {
		const arrivedMs = events.nowMs;
		const result = await shards[shardOfKey('o', key)].claim(key, key);
		if (result.kind !== 'claimed') {
			return;
		}

		claimed++;
		if (arrivedMs >= warmUpMs) {
			claimWaitsMs.push(events.nowMs - arrivedMs);
		}

		await sleep(targetLatencyMs);
		await result.claim.done({status: 200, headers: {}, body: new Uint8Array(100)});
	};

	void lease.renew();
	let sent = 0;
	const sendAndScheduleNext = (): void => {
		void call(`pay-${sent++}`);
		events.at(events.nowMs + (exponential(random) * 1000 / callsPerSecond), sendAndScheduleNext);
	};

	events.at(100, sendAndScheduleNext);
	let writesAtWarmUp = 0;
	const countWrites = (): number => kv.history.filter(({key}) => key.includes('/log/')).length;
	events.at(warmUpMs, () => {
		writesAtWarmUp = countWrites();
	});
	await events.runUntilAsync(endMs);
	return {
		writesPerSecond: (countWrites() - writesAtWarmUp) / (endMs - warmUpMs) * 1000, waitP50Ms: quantile(claimWaitsMs, 0.5), waitP95Ms: quantile(claimWaitsMs, 0.95), claimed,
	};
}

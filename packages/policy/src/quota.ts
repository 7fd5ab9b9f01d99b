const msPerSecond = 1000;

/** The token bucket of one organisation: its fill level at the time `atMs`. */
export type Bucket = {readonly tokens: number; readonly atMs: number};

export type QuotaOptions = {
	readonly requestsPerSecond: number;
	readonly burst: number;
	/** The number of entries that share the quota. */
	readonly entries: number;
};

export type QuotaResult
	= | {readonly kind: 'within'; readonly bucket: Bucket}
		| {readonly kind: 'over'; readonly bucket: Bucket; readonly retryAfterMs: number};

/**
Takes one request from an organisation's quota, or returns when the next one will be
within it. There is no central counter: each of `entries` entries grants an even share
of the quota, with a burst of at least one request.

@example
const result = consumeQuota(buckets.get(organisation), options, nowMs);
*/
export function consumeQuota(bucket: Bucket | undefined, options: QuotaOptions, nowMs: number): QuotaResult {
	const ratePerMs = options.requestsPerSecond / options.entries / msPerSecond;
	const burst = Math.max(1, options.burst / options.entries);
	const available = bucket ? Math.min(burst, bucket.tokens + ((nowMs - bucket.atMs) * ratePerMs)) : burst;
	return available >= 1
		? {kind: 'within', bucket: {tokens: available - 1, atMs: nowMs}}
		: {kind: 'over', bucket: {tokens: available, atMs: nowMs}, retryAfterMs: Math.ceil((1 - available) / ratePerMs)};
}

const msPerSecond = 1000;

/** The tokens of one organisation's bucket at one moment. */
export type Bucket = {readonly tokens: number; readonly atMs: number};

export type QuotaOptions = {
	readonly requestsPerSecond: number;
	readonly burst: number;
	/** The entries that share the quota. */
	readonly entries: number;
};

export type QuotaResult
	= | {readonly kind: 'within'; readonly bucket: Bucket}
		| {readonly kind: 'over'; readonly bucket: Bucket; readonly retryAfterMs: number};

/**
Takes one request from an organisation's quota. There is no central counter: each
of `entries` entries grants its share, with at least one request of burst.

@example
const result = takeQuota(buckets.get(organisation), options, nowMs);
*/
export function takeQuota(bucket: Bucket | undefined, options: QuotaOptions, nowMs: number): QuotaResult {
	const ratePerMs = options.requestsPerSecond / options.entries / msPerSecond;
	const burst = Math.max(1, options.burst / options.entries);
	const filled = bucket ? Math.min(burst, bucket.tokens + ((nowMs - bucket.atMs) * ratePerMs)) : burst;
	return filled >= 1
		? {kind: 'within', bucket: {tokens: filled - 1, atMs: nowMs}}
		: {kind: 'over', bucket: {tokens: filled, atMs: nowMs}, retryAfterMs: Math.ceil((1 - filled) / ratePerMs)};
}

const msPerSecond = 1000;

/** A token bucket whose rate may change. */
export type Bucket = {
	/** Takes a token if there is one. */
	tryTake(): boolean;
	/** How long until there is a token, in milliseconds; 0 if there is one now, infinite at rate 0. */
	waitMs(): number;
	/** Changes the rate and the capacity from now on; tokens beyond the new capacity are lost. */
	setRate(perSecond: number, capacity: number): void;
};

export type BucketOptions = {
	readonly perSecond: number;
	/** The most tokens that the bucket holds: the largest burst. */
	readonly capacity: number;
	/** The tokens at the start; 0 if it is not known what was sent before. */
	readonly tokens: number;
	readonly monotonicMs: () => number;
};

/**
Creates a token bucket. In any span of time, `tryTake` succeeds at most `capacity` times
plus `perSecond` times for each second of the span.

@example
const bucket = createBucket({perSecond: 2, capacity: 1, tokens: 0, monotonicMs: () => performance.now()});
bucket.tryTake(); // False; true after half a second.
*/
export function createBucket({perSecond, capacity, tokens, monotonicMs}: BucketOptions): Bucket {
	let state = {
		perSecond, capacity, tokens: Math.min(tokens, capacity), atMs: monotonicMs(),
	};

	const refill = (): void => {
		const now = monotonicMs();
		state = {...state, tokens: Math.min(state.capacity, state.tokens + ((now - state.atMs) * state.perSecond / msPerSecond)), atMs: now};
	};

	return {
		tryTake() {
			refill();
			if (state.tokens < 1) {
				return false;
			}

			state = {...state, tokens: state.tokens - 1};
			return true;
		},
		waitMs() {
			refill();
			return state.tokens >= 1 ? 0 : (1 - state.tokens) * msPerSecond / state.perSecond;
		},
		setRate(nextPerSecond, nextCapacity) {
			refill();
			state = {
				...state, perSecond: nextPerSecond, capacity: nextCapacity, tokens: Math.min(state.tokens, nextCapacity),
			};
		},
	};
}

/** The lowest rate at which requests are sent to a target, so that it can take back a limit of zero or nearly zero. */
const trialPerSecond = 0.1;

/** The part of a second whose requests may be sent at once. */
const burstSeconds = 0.25;

/** Returns the rate at which a target is sent requests when it names a limit. */
export function sendRate(perSecond: number): number {
	return Math.max(perSecond, trialPerSecond);
}

/** Returns the largest burst at a rate: what it allows in a quarter of a second, or one request. */
export function burstOf(perSecond: number): number {
	return Math.max(1, perSecond * burstSeconds);
}

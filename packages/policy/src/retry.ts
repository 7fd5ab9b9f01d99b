/** The most retries that a budget accumulates. */
const maxStoredRetries = 20;

/** A budget that is increased by requests and used up by retries. */
export type RetryBudget = {
	/** Records a first attempt, which adds `ratio` of a retry to the budget. */
	onRequest(ratio: number): void;
	/** Takes one retry from the budget; `false` if less than one is available. */
	tryTake(): boolean;
};

/**
Creates a retry budget. Over any period the retries stay below `ratio` of the requests
plus a small fixed allowance, so that retries do not overload failing targets.

@example
const budget = createRetryBudget();
budget.onRequest(0.1);
*/
export function createRetryBudget(): RetryBudget {
	let availableRetries = maxStoredRetries / 2;
	return {
		onRequest(ratio) {
			availableRetries = Math.min(maxStoredRetries, availableRetries + ratio);
		},
		tryTake() {
			if (availableRetries < 1) {
				return false;
			}

			availableRetries -= 1;
			return true;
		},
	};
}

/**
Returns the delay before a retry, in milliseconds. It is drawn uniformly below a bound
that doubles with each attempt up to `maxMs`, so that calls that failed at the same
time are not retried at the same time.

@example
await sleep(backoffMs(attempt, {baseMs: 20, maxMs: 1000, random: Math.random}));
*/
export function backoffMs(attempt: number, options: {readonly baseMs: number; readonly maxMs: number; readonly random: () => number}): number {
	return options.random() * Math.min(options.maxMs, options.baseMs * (2 ** attempt));
}

/** The mean delay before a refused request is retried, as a ratio of the objective; short enough for the retry to meet the objective. */
const retryDelayRatio = 0.3;

/**
Returns the delay after which a request refused for lack of capacity should be
retried, in milliseconds. It is short enough for the retry to meet the objective and
varies by up to 25 %, so that refused requests are not retried at the same time.

@example
const retryAfterMs = refusalRetryDelayMs(500, Math.random); // 112 to 187
*/
export function refusalRetryDelayMs(objectiveMs: number, random: () => number): number {
	return objectiveMs * retryDelayRatio * (0.75 + (random() / 2));
}

/** The shortest span over which the retries of refused callers are spread, in milliseconds. */
const minRetrySpreadMs = 200;

/**
Returns the delay after which a request should be retried that no target may get before
`earliestMs`, in milliseconds: that time and a random part of as much again, so that the
refused callers do not all return at once.

@example
const retryAfterMs = spreadRetryDelayMs(400, Math.random); // 400 to 800
*/
export function spreadRetryDelayMs(earliestMs: number, random: () => number): number {
	return earliestMs + (random() * Math.max(earliestMs, minRetrySpreadMs));
}

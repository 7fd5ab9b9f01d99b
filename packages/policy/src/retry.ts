const budgetCap = 20;

/** A budget that requests fill and retries empty. */
export type RetryBudget = {
	/** Notes a first attempt, which adds `ratio` of a retry. */
	onRequest(ratio: number): void;
	/** Takes one retry from the budget; `false` when there is none. */
	tryTake(): boolean;
};

/**
Makes a retry budget: over any stretch of time retries stay under `ratio` of the
requests plus a small start, so that a failing fleet is not asked more than a
working one.

@example
const budget = createRetryBudget();
budget.onRequest(0.1);
*/
export function createRetryBudget(): RetryBudget {
	let left = budgetCap / 2;
	return {
		onRequest(ratio) {
			left = Math.min(budgetCap, left + ratio);
		},
		tryTake() {
			if (left < 1) {
				return false;
			}

			left -= 1;
			return true;
		},
	};
}

/**
The pause before a retry, in milliseconds: drawn evenly below an exponential bound,
so that callers that failed together don't come back together.

@example
await sleep(backoffMs(attempt, {baseMs: 20, maxMs: 1000, random: Math.random}));
*/
export function backoffMs(attempt: number, options: {readonly baseMs: number; readonly maxMs: number; readonly random: () => number}): number {
	return options.random() * Math.min(options.maxMs, options.baseMs * (2 ** attempt));
}

/** When a refused caller should come back, as a part of the objective: soon enough to be still on time. */
const returnShare = 0.3;

/**
When a caller that found no room should come back, in milliseconds: spread around a
part of its objective, so that it can be in time and callers don't come back together.

@example
const retryAfterMs = returnAfterMs(500, Math.random); // 112 to 187
*/
export function returnAfterMs(objectiveMs: number, random: () => number): number {
	return objectiveMs * returnShare * (0.75 + (random() / 2));
}

/** Limits how often one entry resends requests of a service. */
export type ResendBudget = {
	/** Records a request for the service. */
	onRequest(service: string): void;
	/** Takes one resend from the budget; `false` if the budget of the current window is used up. */
	tryTake(service: string): boolean;
};

export type ResendOptions = {
	/** The resends allowed per request, on average over all entries. */
	readonly ratio: number;
	/** The further resends that all entries together may add in one window. */
	readonly slack: number;
	/** The number of entries that share the slack. */
	readonly entries: () => number;
	readonly windowMs: number;
	readonly nowMs: () => number;
};

/** The part of the budget that is granted, as a ratio. The rest is a margin for a resend that falls into a later window than its request. */
const usableRatio = 0.6;

/**
Creates a budget for the resends of requests, per service and over any window. Each
entry is limited to its part of the slack and a ratio of its own requests, so that the
sum over all entries keeps the limit without a shared counter.

Load pattern: during a release or the failure of a target, every entry has requests to
resend at the same time.

@example
const budget = createResendBudget({ratio: 0.2, slack: 90, entries: () => 4, windowMs: 10_000, nowMs});
*/
export function createResendBudget({ratio, slack, entries, windowMs, nowMs}: ResendOptions): ResendBudget {
	const requests = new Map<string, number[]>();
	const resends = new Map<string, number[]>();

	const recentTimes = (timesByService: Map<string, number[]>, service: string): number[] => {
		const times = timesByService.get(service) ?? [];
		const windowStartMs = nowMs() - windowMs;
		let expiredCount = 0;
		while (expiredCount < times.length && times[expiredCount] < windowStartMs) {
			expiredCount++;
		}

		times.splice(0, expiredCount);
		timesByService.set(service, times);
		return times;
	};

	return {
		onRequest(service) {
			recentTimes(requests, service).push(nowMs());
		},
		tryTake(service) {
			const recentResends = recentTimes(resends, service);
			const allowed = usableRatio * ((ratio * recentTimes(requests, service).length) + (slack / Math.max(1, entries())));
			if (recentResends.length + 1 > allowed) {
				return false;
			}

			recentResends.push(nowMs());
			return true;
		},
	};
}

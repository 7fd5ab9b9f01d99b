/** Bounds how often one entry sends requests of a service again. */
export type ResendBudget = {
	/** Notes a request for the service. */
	onRequest(service: string): void;
	/** Takes one more sending; `false` when the window has no room for it. */
	tryTake(service: string): boolean;
};

export type ResendOptions = {
	/** Sendings beyond the first that a request allows, on average, over all entries. */
	readonly ratio: number;
	/** Sendings beyond that which all entries together may add in one window. */
	readonly slack: number;
	/** Entries that may share the slack. */
	readonly entries: () => number;
	readonly windowMs: number;
	readonly nowMs: () => number;
};

/** The part of the allowance that is used, since a request may count in a window after the one it came in. */
const usedShare = 0.6;

/**
Makes a budget for sendings beyond the first, per service, over any window. Each
entry takes its part of the slack and a ratio of its own requests, so that the sum
over all entries holds without a counter that they share.

Pattern: a release or a failing target, when every entry finds a reason to send again.

@example
const budget = createResendBudget({ratio: 0.2, slack: 90, entries: () => 4, windowMs: 10_000, nowMs});
*/
export function createResendBudget({ratio, slack, entries, windowMs, nowMs}: ResendOptions): ResendBudget {
	const requests = new Map<string, number[]>();
	const resends = new Map<string, number[]>();

	const recent = (times: Map<string, number[]>, service: string): number[] => {
		const list = times.get(service) ?? [];
		const from = nowMs() - windowMs;
		let old = 0;
		while (old < list.length && list[old] < from) {
			old++;
		}

		list.splice(0, old);
		times.set(service, list);
		return list;
	};

	return {
		onRequest(service) {
			recent(requests, service).push(nowMs());
		},
		tryTake(service) {
			const taken = recent(resends, service);
			const allowed = usedShare * ((ratio * recent(requests, service).length) + (slack / Math.max(1, entries())));
			if (taken.length + 1 > allowed) {
				return false;
			}

			taken.push(nowMs());
			return true;
		},
	};
}

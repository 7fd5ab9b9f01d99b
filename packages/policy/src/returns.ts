/** A refused caller's window for its return, and the rate at which returns can be served. */
export type ReturnWindow = {
	/** The shortest useful delay, in milliseconds. */
	readonly earliestMs: number;
	/** The longest delay that the caller accepts, in milliseconds; it takes precedence over `earliestMs`. */
	readonly latestMs: number;
	/** How many returning callers can be served in a second, beside the other requests. */
	readonly perSecond: number;
};

/** Assigns return times to refused callers. */
export type ReturnSchedule = {
	/** Assigns a return time and returns the delay until then, in milliseconds. */
	next(window: ReturnWindow): number;
	/** The number of assigned return times that are still ahead. */
	pending(): number;
};

/**
Creates a schedule of the times at which refused callers return. Each caller gets the
earliest time of its window that has the distance of `1000 / perSecond` milliseconds
from every other assigned time, so that a few refused callers return after the shortest
delay and many return at the rate at which they can be served. If the window has no such
time, the time is drawn uniformly from the window, since any choice then exceeds the rate.

Load pattern: hundreds of callers are refused within a fraction of a second after an
outage, and all of them would return at the same time.

@example
const returns = createReturnSchedule({nowMs: () => performance.now(), random: Math.random});
const retryAfterMs = returns.next({earliestMs: 150, latestMs: 2600, perSecond: 80});
*/
export function createReturnSchedule({nowMs, random}: {readonly nowMs: () => number; readonly random: () => number}): ReturnSchedule {
	/** The assigned times in ascending order. */
	const times: number[] = [];

	const indexFrom = (ms: number): number => {
		let low = 0;
		let high = times.length;
		while (low < high) {
			const middle = (low + high) >> 1;
			if (times[middle] < ms) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		return low;
	};

	/** Returns the earliest time from `fromMs` on that has at least `distanceMs` from every assigned time. */
	const firstFree = (fromMs: number, distanceMs: number): number => {
		let freeMs = fromMs;
		for (let i = indexFrom(fromMs - distanceMs); i < times.length && times[i] < freeMs + distanceMs; i++) {
			freeMs = Math.max(freeMs, times[i] + distanceMs);
		}

		return freeMs;
	};

	const forgetPassed = (): void => {
		times.splice(0, indexFrom(nowMs()));
	};

	return {
		next({earliestMs, latestMs, perSecond}) {
			forgetPassed();
			const now = nowMs();
			const lastMs = now + Math.max(0, latestMs);
			const fromMs = Math.min(lastMs, now + Math.max(0, earliestMs));
			const freeMs = firstFree(fromMs, perSecond > 0 ? 1000 / perSecond : Number.POSITIVE_INFINITY);
			const returnMs = freeMs <= lastMs ? freeMs : fromMs + (random() * (lastMs - fromMs));
			times.splice(indexFrom(returnMs), 0, returnMs);
			return returnMs - now;
		},
		pending() {
			forgetPassed();
			return times.length;
		},
	};
}

import {refusalRetryDelayMs} from './retry.js';

/** The assumed duration of an outage until one has been observed, in milliseconds: a rank's time to restart and the group's to form anew. */
const defaultOutageMs = 3500;

/** The weight of a new outage in the moving average of their durations. */
const durationWeight = 0.5;

/** The time over which the callers are spread after the expected end of an outage, in milliseconds. A group that has formed anew fills up over about this time. */
const returnSpreadMs = 1000;

/** The expected rest of an outage that has lasted longer than expected, as a ratio of its duration so far. */
const overdueRatio = 0.3;

/** Shorter times without an open group are not learned from, in milliseconds. They are gaps in the reports and not outages. */
const minLearnedOutageMs = 500;

/** Predicts when a group that serves no requests will serve them again. */
export type OutageForecast = {
	/** Records whether the group serves requests now; to be called whenever that may have changed. */
	observe(isServing: boolean): void;
	/** Whether the group serves requests, as observed last. */
	isServing(): boolean;
	/** Returns when a refused caller should come back, in milliseconds from now. `objectiveMs` is the latency objective of its request. */
	retryAfterMs(objectiveMs: number): number;
};

/**
Creates the forecast of one group. While the group serves requests, refused callers are
told to come back soon (`refusalRetryDelayMs`); during an outage, after its expected
rest, spread so that they don't all come at once.

Load pattern: one rank of a lock-step group crashes, the whole group stands still for
some seconds, and callers retry a refused request only once.

@example
const forecast = createOutageForecast({nowMs: () => performance.now(), random: Math.random});
forecast.observe(false);
forecast.retryAfterMs(500); // 3500 to 4500
*/
export function createOutageForecast({nowMs, random}: {readonly nowMs: () => number; readonly random: () => number}): OutageForecast {
	let expectedMs = defaultOutageMs;
	let downSinceMs: number | undefined;
	return {
		observe(isServing) {
			if (!isServing) {
				downSinceMs ??= nowMs();
				return;
			}

			const durationMs = downSinceMs === undefined ? 0 : nowMs() - downSinceMs;
			downSinceMs = undefined;
			if (durationMs >= minLearnedOutageMs) {
				expectedMs += (durationMs - expectedMs) * durationWeight;
			}
		},
		isServing: () => downSinceMs === undefined,
		retryAfterMs(objectiveMs) {
			if (downSinceMs === undefined) {
				return refusalRetryDelayMs(objectiveMs, random);
			}

			const elapsedMs = nowMs() - downSinceMs;
			return Math.max(expectedMs - elapsedMs, elapsedMs * overdueRatio) + (random() * returnSpreadMs);
		},
	};
}

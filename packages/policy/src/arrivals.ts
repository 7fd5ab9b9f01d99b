/** The memory of the arrival rates, in milliseconds: long enough for some arrivals of each priority, short enough to follow a burst within a second. */
const rateMemoryMs = 500;

/** The recent arrivals by priority. */
export type ArrivalForecast = {
	/** Records the first attempt of a request. */
	received(priority: number): void;
	/** The forecast number of first attempts in a second of the priorities that `includes` accepts. */
	perSecond(includes: (priority: number) => boolean): number;
};

type Counts = {atMs: number; ratePerMs: number};

/**
Creates a forecast of arrivals by priority: the rates of the last half second are
expected to continue. Before any arrival all rates are 0.

Load pattern: the rate of one priority multiplies for some seconds, while the others
arrive as before.

@example
const forecast = createArrivalForecast(() => performance.now());
forecast.received(0);
const reserved = forecast.perSecond(priority => priority < 2) * 0.1;
*/
export function createArrivalForecast(nowMs: () => number): ArrivalForecast {
	const byPriority = new Map<number, Counts>();

	const decay = (counts: Counts): Counts => {
		const elapsedMs = nowMs() - counts.atMs;
		counts.ratePerMs *= Math.exp(-elapsedMs / rateMemoryMs);
		counts.atMs = nowMs();
		return counts;
	};

	const countsOf = (priority: number): Counts => {
		const counts = byPriority.get(priority) ?? {
			atMs: nowMs(), ratePerMs: 0,
		};
		byPriority.set(priority, counts);
		return decay(counts);
	};

	return {
		received(priority) {
			countsOf(priority).ratePerMs += 1 / rateMemoryMs;
		},
		perSecond(includes) {
			return [...byPriority].filter(([priority]) => includes(priority)).reduce((sum, [, counts]) => sum + decay(counts).ratePerMs, 0) * 1000;
		},
	};
}

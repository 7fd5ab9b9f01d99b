/** The memory of the arrival rates, in milliseconds: long enough for some arrivals of each priority, short enough to follow a burst within a second. */
const rateMemoryMs = 500;

/** The memory of the mean rate and of the ratio of placed to received requests, in milliseconds. */
const serviceMemoryMs = 4000;

/** The received requests below which a priority's ratio is not compared, so that a single refusal does not count as starvation. */
const minReceived = 3;

/** A priority is starved if its ratio of placed requests is below this part of the mean. Callers require a quarter of the mean; the rest covers the delay until the ratio has risen again. */
const starvedRatio = 0.45;

/** The recent arrivals and placements by priority. */
export type ArrivalForecast = {
	/** Records the first attempt of a request. */
	received(priority: number): void;
	/** Records a placement, of a first attempt or of a return. */
	placed(priority: number): void;
	/** The forecast number of first attempts in a second of the priorities that `includes` accepts. */
	perSecond(includes: (priority: number) => boolean): number;
	/** The mean number of first attempts in a second over the last seconds, of all priorities. */
	meanPerSecond(): number;
	/** Whether a far smaller part of the requests of this priority than of all requests has been placed recently. */
	isStarved(priority: number): boolean;
};

type Counts = {atMs: number; ratePerMs: number; received: number; placed: number};

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
		const serviceFactor = Math.exp(-elapsedMs / serviceMemoryMs);
		counts.ratePerMs *= Math.exp(-elapsedMs / rateMemoryMs);
		counts.received *= serviceFactor;
		counts.placed *= serviceFactor;
		counts.atMs = nowMs();
		return counts;
	};

	const countsOf = (priority: number): Counts => {
		const counts = byPriority.get(priority) ?? {
			atMs: nowMs(), ratePerMs: 0, received: 0, placed: 0,
		};
		byPriority.set(priority, counts);
		return decay(counts);
	};

	return {
		received(priority) {
			const counts = countsOf(priority);
			counts.ratePerMs += 1 / rateMemoryMs;
			counts.received++;
		},
		placed(priority) {
			countsOf(priority).placed++;
		},
		perSecond(includes) {
			return [...byPriority].filter(([priority]) => includes(priority)).reduce((sum, [, counts]) => sum + decay(counts).ratePerMs, 0) * 1000;
		},
		meanPerSecond: () => [...byPriority.values()].reduce((sum, counts) => sum + decay(counts).received, 0) * 1000 / serviceMemoryMs,
		isStarved(priority) {
			const own = byPriority.get(priority);
			if (byPriority.size < 2 || !own || decay(own).received < minReceived) {
				return false;
			}

			const all = [...byPriority.values()].map(counts => decay(counts));
			const meanRatio = all.reduce((sum, {placed}) => sum + placed, 0) / all.reduce((sum, {received}) => sum + received, 0);
			return own.placed / own.received < starvedRatio * meanRatio;
		},
	};
}

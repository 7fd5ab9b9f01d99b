import {createOutageForecast, refusalRetryDelayMs, type OutageForecast} from '@papayaflow/policy';

/** The time that a generation needs after its group serves requests again, in milliseconds. With less left until its deadline, a call does not wait for the end of an outage. */
const minServiceMs = 1500;

/** The outages of all groups, as their ranks announce them. */
export type GroupOutages = {
	/** Records whether a group is open by its ranks. */
	observe(group: string, isOpen: boolean): void;
	isServing(group: string): boolean;
	/** Returns when a refused caller should come back, in milliseconds: soon, or when the first group is expected to serve requests again if none does now. */
	retryAfterMs(objectiveMs: number): number;
	/** Resolves with `true` when a group serves requests; with `false` as soon as a call with this time left can't be served any more, or is aborted. */
	waitForEnd(leftMs: number, signal: AbortSignal): Promise<boolean>;
};

/**
Creates the outages of the groups that an entry knows.

Load pattern: one rank of a lock-step group crashes, and the whole group stands still
for some seconds. A caller retries a refused request once and waits no longer than a
third of its deadline before that, so many retries arrive while the group is still down.
They would be refused for good; instead, they wait for the group.

@example
const outages = createGroupOutages({monotonicMs, random});
outages.observe('g0', false);
const isServing = await outages.waitForEnd(5000, signal);
*/
export function createGroupOutages({monotonicMs, random}: {readonly monotonicMs: () => number; readonly random: () => number}): GroupOutages {
	const forecasts = new Map<string, OutageForecast>();
	/** Called when a group serves requests again. */
	const waiters = new Set<() => void>();

	const hasServing = (): boolean => [...forecasts.values()].some(forecast => forecast.isServing());

	return {
		observe(group, isOpen) {
			const forecast = forecasts.get(group) ?? createOutageForecast({nowMs: monotonicMs, random});
			const wasServing = forecast.isServing();
			forecasts.set(group, forecast);
			forecast.observe(isOpen);
			if (isOpen && !wasServing) {
				for (const resume of waiters) {
					resume();
				}
			}
		},
		isServing: group => forecasts.get(group)?.isServing() ?? true,
		retryAfterMs: objectiveMs => forecasts.size === 0 || hasServing()
			? refusalRetryDelayMs(objectiveMs, random)
			: Math.min(...[...forecasts.values()].map(forecast => forecast.retryAfterMs(objectiveMs))),
		async waitForEnd(leftMs, signal) {
			const restMs = Math.min(...[...forecasts.values()].map(forecast => forecast.restMs()));
			if (restMs + minServiceMs > leftMs) {
				return false;
			}

			return new Promise(resolve => {
				const settle = (): void => {
					clearTimeout(timer);
					waiters.delete(settle);
					signal.removeEventListener('abort', settle);
					resolve(!signal.aborted && hasServing());
				};

				const timer = setTimeout(settle, leftMs - minServiceMs);
				waiters.add(settle);
				signal.addEventListener('abort', settle, {once: true});
			});
		},
	};
}

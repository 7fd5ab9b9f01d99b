import {backoffMs, createRetryBudget} from '@papayaflow/policy';
import {seededRandom} from '@papayaflow/standins';

const requestCount = 20_000;
const maxAttempts = 3;
const budgetRatio = 0.09;
const processCount = 1160;
const reconnectBaseMs = 50;
const reconnectMaxMs = 2000;
const windowMs = 100;
const pollIntervalMs = 3000;
const readerCount = 12;

/** Returns the attempts per request when attempts fail with probability `failureRatio`. `ours` retries within a retry budget, `three attempts` without one. */
export function attemptsPerRequest(kind: 'ours' | 'three attempts', failureRatio: number, seed: number): number {
	const random = seededRandom(seed);
	const budget = createRetryBudget();
	let attempts = 0;
	for (let request = 0; request < requestCount; request++) {
		budget.onRequest(budgetRatio);
		for (let attempt = 1; attempt <= maxAttempts; attempt++) {
			attempts++;
			const isFailed = random() < failureRatio;
			if (!isFailed || (kind === 'ours' && !budget.tryTake())) {
				break;
			}
		}
	}

	return attempts / requestCount;
}

/**
Returns the peak number of connections that a peer gets in a tenth of a second when
it is reachable again after `outageMs`. All other processes have tried to reconnect
throughout the outage, with jittered backoff or after a fixed pause.
*/
export function reconnectPeak(kind: 'ours' | 'fixed pause', outageMs: number, seed: number): number {
	const random = seededRandom(seed);
	const arrivals = Array.from({length: processCount}, () => {
		let atMs = 0;
		for (let failures = 1; atMs < outageMs; failures++) {
			const pause = kind === 'ours' ? backoffMs(failures, {baseMs: reconnectBaseMs, maxMs: reconnectMaxMs, random}) : reconnectMaxMs;
			atMs += Math.max(1, pause);
		}

		return atMs;
	});
	return peakPerWindow(arrivals);
}

/**
Returns the peak number of store reads in a tenth of a second after an outage. With
`ours` only the readers poll, each at a random time within a jittered pause; with
`every process, fixed pause` all 1,160 processes poll after the same pause.
*/
export function storeReadPeak(kind: 'ours' | 'every process, fixed pause', seed: number): number {
	const random = seededRandom(seed);
	return kind === 'ours'
		? peakPerWindow(Array.from({length: readerCount}, () => pollIntervalMs * (0.5 + random()) * random()))
		: peakPerWindow(Array.from({length: processCount}, () => pollIntervalMs));
}

function peakPerWindow(arrivals: readonly number[]): number {
	const windows = new Map<number, number>();
	for (const atMs of arrivals) {
		const window = Math.floor(atMs / windowMs);
		windows.set(window, (windows.get(window) ?? 0) + 1);
	}

	return Math.max(...windows.values());
}

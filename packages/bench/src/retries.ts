import {backoffMs, createRetryBudget} from '@papayaflow/policy';
import {seededRandom} from '@papayaflow/standins';

const requests = 20_000;
const maxAttempts = 3;
const budgetRatio = 0.09;
const processes = 1160;
const reconnectBaseMs = 50;
const reconnectMaxMs = 2000;
const windowMs = 100;
const pollMs = 3000;
const readers = 12;

/** Attempts for each request while a part of all attempts fails, with a budget or with three attempts each. */
export function attemptsPerRequest(kind: 'ours' | 'three attempts', failing: number, seed: number): number {
	const random = seededRandom(seed);
	const budget = createRetryBudget();
	let attempts = 0;
	for (let request = 0; request < requests; request++) {
		budget.onRequest(budgetRatio);
		for (let attempt = 1; attempt <= maxAttempts; attempt++) {
			attempts++;
			const isFailed = random() < failing;
			if (!isFailed || (kind === 'ours' && !budget.tryTake())) {
				break;
			}
		}
	}

	return attempts / requests;
}

/**
The most connections that a peer gets in any tenth of a second when it comes back
after `outageMs` and everyone has tried all along.
*/
export function reconnectPeak(kind: 'ours' | 'fixed pause', outageMs: number, seed: number): number {
	const random = seededRandom(seed);
	const arrivals = Array.from({length: processes}, () => {
		let atMs = 0;
		for (let failures = 1; atMs < outageMs; failures++) {
			const pause = kind === 'ours' ? backoffMs(failures, {baseMs: reconnectBaseMs, maxMs: reconnectMaxMs, random}) : reconnectMaxMs;
			atMs += Math.max(1, pause);
		}

		return atMs;
	});
	return peakIn(arrivals);
}

/**
The most looks at the store in any tenth of a second after an outage, by readers
that each come back at their own moment within a jittered pause, or all 1,160
processes at a fixed one.
*/
export function watchPeak(kind: 'ours' | 'every process, fixed pause', seed: number): number {
	const random = seededRandom(seed);
	return kind === 'ours'
		? peakIn(Array.from({length: readers}, () => pollMs * (0.5 + random()) * random()))
		: peakIn(Array.from({length: processes}, () => pollMs));
}

function peakIn(arrivals: readonly number[]): number {
	const windows = new Map<number, number>();
	for (const atMs of arrivals) {
		const window = Math.floor(atMs / windowMs);
		windows.set(window, (windows.get(window) ?? 0) + 1);
	}

	return Math.max(...windows.values());
}

import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** How often the event loop is sampled, in milliseconds. */
const sampleIntervalMs = 250;

/** The delay from which a sample is logged, in milliseconds: callers notice it. */
const loggedDelayMs = 250;

export type LoopDelayOptions = {
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	/** The time between two samples, in milliseconds. */
	readonly intervalMs?: number;
	/** Calls a function each `intervalMs` until the function that it returns is called; a timer of its own by default. */
	readonly onTick?: (check: () => void) => () => void;
	/** Ends the sampling. */
	readonly signal: AbortSignal;
};

/**
Samples how late the event loop runs a timer. Every sample goes into the latency
`event_loop_delay`, a long delay also into the log. During such a delay the process
reads no request, no answer and no closed connection.

@example
sampleLoopDelay({metrics, log, monotonicMs: () => performance.now(), signal});
*/
export function sampleLoopDelay({metrics, log, monotonicMs, intervalMs = sampleIntervalMs, onTick = ownTimer(intervalMs), signal}: LoopDelayOptions): void {
	let expectedMs = monotonicMs() + intervalMs;
	const stop = onTick(() => {
		const now = monotonicMs();
		const delayMs = Math.max(0, now - expectedMs);
		expectedMs = now + intervalMs;
		metrics.latency('event_loop_delay', delayMs);
		if (delayMs >= loggedDelayMs) {
			log.warn({delayMs: Math.round(delayMs)}, 'event loop delayed');
		}
	});
	signal.addEventListener('abort', stop, {once: true});
}

function ownTimer(intervalMs: number): (check: () => void) => () => void {
	return check => {
		const timer = setInterval(check, intervalMs).unref();
		return () => {
			clearInterval(timer);
		};
	};
}

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
export function sampleLoopDelay({metrics, log, monotonicMs, signal}: LoopDelayOptions): void {
	let expectedMs = monotonicMs() + sampleIntervalMs;
	const timer = setInterval(() => {
		const now = monotonicMs();
		const delayMs = Math.max(0, now - expectedMs);
		expectedMs = now + sampleIntervalMs;
		metrics.latency('event_loop_delay', delayMs);
		if (delayMs >= loggedDelayMs) {
			log.warn({delayMs: Math.round(delayMs)}, 'event loop delayed');
		}
	}, sampleIntervalMs).unref();
	signal.addEventListener('abort', () => {
		clearInterval(timer);
	}, {once: true});
}

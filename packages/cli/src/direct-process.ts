import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createTicker, tickIntervalMs, type Ticker} from '@papayaflow/peer';
import {type SettingsOf} from '@papayaflow/settings';
import {
	createContainment, createLog, createMetrics, sampleLoopDelay, type Containment, type Log, type Metrics,
} from '@papayaflow/telemetry';
import {type directSettings} from './direct-settings.js';

/** The objects that all parts of a program share, such as its log, metrics, clock and shutdown signal. */
export type ProcessContext = {
	/** A new id for each start of the process. */
	readonly incarnation: string;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly containment: Containment;
	/** Aborted when the program has finished its work. */
	readonly shutdown: AbortController;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	/** Calls what the parts of the program check several times a second. */
	readonly ticker: Ticker;
	/** Waits without keeping the process alive. */
	readonly pause: (ms: number) => Promise<void>;
};

/**
Creates the context of a program and samples its event loop.

@example
const {log, metrics} = createProcessContext('papayaflow-entry', settings);
*/
export function createProcessContext(program: string, {instance, zone, logLevel}: SettingsOf<typeof directSettings>): ProcessContext {
	const log = createLog({program, instance, zone}, logLevel);
	const metrics = createMetrics();
	const shutdown = new AbortController();
	const monotonicMs = (): number => performance.now();
	const containment = createContainment({metrics, log});
	const ticker = createTicker(error => {
		containment.report('tick', error);
	});
	sampleLoopDelay({
		metrics, log, monotonicMs, intervalMs: tickIntervalMs, onTick: ticker.add, signal: shutdown.signal,
	});
	return {
		incarnation: randomUUID(), log, metrics, containment, shutdown, monotonicMs, random: Math.random, ticker,
		async pause(ms) {
			await sleep(ms, undefined, {ref: false});
		},
	};
}

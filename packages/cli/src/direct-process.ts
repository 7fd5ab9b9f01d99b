import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {type SettingsOf} from '@papayaflow/settings';
import {
	createLog, createMetrics, type Log, type Metrics,
} from '@papayaflow/telemetry';
import {type directSettings} from './direct-settings.js';
import {onHangup} from './program.js';

/** What each program has from its start: its name for this life, log, metrics, clock and end. */
export type DirectProcess = {
	readonly incarnation: string;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Fires when the program has ended its work. */
	readonly ending: AbortController;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	/** Pauses without keeping the process alive. */
	readonly pause: (ms: number) => Promise<void>;
};

/**
Begins a program: opens its log and metrics, and goes on through SIGHUP.

@example
const {log, metrics} = beginProcess('papayaflow-entry', settings);
*/
export function beginProcess(program: string, {instance, zone, logLevel}: SettingsOf<typeof directSettings>): DirectProcess {
	const log = createLog({program, instance, zone}, logLevel);
	onHangup(log);
	return {
		incarnation: randomUUID(), log, metrics: createMetrics(), ending: new AbortController(), monotonicMs: () => performance.now(), random: Math.random,
		async pause(ms) {
			await sleep(ms, undefined, {ref: false});
		},
	};
}

import {
	addressSetting, ipSetting, nameSetting, numberSetting, portSetting,
} from '@papayaflow/settings';
import {logLevels} from '@papayaflow/telemetry';
import * as z from 'zod';
import {resourceSettings} from './resource-limits.js';

/** How long a process that has finished its work waits for its last log lines to be written, in milliseconds. */
export const logFlushMs = 30;

export const msPerSecond = 1000;

/** The settings that entry and sidecar share in direct mode, in which entries connect to the targets without a sidecar in between. */
export const directSettings = {
	...resourceSettings,
	instance: nameSetting('the name of this instance'),
	zone: nameSetting('the availability zone of this instance'),
	address: ipSetting('the address at which peers reach this instance'),
	store: addressSetting('the platform\'s metadata store'),
	storeTimeoutMs: numberSetting('the timeout of one call to the store', {
		minimum: 10, maximum: 60_000, unit: 'milliseconds', fallback: '1000',
	}),
	storePauseMs: numberSetting('the shortest pause between two reads of the store, which limits the rate of calls', {
		minimum: 0, maximum: 60_000, unit: 'milliseconds', fallback: '700',
	}),
	configMs: numberSetting('the time within which a change of the configuration must be in force, if the platform names one; the store is read often enough for it', {
		minimum: 0, maximum: 3_600_000, unit: 'milliseconds', fallback: '0',
	}),
	drainMs: numberSetting('the time within which a leaving target must get no more requests, if the platform names one; the store is read often enough for it', {
		minimum: 0, maximum: 3_600_000, unit: 'milliseconds', fallback: '0',
	}),
	evacuateMs: numberSetting('the time within which the targets of an evacuated zone must get no more requests, if the platform names one; the store is read often enough for it', {
		minimum: 0, maximum: 3_600_000, unit: 'milliseconds', fallback: '0',
	}),
	reportMs: numberSetting('how often a target reports to the store; its registration expires after three missing reports', {
		minimum: 1, maximum: 3_600_000, unit: 'milliseconds', fallback: '1200',
	}),
	peerPort: portSetting('the port on which sidecars accept connections from entries and from each other'),
	metricsPort: portSetting('the port that serves the metrics', '0'),
	graceS: numberSetting('how long a process may keep running after a stop signal', {
		minimum: 0, maximum: 3600, unit: 'seconds', fallback: '8',
	}),
	logLevel: {
		schema: z.enum(logLevels), description: 'the lowest level that is logged', allowed: logLevels.join(', '), default: 'info',
	},
};

/** The pause between two reads of the store, as a ratio of the shortest of these times. The rest covers a slow read and the way of the change to processes that do not read the store. */
const pauseToBoundRatio = 0.35;

/**
Returns the pause between two reads of the store, in milliseconds. Each heartbeat of a
target ends a watch, so with many targets the pause decides how many calls are made.

@example
storePauseOf({storePauseMs: 700, configMs: 4000, drainMs: 4000, evacuateMs: 5000}); // 1400
*/
export function storePauseOf({storePauseMs, configMs, drainMs, evacuateMs}: {
	readonly storePauseMs: number; readonly configMs: number; readonly drainMs: number; readonly evacuateMs: number;
}): number {
	// Most platforms name no time for evacuations; they have none, and the other times decide.
	return Math.max(storePauseMs, Math.min(configMs, drainMs, evacuateMs === 0 ? Number.POSITIVE_INFINITY : evacuateMs) * pauseToBoundRatio);
}

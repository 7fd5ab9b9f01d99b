import {
	addressSetting, ipSetting, nameSetting, numberSetting, portSetting,
} from '@papayaflow/settings';
import {logLevels} from '@papayaflow/telemetry';
import * as z from 'zod';

/** How long a process that has ended its work waits for its last log lines to be written, in milliseconds. */
export const logFlushMs = 30;

/** The settings that entry and sidecar share where entries reach the targets themselves. */
export const directSettings = {
	instance: nameSetting('the name of this instance'),
	zone: nameSetting('the availability zone of this instance'),
	address: ipSetting('the address of this instance, at which its peers reach it'),
	store: addressSetting('the platform\'s metadata store'),
	storeTimeoutMs: numberSetting('how long one call to the store may take', {
		least: 10, most: 60_000, unit: 'milliseconds', fallback: '1000',
	}),
	storePauseMs: numberSetting('the pause between two looks at the store, which bounds its calls', {
		least: 0, most: 60_000, unit: 'milliseconds', fallback: '700',
	}),
	peerPort: portSetting('the port at which sidecars hear from entries and from each other'),
	metricsPort: portSetting('the port of the metrics', '0'),
	graceMs: numberSetting('how long a process may go on after it was told to stop', {
		least: 0, most: 3_600_000, unit: 'milliseconds', fallback: '8000',
	}),
	logLevel: {
		schema: z.enum(logLevels), description: 'the least level that is logged', allowed: logLevels.join(', '), default: 'info',
	},
};

import {logLevels} from '@papayaflow/telemetry';
import {
	ipSetting, nameSetting, portSetting, urlSetting,
} from '@papayaflow/settings';
import * as z from 'zod';
import {resourceSettings} from './resource-limits.js';

const maxMs = 60_000;

/** The settings that entry and sidecar share. */
export const sharedSettings = {
	...resourceSettings,
	instance: nameSetting('the name of this instance in the platform\'s list of instances'),
	zone: nameSetting('the availability zone of this instance'),
	address: ipSetting('the address to listen on', '127.0.0.1'),
	adminPort: portSetting('the port of the admin endpoints', '0'),
	store: urlSetting('the platform\'s key-value service'),
	storeTimeoutMs: {
		schema: z.coerce.number().int().min(10).max(maxMs), description: 'the timeout of one call to the key-value service',
		allowed: `10 to ${maxMs}`, unit: 'milliseconds', default: '1000',
	},
	instances: urlSetting('the platform\'s list of instances'),
	instancesIntervalMs: {
		schema: z.coerce.number().int().min(50).max(maxMs), description: 'the pause between two reads of the list of instances',
		allowed: `50 to ${maxMs}`, unit: 'milliseconds', default: '2000',
	},
	configPollMs: {
		schema: z.coerce.number().int().min(50).max(maxMs), description: 'the pause between two reads of the configuration; a watch lasts at most ten times as long',
		allowed: `50 to ${maxMs}`, unit: 'milliseconds', default: '3000',
	},
	readersPerZone: {
		schema: z.coerce.number().int().min(1).max(100), description: 'the number of processes in each availability zone that watch the configuration',
		allowed: '1 to 100', default: '2',
	},
	logLevel: {
		schema: z.enum(logLevels), description: 'the lowest level that is logged', allowed: logLevels.join(', '), default: 'info',
	},
};

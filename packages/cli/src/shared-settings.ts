import {logLevels} from '@papayaflow/telemetry';
import {
	ipSetting, nameSetting, portSetting, urlSetting,
} from '@papayaflow/settings';
import * as z from 'zod';

const highestMs = 60_000;

/** The settings that entry and sidecar share. */
export const sharedSettings = {
	instance: nameSetting('the name of this instance, as the platform\'s list has it'),
	zone: nameSetting('the availability zone of this instance'),
	address: ipSetting('the address to listen on', '127.0.0.1'),
	adminPort: portSetting('the port of the admin endpoints', '0'),
	store: urlSetting('the platform\'s key-value service'),
	storeTimeoutMs: {
		schema: z.coerce.number().int().min(10).max(highestMs), description: 'how long one call to the key-value service may take',
		allowed: `10 to ${highestMs}`, unit: 'milliseconds', default: '1000',
	},
	instances: urlSetting('the platform\'s list of instances'),
	instancesIntervalMs: {
		schema: z.coerce.number().int().min(50).max(highestMs), description: 'the pause between two looks at the list of instances',
		allowed: `50 to ${highestMs}`, unit: 'milliseconds', default: '2000',
	},
	configPollMs: {
		schema: z.coerce.number().int().min(50).max(highestMs), description: 'the pause between two looks at the configuration, and a tenth of the longest watch',
		allowed: `50 to ${highestMs}`, unit: 'milliseconds', default: '3000',
	},
	readersPerZone: {
		schema: z.coerce.number().int().min(1).max(100), description: 'processes of each availability zone that watch the configuration',
		allowed: '1 to 100', default: '2',
	},
	logLevel: {
		schema: z.enum(logLevels), description: 'the least level that is logged', allowed: logLevels.join(', '), default: 'info',
	},
};

import {isIP} from 'node:net';
import {z} from 'zod';
import {type SettingDef} from './settings.js';

const highestPort = 65_535;

/** The schema of an IP number; names are not looked up. */
export const ipSchema = z.string().refine(text => isIP(text) !== 0);

/** The schema of a port; 0 lets the system choose one. */
export const portSchema = z.coerce.number().int().min(0).max(highestPort);

/** The schema of an `http` address by IP number. */
export const urlSchema = z.string().refine(text => {
	try {
		const url = new URL(text);
		return url.protocol === 'http:' && isIP(url.hostname.replaceAll(/[\[\]]/gv, '')) !== 0;
	} catch {
		return false;
	}
});

/** Makes a required name setting, such as an instance's or an availability zone's. */
export function nameSetting(description: string, fallback?: string): SettingDef & {schema: z.ZodString} {
	return {
		schema: z.string().regex(/^[\w.\-]{1,64}$/v), description, allowed: '1 to 64 letters, digits, ".", "_" or "-"', default: fallback,
	};
}

/** Makes a port setting. */
export function portSetting(description: string, fallback?: string): SettingDef & {schema: typeof portSchema} {
	return {
		schema: portSchema, description, allowed: '0 to 65535', default: fallback,
	};
}

/** Makes an address setting, an IP number. */
export function ipSetting(description: string, fallback?: string): SettingDef & {schema: typeof ipSchema} {
	return {
		schema: ipSchema, description, allowed: 'an IPv4 or IPv6 number', default: fallback,
	};
}

/** Makes the setting of a peer that speaks HTTP. */
export function urlSetting(description: string, fallback?: string): SettingDef & {schema: typeof urlSchema} {
	return {
		schema: urlSchema, description, allowed: 'http://IP:PORT', default: fallback,
	};
}

import {isIP} from 'node:net';
import * as z from 'zod';
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

/** An address to listen on or to connect to. */
export type Address = {readonly host: string; readonly port: number};

/** The schema of `IP:PORT`. */
export const addressSchema = z.string().transform((text, context): Address => {
	const at = text.lastIndexOf(':');
	const host = text.slice(0, at);
	const port = Number(text.slice(at + 1));
	if (isIP(host) === 0 || !Number.isInteger(port) || port < 0 || port > highestPort) {
		context.issues.push({code: 'custom', message: 'not IP:PORT', input: text});
	}

	return {host, port};
});

/** Makes an address setting, an IP number with a port. */
export function addressSetting(description: string, fallback?: string): SettingDef & {schema: typeof addressSchema} {
	return {
		schema: addressSchema, description, allowed: 'IP:PORT', default: fallback,
	};
}

/** Makes a whole-number setting with its bounds and unit. */
export function numberSetting(description: string, {least, most, unit, fallback}: {
	readonly least: number; readonly most: number; readonly unit?: string; readonly fallback?: string;
}): SettingDef & {schema: z.ZodCoercedNumber} {
	return {
		schema: z.coerce.number().min(least).max(most), description, allowed: `${least} to ${most}`, unit, default: fallback,
	};
}

/** Makes the setting of a peer that speaks HTTP. */
export function urlSetting(description: string, fallback?: string): SettingDef & {schema: typeof urlSchema} {
	return {
		schema: urlSchema, description, allowed: 'http://IP:PORT', default: fallback,
	};
}

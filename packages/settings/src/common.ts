import {isIP} from 'node:net';
import * as z from 'zod';
import {type SettingDef} from './settings.js';

const maxPort = 65_535;

/** The schema of an IP address. Host names are rejected. */
export const ipSchema = z.string().refine(text => isIP(text) !== 0);

/** The schema of a port; 0 lets the operating system choose one. */
export const portSchema = z.coerce.number().int().min(0).max(maxPort);

/** The schema of an `http` URL whose host is an IP address. */
export const urlSchema = z.string().refine(text => {
	try {
		const url = new URL(text);
		return url.protocol === 'http:' && isIP(url.hostname.replaceAll(/[\[\]]/gv, '')) !== 0;
	} catch {
		return false;
	}
});

/** Creates the setting of a name, such as that of an instance or an availability zone. Without `fallback` it is required. */
export function nameSetting(description: string, fallback?: string): SettingDef & {schema: z.ZodString} {
	return {
		schema: z.string().regex(/^[\w.\-]{1,64}$/v), description, allowed: '1 to 64 letters, digits, ".", "_" or "-"', default: fallback,
	};
}

/** Creates the setting of a port. */
export function portSetting(description: string, fallback?: string): SettingDef & {schema: typeof portSchema} {
	return {
		schema: portSchema, description, allowed: '0 to 65535', default: fallback,
	};
}

/** Creates the setting of an IP address. */
export function ipSetting(description: string, fallback?: string): SettingDef & {schema: typeof ipSchema} {
	return {
		schema: ipSchema, description, allowed: 'an IPv4 or IPv6 number', default: fallback,
	};
}

/** An address to listen on or to connect to; `host` is an IP address. */
export type Address = {readonly host: string; readonly port: number};

/**
Reads an address of the form `IP:PORT`, with a port from 0 to 65535. Returns `undefined`
for any other text.

@example
parseAddress('10.0.0.4:8000'); // {host: '10.0.0.4', port: 8000}
*/
export function parseAddress(text: string): Address | undefined {
	const separatorIndex = text.lastIndexOf(':');
	const host = text.slice(0, separatorIndex);
	const digits = text.slice(separatorIndex + 1);
	const port = Number(digits);
	return isIP(host) !== 0 && /^\d{1,5}$/v.test(digits) && port <= maxPort ? {host, port} : undefined;
}

/** The schema of `IP:PORT`. */
export const addressSchema = z.string().transform((text, context): Address => {
	const address = parseAddress(text);
	if (!address) {
		context.issues.push({code: 'custom', message: 'not IP:PORT', input: text});
		return z.NEVER;
	}

	return address;
});

/** Creates the setting of an IP address with a port. */
export function addressSetting(description: string, fallback?: string): SettingDef & {schema: typeof addressSchema} {
	return {
		schema: addressSchema, description, allowed: 'IP:PORT', default: fallback,
	};
}

/** Creates the setting of a number with inclusive bounds and an optional unit. */
export function numberSetting(description: string, {minimum, maximum, unit, fallback}: {
	readonly minimum: number; readonly maximum: number; readonly unit?: string; readonly fallback?: string;
}): SettingDef & {schema: z.ZodCoercedNumber} {
	return {
		schema: z.coerce.number().min(minimum).max(maximum), description, allowed: `${minimum} to ${maximum}`, unit, default: fallback,
	};
}

/** The schema of a table of names, as `NAME=VALUE,NAME=VALUE`. */
export const tableSchema = z.string().transform((text, context): ReadonlyMap<string, string> => {
	const rows = text.split(',').map(row => row.trim()).filter(row => row !== '').map(row => /^([\w.\-]{1,64})=([\w.\-]{1,64})$/v.exec(row));
	if (rows.includes(null)) {
		context.issues.push({code: 'custom', message: 'not NAME=VALUE,NAME=VALUE', input: text});
		return z.NEVER;
	}

	return new Map(rows.map(row => [row![1], row![2]]));
});

/** Creates the setting of a table of names, empty by default. */
export function tableSetting(description: string): SettingDef & {schema: typeof tableSchema} {
	return {
		schema: tableSchema, description, allowed: 'NAME=VALUE,NAME=VALUE with letters, digits, ".", "_" or "-"', default: '',
	};
}

/** Creates the setting of the URL of an HTTP service. */
export function urlSetting(description: string, fallback?: string): SettingDef & {schema: typeof urlSchema} {
	return {
		schema: urlSchema, description, allowed: 'http://IP:PORT', default: fallback,
	};
}

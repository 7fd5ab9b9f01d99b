import process from 'node:process';
import {
	checkPreset, readHead, type Head, type Preset,
} from '@papayaflow/config';
import {createInstanceClient, type Instance} from '@papayaflow/instances';
import {fetchPreset} from '@papayaflow/operator';
import {connectStore, type Store} from '@papayaflow/store';
import {exitCodes, fail} from './output.js';

const storeTimeoutMs = 3000;

/** The flags of commands that use the key-value service. */
export const storeArguments = {
	store: {type: 'string', description: 'the platform\'s key-value service (PAPAYAFLOW_STORE)', valueHint: 'http://IP:PORT'},
	json: {type: 'boolean', description: 'print JSON'},
} as const;

/** The flags of commands that use the list of instances. */
export const instancesArguments = {
	instances: {type: 'string', description: 'the platform\'s list of instances (PAPAYAFLOW_INSTANCES)', valueHint: 'http://IP:PORT'},
	json: {type: 'boolean', description: 'print JSON'},
} as const;

/** The flags of commands that change the configuration. */
export const changeArguments = {
	...storeArguments,
	'change-id': {type: 'string', description: 'the id of this change; to settle a change with an unknown result, repeat it with its id'},
} as const;

/** The flags of a command as given on the command line. */
export type Arguments = Readonly<Record<string, unknown>>;

export function openStore(args: Arguments): Store {
	const url = urlOrFail(args, 'store');
	return connectStore({url, timeoutMs: storeTimeoutMs});
}

export async function instancesOrFail(args: Arguments): Promise<readonly Instance[]> {
	const result = await createInstanceClient(urlOrFail(args, 'instances')).fetch();
	return result.kind === 'listed' ? result.instances : fail(exitCodes.unavailable, 'the list of instances can\'t be read');
}

export async function headOrFail(store: Store): Promise<Head> {
	const result = await readHead(store);
	return result.kind === 'read' ? result.head : fail(exitCodes.unavailable, `the key-value service can't be reached: ${result.detail}`);
}

export async function currentRevision(store: Store): Promise<number> {
	const head = await headOrFail(store);
	return head.revision;
}

export async function presetOrFail(store: Store, name: string): Promise<{preset: Preset; body: string; head: Head}> {
	const result = await fetchPreset(store, name);
	switch (result.kind) {
		case 'fetched': {
			return result;
		}

		case 'noSuchPreset': {
			return fail(exitCodes.refused, `no preset "${name}"`);
		}

		case 'unavailable': {
			return fail(exitCodes.unavailable, result.detail);
		}
	}
}

export function validPresetOrFail(document: unknown): Preset {
	const checked = checkPreset(document);
	return checked.kind === 'valid'
		? checked.preset
		: fail(exitCodes.usage, checked.problems.map(({path, message}) => `${path || 'preset'}: ${message}`).join('\n'));
}

export function urlOrFail(args: Arguments, name: 'store' | 'instances' | 'entry'): string {
	const given = args[name] ?? process.env[`PAPAYAFLOW_${name.toUpperCase()}`];
	if (typeof given !== 'string') {
		return fail(exitCodes.usage, `--${name} is missing; allowed: http://IP:PORT`);
	}

	return /^http:\/\/[\d.:a-f\[\]]+$/v.test(given) ? given : fail(exitCodes.usage, `--${name} has the value "${given}"; allowed: http://IP:PORT`);
}

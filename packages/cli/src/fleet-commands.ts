import process from 'node:process';
import {readHead} from '@papayaflow/config';
import {drainInstance, fetchStatuses, type InstanceStatus} from '@papayaflow/operator';
import {defineCommand} from 'citty';
import {
	exitCodes, fail, print, printTable,
} from './output.js';
import {
	instancesArguments, instancesOrFail, openStore, storeArguments,
} from './platform.js';

/** `papayaflow status`: what is in force where. */
export const statusCommand = defineCommand({
	meta: {name: 'status', description: 'Show what is in force, where, and what lags'},
	args: {...storeArguments, instances: instancesArguments.instances},
	async run({args}) {
		const read = await readHead(openStore(args));
		const statuses = await fetchStatuses(await instancesOrFail(args));
		const head = read.kind === 'read' ? read.head : undefined;
		const newest = Math.max(head?.revision ?? 0, ...statuses.map(({revision}) => revision ?? 0));
		const rows = statuses.map(told => ({...told, state: stateOf(told, newest)}));
		const title = head ? `in force: ${head.inForce ?? 'nothing'} at revision ${head.revision}` : 'the key-value service can\'t be reached; as the instances say:';
		printTable(rows, args.json, title, {revision: head?.revision, inForce: head?.inForce});
		process.exitCode = rows.every(({state}) => state === 'level' || state === 'leaving') ? exitCodes.ok : exitCodes.lagging;
	},
});

/** `papayaflow drain`: tells a target to leave. */
export const drainCommand = defineCommand({
	meta: {name: 'drain', description: 'Tell the target beside an instance to leave'},
	args: {...instancesArguments, instance: {type: 'positional', description: 'the name of the sidecar\'s instance', required: true}},
	async run({args}) {
		const instances = await instancesOrFail(args);
		const instance = instances.find(({id, role}) => id === args.instance && role === 'sidecar');
		if (!instance) {
			fail(exitCodes.refused, `no sidecar "${args.instance}" on the list of instances`);
		}

		if (!await drainInstance(instance)) {
			fail(exitCodes.unavailable, `${args.instance} could not be told`);
		}

		print(args.json ? {kind: 'leaving', instance: args.instance} : `${args.instance} leaves`);
	},
});

function stateOf(told: InstanceStatus, newest: number): string {
	if (!told.reachable) {
		return 'unreachable';
	}

	if (told.leaving) {
		return 'leaving';
	}

	return told.revision === newest ? 'level' : 'behind';
}

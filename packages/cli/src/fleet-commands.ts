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

/** `papayaflow status` shows which configuration is in force on which instance. */
export const statusCommand = defineCommand({
	meta: {name: 'status', description: 'Show the configuration in force on each instance and which instances lag'},
	args: {...storeArguments, instances: instancesArguments.instances},
	async run({args}) {
		const headResult = await readHead(openStore(args));
		const statuses = await fetchStatuses(await instancesOrFail(args));
		const head = headResult.kind === 'read' ? headResult.head : undefined;
		const newest = Math.max(head?.revision ?? 0, ...statuses.map(({revision}) => revision ?? 0));
		const rows = statuses.map(status => ({...status, state: stateOf(status, newest)}));
		const title = head ? `in force: ${head.inForce ?? 'nothing'} at revision ${head.revision}` : 'the key-value service can\'t be reached; as reported by the instances:';
		printTable(rows, args.json, title, {revision: head?.revision, inForce: head?.inForce});
		process.exitCode = rows.every(({state}) => state === 'level' || state === 'leaving') ? exitCodes.ok : exitCodes.lagging;
	},
});

/** `papayaflow drain` takes a target out of service. */
export const drainCommand = defineCommand({
	meta: {name: 'drain', description: 'Take the target of a sidecar out of service: it gets no new requests'},
	args: {...instancesArguments, instance: {type: 'positional', description: 'the name of the sidecar\'s instance', required: true}},
	async run({args}) {
		const instances = await instancesOrFail(args);
		const instance = instances.find(({id, role}) => id === args.instance && role === 'sidecar');
		if (!instance) {
			fail(exitCodes.refused, `no sidecar "${args.instance}" on the list of instances`);
		}

		if (!await drainInstance(instance)) {
			fail(exitCodes.unavailable, `the drain request to ${args.instance} failed`);
		}

		print(args.json ? {kind: 'leaving', instance: args.instance} : `${args.instance} is leaving`);
	},
});

function stateOf(status: InstanceStatus, newest: number): string {
	if (!status.reachable) {
		return 'unreachable';
	}

	if (status.leaving) {
		return 'leaving';
	}

	return status.revision === newest ? 'level' : 'behind';
}

import {randomUUID} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {userInfo} from 'node:os';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	savePreset, settleChange, usePreset, type ChangeAuthor, type ChangeResult, type Preset,
} from '@papayaflow/config';
import {diffPresets, fetchBody, fetchStatuses} from '@papayaflow/operator';
import {defineCommand} from 'citty';
import {
	exitCodes, fail, print, printTable,
} from './output.js';
import {
	changeArguments, headOrFail, instancesArguments, instancesOrFail, openStore, currentRevision, presetOrFail, storeArguments, validPresetOrFail,
	type Arguments,
} from './platform.js';

const confirmationPollMs = 200;
const nameArgument = {type: 'positional', description: 'the name of the preset', required: true} as const;

const list = defineCommand({
	meta: {name: 'list', description: 'List the presets and the one in force'},
	args: storeArguments,
	async run({args}) {
		const head = await headOrFail(openStore(args));
		const rows = Object.entries(head.presets).map(([name, body]) => ({name, body, inForce: name === head.inForce}));
		printTable(rows, args.json, `revision ${head.revision}`, {revision: head.revision, inForce: head.inForce});
	},
});

const show = defineCommand({
	meta: {name: 'show', description: 'Show a preset with every default filled in'},
	args: {...storeArguments, name: nameArgument},
	async run({args}) {
		const {preset, body} = await presetOrFail(openStore(args), args.name);
		print(args.json ? {body, preset} : preset);
	},
});

const create = defineCommand({
	meta: {name: 'create', description: 'Create a preset from a file'},
	args: {...changeArguments, name: nameArgument, file: {type: 'string', description: 'the preset as JSON', required: true}},
	async run({args}) {
		const preset = await presetFromFile(args.file);
		printResult(await savePreset(openStore(args), {name: args.name, preset, editedFrom: undefined}, authorOf(args)), args);
	},
});

const edit = defineCommand({
	meta: {name: 'edit', description: 'Edit a preset with --set PATH=JSON, or with --file FILE --from BODY'},
	args: {
		...changeArguments, name: nameArgument,
		set: {type: 'string', description: 'a field and its new value, such as retries.maxAttempts=2'},
		file: {type: 'string', description: 'the whole new preset as JSON'},
		from: {type: 'string', description: 'the hash of the body that the file was made from, as printed by "show --json"'},
	},
	async run({args}) {
		const store = openStore(args);
		if (args.file !== undefined) {
			if (args.from === undefined) {
				fail(exitCodes.usage, '--file needs --from, the hash of the body that the file was made from');
			}

			printResult(await savePreset(store, {name: args.name, preset: await presetFromFile(args.file), editedFrom: args.from}, authorOf(args)), args);
			return;
		}

		const [path, ...value] = (args.set ?? '').split('=');
		if (path === '' || value.length === 0) {
			fail(exitCodes.usage, 'give --set PATH=JSON or --file FILE --from BODY');
		}

		const {preset, body} = await presetOrFail(store, args.name);
		const edited = validPresetOrFail(withField(preset, path.split('.'), parseValue(value.join('='))));
		printResult(await savePreset(store, {name: args.name, preset: edited, editedFrom: body}, authorOf(args)), args);
	},
});

const use = defineCommand({
	meta: {name: 'use', description: 'Put a preset in force and wait until every instance has confirmed it'},
	args: {
		...changeArguments, name: nameArgument, instances: instancesArguments.instances,
		seen: {type: 'string', description: 'the revision that the decision is based on; default: the current one'},
		'wait-ms': {type: 'string', description: 'how long to wait for the instances', default: '9000'},
	},
	async run({args}) {
		const store = openStore(args);
		const seen = args.seen === undefined ? await currentRevision(store) : Number(args.seen);
		const startedMs = Date.now();
		const result = await usePreset(store, args.name, seen, authorOf(args));
		if (result.kind !== 'accepted') {
			printResult(result, args);
			return;
		}

		const lagging = await waitForInstances(args, result.head.revision, Number(args['wait-ms']));
		print(args.json
			? {
				kind: 'accepted', revision: result.head.revision, inForceAfterMs: Date.now() - startedMs, notConfirmed: lagging,
			}
			: `accepted at revision ${result.head.revision}; ${lagging.length === 0 ? `in force everywhere after ${Date.now() - startedMs} ms` : `not confirmed by: ${lagging.join(', ')}`}`);
		process.exitCode = lagging.length === 0 ? exitCodes.ok : exitCodes.lagging;
	},
});

const diff = defineCommand({
	meta: {name: 'diff', description: 'Show the fields in which two presets differ'},
	args: {...storeArguments, name: nameArgument, other: {type: 'positional', description: 'another preset, or the hash of a body', required: true}},
	async run({args}) {
		const store = openStore(args);
		const before = await presetOrFail(store, args.name);
		const isName = Object.hasOwn(before.head.presets, args.other);
		const after = isName ? await presetOrFail(store, args.other) : await fetchBody(store, args.other, before.head);
		if (!('preset' in after)) {
			fail(exitCodes.unavailable, `no preset or body "${args.other}"`);
		}

		printTable(diffPresets(before.preset, after.preset).map(({path, before: oldValue, after: newValue}) => ({
			path, [args.name]: JSON.stringify(oldValue), [args.other]: JSON.stringify(newValue),
		})), args.json);
	},
});

const history = defineCommand({
	meta: {name: 'history', description: 'Show the last accepted changes'},
	args: storeArguments,
	async run({args}) {
		const head = await headOrFail(openStore(args));
		printTable(head.recent.map(({revision, atMs, by, what, id, body}) => ({
			revision, at: new Date(atMs).toISOString(), by, what, body: body ?? '', change: id,
		})), args.json);
	},
});

const check = defineCommand({
	meta: {name: 'check', description: 'Check a preset file without connecting to the platform'},
	args: {file: {type: 'positional', description: 'the preset as JSON', required: true}},
	async run({args}) {
		await presetFromFile(args.file);
		print('the preset is valid');
	},
});

const settle = defineCommand({
	meta: {name: 'settle', description: 'Show whether a change with an unknown result was accepted'},
	args: {...storeArguments, change: {type: 'positional', description: 'the id of the change', required: true}},
	async run({args}) {
		const result = await settleChange(openStore(args), args.change);
		if (result.kind === 'notFound') {
			print(args.json ? {kind: 'notFound', revision: result.head.revision} : `not accepted as of revision ${result.head.revision}`);
			process.exitCode = exitCodes.refused;
			return;
		}

		printResult(result, args);
	},
});

/** `papayaflow preset` manages the presets. */
export const presetCommand = defineCommand({
	meta: {name: 'preset', description: 'Manage the presets, which are configurations of which one is in force'},
	subCommands: {
		list, show, create, edit, use, diff, history, check, settle,
	},
});

async function waitForInstances(args: Arguments, revision: number, waitMs: number): Promise<readonly string[]> {
	const deadlineMs = Date.now() + waitMs;
	for (;;) {
		const instances = await instancesOrFail(args);
		const statuses = await fetchStatuses(instances.filter(({state}) => state === 'live'));
		const lagging = statuses.filter(status => !status.reachable || (status.revision ?? 0) < revision).map(status => status.instance);
		if (lagging.length === 0 || Date.now() > deadlineMs) {
			return lagging;
		}

		await sleep(confirmationPollMs);
	}
}

async function presetFromFile(file: string): Promise<Preset> {
	let document: unknown;
	try {
		document = JSON.parse(await readFile(file, 'utf8'));
	} catch (error) {
		fail(exitCodes.usage, `${file}: ${error instanceof Error ? error.message : String(error)}`);
	}

	return validPresetOrFail(document);
}

function withField(document: unknown, [field, ...rest]: readonly string[], value: unknown): unknown {
	const container = (typeof document === 'object' && document !== null ? document : {}) as Readonly<Record<string, unknown>>;
	const next = rest.length === 0 ? value : withField(container[field], rest, value);
	return Array.isArray(document) ? document.with(Number(field), next) as unknown : {...container, [field]: next};
}

function parseValue(text: string): unknown {
	try {
		return JSON.parse(text);
	} catch {
		return text;
	}
}

function authorOf(args: Arguments): ChangeAuthor {
	const given = args['change-id'];
	return {by: userInfo().username, changeId: typeof given === 'string' ? given : randomUUID(), nowMs: Date.now()};
}

function printResult(result: ChangeResult, args: Arguments): void {
	switch (result.kind) {
		case 'accepted': {
			print(args.json ? {kind: 'accepted', revision: result.head.revision} : `accepted at revision ${result.head.revision}`);
			return;
		}

		case 'refused': {
			const latest = result.head.recent.at(-1);
			print(args.json
				? {
					kind: 'refused', reason: result.reason, revision: result.head.revision, inForce: result.head.inForce,
				}
				: `refused: ${result.reason}; last change: ${latest ? `${latest.what} by ${latest.by}` : 'none'}, at revision ${result.head.revision}; in force: ${result.head.inForce ?? 'nothing'}`);
			process.exitCode = exitCodes.refused;
			return;
		}

		case 'unknown': {
			print(args.json ? {kind: 'unknown', changeId: result.changeId} : `unknown (${result.detail}); settle it with: papayaflow preset settle ${result.changeId}`);
			process.exitCode = exitCodes.unknown;
		}
	}
}

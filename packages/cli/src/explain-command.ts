import process from 'node:process';
import {type Candidate, type Exclusion, type Explanation} from '@papayaflow/direct';
import {fetchExplanation} from '@papayaflow/operator';
import {defineCommand} from 'citty';
import {
	exitCodes, fail, print, printTable,
} from './output.js';
import {urlOrFail} from './platform.js';

const okStatus = 200;

/** The reasons for which an entry would refuse any request like the one asked about. */
const refusedReasons: ReadonlySet<string> = new Set(['noRoute', 'unknownKey']);

/** `papayaflow explain` shows where a live entry would send a request now, and why, without sending it. */
export const explainCommand = defineCommand({
	meta: {name: 'explain', description: 'Show where an entry would send a request now, and why, without sending it'},
	args: {
		entry: {type: 'string', description: 'the admin address of an entry (PAPAYAFLOW_ENTRY)', valueHint: 'http://IP:PORT'},
		key: {type: 'string', description: 'the key of the caller\'s organisation'},
		json: {type: 'boolean', description: 'print JSON'},
		host: {type: 'positional', description: 'the host of the request', required: true},
		path: {type: 'positional', description: 'the path of the request', required: true},
	},
	async run({args}) {
		const url = urlOrFail(args, 'entry');
		const result = await fetchExplanation(url, {host: args.host, path: args.path, ...(args.key !== undefined && {key: args.key})});
		if (result.kind === 'unreachable') {
			fail(exitCodes.unavailable, `the entry at ${url} can't be reached: ${result.detail}`);
		}

		if (result.status !== okStatus) {
			failFor(url, result.status, result.body);
		}

		const explanation = result.body as Explanation;
		process.exitCode = explanation.choice.kind === 'refused' ? exitCodes.refused : exitCodes.ok;
		if (args.json) {
			print(explanation);
			return;
		}

		printExplanation(explanation);
	},
});

function failFor(url: string, status: number, body: unknown): never {
	const {reason = '', detail = ''} = (body ?? {}) as {readonly reason?: string; readonly detail?: string};
	return refusedReasons.has(reason)
		? fail(exitCodes.refused, `the request would be refused: ${reason}: ${detail}`)
		: fail(exitCodes.unavailable, `the process at ${url} does not explain: status ${status}${reason === '' ? '' : `, ${reason}`}${detail === '' ? '' : `: ${detail}`}`);
}

function printExplanation({route, routeKind, service, services, organisation, priority, version, candidates, groups, choice}: Explanation): void {
	const drawn = services.length > 1 ? `, drawn from ${services.map(({service: name, weight}) => `${name} (${weight})`).join(', ')}` : '';
	print(`route ${route} (${routeKind}), version ${version}, ${organisation === undefined ? 'no organisation' : `organisation ${organisation}`}, priority ${priority}\nservice ${service}${drawn}`);
	if (candidates.length > 0) {
		printTable(candidates.map(candidate => rowOf(candidate)), false);
	}

	if (groups.length > 0) {
		printTable(groups.map(({group, coordinator, load, loadAgeMs}) => ({
			group, coordinator: coordinator ?? 'none', running: load?.running, room: load?.room, entries: load?.entries, passMs: load && Math.round(load.passMs), ageMs: loadAgeMs,
		})), false);
	}

	print(describeChoice(choice));
}

function rowOf({target, zone, group, inFlight, latencyMs, excludedBy}: Candidate): Readonly<Record<string, unknown>> {
	return {
		target, zone, group, inFlight, latencyMs, excludedBy: excludedBy.map(exclusion => describeExclusion(exclusion)).join(', '),
	};
}

function describeExclusion({reason, forMs}: Exclusion): string {
	return forMs === undefined ? reason : `${reason} for ${forMs} ms`;
}

function describeChoice(choice: Explanation['choice']): string {
	switch (choice.kind) {
		case 'target': {
			return `choice: target ${choice.target}, by ${choice.by}`;
		}

		case 'coordinator': {
			return `choice: coordinator ${choice.coordinator} chooses a rank of group ${choice.group ?? 'unknown'}`;
		}

		case 'held': {
			return `choice: held for at most ${Math.round(choice.maxMs)} ms until one of the groups ${choice.groups.join(', ')} takes it`;
		}

		case 'refused': {
			const retry = choice.retryAfterMs === undefined ? '' : `, retry after ${Math.round(choice.retryAfterMs)} ms`;
			return `choice: refused, ${choice.reason}${retry}${choice.detail === undefined ? '' : ` (${choice.detail})`}`;
		}
	}
}

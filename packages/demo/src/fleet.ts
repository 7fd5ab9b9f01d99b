import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {request} from 'undici';

const host = '127.0.0.1';
const startTimeoutMs = 20_000;
const pollIntervalMs = 25;

/** A process that the fleet started. */
export type FleetProcess = {
	readonly id: string;
	readonly child: ChildProcess;
	readonly port: number;
	readonly adminPort: number;
	/** Only on sidecars: the name of the service and the port of the target. */
	readonly service?: string;
	readonly target?: number;
};

/** Starts and controls a set of processes on loopback. */
export type Fleet = {
	/** The port of the stand-in of the key-value store. */
	readonly kvPort: number;
	/** The port of the stand-in of the platform's instance list. */
	readonly instanceListPort: number;
	startTarget(kind: 'engine' | 'plain', args?: readonly string[]): Promise<FleetProcess>;
	/** Starts a sidecar in front of the target `upstream.target` and lists it as an instance of the service `upstream.service`. */
	startSidecar(id: string, zone: string, upstream: {readonly service: string; readonly target: FleetProcess}, args?: readonly string[]): Promise<FleetProcess>;
	/** Starts an entry and lists it as an instance. */
	startEntry(id: string, zone: string, args?: readonly string[]): Promise<FleetProcess>;
	/** Runs the operator's command line program to its end and returns its exit code, and stdout and stderr as one text. */
	runOperatorCommand(args: readonly string[]): Promise<{readonly code: number; readonly output: string}>;
	/** Adds an instance to the instance list, or updates the fields of a listed one. */
	list(instance: Readonly<Record<string, unknown>>): Promise<void>;
	/** Removes an instance from the instance list without stopping its process. */
	unlist(id: string): Promise<void>;
	/** Sets fault switches of the stand-in that listens on `port`. */
	setFaults(port: number, switches: Readonly<Record<string, unknown>>): Promise<void>;
	/** Kills every process of the fleet and waits until all have exited. */
	stop(): Promise<void>;
};

export type FleetOptions = {
	/** The directory of the built programs; by default the directory of this module. */
	readonly dist?: string;
	/** The file to which all processes append their output; the output is discarded when absent. */
	readonly logFile?: string;
	/** Flags passed to every entry and sidecar. */
	readonly args?: readonly string[];
};

/**
Starts the stand-ins of the platform's key-value store and instance list. The
returned fleet starts targets, sidecars and entries, each as its own process on
loopback. `stop` kills only processes that this fleet started.

@example
const fleet = await startFleet();
const target = await fleet.startTarget('plain');
*/
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
	const distributionDirectory = options.dist ?? path.dirname(fileURLToPath(import.meta.url));
	const log = options.logFile === undefined ? undefined : openSync(options.logFile, 'a');
	const children: ChildProcess[] = [];

	const spawnProgram = (program: string, args: readonly string[]): ChildProcess => {
		const child = spawn(process.execPath, [path.join(distributionDirectory, `${program}.js`), ...args], {stdio: ['ignore', log ?? 'ignore', log ?? 'ignore', 'ipc']});
		children.push(child);
		return child;
	};

	const startStandin = async (kind: string, args: readonly string[] = []): Promise<{child: ChildProcess; port: number}> => {
		const child = spawnProgram('standins', [kind, '--port', '0', ...args]);
		const {port} = await waitForPorts(child);
		return {child, port};
	};

	const kv = await startStandin('kv');
	const list = await startStandin('instances');
	const platformArguments = ['--store', url(kv.port), '--instances', url(list.port)];

	const startProgram = async (program: string, id: string, zone: string, args: readonly string[]): Promise<FleetProcess> => {
		const child = spawnProgram(program, ['--instance', id, '--zone', zone, '--port', '0', '--admin-port', '0', ...platformArguments, ...options.args ?? [], ...args]);
		return {id, child, ...await waitForPorts(child)};
	};

	const post = async (port: number, pathname: string, body: unknown, method: 'POST' | 'DELETE' = 'POST'): Promise<void> => {
		const res = await request(url(port) + pathname, {method, body: JSON.stringify(body)});
		await res.body.dump();
	};

	const listProcess = async (member: FleetProcess, role: string, zone: string, extraFields: Readonly<Record<string, unknown>> = {}): Promise<void> => {
		await post(list.port, '/v1/instances', {
			id: member.id, role, zone, ...extraFields, address: host, port: member.port, adminPort: member.adminPort, state: 'live',
		});
	};

	return {
		kvPort: kv.port,
		instanceListPort: list.port,
		async startTarget(kind, args = []) {
			const {child, port} = await startStandin(kind, args);
			return {
				id: kind, child, port, adminPort: port,
			};
		},
		async startSidecar(id, zone, {service, target}, args = []) {
			const member = await startProgram('papayaflow-sidecar', id, zone, ['--service', service, '--target', url(target.port), ...args]);
			await listProcess(member, 'sidecar', zone, {service, group: flagValue(args, '--group')});
			return {...member, service, target: target.port};
		},
		async startEntry(id, zone, args = []) {
			const member = await startProgram('papayaflow-entry', id, zone, args);
			await listProcess(member, 'entry', zone);
			return member;
		},
		async runOperatorCommand(args) {
			const child = spawn(process.execPath, [path.join(distributionDirectory, 'papayaflow.js'), ...args, ...platformFlags(args, platformArguments)], {stdio: ['ignore', 'pipe', 'pipe']});
			const output: string[] = [];
			child.stdout.on('data', chunk => output.push(String(chunk)));
			child.stderr.on('data', chunk => output.push(String(chunk)));
			const [code] = await once(child, 'close') as [number];
			return {code, output: output.join('')};
		},
		async list(instance) {
			await post(list.port, '/v1/instances', instance);
		},
		async unlist(id) {
			await post(list.port, `/v1/instances/${id}`, {}, 'DELETE');
		},
		async setFaults(port, switches) {
			await post(port, '/faults', switches);
		},
		async stop() {
			for (const child of children) {
				child.kill('SIGKILL');
			}

			await Promise.all(children.map(async child => child.exitCode === null && child.signalCode === null ? once(child, 'exit') : undefined));
			if (log !== undefined) {
				closeSync(log);
			}
		},
	};
}

/** Polls `condition` until it holds; resolves to `false` when it doesn't hold within `timeoutMs`. */
export async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> {
	const deadlineMs = Date.now() + timeoutMs;
	while (Date.now() < deadlineMs) {
		if (await condition()) {
			return true;
		}

		await sleep(pollIntervalMs);
	}

	return false;
}

/** Fetches a JSON document from a process on loopback; resolves to `undefined` when the request fails or the answer isn't JSON. */
export async function ask(port: number, pathname: string): Promise<Record<string, unknown> | undefined> {
	try {
		const res = await request(url(port) + pathname, {signal: AbortSignal.timeout(startTimeoutMs)});
		return await res.body.json() as Record<string, unknown>;
	} catch {
		return undefined;
	}
}

function flagValue(args: readonly string[], flag: string): string | undefined {
	const at = args.indexOf(flag);
	return at === -1 ? undefined : args[at + 1];
}

function platformFlags(args: readonly string[], platformArguments: readonly string[]): readonly string[] {
	const isLocal = args[0] === 'preset' && args[1] === 'check';
	const needsList = args[0] !== 'preset' || args[1] === 'use';
	const needsStore = args[0] !== 'drain';
	return [...(needsStore && !isLocal ? platformArguments.slice(0, 2) : []), ...(needsList ? platformArguments.slice(2) : [])];
}

/** Waits until a program has sent the ports that it listens on. */
async function waitForPorts(child: ChildProcess): Promise<{readonly port: number; readonly adminPort: number}> {
	const started = once(child, 'message', {signal: AbortSignal.timeout(startTimeoutMs)}) as Promise<[{readonly port: number; readonly adminPort: number}]>;
	const exited = once(child, 'exit').then(([code]) => {
		throw new Error(`${child.spawnargs.join(' ')} exited with code ${code} before it listened`);
	});
	const [ports] = await Promise.race([started, exited]);
	child.disconnect();
	return ports;
}

function url(port: number): string {
	return `http://${host}:${port}`;
}

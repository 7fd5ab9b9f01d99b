import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {closeSync, openSync} from 'node:fs';
import {createServer} from 'node:net';
import path from 'node:path';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import process from 'node:process';
import {request} from 'undici';

const host = '127.0.0.1';
const startTimeoutMs = 20_000;
const pollMs = 25;

/** A process of the fleet. */
export type Member = {
	readonly id: string;
	readonly child: ChildProcess;
	readonly port: number;
	readonly adminPort: number;
	/** The service and target of a sidecar. */
	readonly service?: string;
	readonly target?: number;
};

/** What stands before a fleet: the platform's stand-ins. */
export type Fleet = {
	readonly kvPort: number;
	readonly listPort: number;
	startTarget(kind: 'engine' | 'plain', args?: readonly string[]): Promise<Member>;
	startSidecar(id: string, zone: string, beside: {readonly service: string; readonly target: Member}, args?: readonly string[]): Promise<Member>;
	startEntry(id: string, zone: string, args?: readonly string[]): Promise<Member>;
	/** Runs the operators' program and gives its exit code and output. */
	operate(args: readonly string[]): Promise<{readonly code: number; readonly output: string}>;
	/** Lists an instance, or changes what the list says of it. */
	list(instance: Readonly<Record<string, unknown>>): Promise<void>;
	unlist(id: string): Promise<void>;
	/** Sets switches of a stand-in. */
	fault(port: number, switches: Readonly<Record<string, unknown>>): Promise<void>;
	stop(): Promise<void>;
};

export type FleetOptions = {
	/** Where the built programs are. */
	readonly dist?: string;
	/** Where the programs' logs go; nowhere when absent. */
	readonly logFile?: string;
	/** Flags that every entry and sidecar gets. */
	readonly args?: readonly string[];
};

/**
Starts the stand-ins of the platform, and then whatever is asked for, each as a
process of its own on loopback. `stop` ends just what was started here.

@example
const fleet = await startFleet();
const target = await fleet.startTarget('plain');
*/
export async function startFleet(options: FleetOptions = {}): Promise<Fleet> {
	const distribution = options.dist ?? path.dirname(fileURLToPath(import.meta.url));
	const log = options.logFile === undefined ? undefined : openSync(options.logFile, 'a');
	const children: ChildProcess[] = [];

	const run = (program: string, args: readonly string[]): ChildProcess => {
		const child = spawn(process.execPath, [path.join(distribution, `${program}.js`), ...args], {stdio: ['ignore', log ?? 'ignore', log ?? 'ignore']});
		children.push(child);
		return child;
	};

	const startStandin = async (kind: string, args: readonly string[] = []): Promise<{child: ChildProcess; port: number}> => {
		const port = await freePort();
		const child = run('standins', [kind, '--port', String(port), ...args]);
		await waitForHttp(port, '/', child);
		return {child, port};
	};

	const kv = await startStandin('kv');
	const list = await startStandin('instances');
	const platform = ['--store', url(kv.port), '--instances', url(list.port)];

	const startProgram = async (program: string, id: string, zone: string, args: readonly string[]): Promise<Member> => {
		const [port, adminPort] = [await freePort(), await freePort()];
		const child = run(program, [
			'--instance', id, '--zone', zone, '--port', String(port), '--admin-port', String(adminPort), ...platform, ...options.args ?? [], ...args,
		]);
		await waitForHttp(adminPort, '/healthz', child);
		return {
			id, child, port, adminPort,
		};
	};

	const post = async (port: number, where: string, body: unknown, method: 'POST' | 'DELETE' = 'POST'): Promise<void> => {
		const res = await request(url(port) + where, {method, body: JSON.stringify(body)});
		await res.body.dump();
	};

	const listMember = async (member: Member, role: string, zone: string, more: Readonly<Record<string, unknown>> = {}): Promise<void> => {
		await post(list.port, '/v1/instances', {
			id: member.id, role, zone, ...more, address: host, port: member.port, adminPort: member.adminPort, state: 'live',
		});
	};

	return {
		kvPort: kv.port,
		listPort: list.port,
		async startTarget(kind, args = []) {
			const {child, port} = await startStandin(kind, args);
			return {
				id: kind, child, port, adminPort: port,
			};
		},
		async startSidecar(id, zone, {service, target}, args = []) {
			const member = await startProgram('papayaflow-sidecar', id, zone, ['--service', service, '--target', url(target.port), ...args]);
			await listMember(member, 'sidecar', zone, {service, group: flagValue(args, '--group')});
			return {...member, service, target: target.port};
		},
		async startEntry(id, zone, args = []) {
			const member = await startProgram('papayaflow-entry', id, zone, args);
			await listMember(member, 'entry', zone);
			return member;
		},
		async operate(args) {
			const child = spawn(process.execPath, [path.join(distribution, 'papayaflow.js'), ...args, ...platformFlags(args, platform)], {stdio: ['ignore', 'pipe', 'pipe']});
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
		async fault(port, switches) {
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

/** Waits until `condition` holds; `false` when it does not within `timeoutMs`. */
export async function waitUntil(condition: () => Promise<boolean> | boolean, timeoutMs: number): Promise<boolean> {
	const untilMs = Date.now() + timeoutMs;
	while (Date.now() < untilMs) {
		if (await condition()) {
			return true;
		}

		await sleep(pollMs);
	}

	return false;
}

/** Asks a JSON question of a program or stand-in on loopback; `undefined` when it does not answer. */
export async function ask(port: number, where: string): Promise<Record<string, unknown> | undefined> {
	try {
		const res = await request(url(port) + where, {signal: AbortSignal.timeout(startTimeoutMs)});
		return await res.body.json() as Record<string, unknown>;
	} catch {
		return undefined;
	}
}

function flagValue(args: readonly string[], flag: string): string | undefined {
	const at = args.indexOf(flag);
	return at === -1 ? undefined : args[at + 1];
}

function platformFlags(args: readonly string[], platform: readonly string[]): readonly string[] {
	const isLocal = args[0] === 'preset' && args[1] === 'check';
	const needsList = args[0] !== 'preset' || args[1] === 'use';
	const needsStore = args[0] !== 'drain';
	return [...(needsStore && !isLocal ? platform.slice(0, 2) : []), ...(needsList ? platform.slice(2) : [])];
}

async function waitForHttp(port: number, where: string, child: ChildProcess): Promise<void> {
	const isUp = await waitUntil(async () => {
		if (child.exitCode !== null) {
			throw new Error(`${child.spawnargs.join(' ')} ended with ${child.exitCode}`);
		}

		try {
			const res = await request(url(port) + where, {signal: AbortSignal.timeout(startTimeoutMs)});
			await res.body.dump();
			return true;
		} catch {
			return false;
		}
	}, startTimeoutMs);
	if (!isUp) {
		throw new Error(`nothing listens on port ${port}`);
	}
}

async function freePort(): Promise<number> {
	return new Promise(resolve => {
		const server = createServer();
		server.listen(0, host, () => {
			const {port} = server.address() as {port: number};
			server.close(() => {
				resolve(port);
			});
		});
	});
}

function url(port: number): string {
	return `http://${host}:${port}`;
}

import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {appendFileSync, readFileSync, writeFileSync} from 'node:fs';
import {Agent, createServer, request} from 'node:http';
import {connect, createServer as createTcpServer} from 'node:net';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const {createPlatformStore, listenOn, startPassServers} = await import(path.resolve('target/review-2/standins.js'));

const readDocument = name => JSON.parse(readFileSync(path.join(import.meta.dirname, name), 'utf8'));

const readyTimeoutMs = 20_000;
const heartbeatMs = 1200;

/** The bounds of the users' pages for a small deployment. */
export const bounds = {
	stableWindowMs: 3000, drainMs: 2000, configMs: 2000, graceS: 8, retryRatio: 0.2, retrySlack: 90, retryWindowS: 10, stallMs: 1500, recoveryS: 12,
};

/** Whether the case runs with its disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/**
Creates the record of a case in its folder.

@example
const record = openRecord(folder);
record('client', 'sent c-1');
*/
export function openRecord(folder) {
	const file = path.join(folder, 'record.txt');
	const startedMs = performance.now();
	writeFileSync(file, '');
	return (source, text) => {
		appendFileSync(file, `${((performance.now() - startedMs) / 1000).toFixed(3)} ${source}: ${text}\n`);
	};
}

/** An address of the loopback network; different runs use different ones. */
export function loopback(index) {
	const octets = 250;
	return `127.${2 + (Math.floor(process.pid / octets) % octets)}.${2 + (process.pid % octets)}.${index + 1}`;
}

async function freePort(host) {
	const server = createServer();
	const port = await listenOn(server, host);
	server.close();
	await once(server, 'close');
	return port;
}

/** A TCP proxy whose open connections can go silent, without a reset, while new ones work. */
async function startProxy({host, port}, target) {
	const pairs = new Set();
	const server = createTcpServer(near => {
		const far = connect(target);
		const pair = {sockets: [near, far], isSilent: false};
		pairs.add(pair);
		for (const [from, to] of [[near, far], [far, near]]) {
			from.on('data', chunk => {
				if (!pair.isSilent) {
					to.write(chunk);
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				if (!pair.isSilent) {
					to.destroy();
				}
			});
		}
	});
	server.listen(port, host);
	await once(server, 'listening');
	return {
		silence() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		stop() {
			server.close();
			for (const {sockets} of pairs) {
				for (const socket of sockets) {
					socket.destroy();
				}
			}
		},
	};
}

/** The command of a role in the deploy file, as a list of words. */
function commandOf(role) {
	const text = readFileSync('deploy/system.toml', 'utf8');
	const [, line] = new RegExp(String.raw`\[roles\.${role}\]\s+run = "([^"]+)"`, 'v').exec(text);
	return line.split(' ');
}

/** Waits until a check returns something; throws after twenty seconds. */
export async function waitFor(what, check) {
	const deadlineMs = performance.now() + readyTimeoutMs;
	while (performance.now() < deadlineMs) {
		const value = await check();
		if (value) {
			return value;
		}

		await sleep(20);
	}

	throw new Error(`not ready in time: ${what}`);
}

/** The configuration of a small deployment: a model with expert maps and a plain service. */
export function smallConfiguration(engineChange = {}) {
	const configuration = readDocument('configuration.json');
	Object.assign(configuration.services.find(({engine}) => engine !== undefined).engine, engineChange);
	return configuration;
}

/**
Starts the platform's stand-ins and the project's programs: a store, a group of engines with
a sidecar beside each, plain servers and entries. `plains` are request handlers; `serveEngine`
handles the requests to engines. With `hasProxies`, the connections to the sidecars go through
proxies. `startGroup` starts the servers of the engines.
*/
export async function startSite({record, entries: entryCount, ranks: rankCount, plains: handlers, serveEngine, configuration = smallConfiguration(), engineOptions = {}, hasProxies = false, startGroup = startPassServers}) {
	const store = createPlatformStore(Date.now);
	const storeHost = loopback(200);
	const storePort = await listenOn(store.server, storeHost);
	const sideHosts = Array.from({length: rankCount}, (_, rank) => loopback(10 + rank));
	const group = await startGroup({
		ranks: rankCount, layers: 1, expertsPerLayer: 6, passMs: 20, demand: () => 1, hosts: sideHosts, serve: serveEngine, ...engineOptions,
	});
	const plains = await Promise.all(handlers.map(async (handle, index) => {
		const server = createServer(handle);
		const host = loopback(100 + index);
		return {server, host, address: `${host}:${await listenOn(server, host)}`};
	}));
	const registrations = new Map();
	const born = Date.now();
	const register = (id, service, address) => {
		registrations.set(id, {
			...readDocument('registration.json'), service, address, seq: 0, born, isCut: false,
		});
	};

	for (const [index, {address}] of plains.entries()) {
		register(`i-plain${index}`, 'ledger', address);
	}

	for (const [rank, address] of group.addresses.entries()) {
		register(`i-rank${rank}`, 'model', address);
	}

	const write = id => {
		const {isCut, ...registration} = registrations.get(id);
		registrations.get(id).seq++;
		if (!isCut) {
			store.put(`servers/${id}`, JSON.stringify({...registration, seq: registration.seq + 1}));
		}
	};

	const writeAll = () => {
		for (const id of registrations.keys()) {
			write(id);
		}
	};

	writeAll();
	const heartbeat = setInterval(writeAll, heartbeatMs);
	store.put('op/config', JSON.stringify(configuration));

	const peerPort = await freePort(loopback(10));
	const sidecarHosts = hasProxies ? sideHosts.map((_, rank) => loopback(150 + rank)) : sideHosts;
	const proxies = hasProxies ? await Promise.all(sideHosts.map(async (host, rank) => startProxy({host, port: peerPort}, {host: sidecarHosts[rank], port: peerPort}))) : [];
	const processes = [];
	process.setMaxListeners(0);
	const start = async (role, name, env) => {
		const [program, ...args] = commandOf(role);
		const child = spawn(program, args, {
			stdio: ['ignore', 'pipe', 'inherit'],
			env: {
				PATH: process.env.PATH, HOME: process.env.HOME, PAPAYAFLOW_INSTANCE: name, PAPAYAFLOW_ZONE: 'z1', PAPAYAFLOW_STORE: `${storeHost}:${storePort}`, PAPAYAFLOW_PEER_PORT: String(peerPort),
				PAPAYAFLOW_GRACE_S: String(bounds.graceS), PAPAYAFLOW_CONFIG_MS: String(bounds.configMs), PAPAYAFLOW_DRAIN_MS: String(bounds.drainMs), PAPAYAFLOW_EVACUATE_MS: '', PAPAYAFLOW_REPORT_MS: String(heartbeatMs),
				...env,
			},
		});
		const lines = [];
		let rest = '';
		child.stdout.on('data', chunk => {
			const parts = (rest + String(chunk)).split('\n');
			rest = parts.pop();
			lines.push(...parts);
		});
		const running = {name, child, lines};
		processes.push(running);
		process.once('exit', () => {
			child.kill('SIGKILL');
		});
		await waitFor(`${name} started`, () => lines.some(line => line.includes(`${role} started"`)));
		record('harness', `${name} started`);
		return running;
	};

	const startSidecar = async rank => start('sidecar', `side-${rank}`, {
		PAPAYAFLOW_ADDRESS: sidecarHosts[rank], PAPAYAFLOW_TARGET: group.addresses[rank], PAPAYAFLOW_METRICS_PORT: String(await freePort(sidecarHosts[rank])),
	});

	const entryPorts = await Promise.all(Array.from({length: entryCount}, async (_, index) => {
		const host = loopback(50 + index);
		const [front, ready, metrics] = [await freePort(host), await freePort(host), await freePort(host)];
		return {
			host, front, ready, metrics,
		};
	}));
	const startEntry = async index => {
		const {host, front, ready, metrics} = entryPorts[index];
		const running = await start('entry', `edge-${index}`, {
			PAPAYAFLOW_ADDRESS: host, PAPAYAFLOW_LISTEN: `${host}:${front}`, PAPAYAFLOW_ADMIN: `${host}:${ready}`, PAPAYAFLOW_METRICS_PORT: String(metrics),
			PAPAYAFLOW_RESEND_RATIO: String(bounds.retryRatio), PAPAYAFLOW_RESEND_SLACK: String(bounds.retrySlack), PAPAYAFLOW_RESEND_WINDOW_S: String(bounds.retryWindowS),
			PAPAYAFLOW_STALL_MS: String(bounds.stallMs), PAPAYAFLOW_REGIONS: 'z1=r1', PAPAYAFLOW_COLD_OVERRUN: '', PAPAYAFLOW_COLD_SLACK: '',
		});
		return Object.assign(running, {host, port: front, readyPort: ready});
	};

	const sidecars = await Promise.all(sideHosts.map(async (_, rank) => startSidecar(rank)));
	const entries = await Promise.all(entryPorts.map(async (_, index) => startEntry(index)));
	const isReady = async ({host, readyPort}) => {
		try {
			const {status} = await fetch(`http://${host}:${readyPort}/readyz`);
			return status === 200;
		} catch {
			return false;
		}
	};

	const agent = new Agent({keepAlive: true});
	let count = 0;

	/** Sends one request and resolves with what its caller sees; status 0 means that the connection ended without a whole answer. */
	const call = async (entry, {route, name, method = 'POST', headers = {}, body = '', deadlineMs = 8000}) => new Promise(resolve => {
		const id = `c${process.pid}-${count++}`;
		const sentMs = performance.now();
		record('client', `${id} sent to ${entry.name}: ${method} /${route}/${name ?? id}`);
		const end = (status, res, text) => {
			record('client', `${id} got ${status}${res?.headers['x-replica-seal'] === undefined ? '' : ' from a server'} after ${Math.round(performance.now() - sentMs)} ms`);
			resolve({
				id, entry: entry.name, sentMs, endedMs: performance.now(), status, headers: res?.headers ?? {}, body: text,
			});
		};

		const req = request({
			agent, host: entry.host, port: entry.port, path: `/${route}/${name ?? id}`, method,
			headers: {
				host: 'h.example', 'x-request-id': id, 'x-key': 'key-acme', 'x-deadline-ms': String(deadlineMs), 'content-length': body.length, ...headers,
			},
		}, res => {
			let text = '';
			res.on('data', chunk => {
				text += String(chunk);
			});
			res.on('end', () => {
				end(res.statusCode, res, text);
			});
			res.on('error', () => {
				end(0, res, text);
			});
		});
		req.on('error', () => {
			end(0);
		});
		req.end(body);
	});

	await Promise.all(entries.map(async entry => waitFor(`${entry.name} is ready`, async () => isReady(entry))));
	await Promise.all(entries.map(async entry => waitFor(`${entry.name} is linked`, () => sidecars.every(({name}) => entry.lines.some(line => line.includes('"dependency regained"') && line.includes(`"${name}"`))))));
	record('harness', 'all entries are ready and linked to all sidecars');
	return {
		store, group, plains, proxies, registrations, write, entries, sidecars, startEntry, startSidecar, isReady, call,
		async stop() {
			clearInterval(heartbeat);
			agent.destroy();
			for (const {child} of processes) {
				child.kill('SIGKILL');
			}

			group.stop();
			for (const proxy of proxies) {
				proxy.stop();
			}

			for (const server of [...plains.map(({server}) => server), store.server]) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}

/** Runs a case: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(folder, run) {
	const record = openRecord(folder);
	record('harness', hasTrouble ? 'with the disruption' : 'without the disruption');
	let code = 2;
	for (const signal of ['SIGTERM', 'SIGINT']) {
		process.once(signal, () => {
			process.exit(2);
		});
	}

	try {
		const {isBroken, summary} = await run(record);
		record('verdict', `${isBroken ? 'BROKEN' : 'held'}: ${summary}`);
		process.stdout.write(`${isBroken ? 'BROKEN' : 'held'}: ${summary}\n`);
		code = isBroken ? 1 : 0;
	} catch (error) {
		record('verdict', `could not run: ${error.stack}`);
		process.stdout.write(`could not run: ${error.message}\n`);
	}

	// eslint-disable-next-line unicorn/no-process-exit -- connections of killed processes may still be open
	process.exit(code);
}

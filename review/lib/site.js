/* eslint camelcase: ["error", {properties: "never"}] -- the fields of the platform's protocol */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {programOf, root} from './deploy.js';
import {createProxy} from './proxy.js';
import {createEngineGroup, createPlainReplica, engineFigures} from './replica.js';
import {createStore} from './store.js';

/** The bounds of the small installations on the users' sheet. */
export const bounds = {
	stableWindowMs: 3000, drainMs: 2000, graceMs: 8000,
};

const heartbeatMs = 1200;
const restartDelayMs = 500;
const readyTimeoutMs = 20_000;
const frontPort = 8227;
const readyPort = 8220;

/** The key of the only tenant. */
export const key = 'n2ctnfzs989anu6wsjnb';

const routes = [
	{
		name: 'draft', host: 'ficu95.example', prefix: '/lohu930/', service: 'draft-llm', route_kind: 'streaming', resumable: true, sticky: true, target_gap_ms: 120, timeout_ms: 8000, target_latency_ms: 500, max_attempts: 2, priority: 1,
	},
	{
		name: 'instruct', host: 'ficu95.example', prefix: '/puxa403/', service: 'wage-ledger', route_kind: 'non_idempotent', timeout_ms: 600, target_latency_ms: 122, max_attempts: 1, priority: 2,
	},
	{
		name: 'confirm', host: 'ficu95.example', prefix: '/kivo118/', service: 'wage-ledger', route_kind: 'idempotent', timeout_ms: 600, target_latency_ms: 122, max_attempts: 2, priority: 2,
	},
];

/**
Starts a small installation: the store, a plain service, a group of model replicas with a
sidecar beside each, and entries. Each machine has a loopback address of its own. As the
platform does, it starts a program again that has ended, unless it was told to stop.
*/
export async function startSite({
	entries, ranks, plains, record, onStop, ledgerWorkMs = 40, eventsOf = () => 24, crashPart, keepsReporting = () => true,
	onArrival = () => undefined, onRun = () => undefined, onCut = () => undefined, onCrash = () => undefined,
}) {
	const network = `127.${1 + Math.floor(Math.random() * 250)}.${1 + (process.pid % 250)}`;
	const children = new Set();
	const servers = [];
	let isStopping = false;

	const listen = async (server, port, host) => {
		server.listen(port, host);
		await once(server, 'listening');
		servers.push(server);
		return server.address().port;
	};

	const store = createStore();
	const proxy = createProxy(await listen(store.server, 0, '127.0.0.1'));
	const storePort = await listen(proxy.server, 0, '127.0.0.1');

	const group = createEngineGroup({
		ids: Array.from({length: ranks}, (_, rank) => `i-model-${rank}`), eventsOf, crashPart, onArrival, onRun, onCut, onCrash,
		onBorn(id, born) {
			replicas.find(replica => replica.id === id).born = born;
			reportAll();
		},
	});
	const replicas = [];
	for (const [rank, server] of group.servers.entries()) {
		const host = `${network}.${101 + rank}`;
		replicas.push({
			id: `i-model-${rank}`, service: 'draft-llm', host, port: await listen(server, 0, host), slots: 8,
		});
	}

	for (let i = 0; i < plains; i++) {
		const id = `i-ledger-${i}`;
		const host = `${network}.${201 + i}`;
		const server = createPlainReplica({
			id, workMs: ledgerWorkMs, onArrival, onRun,
		});
		replicas.push({
			id, service: 'wage-ledger', host, port: await listen(server, 0, host), slots: 6, server,
		});
	}

	store.put('op/config', {
		version: 1, routes, tenants: [{name: 'hule930', api_keys: [key]}],
		services: [{
			name: 'draft-llm', max_connections: 348, health_path: '/healthz', engine: engineFigures,
		}, {name: 'wage-ledger', max_connections: 100, health_path: '/healthz'}],
		limits: {
			max_header_bytes: 16_384, max_body_bytes: 1_048_576, header_timeout_ms: 5000, idle_timeout_ms: 10_000,
		},
	});
	const siteBorn = Date.now();
	let seq = 0;
	const reportAll = () => {
		seq++;
		for (const {id, service, host, port, slots, born = siteBorn} of replicas.filter(replica => keepsReporting(replica.id))) {
			store.put(`servers/${id}`, {
				service, address: `${host}:${port}`, zone: 'salt-lake', version: 1, slots, state: 'ready', cold_remaining_ms: 0, seq, born,
			});
		}
	};

	reportAll();
	const heartbeat = setInterval(reportAll, heartbeatMs);

	const startMachine = (name, role, ip, app) => {
		const machine = {
			name, ip, role, ends: [], child: undefined, isTold: false,
		};
		const settings = {
			node: name, zone: 'salt-lake', ip, app, listen: {front: `${ip}:${frontPort}`, ready_endpoint: `${ip}:${readyPort}`}, platform: {address: `127.0.0.1:${storePort}`}, port_range: [7340, 7355],
			bounds: {
				grace_s: 8, config_ms: 2000, drain_ms: 2000, retry_ratio: 0.2, retry_slack: 90, retry_window_s: 10, stall_ms: 1500,
			},
		};
		const {command, args, env} = programOf(role, settings);
		const start = () => {
			const child = spawn(command, args, {cwd: root, env: {PATH: process.env.PATH, HOME: process.env.HOME ?? '/', ...env}, stdio: ['ignore', 'ignore', 'pipe']});
			machine.child = child;
			children.add(child);
			let errors = '';
			child.stderr.on('data', bytes => {
				errors = (errors + bytes).slice(0, 4000);
			});
			child.on('exit', (code, signal) => {
				children.delete(child);
				machine.child = undefined;
				if (isStopping) {
					return;
				}

				const isOwn = !machine.isTold;
				machine.ends.push({code, signal, isOwn});
				record(`${name} ended ${isOwn ? 'by itself' : 'as told'} with code ${code} signal ${signal}${isOwn && errors !== '' ? `: ${errors.split('\n').find(line => line.includes('Error')) ?? ''}` : ''}`);
				if (isOwn) {
					setTimeout(() => {
						if (!isStopping) {
							start();
						}
					}, restartDelayMs);
				}
			});
		};

		start();
		return machine;
	};

	const sidecarMachines = Array.from({length: ranks}, (_, rank) => startMachine(`side-${rank}`, 'sidecar', replicas[rank].host, `${replicas[rank].host}:${replicas[rank].port}`));
	const entryMachines = Array.from({length: entries}, (_, i) => startMachine(`edge-${i}`, 'entry', `${network}.${1 + i}`));
	const site = {
		store, proxy, replicas, entries: entryMachines, sidecars: sidecarMachines, network,
		frontOf: machine => ({host: machine.ip, port: frontPort}),
		/** Ends a replica of the ledger, as when its process exits. */
		endLedger(id) {
			const {server} = replicas.find(replica => replica.id === id);
			server.close();
			server.closeAllConnections();
		},
		async stop() {
			if (isStopping) {
				return;
			}

			isStopping = true;
			clearInterval(heartbeat);
			for (const child of children) {
				child.kill('SIGKILL');
			}

			await Promise.all([...children].map(async child => once(child, 'exit')));
			group.stop();
			store.stop();
			proxy.stop();
			for (const server of servers) {
				server.close();
				server.closeAllConnections?.();
			}
		},
	};
	onStop(site.stop);
	await Promise.all(entryMachines.map(async machine => waitUntilReady(machine)));
	// The entries connect to the sidecars after they have the list of replicas.
	await sleep(bounds.stableWindowMs);
	record(`${entries} entries, ${ranks} sidecars, ${ranks} model replicas and ${plains} ledger replicas are ready`);
	return site;
}

async function waitUntilReady({name, ip}) {
	const deadlineMs = performance.now() + readyTimeoutMs;
	while (performance.now() < deadlineMs) {
		try {
			const res = await fetch(`http://${ip}:${readyPort}/readyz`);
			await res.text();
			if (res.status === 200) {
				return;
			}
		} catch {
			// Not listening yet.
		}

		await sleep(50);
	}

	throw new Error(`${name} was not ready in time`);
}

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {behaviours, gatherCrowd, type Place} from './crowd.js';
import {
	startSite, waitFor, type Site, type SiteProcess, type SmallMachine,
} from './site.js';

/** The machine on which the processes of these tests run. */
const memoryMb = 200;
const descriptors = 400;
const fileDescriptors = 200;
const socketDescriptors = descriptors - fileDescriptors;
const machine: SmallMachine = {
	nodeFlags: ['--max-old-space-size=96'], env: {PAPAYAFLOW_MEMORY_MB: String(memoryMb), PAPAYAFLOW_MAX_FDS: String(descriptors)},
};

const roomyDescriptors = 4200;

/** A machine of the same memory whose descriptors don't bound what callers hold. */
const roomyMachine: SmallMachine = {...machine, env: {...machine.env, PAPAYAFLOW_MAX_FDS: String(roomyDescriptors)}};

/** The clients of a crowd that sends much, of one that reads nothing, and of one that only holds connections. */
const senders = 40;
const idleReaders = 180;
const holders = 300;

/** The clients of a crowd at a machine with many descriptors. */
const roomyHolders = 900;

/** The longest body that the configuration allows, in bytes. */
const maxBodyBytes = 4_194_304;

const longAnswer = Buffer.alloc(3_000_000, 'a');

/** The most memory that a process has used so far, in megabytes. */
function peakMemoryMb({child}: SiteProcess): number {
	const {groups} = /VmHWM:\s*(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))!;
	return Number(groups!.kilobytes) / 1024;
}

function countSockets({child}: SiteProcess): number {
	const directory = `/proc/${child.pid}/fd`;
	return readdirSync(directory).filter(name => {
		try {
			return readlinkSync(`${directory}/${name}`).startsWith('socket:');
		} catch {
			return false;
		}
	}).length;
}

// Guards against clients that end or fill a process: each crowd sends what a process has to refuse, bound or put off. The process
// stays within the memory and the descriptors of its machine, and serves other callers while the crowd is connected and afterwards.
describe('clients that don\'t behave', () => {
	let site: Site;
	let target: Server;
	let silentTarget: Server;

	before(async () => {
		site = await startSite({entries: 1, ranks: 2, plains: 2}, maxBodyBytes);
		target = createServer((req, res) => {
			req.resume();
			res.writeHead(200, {'x-request-id': req.headers['x-request-id'] ?? '', 'x-replica-seal': 's', 'content-length': longAnswer.length});
			res.end(longAnswer);
		});
		target.listen(0, '127.0.0.1');
		await once(target, 'listening');
		silentTarget = createServer(req => {
			req.resume();
		});
		silentTarget.listen(0, '127.0.0.1');
		await once(silentTarget, 'listening');
		const configuration = JSON.parse(site.store.get('op/config')!) as {routes: unknown[]; services: unknown[]};
		configuration.routes.push({
			name: 'long', host: 'h.example', prefix: '/long/', route_kind: 'idempotent', timeout_ms: 3000, target_latency_ms: 300, service: 'long', max_attempts: 2, public: true,
		}, {
			name: 'silent', host: 'h.example', prefix: '/silent/', route_kind: 'idempotent', timeout_ms: 30_000, target_latency_ms: 30_000, service: 'silent', max_attempts: 2, public: true,
		});
		configuration.services.push({name: 'long', max_connections: 1000}, {name: 'silent', max_connections: 1000});
		const register = (service: string, server: Server, slots: number): void => {
			site.store.put(`servers/${service}-0`, JSON.stringify({
				service, address: `127.0.0.1:${(server.address() as AddressInfo).port}`, zone: 'z', version: '1', slots, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 1,
			}));
		};

		register('long', target, 100);
		register('silent', silentTarget, 1000);

		site.store.put('op/config', JSON.stringify({...configuration, version: 2}));
	});

	after(async () => {
		await site.stop();
		for (const server of [target, silentTarget]) {
			server.closeAllConnections();
			server.close();
		}
	});

	const isServed = async (entry: SiteProcess): Promise<boolean> => (await site.call(entry, 'plain')).status === 200;

	const isReady = async ({host, adminPort}: SiteProcess): Promise<boolean> => {
		try {
			return (await fetch(`http://${host}:${adminPort}/readyz`)).ok;
		} catch {
			return false;
		}
	};

	/** Whether an entry that starts now gets a connection to a sidecar. */
	const hasPeer = async ({name}: SiteProcess): Promise<boolean> => {
		const entry = await site.startEntry(`peer-of-${name}`);
		const isConnected = await waitFor(async () => entry.lines.some(line => line.includes('"dependency regained"') && line.includes(`"${name}"`)) ? true : undefined);
		entry.child.kill('SIGKILL');
		return isConnected;
	};

	const checkLives = ({child}: SiteProcess): void => {
		expect(child.signalCode ?? child.exitCode, 'how the process ended').to.equal(null);
	};

	/** Waits until another caller is served; fails at once if the process has ended. */
	const checkServes = async (running: SiteProcess, serves: () => Promise<boolean>): Promise<void> => {
		await waitFor(async () => {
			checkLives(running);
			return await serves() ? true : undefined;
		});
	};

	/** The paths at which crowds need a target that answers in its own way. */
	const routePaths: Readonly<Partial<Record<keyof typeof behaviours, string>>> = {
		'requests whose answers are not read': '/long/x', 'requests whose answers are read slowly': '/long/x', 'requests of very many header fields that run for long': '/silent/x', 'bodies with very many trailer fields that run for long': '/silent/x',
	};
	const pathOf = (name: keyof typeof behaviours): string => routePaths[name] ?? '/plain/x';

	const sizes: Readonly<Partial<Record<keyof typeof behaviours, number>>> = {
		'requests whose answers are not read': idleReaders, 'nothing at all': holders, 'heads that stop half-way': holders, 'heads of very many fields that stop half-way': holders, 'frames that stop half-way': holders, 'bodies a byte at a time': holders,
	};

	/** Lets a crowd loose on a process of a small machine. `serves` asks it for what others get of it. */
	const checkCrowd = async (running: SiteProcess, place: Omit<Place, 'host'>, name: keyof typeof behaviours, serves: () => Promise<boolean>, maxSockets = socketDescriptors): Promise<void> => {
		const size = maxSockets === socketDescriptors ? sizes[name] ?? senders : roomyHolders;
		await checkServes(running, serves);
		const crowd = gatherCrowd({...place, host: running.host}, size, behaviours[name]);
		try {
			await crowd.sent;
			checkLives(running);
			expect(countSockets(running), 'sockets while the crowd is connected').to.be.at.most(maxSockets);
			await checkServes(running, serves);
		} finally {
			crowd.leave();
		}

		await checkServes(running, serves);
		expect(peakMemoryMb(running), 'the most memory that the process has used, in megabytes').to.be.at.most(memoryMb);
		running.child.kill('SIGKILL');
	};

	const startServing = async (on = machine): Promise<SiteProcess> => {
		const entry = await site.startEntry(`entry-${site.entries.length}`, on);
		site.entries.push(entry);
		return entry;
	};

	const startServingSidecar = async (): Promise<SiteProcess> => {
		const replaced = site.sidecars[1];
		replaced.child.kill('SIGKILL');
		await once(replaced.child, 'exit');
		site.sidecars[1] = await site.startSidecar(1, machine);
		return site.sidecars[1];
	};

	const frameCrowds = ['nothing at all', 'frames that stop half-way', 'frames that can\'t be read'] as const satisfies ReadonlyArray<keyof typeof behaviours>;
	/** The crowds that fill the memory if only descriptors bound them. */
	const roomyCrowds = [
		'heads of very many fields that stop half-way',
		'requests of very many header fields that run for long',
		'bodies that stop short of their end',
		'requests whose answers are not read',
		'requests whose answers are read slowly',
		'requests with bodies of 64 KB, sent ahead',
		'bodies with very many trailer fields that run for long',
	] as const satisfies ReadonlyArray<keyof typeof behaviours>;
	const crowds = (Object.keys(behaviours) as Array<keyof typeof behaviours>).filter(name => !name.startsWith('frames'));
	for (const name of crowds) {
		it(`leave an entry to others: ${name}, at a route`, async () => {
			const entry = await startServing();
			await checkCrowd(entry, {port: entry.port, path: pathOf(name)}, name, async () => isServed(entry));
		}).timeout(60_000);
	}

	for (const name of roomyCrowds) {
		it(`leave an entry with many descriptors to others: ${name}`, async () => {
			const entry = await startServing(roomyMachine);
			await checkCrowd(entry, {port: entry.port, path: pathOf(name)}, name, async () => isServed(entry), roomyDescriptors - fileDescriptors);
		}).timeout(60_000);
	}

	for (const name of crowds) {
		it(`leave an entry to others: ${name}, at a path without a route`, async () => {
			const entry = await startServing();
			await checkCrowd(entry, {port: entry.port, path: '/none'}, name, async () => isServed(entry));
		}).timeout(60_000);
	}

	for (const name of crowds) {
		it(`leave an entry to others: ${name}, at the address for readiness`, async () => {
			const entry = await startServing();
			await checkCrowd(entry, {port: entry.adminPort, path: '/readyz'}, name, async () => await isReady(entry) && isServed(entry));
		}).timeout(60_000);
	}

	for (const name of crowds) {
		it(`leave a sidecar to others: ${name}, at the address of the metrics`, async () => {
			const sidecar = await startServingSidecar();
			await checkCrowd(sidecar, {port: sidecar.adminPort, path: '/metrics'}, name, async () => isReady(sidecar));
		}).timeout(60_000);
	}

	for (const name of frameCrowds) {
		it(`leave a sidecar to others: ${name}, at the port for its peers`, async () => {
			const sidecar = await startServingSidecar();
			await checkCrowd(sidecar, {port: sidecar.port, path: ''}, name, async () => await isReady(sidecar) && hasPeer(sidecar));
		}).timeout(60_000);
	}
});

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {behaviours, gatherCrowd, type Behaviour} from '../../cli/test/crowd.js';
import {startSmallFleet, testPreset, type SmallFleet} from './helper.js';
import {ask, type FleetProcess} from '@papayaflow/demo';

/** The machine on which the entries of this test run, as in the test of the same name in `cli`. */
const memoryMb = 200;
const descriptors = 400;
const fileDescriptors = 200;
const roomyDescriptors = 4200;
const environment = {PAPAYAFLOW_MEMORY_MB: String(memoryMb), PAPAYAFLOW_MAX_FDS: String(descriptors), NODE_OPTIONS: '--max-old-space-size=96'};

const senders = 40;
const holders = 300;

/** The clients of a crowd at a machine whose descriptors don't bound what they hold. */
const roomyHolders = 900;
const waitMs = 15_000;

const longAnswer = Buffer.alloc(3_000_000, 'a');

const roomyCrowds = ['bodies of 900 KB that stop short of their end', 'requests of very many header fields, sent ahead', 'requests whose answers are not read'] as const satisfies ReadonlyArray<keyof typeof behaviours>;

const crowds = {
	'bodies that stop short of their end': senders,
	'bodies in chunks of one byte that stop short of their end': senders,
	'requests of very many header fields, sent ahead': senders,
	'small requests, sent ahead': senders,
	'requests with bodies of 64 KB, sent ahead': senders,
	'nothing at all': holders,
} as const satisfies Readonly<Partial<Record<keyof typeof behaviours, number>>>;

/** A behaviour whose requests name an organisation, as each request to these entries must. */
function withOrganisation({parts, ...rest}: Behaviour): Behaviour {
	return {
		...rest,
		parts: path => parts(path).map(part => Buffer.from(Buffer.from(part).toString('latin1').replaceAll('host: h.example\r\n', 'host: h.example\r\nx-organisation: crowd\r\n'), 'latin1')),
	};
}

// Guards against clients that end or fill an entry that is run by presets.
describe('clients that don\'t behave, at an entry with presets', () => {
	let small: SmallFleet;
	let target: Server;
	const inherited = {...process.env};

	before(async () => {
		Object.assign(process.env, environment);
		small = await startSmallFleet({
			long: {
				...testPreset, services: {...testPreset.services, long: {kind: 'plain', concurrency: 100, queueLimit: 1000}},
				routes: [...testPreset.routes, {
					methods: ['GET'], pathPrefix: '/long/', service: 'long', idempotent: true,
				}],
			},
		});
		target = createServer((_req, res) => {
			res.end(longAnswer);
		});
		target.listen(0, '127.0.0.1');
		await once(target, 'listening');
		const {port} = target.address() as AddressInfo;
		await small.fleet.startSidecar('long-1', 'salt-lake', {service: 'long', target: {...small.plainTargets[0], id: 'long', port}});
	});

	after(async () => {
		process.env = inherited;
		await small.fleet.stop();
		target.closeAllConnections();
		target.close();
	});

	const checkServes = async ({child, port, adminPort}: FleetProcess): Promise<void> => {
		const deadlineMs = performance.now() + waitMs;
		for (;;) {
			expect(child.signalCode ?? child.exitCode, 'how the process ended').to.equal(null);
			const isReady = await ask(adminPort, '/readyz');
			const response = await fetch(`http://127.0.0.1:${port}/ledger/x`, {
				method: 'POST', headers: {'x-organisation': 'ayamoni', connection: 'close'}, body: '{"order": "o"}', signal: AbortSignal.timeout(waitMs),
			}).catch(() => undefined);
			await response?.text().catch(() => undefined);
			if (isReady && response?.status === 200) {
				return;
			}

			expect(performance.now(), 'when no ordinary request had been answered').to.be.below(deadlineMs);
			await sleep(50);
		}
	};

	const countSockets = ({child}: FleetProcess): number => readdirSync(`/proc/${child.pid}/fd`).filter(name => {
		try {
			return readlinkSync(`/proc/${child.pid}/fd/${name}`).startsWith('socket:');
		} catch {
			return false;
		}
	}).length;

	const checkCrowd = async (name: keyof typeof behaviours, size: number, maxDescriptors = descriptors): Promise<void> => {
		process.env.PAPAYAFLOW_MAX_FDS = String(maxDescriptors);
		const entry = await small.fleet.startEntry(`crowded-${size}-${name.length}`, 'salt-lake');
		await checkServes(entry);
		const crowd = gatherCrowd({host: '127.0.0.1', port: entry.port, path: name === 'requests whose answers are not read' ? '/long/x' : '/ledger/x'}, size, withOrganisation(behaviours[name]));
		try {
			await crowd.sent;
			expect(countSockets(entry), 'sockets while the crowd is connected').to.be.at.most(maxDescriptors - fileDescriptors);
			await checkServes(entry);
		} finally {
			crowd.leave();
		}

		await checkServes(entry);
		const {groups} = /VmHWM:\s*(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${entry.child.pid}/status`, 'utf8'))!;
		expect(Number(groups!.kilobytes) / 1024, 'the most memory that the process has used, in megabytes').to.be.at.most(memoryMb);
		entry.child.kill('SIGKILL');
	};

	for (const name of Object.keys(crowds) as Array<keyof typeof crowds>) {
		it(`leave it to others: ${name}`, async () => {
			await checkCrowd(name, crowds[name]);
		}).timeout(60_000);
	}

	for (const name of roomyCrowds) {
		it(`leave it to others with many descriptors: ${name}`, async () => {
			await checkCrowd(name, roomyHolders, roomyDescriptors);
		}).timeout(60_000);
	}
});

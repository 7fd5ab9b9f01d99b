import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {startSite, type Site} from './site.js';

const callers = 20;

describe('an entry whose event loop was delayed', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 1, ranks: 3, plains: 3});
	});

	after(async () => {
		await site.stop();
	});

	const head = (service: string, id: string): string =>
		`GET /${service}/x HTTP/1.1\r\nhost: h.example\r\nx-request-id: ${id}\r\nx-deadline-ms: 300\r\n\r\n`;

	const openSockets = async (): Promise<readonly Socket[]> => Promise.all(Array.from({length: callers}, async () => {
		const socket = connect({host: '127.0.0.1', port: site.entries[0].port});
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return socket;
	}));

	const checkAbandoned = async (service: 'plain' | 'model', close: (socket: Socket) => void): Promise<void> => {
		const [entry] = site.entries;
		const kept = await openSockets();
		for (const [index, socket] of kept.entries()) {
			socket.write(head(service, `${service}-warm-${index}`));
		}

		await Promise.all(kept.map(async socket => once(socket, 'data')));
		await sleep(500);
		const targets = service === 'plain' ? site.plains : site.engines;
		for (const target of targets) {
			target.requestIds.clear();
		}

		entry.child.kill('SIGSTOP');
		const sockets = [...kept, ...await openSockets()];
		for (const [index, socket] of sockets.entries()) {
			socket.write(head(service, `${service}-left-${index}`));
		}

		await sleep(400);
		for (const socket of sockets) {
			close(socket);
		}

		await sleep(600);
		entry.child.kill('SIGCONT');
		await sleep(1000);
		const arrived = targets.flatMap(({requestIds}) => [...requestIds]).filter(id => id.includes('-left-'));
		expect(arrived, 'requests of callers that had left').to.deep.equal([]);
		expect((await site.call(entry, service)).status).to.equal(200);
	};

	// These guard against requests that an entry reads after a delay and sends on, although their callers have closed the connections meanwhile.
	it('sends no plain request of a caller that has closed its connection meanwhile', async () => {
		await checkAbandoned('plain', socket => socket.end());
	});

	it('sends no plain request of a caller that has reset its connection meanwhile', async () => {
		await checkAbandoned('plain', socket => socket.resetAndDestroy());
	});

	it('sends no generation of a caller that has closed its connection meanwhile', async () => {
		await checkAbandoned('model', socket => socket.end());
	});
});

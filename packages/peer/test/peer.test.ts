import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {
	followHosts, followPeer, handleFrame, openConnection, serveFrames, servePeer, type Frame, type Peer, type PeerEvents, type PeerOptions,
} from '@papayaflow/peer';

const optionsOf = (instance: string): PeerOptions => ({
	role: 'sidecar', instance, incarnation: 'x', zone: 'z', monotonicMs: () => performance.now(),
	async sleep(ms) {
		await sleep(ms);
	},
});

function recorder(isNear = true): {events: PeerEvents; log: string[]; peers: Peer[]} {
	const log: string[] = [];
	const peers: Peer[] = [];
	return {
		log,
		peers,
		events: {
			onUp(peer) {
				peers.push(peer);
				log.push(`up ${peer.hello.instance}`);
			},
			onFrame(_peer, frame) {
				log.push(frame.kind);
			},
			onDown(peer) {
				log.push(`down ${peer.hello.instance}`);
			},
			onFault(fault) {
				log.push(fault);
			},
			isNear: () => isNear,
		},
	};
}

describe('a connection between peers', () => {
	let server: Server;
	let sockets: Socket[];

	beforeEach(async () => {
		sockets = [];
		server = createServer(socket => sockets.push(socket));
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});

	const port = (): number => (server.address() as AddressInfo).port;

	it('greets, carries frames both ways and tells of its end', async () => {
		const [there, here] = [recorder(), recorder()];
		server.on('connection', socket => {
			void servePeer(socket, optionsOf('there'), there.events);
		});
		const link = new AbortController();
		void followPeer({address: '127.0.0.1', port: port()}, optionsOf('here'), here.events, link.signal);
		await sleep(60);
		here.peers[0].send({kind: 'ended', id: 'r'});
		there.peers[0].send({kind: 'known', changedAt: 3});
		await sleep(40);
		link.abort();
		await sleep(40);
		expect(there.log).to.deep.equal(['up here', 'ended', 'down here']);
		expect(here.log).to.deep.equal(['up there', 'known', 'down there']);
	});

	it('to each host of a list stands while the list names it', async () => {
		const [there, here] = [recorder(), recorder()];
		server.on('connection', socket => {
			void servePeer(socket, optionsOf('there'), there.events);
		});
		const ending = new AbortController();
		const follow = followHosts({
			port: port(), options: optionsOf('here'), events: here.events, signal: ending.signal,
		});
		follow(['127.0.0.1']);
		await sleep(60);
		follow(['127.0.0.1', '127.0.0.1']);
		await sleep(40);
		expect(here.log, 'one link').to.deep.equal(['up there']);
		follow([]);
		await sleep(300);
		expect(here.log, 'ended for good').to.deep.equal(['up there', 'down there']);
		ending.abort();
	});

	it('that falls silent is let go within about a second, and tried again', async () => {
		const here = recorder();
		server.on('connection', socket => {
			openConnection(socket).send({
				kind: 'hello', version: 1, role: 'sidecar', instance: 'mute', incarnation: 'x', zone: 'z', sentMs: 0,
			});
		});
		const link = new AbortController();
		void followPeer({address: '127.0.0.1', port: port()}, optionsOf('here'), here.events, link.signal);
		await sleep(1900);
		link.abort();
		expect(here.log.slice(0, 3)).to.deep.equal(['up mute', 'down mute', 'up mute']);
	});

	/** The beats that one end hears of the other within two seconds. */
	const beatsWithin2s = async (isHereNear: boolean, isThereNear: boolean): Promise<number> => {
		const here = recorder(isHereNear);
		let beats = 0;
		server.on('connection', socket => {
			const there = openConnection(socket);
			there.send({
				kind: 'hello', version: 1, role: 'sidecar', instance: 'there', incarnation: 'x', zone: 'z', sentMs: 0,
			});
			there.send({kind: 'alive', isNear: isThereNear, everyMs: 5000});
			void serveFrames(socket, frame => {
				beats += frame.kind === 'alive' ? 1 : 0;
			}, () => undefined);
		});
		const link = new AbortController();
		void followPeer({address: '127.0.0.1', port: port()}, optionsOf('here'), here.events, link.signal);
		await sleep(2100);
		link.abort();
		expect(here.log).to.deep.equal(['up there']);
		return beats;
	};

	it('is kept alive often where either end is near to the other', async () => {
		expect(await beatsWithin2s(false, true)).to.be.at.least(6);
	}).timeout(4000);

	it('is kept alive seldom where neither is, since beats are most of the work with hundreds of peers', async () => {
		expect(await beatsWithin2s(false, false)).to.be.at.most(3);
	}).timeout(4000);

	it('gives frames to their handlers, and says which have none', () => {
		const got: string[] = [];
		const handle = (frame: Frame): boolean => handleFrame({
			ended(_peer, {id}) {
				got.push(id);
			},
		}, undefined as unknown as Peer, frame);
		expect([handle({kind: 'ended', id: 'r'}), handle({kind: 'alive', isNear: true, everyMs: 250})]).to.deep.equal([true, false]);
		expect(got).to.deep.equal(['r']);
	});
});

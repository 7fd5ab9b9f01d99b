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
	createTicker, maintainHostLinks, maintainPeerLink, handleFrame, openConnection, serveFrames, servePeer, type Frame, type Peer, type PeerEvents, type PeerOptions,
} from '@papayaflow/peer';

const optionsOf = (instance: string, ticker = createTicker(fail)): PeerOptions => ({
	role: 'sidecar', instance, incarnation: 'x', zone: 'z', monotonicMs: () => performance.now(), ticker,
	async sleep(ms) {
		await sleep(ms);
	},
});

function createRecorder(isNear = true): {events: PeerEvents; log: string[]; peers: Peer[]} {
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
			onDown(peer, cause) {
				log.push(`down ${peer.hello.instance}, ${cause}`);
			},
			onFault(fault) {
				log.push(fault);
			},
			onError(error) {
				throw error;
			},
			isNear: () => isNear,
		},
	};
}

describe('peer link', () => {
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

	it('exchanges hello frames, carries frames in both directions and reports its end', async () => {
		const [there, here] = [createRecorder(), createRecorder()];
		server.on('connection', socket => {
			void servePeer(socket, optionsOf('there'), there.events);
		});
		const controller = new AbortController();
		void maintainPeerLink({address: '127.0.0.1', port: port()}, optionsOf('here'), here.events, controller.signal);
		await sleep(60);
		here.peers[0].send({kind: 'ended', id: 'r'});
		there.peers[0].send({kind: 'known', changedAt: 3});
		await sleep(40);
		controller.abort();
		await sleep(40);
		expect(there.log).to.deep.equal(['up here', 'ended', 'down here, closed']);
		expect(here.log).to.deep.equal(['up there', 'known', 'down there, closed']);
	});

	it('is opened once for each listed host and closed for good when the host is removed from the list', async () => {
		const [there, here] = [createRecorder(), createRecorder()];
		server.on('connection', socket => {
			void servePeer(socket, optionsOf('there'), there.events);
		});
		const controller = new AbortController();
		const setHosts = maintainHostLinks({
			port: port(), options: optionsOf('here'), events: here.events, signal: controller.signal,
		});
		setHosts(['127.0.0.1']);
		await sleep(60);
		setHosts(['127.0.0.1', '127.0.0.1']);
		await sleep(40);
		expect(here.log, 'one link for a host that is listed twice').to.deep.equal(['up there']);
		setHosts([]);
		await sleep(300);
		expect(here.log, 'no reconnection after the host is removed').to.deep.equal(['up there', 'down there, closed']);
		controller.abort();
	});

	/** Links to a peer that sends its `hello` frame and nothing after it. */
	const linkToMutePeer = (): {readonly log: readonly string[]; readonly controller: AbortController} => {
		const {log, events} = createRecorder();
		server.on('connection', socket => {
			openConnection(socket).send({
				kind: 'hello', version: 1, role: 'sidecar', instance: 'mute', incarnation: 'x', zone: 'z', sentMs: 0,
			});
		});
		const controller = new AbortController();
		void maintainPeerLink({address: '127.0.0.1', port: port()}, optionsOf('here'), events, controller.signal);
		return {log, controller};
	};

	it('is closed after about a second of silence and then opened again', async () => {
		const {log, controller} = linkToMutePeer();
		await sleep(1900);
		controller.abort();
		expect(log.slice(0, 3)).to.deep.equal(['up mute', 'down mute, silent', 'up mute']);
	});

	it('does not count as silent when this process was paused itself', async () => {
		const {log, controller} = linkToMutePeer();
		await sleep(100);
		for (const pauseEndMs = performance.now() + 1500; performance.now() < pauseEndMs;) {
			// Blocks the event loop.
		}

		await sleep(50);
		controller.abort();
		expect(log.slice(0, 2)).to.deep.equal(['up mute', 'down mute, closed']);
	}).timeout(4000);

	/** Counts the heartbeats that the server end receives within about two seconds. */
	const countHeartbeatsWithin2s = async (isHereNear: boolean, isThereNear: boolean, thereRole: Peer['hello']['role'] = 'sidecar'): Promise<number> => {
		const here = createRecorder(isHereNear);
		let heartbeats = 0;
		server.on('connection', socket => {
			const there = openConnection(socket);
			there.send({
				kind: 'hello', version: 1, role: thereRole, instance: 'there', incarnation: 'x', zone: 'z', sentMs: 0,
			});
			there.send({kind: 'alive', isNear: isThereNear, everyMs: 5000});
			void serveFrames(socket, frame => {
				heartbeats += frame.kind === 'alive' ? 1 : 0;
			}, () => undefined, fail);
		});
		const controller = new AbortController();
		void maintainPeerLink({address: '127.0.0.1', port: port()}, optionsOf('here'), here.events, controller.signal);
		await sleep(2100);
		controller.abort();
		expect(here.log).to.deep.equal(['up there']);
		return heartbeats;
	};

	it('sends heartbeats at the short interval if either end must detect a loss quickly', async () => {
		expect(await countHeartbeatsWithin2s(false, true)).to.be.at.least(6);
	}).timeout(4000);

	it('sends heartbeats at the long interval if neither end must detect a loss quickly', async () => {
		expect(await countHeartbeatsWithin2s(false, false)).to.be.at.most(3);
	}).timeout(4000);

	it('sends an entry no second heartbeat within two seconds if neither end must detect a loss quickly', async () => {
		expect(await countHeartbeatsWithin2s(false, false, 'entry')).to.equal(1);
	}).timeout(4000);

	// Guards against one timer for each connection, which woke an entry with 72 sidecars 288 times a second.
	it('has no heartbeat timer of its own', async () => {
		const checks = new Set<() => void>();
		const here = createRecorder();
		let heartbeats = 0;
		server.on('connection', socket => {
			void serveFrames(socket, frame => {
				heartbeats += frame.kind === 'alive' ? 1 : 0;
			}, () => undefined, fail);
			openConnection(socket).send({
				kind: 'hello', version: 1, role: 'sidecar', instance: 'there', incarnation: 'x', zone: 'z', sentMs: 0,
			});
		});
		const controller = new AbortController();
		void maintainPeerLink({address: '127.0.0.1', port: port()}, optionsOf('here', {
			add(check) {
				checks.add(check);
				return () => checks.delete(check);
			},
		}), here.events, controller.signal);
		await sleep(600);
		expect([checks.size, heartbeats], 'before a tick').to.deep.equal([1, 0]);
		for (const check of checks) {
			check();
		}

		await sleep(50);
		expect(heartbeats, 'after a tick').to.equal(1);
		controller.abort();
		await sleep(50);
		expect(checks.size, 'after the end').to.equal(0);
	});

	it('passes each frame to the handler of its kind and reports a frame without a handler', () => {
		const endedIds: string[] = [];
		const handle = (frame: Frame): boolean => handleFrame({
			ended(_peer, {id}) {
				endedIds.push(id);
			},
		}, undefined as unknown as Peer, frame);
		expect([handle({kind: 'ended', id: 'r'}), handle({kind: 'alive', isNear: true, everyMs: 250})]).to.deep.equal([true, false]);
		expect(endedIds).to.deep.equal(['r']);
	});
});

function fail(error: unknown): never {
	throw error;
}

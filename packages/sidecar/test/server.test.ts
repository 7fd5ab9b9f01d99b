import {once} from 'node:events';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createFollower} from '@papayaflow/config';
import {
	openConnection, openSocket, protocolVersion, serveFrames, type Connection, type Frame, createStrangers,
} from '@papayaflow/peer';
import {
	createContainment, createLog, createMetrics, type Metrics,
} from '@papayaflow/telemetry';
import {createPeerServer, type PeerServer} from '@papayaflow/sidecar';

type Client = {readonly connection: Connection; readonly frames: Frame[]};

async function startServer(): Promise<{peers: PeerServer; port: number; metrics: Metrics}> {
	const metrics = createMetrics();
	const peers = createPeerServer({
		strangers: createStrangers(8, () => undefined),
		instance: 's', incarnation: 'i', zone: 'z', follower: createFollower(), metrics, containment: createContainment({metrics, log: createLog({}, 'error')}),
		monotonicMs: () => performance.now(), load: () => ({
			outstandingTokens: 0, concurrency: 1, isBusy: false, queued: 0, running: 0, serviceMs: 0,
		}), isLeaving: () => true,
		async serve({attempt, send}) {
			await sleep(20);
			send({
				kind: 'refused', attempt, reason: 'wrongOwner', retryAfterMs: 0,
			});
		},
	});
	peers.server.listen(0, '127.0.0.1');
	await once(peers.server, 'listening');
	return {peers, port: (peers.server.address() as AddressInfo).port, metrics};
}

async function connect(port: number, role: 'entry' | 'sidecar'): Promise<Client> {
	const socket = await openSocket({address: '127.0.0.1', port}, 1000);
	const connection = openConnection(socket!);
	const frames: Frame[] = [];
	void serveFrames(socket!, frame => {
		frames.push(frame);
	}, () => undefined, error => {
		throw error;
	});
	connection.send({
		kind: 'hello', version: protocolVersion, role, instance: 'e', incarnation: 'e1', zone: 'z', sentMs: 0,
	});
	await sleep(20);
	return {connection, frames};
}

const request = (attempt: number): Frame => ({
	kind: 'request', attempt, incarnation: 'i', sentMs: 0, request: {
		service: 'ledger', method: 'POST', path: '/', headers: {}, body: new Uint8Array(0), organisation: 'o', priority: 5,
		requestId: 'r', idempotent: false, tokens: 1, key: 'pay-1', deadlineMs: 1000,
	},
});

describe('closeWhenAnswered', () => {
	it('answers requests that arrive while closing and resolves once the entries have disconnected', async () => {
		const {peers, port} = await startServer();
		const {connection, frames} = await connect(port, 'entry');
		await connect(port, 'sidecar');
		const closing = peers.closeWhenAnswered(1000);
		connection.send(request(7));
		while (!frames.some(frame => frame.kind === 'leaving' && frame.isClosing) || !frames.some(({kind}) => kind === 'refused')) {
			await sleep(5);
		}

		connection.close();
		expect(await closing).to.equal('closed');
		peers.server.close();
		peers.abortAll();
	});

	it('resolves after the timeout when an entry stays connected', async () => {
		const {peers, port} = await startServer();
		const {connection} = await connect(port, 'entry');
		expect(await peers.closeWhenAnswered(50)).to.equal('timedOut');
		connection.close();
		peers.server.close();
		peers.abortAll();
	});
});

describe('a server of peers', () => {
	// Guards against exceptions of a frame's handler that closed the connection without a trace in the log or the metrics.
	it('closes a connection whose frame it can\'t handle and reports the exception', async () => {
		const {peers, port, metrics} = await startServer();
		const socket = await openSocket({address: '127.0.0.1', port}, 1000);
		openConnection(socket!).send({kind: 'config'} as unknown as Frame);
		socket!.resume();
		await once(socket!, 'close');
		expect(await metrics.text()).to.match(/unforeseen_errors\w*\{place="frame"\} 1/v);
		peers.server.close();
		peers.abortAll();
	});
});

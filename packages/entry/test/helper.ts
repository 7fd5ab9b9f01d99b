import {once} from 'node:events';
import {createServer, type AddressInfo, type Server} from 'node:net';
import {createFollower, checkPreset, type Preset} from '@papayaflow/config';
import {
	openConnection, protocolVersion, serveFrames, type Connection, type Frame,
} from '@papayaflow/peer';
import {
	createContainment, createLog, createMetrics, type Metrics,
} from '@papayaflow/telemetry';
import {openLink, type Link} from '@papayaflow/entry';

export const {preset} = checkPreset({
	services: {model: {kind: 'model'}, ledger: {kind: 'plain'}}, retries: {baseBackoffMs: 1, maxBackoffMs: 1},
}) as {preset: Preset};

/** A fake sidecar that passes each request to the callback of a test. */
export type FakeSidecar = {
	readonly server: Server;
	readonly requests: Array<Extract<Frame, {kind: 'request'}>>;
	readonly frames: Frame[];
	connection(): Connection;
	stop(): void;
};

export async function startSidecar(answer: (frame: Extract<Frame, {kind: 'request'}>, connection: Connection) => void): Promise<FakeSidecar> {
	const requests: Array<Extract<Frame, {kind: 'request'}>> = [];
	const frames: Frame[] = [];
	let last: Connection | undefined;
	const server = createServer(socket => {
		const connection = openConnection(socket);
		last = connection;
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'sidecar', instance: 's', incarnation: 'i', zone: 'z', sentMs: 0,
		});
		void serveFrames(socket, frame => {
			frames.push(frame);
			if (frame.kind === 'request') {
				requests.push(frame);
				answer(frame, connection);
			}
		}, () => undefined, fail);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		server, requests, frames, connection: () => last!, stop() {
			server.close();
			last?.close();
		},
	};
}

export async function linkTo(sidecar: FakeSidecar, id = 'sidecar-1', metrics: Metrics = createMetrics()): Promise<Link> {
	const {port} = sidecar.server.address() as AddressInfo;
	const log = createLog({}, 'error');
	const link = openLink({
		id, service: 'model', zone: 'z', address: '127.0.0.1', port,
	}, {
		instance: 'e', incarnation: 'e1', zone: 'z', follower: createFollower(), metrics, log, containment: createContainment({metrics, log}),
		random: () => 0, monotonicMs: () => performance.now(), connectMs: () => 1000,
		ejection: () => ({ejectAfterFailures: 5, ejectMs: 1000, maxEjectedRatio: 0.5}),
	});
	await waitUntil(() => link.usable);
	return link;
}

function fail(error: unknown): never {
	throw error;
}

/** Waits up to one second for a condition and returns whether it holds. */
export async function waitUntil(condition: () => boolean): Promise<boolean> {
	for (let i = 0; i < 200 && !condition(); i++) {
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
	}

	return condition();
}

/** Sends a complete answer. */
export function answerWhole({attempt}: {readonly attempt: number}, connection: Connection, text = 'ok'): void {
	const bytes = new TextEncoder().encode(text);
	connection.send({
		kind: 'head', attempt, status: 200, headers: {},
	});
	connection.send({kind: 'data', attempt, bytes});
	connection.send({kind: 'end', attempt, length: bytes.length});
}

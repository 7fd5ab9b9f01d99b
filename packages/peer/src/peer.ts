import {type Socket} from 'node:net';
import {
	openConnection, openSocket, serveFrames, type Connection,
} from './connection.js';
import {protocolVersion, type Frame, type FrameFault} from './frame.js';

/** How often a peer shows that it lives where it has nothing else to say and the other waits for its answers, in milliseconds. */
const nearMs = 250;

/** The same where little depends on it: with hundreds of peers the beats would be most of the work. */
const farMs = 2000;

/** After how many beats that did not come a connection counts as dead. */
const beatsMissed = 4;

/** How long a connection may take to stand, in milliseconds. */
const connectMs = 500;

/** The pause before a peer that was lost is tried again, in milliseconds. */
const reconnectMs = 200;

type Hello = Extract<Frame, {kind: 'hello'}>;

/** The other end of a connection, once it has said who it is. */
export type Peer = {
	readonly hello: Hello;
	/** Its address, as `IP`. */
	readonly host: string;
	send(frame: Frame): void;
	close(): void;
};

export type PeerEvents = {
	onUp(peer: Peer): void;
	onFrame(peer: Peer, frame: Frame): void;
	onDown(peer: Peer): void;
	onFault(fault: FrameFault): void;
	/** Whether this end needs to know soon that the other one is gone; asked again and again. The other end keeps the same pace. */
	isNear(peer: Peer): boolean;
};

/** What a part of a process does with frames, by their kind; one without a handler is not for it. */
export type FrameHandlers = {readonly [K in Frame['kind']]?: (peer: Peer, frame: Extract<Frame, {kind: K}>) => void};

/** Gives a frame to its handler; `false` when there is none. */
export function handleFrame(handlers: FrameHandlers, peer: Peer, frame: Frame): boolean {
	const handler = handlers[frame.kind] as ((peer: Peer, frame: Frame) => void) | undefined;
	handler?.(peer, frame);
	return handler !== undefined;
}

export type PeerOptions = {
	readonly role: 'entry' | 'sidecar';
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
};

/**
Serves one connection from its greeting to its end. A peer that is silent for longer
than it promised is let go: a cut network says nothing by itself. That is a second
where either end is near to the other, else eight.

@example
createServer(socket => void servePeer(socket, options, events)).listen(7340);
*/
export async function servePeer(socket: Socket, options: PeerOptions, events: PeerEvents): Promise<void> {
	const connection = openConnection(socket);
	let heardMs = options.monotonicMs();
	let peer: Peer | undefined;
	connection.send({
		kind: 'hello', version: protocolVersion, role: options.role, instance: options.instance, incarnation: options.incarnation, zone: options.zone, sentMs: options.monotonicMs(),
	});
	let promisedMs = nearMs;
	let toldMs = heardMs;
	let theirs = {isNear: true, everyMs: nearMs};
	const beat = setInterval(() => {
		const now = options.monotonicMs();
		if (now - heardMs > beatsMissed * theirs.everyMs) {
			socket.destroy();
			return;
		}

		const isNear = peer === undefined || events.isNear(peer);
		const everyMs = isNear || theirs.isNear ? nearMs : farMs;
		if (everyMs !== promisedMs || now - toldMs >= everyMs - (nearMs / 2)) {
			promisedMs = everyMs;
			toldMs = now;
			connection.send({kind: 'alive', isNear, everyMs});
		}
	}, nearMs).unref();
	await serveFrames(socket, frame => {
		heardMs = options.monotonicMs();
		if (frame.kind === 'hello') {
			peer = peerOf(frame, socket, connection);
			events.onUp(peer);
		} else if (frame.kind === 'alive') {
			theirs = frame;
		} else if (peer) {
			events.onFrame(peer, frame);
		}
	}, events.onFault);
	clearInterval(beat);
	if (peer) {
		events.onDown(peer);
	}
}

/**
Keeps a connection to a peer until `signal` fires: connects, serves, and connects
again when it is lost.

@example
void followPeer({address: '10.1.0.42', port: 7340}, options, events, signal);
*/
export async function followPeer(at: {readonly address: string; readonly port: number}, options: PeerOptions, events: PeerEvents, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const socket = await openSocket(at, connectMs);
		if (socket) {
			const close = (): void => {
				socket.destroy();
			};

			signal.addEventListener('abort', close, {once: true});
			await servePeer(socket, options, events);
			signal.removeEventListener('abort', close);
		}

		await options.sleep(reconnectMs);
	}
}

function peerOf(hello: Hello, socket: Socket, connection: Connection): Peer {
	return {
		hello,
		host: socket.remoteAddress ?? '',
		send(frame) {
			connection.send(frame);
		},
		close() {
			socket.destroy();
		},
	};
}

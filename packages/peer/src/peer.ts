import {type Socket} from 'node:net';
import {
	openConnection, openSocket, serveFrames, type Connection,
} from './connection.js';
import {protocolVersion, type Frame, type FrameFault} from './frame.js';
import {type Strangers} from './strangers.js';
import {tickIntervalMs, type Ticker} from './ticker.js';

/** The heartbeat interval between sidecars otherwise. With hundreds of peers, short intervals would make heartbeats most of the work. */
const longHeartbeatIntervalMs = 2000;

/**
The heartbeat interval between an entry and a sidecar otherwise. There is such a connection for
each pair of them, and neither depends on most of the others, so most of what they say to each
other would be heartbeats. The probes of the operating system notice a lost machine earlier.
*/
const entryHeartbeatIntervalMs = 15_000;

/** The time without traffic after which the operating system probes a connection, in milliseconds. It gives up after ten probes, one a second. */
const probeDelayMs = 5000;

/** The number of missed heartbeats after which a connection counts as lost. */
const maxMissedHeartbeats = 4;

/** The longest time between two heartbeat checks, in short heartbeat intervals. After a longer time, this process counts as having been paused itself. */
const maxCheckDelayRatio = 2;

const connectTimeoutMs = 500;

/** The delay before the next attempt to connect after a connection was lost or refused. */
const reconnectDelayMs = 200;

type Hello = Extract<Frame, {kind: 'hello'}>;

/** The other end of a connection, known once its `hello` frame has arrived. */
export type Peer = {
	readonly hello: Hello;
	/** The IP address of the peer; empty if the socket no longer has it. */
	readonly host: string;
	send(frame: Frame): void;
	close(): void;
};

/**
Why a connection ended. `silent` means that nothing arrived from the peer for too long
while this process itself was running: the peer's machine may be frozen or cut off, and
its other processes with it.
*/
export type DownCause = 'closed' | 'silent';

export type PeerEvents = {
	onUp(peer: Peer): void;
	onFrame(peer: Peer, frame: Frame): void;
	onDown(peer: Peer, cause: DownCause): void;
	onFault(fault: FrameFault): void;
	/** Called with what another handler throws. The connection is then closed, so that both ends start from a fresh state. */
	onError(error: unknown): void;
	/** Returns whether this end must detect the loss of the peer quickly. Called periodically. If it returns true at either end, both ends send heartbeats at the short interval. */
	isNear(peer: Peer): boolean;
};

/** The handlers of one component for the frame kinds that it processes. */
export type FrameHandlers = {readonly [K in Frame['kind']]?: (peer: Peer, frame: Extract<Frame, {kind: K}>) => void};

/** Calls the handler for the kind of a frame. Returns `false` if there is none. */
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
	/** Calls the heartbeat checks of all connections of the process. */
	readonly ticker: Ticker;
	/** The accepted connections whose other end is not known yet. */
	readonly strangers?: Strangers;
};

/**
Serves one connection, from the exchange of `hello` frames until it ends. A network
partition causes no socket error, so the connection is closed if nothing arrives for
four of the peer's announced heartbeat intervals: one second if either end asks for
short intervals (`isNear`), else eight seconds between sidecars. Between an entry and a sidecar it is a
minute, and some fifteen seconds if the machine of the other end is gone, since the operating
system probes the connection.

@example
createServer(socket => void servePeer(socket, options, events)).listen(7340);
*/
export async function servePeer(socket: Socket, options: PeerOptions, events: PeerEvents): Promise<void> {
	const connection = openConnection(socket);
	socket.setKeepAlive(true, probeDelayMs);
	let lastReceivedMs = options.monotonicMs();
	let peer: Peer | undefined;
	connection.send({
		kind: 'hello', version: protocolVersion, role: options.role, instance: options.instance, incarnation: options.incarnation, zone: options.zone, sentMs: options.monotonicMs(),
	});
	let downCause: DownCause = 'closed';
	let lastCheckMs = lastReceivedMs;
	let announcedIntervalMs = tickIntervalMs;
	let lastHeartbeatMs = lastReceivedMs;
	let peerHeartbeat = {isNear: true, everyMs: tickIntervalMs};
	const stopHeartbeats = options.ticker.add(() => {
		const now = options.monotonicMs();
		const wasPaused = now - lastCheckMs > maxCheckDelayRatio * tickIntervalMs;
		lastCheckMs = now;
		if (now - lastReceivedMs > maxMissedHeartbeats * peerHeartbeat.everyMs) {
			downCause = wasPaused ? 'closed' : 'silent';
			socket.destroy();
			return;
		}

		const isNear = peer === undefined || events.isNear(peer);
		const farIntervalMs = options.role === 'entry' || peer?.hello.role === 'entry' ? entryHeartbeatIntervalMs : longHeartbeatIntervalMs;
		const everyMs = isNear || peerHeartbeat.isNear ? tickIntervalMs : farIntervalMs;
		if (everyMs !== announcedIntervalMs || now - lastHeartbeatMs >= everyMs - (tickIntervalMs / 2)) {
			announcedIntervalMs = everyMs;
			lastHeartbeatMs = now;
			connection.send({kind: 'alive', isNear, everyMs});
		}
	});
	await serveFrames(socket, frame => {
		lastReceivedMs = options.monotonicMs();
		if (frame.kind === 'hello') {
			options.strangers?.remove(socket);
			peer = createPeer(frame, socket, connection);
			events.onUp(peer);
		} else if (frame.kind === 'alive') {
			peerHeartbeat = frame;
		} else if (peer) {
			events.onFrame(peer, frame);
		}
	}, events.onFault, events.onError);
	stopHeartbeats();
	if (!peer) {
		return;
	}

	try {
		events.onDown(peer, wasProbedInVain(socket) ? 'silent' : downCause);
	} catch (error) {
		events.onError(error);
	}
}

/** Whether a connection ended because its other end did not answer the probes of the operating system. */
function wasProbedInVain({errored}: Socket): boolean {
	return (errored as NodeJS.ErrnoException | undefined)?.code === 'ETIMEDOUT';
}

/**
Maintains a connection to a peer until `signal` is aborted. Reconnects after a delay
whenever the connection is lost or can't be opened.

@example
void maintainPeerLink({address: '10.1.0.42', port: 7340}, options, events, signal);
*/
export async function maintainPeerLink(endpoint: {readonly address: string; readonly port: number}, options: PeerOptions, events: PeerEvents, signal: AbortSignal): Promise<void> {
	while (!signal.aborted) {
		const socket = await openSocket(endpoint, connectTimeoutMs);
		if (socket) {
			const close = (): void => {
				socket.destroy();
			};

			signal.addEventListener('abort', close, {once: true});
			await servePeer(socket, options, events);
			signal.removeEventListener('abort', close);
		}

		await options.sleep(reconnectDelayMs);
	}
}

function createPeer(hello: Hello, socket: Socket, connection: Connection): Peer {
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

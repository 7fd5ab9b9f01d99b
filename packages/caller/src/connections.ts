import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {Server as TcpServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** How long a connection without a request is left open while the server is closing, in milliseconds. A caller that has just got an answer, or has just connected, sends its next request within this time. */
const quietMs = 300;

/** How long a connection may take to send the rest of a request of which a part has arrived, in milliseconds. */
const partialRequestMs = 3000;

const pollMs = 20;

/** What is known of one connection. */
type ConnectionState = {
	/** The answers that have not been handed to the operating system as a whole. */
	readonly openAnswers: Set<ServerResponse>;
	/** The bytes that had arrived when the last request was complete; more of them are a part of the next one. */
	bytesOfRequests: number;
	bytesSeen: number;
	lastActiveMs: number;
};

/** The connections of callers to a server, from the moment at which they are accepted until they are closed. */
export type CallerConnections = {
	/** The number of open connections. */
	open(): number;
	/**
	Stops listening and closes each connection as soon as it is quiet: no request is being
	read or answered, no part of one has arrived, and nothing has happened on it for 0.3 s.
	Resolves when all connections are closed, so that no further request can arrive, or at
	`endsAtMs` on the monotonic clock; returns the number of connections that are still open.
	*/
	drain(endsAtMs: number): Promise<number>;
};

/**
Tracks the connections of a server. To be called before the server listens.

Load pattern: callers keep connections for many requests and use them until the process is
gone; a request may be in any state between its first byte and the last byte of its answer.

@example
const connections = trackConnections(server, () => performance.now());
const left = await connections.drain(performance.now() + 4000);
*/
export function trackConnections(server: Server, monotonicMs: () => number): CallerConnections {
	const states = new Map<Socket, ConnectionState>();
	let isDraining = false;
	server.on('connection', (socket: Socket) => {
		states.set(socket, {
			openAnswers: new Set(), bytesOfRequests: 0, bytesSeen: 0, lastActiveMs: monotonicMs(),
		});
		socket.once('close', () => {
			states.delete(socket);
		});
	});
	server.prependListener('request', ({socket}: IncomingMessage, res: ServerResponse) => {
		const state = states.get(socket);
		if (!state) {
			return;
		}

		state.openAnswers.add(res);
		if (isDraining) {
			closeAfter(res);
		}

		res.once('close', () => {
			state.openAnswers.delete(res);
			state.bytesOfRequests = socket.bytesRead;
			state.lastActiveMs = monotonicMs();
		});
	});

	const isQuiet = (socket: Socket, state: ConnectionState): boolean => {
		const now = monotonicMs();
		if (socket.bytesRead !== state.bytesSeen) {
			state.bytesSeen = socket.bytesRead;
			state.lastActiveMs = now;
		}

		const hasPartialRequest = socket.bytesRead !== state.bytesOfRequests;
		return state.openAnswers.size === 0 && now - state.lastActiveMs >= (hasPartialRequest ? partialRequestMs : quietMs);
	};

	return {
		open: () => states.size,
		async drain(endsAtMs) {
			isDraining = true;
			for (const {openAnswers} of states.values()) {
				for (const res of openAnswers) {
					closeAfter(res);
				}
			}

			if (server.listening) {
				// The method of the HTTP server also destroys connections on which a request may be arriving, and no longer checks for slow heads.
				TcpServer.prototype.close.call(server);
			}

			while (states.size > 0 && monotonicMs() < endsAtMs) {
				for (const [socket, state] of states) {
					if (isQuiet(socket, state)) {
						socket.destroy();
					}
				}

				await sleep(pollMs);
			}

			return states.size;
		},
	};
}

/** Tells the caller in the head of an answer that its connection is closed after it. An answer whose head has been sent is not affected. */
function closeAfter(res: ServerResponse): void {
	res.shouldKeepAlive = false;
}

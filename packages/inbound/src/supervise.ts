import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {paceReading, type PacedReader} from './paced-reader.js';

/**
Why a connection was closed: `dropped`, the rest of a request that was refused did not end; `ahead`, there was no room for what it had sent before it took its answers.
*/
export const closeReasons = ['dropped', 'ahead'] as const;
export type CloseReason = typeof closeReasons[number];

/** What all clients of a server together may hold. */
export type SupervisionLimits = {
	/** The most bytes that may have arrived ahead of their turn. */
	readonly maxAheadBytes: number;
};

export type SupervisionOptions = SupervisionLimits & {
	/** Returns the most bytes of a body that are read and dropped after its request was answered. */
	readonly maxDroppedBytes: () => number;
	/** Called for each connection that is closed because of what its client does. */
	readonly onClosed: (reason: CloseReason) => void;
};

/** What the clients of a server hold. */
export type Supervision = {
	/** The number of open connections. */
	connections(): number;
	/** The bytes that have arrived ahead of their turn. */
	aheadBytes(): number;
};

/**
Bounds what the clients of an HTTP server hold, whatever they send. To be called before the
server listens.

Load pattern: clients that send requests ahead, or bodies that are refused without end. Each
connection gets one request handled at a time.

@example
const server = createServer(handle);
superviseServer(server, {maxAheadBytes: 1_048_576, maxDroppedBytes: () => 1_048_576, onClosed: reason => metrics.count('closed', {reason})});
server.listen(8080, '127.0.0.1');
*/
export function superviseServer(server: Server, {maxAheadBytes, maxDroppedBytes, onClosed}: SupervisionOptions): Supervision {
	const connections = new Map<Socket, PacedReader>();
	let aheadBytes = 0;

	const reserveAhead = (change: number): boolean => {
		aheadBytes += change;
		return aheadBytes <= maxAheadBytes;
	};

	server.on('connection', (socket: Socket) => {
		connections.set(socket, paceReading(socket, {
			reserveAhead, maxDroppedBytes, onState: () => undefined, onClosing: onClosed,
		}));
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
		connections.get(req.socket)?.onRequest(req, res);
	});
	return {connections: () => connections.size, aheadBytes: () => aheadBytes};
}

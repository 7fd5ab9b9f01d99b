import {type IncomingMessage, type Server, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {
	chooseLargest, chooseVictim, type CloseReason, type Connection,
} from './connection-table.js';
import {paceReading, type PacedReader, type PacedReaderOptions} from './paced-reader.js';

/** How often the bytes that have arrived ahead of their turn are counted while there are some, in milliseconds. */
const aheadCheckMs = 100;

/** What all clients of a server together may hold. */
export type SupervisionLimits = {
	/** The most connections that are open at once. */
	readonly maxConnections: number;
	/** The most bytes that may have arrived ahead of their turn. */
	readonly maxAheadBytes: number;
	/** The most bytes that the heads of requests may take in memory until they have been answered, beyond the 4 KB of each that are a part of its connection. */
	readonly maxHeadBytes: number;
};

export type SupervisionOptions = SupervisionLimits & Pick<PacedReaderOptions, 'maxDroppedBytes'> & {
	readonly monotonicMs: () => number;
	/** Called for each connection that is closed because of what its client does. */
	readonly onClosed: (reason: CloseReason) => void;
};

/** What the clients of a server hold. */
export type Supervision = {
	/** The number of open connections. */
	connections(): number;
	/** The bytes that have arrived ahead of their turn. */
	aheadBytes(): number;
	/** What the heads of requests take in memory beyond what most heads do. */
	headBytes(): number;
};

/**
Bounds what the clients of an HTTP server hold, whatever they send. To be called before the
server listens.

Load pattern: many clients that open connections and say nothing, stop within a head or a
body, send requests ahead, send heads of very many fields, or do not read their answers. Each connection gets one request
handled at a time. Above `maxConnections`, the connection gives way that is the least likely to
be served; a connection whose request may be running never does.

@example
const server = createServer(handle);
superviseServer(server, {maxConnections: 64, maxAheadBytes: 1_048_576, maxHeadBytes: 1_048_576, maxDroppedBytes: () => 1_048_576, monotonicMs: () => performance.now(), onClosed: reason => metrics.count('closed', {reason})});
server.listen(8080, '127.0.0.1');
*/
export function superviseServer(server: Server, {maxConnections, maxAheadBytes, maxHeadBytes, maxDroppedBytes, monotonicMs, onClosed}: SupervisionOptions): Supervision {
	const connections = new Map<Socket, Connection>();
	let timer: NodeJS.Timeout | undefined;

	const sumOf = (bytesOf: (reader: PacedReader) => number): number => {
		let sum = 0;
		for (const {reader} of connections.values()) {
			sum += bytesOf(reader);
		}

		return sum;
	};

	const aheadBytes = (): number => sumOf(reader => reader.aheadBytes());
	const headBytes = (): number => sumOf(reader => reader.headBytes());

	/** Frees bytes that have arrived ahead of their turn if there are too many: those of the connections that hold the most, and more than an equal share. */
	const limitAhead = (): void => {
		// A socket that is paused reads once more, without an event.
		timer ??= setTimeout(() => {
			timer = undefined;
			if (aheadBytes() > 0) {
				limitAhead();
			}
		}, aheadCheckMs).unref();
		while (aheadBytes() > maxAheadBytes) {
			const largest = chooseLargest(connections.values(), maxAheadBytes / connections.size);
			if (!largest) {
				return;
			}

			largest.shed();
		}
	};

	/** Closes the connection of those given that is the least likely to be served; returns `false` if none can give way. */
	const closeOne = (candidates: Iterable<Connection>): boolean => {
		const victim = chooseVictim(candidates, monotonicMs());
		if (!victim) {
			return false;
		}

		onClosed(victim.reason);
		connections.delete(victim.connection.socket);
		victim.connection.socket.destroy();
		return true;
	};

	/** Makes room for the head that arrives on a connection; returns `false` if no other one with such a head can give way. */
	const makeRoomForHead = (arriving: Connection): boolean => {
		while (headBytes() > maxHeadBytes) {
			const others = [...connections.values()].filter(connection => connection !== arriving && connection.reader.headBytes() > 0);
			if (!closeOne(others)) {
				return false;
			}
		}

		return true;
	};

	server.on('connection', (socket: Socket) => {
		if (connections.size >= maxConnections && !closeOne(connections.values())) {
			onClosed('full');
			socket.destroy();
			return;
		}

		const reader = paceReading(socket, {
			maxDroppedBytes,
			onAhead: limitAhead,
			hasRoomForHead: () => makeRoomForHead(connection),
			onState() {
				connection.sinceMs = monotonicMs();
			},
			onClosing: onClosed,
		});
		const connection: Connection = {
			socket, reader, requests: 0, sinceMs: monotonicMs(),
		};
		connections.set(socket, connection);
		socket.once('close', () => {
			connections.delete(socket);
		});
	});
	server.prependListener('request', (req: IncomingMessage, res: ServerResponse) => {
		const connection = connections.get(req.socket);
		if (!connection) {
			return;
		}

		connection.requests++;
		connection.reader.onRequest(req, res);
	});
	return {connections: () => connections.size, aheadBytes, headBytes};
}

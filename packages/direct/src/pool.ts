import {type Socket} from 'node:net';
import {buildConnector, Client} from 'undici';

/** The idle timeout of a connection whose target states none, in milliseconds. It is below the usual 5 s of servers. */
const defaultIdleMs = 4000;

/** How long before the idle timeout stated by the target a connection is no longer reused, in milliseconds. */
const idleMarginMs = 1000;

/** One connection to a target. */
export type TargetConnection = {
	readonly client: Client;
	/**
	The state of the target's side: `ended` after it closed its side in order, `failed`
	after the connection broke. On a connection without keep-alive, undici takes both for
	the end of the response, even if the response is truncated.
	*/
	readonly remoteState: 'open' | 'ended' | 'failed';
	/** Whether the target has accepted the connection. */
	wasOpened(): boolean;
	/** The bytes received from the target so far, including those of heads and of the framing of bodies. */
	bytesRead(): number;
	/** Sets the function that is called when more bytes have arrived. */
	onReadable(listener: () => void): void;
};

/** The connections to one target, each used for one request at a time. */
export type Pool = {
	/**
	Takes a connection that has been idle for at most `maxIdleMs` milliseconds, or opens a
	new one. Return it with `release` if the exchange ended cleanly, with `reset` if it was
	cancelled, otherwise with `drop`.
	*/
	take(maxIdleMs: number): TargetConnection;
	release(connection: TargetConnection): void;
	drop(connection: TargetConnection): void;
	/** Closes a connection and discards the bytes that the target has not received yet. */
	reset(connection: TargetConnection): void;
	/** Closes the idle connections, for use after a connection to the same target has proved dead. */
	dropIdle(): void;
	/** The bytes of requests that the target has not taken from this process yet. */
	unsentBytes(): number;
	/** Closes the idle connections now, and each connection in use when it is returned. */
	close(): void;
	/** Keeps connections again after `close`. */
	reopen(): void;
};

export type PoolOptions = {
	readonly host: string;
	readonly port: number;
	/** The timeout for opening a connection, in milliseconds. */
	readonly connectMs: number;
	readonly nowMs: () => number;
};

/**
Creates the connection pool of one target. It reuses the most recently used connection
first, since that one is the most likely to be alive.

@example
const pool = createPool({host: '10.0.0.4', port: 8000, connectMs: 500, nowMs: () => performance.now()});
const connection = pool.take(1000);
*/
export function createPool({host, port, connectMs, nowMs}: PoolOptions): Pool {
	const idle: Array<{readonly connection: TargetConnection; readonly idleSinceMs: number}> = [];
	const destroyed = new WeakSet<TargetConnection>();
	const connect = buildConnector({timeout: connectMs, keepAlive: true});
	const sockets = new WeakMap<TargetConnection, Socket>();
	const openSockets = new Set<Socket>();
	let isClosed = false;

	const drop = (connection: TargetConnection): void => {
		if (!destroyed.has(connection)) {
			destroyed.add(connection);
			void connection.client.destroy();
		}
	};

	const openConnection = (): TargetConnection => {
		let notify: () => void = () => undefined;
		const connection: {-readonly [K in keyof TargetConnection]: TargetConnection[K]} = {
			remoteState: 'open',
			wasOpened: () => sockets.has(connection),
			bytesRead: () => sockets.get(connection)?.bytesRead ?? 0,
			onReadable(listener) {
				notify = listener;
			},
			client: new Client(`http://${host}:${port}`, {
				pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: defaultIdleMs, keepAliveTimeoutThreshold: idleMarginMs,
				connect(options, callback) {
					connect(options, (error, socket) => {
						// These listeners run before those of undici, so that the state is known before undici ends a response.
						socket?.once('end', () => {
							// Data and a reset that arrive together also raise `end`; after a reset the socket has no remote address.
							connection.remoteState = socket.remoteAddress === undefined ? 'failed' : 'ended';
						});
						socket?.once('error', () => {
							connection.remoteState = 'failed';
						});
						if (error) {
							callback(error, null);
						} else {
							sockets.set(connection, socket);
							openSockets.add(socket);
							socket.once('close', () => {
								openSockets.delete(socket);
							});
							socket.on('readable', () => {
								notify();
							});
							callback(null, socket);
						}
					});
				},
			}),
		};
		connection.client.on('disconnect', () => {
			const at = idle.findIndex(({connection: other}) => other === connection);
			if (at !== -1) {
				idle.splice(at, 1);
			}

			// Destroys the client, since it would reconnect by itself.
			drop(connection);
		});
		return connection;
	};

	const dropIdle = (): void => {
		for (const {connection} of idle.splice(0)) {
			drop(connection);
		}
	};

	return {
		take(maxIdleMs) {
			const last = idle.at(-1);
			if (last && nowMs() - last.idleSinceMs <= maxIdleMs) {
				idle.pop();
				return last.connection;
			}

			return openConnection();
		},
		release(connection) {
			// A target may answer before it has read the request. The rest of it would stay in memory with the idle connection, and ahead of the next request.
			const isUnsent = (sockets.get(connection)?.writableLength ?? 0) > 0;
			if (isClosed || isUnsent || connection.remoteState !== 'open' || destroyed.has(connection)) {
				drop(connection);
				return;
			}

			idle.push({connection, idleSinceMs: nowMs()});
		},
		drop,
		reset(connection) {
			const socket = sockets.get(connection);
			socket?.resetAndDestroy();
			// Without an error, undici takes the end of the connection for the end of an answer without a length, and its assertions fail because the request was cancelled.
			socket?.emit('error', new Error('connection reset after a cancelled request'));
			drop(connection);
		},
		dropIdle,
		unsentBytes: () => [...openSockets].reduce((sum, {writableLength}) => sum + writableLength, 0),
		close() {
			isClosed = true;
			dropIdle();
		},
		reopen() {
			isClosed = false;
		},
	};
}

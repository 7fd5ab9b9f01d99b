import {buildConnector, Client} from 'undici';

/** How long a connection that rests is kept where the target states no time, in milliseconds: under the usual 5 s of servers. */
const restMs = 4000;

/** How long before the stated end of its rest a connection is no longer used, in milliseconds. */
const restMarginMs = 1000;

/** One connection to a target. */
export type TargetConnection = {
	readonly client: Client;
	/**
	How the target's side stands: `ended` once it has sent all that it will, `failed`
	once the connection broke. The library takes both for the end of an answer on a
	connection that is not kept, whether or not the answer was whole.
	*/
	readonly far: 'open' | 'ended' | 'failed';
};

/** The connections to one target, each with one request at a time. */
export type Pool = {
	/**
	Takes a connection that was in use within `maxRestMs` (milliseconds), or a new one.
	Give it back with `release`, or `drop` it after anything but a clean end.
	*/
	take(maxRestMs: number): TargetConnection;
	release(connection: TargetConnection): void;
	drop(connection: TargetConnection): void;
	/** Closes the connections that rest, since one of their kind has proved dead. */
	dropResting(): void;
	/** Closes what rests, and each other connection as it is given back. */
	close(): void;
};

export type PoolOptions = {
	readonly host: string;
	readonly port: number;
	/** How long a connection may take to stand, in milliseconds. */
	readonly connectMs: number;
	readonly nowMs: () => number;
};

/**
Makes the connections to one target. The last one used is used first, since it is
the surest to be alive.

@example
const pool = createPool({host: '10.0.0.4', port: 8000, connectMs: 500, nowMs: () => performance.now()});
const connection = pool.take(1000);
*/
export function createPool({host, port, connectMs, nowMs}: PoolOptions): Pool {
	const resting: Array<{readonly connection: TargetConnection; readonly sinceMs: number}> = [];
	const dropped = new WeakSet<TargetConnection>();
	const connect = buildConnector({timeout: connectMs, keepAlive: true});
	let isClosed = false;

	const drop = (connection: TargetConnection): void => {
		if (!dropped.has(connection)) {
			dropped.add(connection);
			void connection.client.destroy();
		}
	};

	const open = (): TargetConnection => {
		const connection: {client: Client; far: TargetConnection['far']} = {
			far: 'open', client: new Client(`http://${host}:${port}`, {
				pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: restMs, keepAliveTimeoutThreshold: restMarginMs,
				connect(options, callback) {
					connect(options, (error, socket) => {
					// These come before the library's own listeners, so that they tell before it ends an answer.
						socket?.once('end', () => {
							// Data and a reset that come together look like an orderly end; a connection that was reset has no far end any more.
							connection.far = socket.remoteAddress === undefined ? 'failed' : 'ended';
						});
						socket?.once('error', () => {
							connection.far = 'failed';
						});
						if (error) {
							callback(error, null);
						} else {
							callback(null, socket);
						}
					});
				},
			}),
		};
		connection.client.on('disconnect', () => {
			const at = resting.findIndex(({connection: other}) => other === connection);
			if (at !== -1) {
				resting.splice(at, 1);
			}

			// A client would connect again by itself; one that lost its connection is not used again.
			drop(connection);
		});
		return connection;
	};

	const dropResting = (): void => {
		for (const {connection} of resting.splice(0)) {
			drop(connection);
		}
	};

	return {
		take(maxRestMs) {
			const last = resting.at(-1);
			if (last && nowMs() - last.sinceMs <= maxRestMs) {
				resting.pop();
				return last.connection;
			}

			return open();
		},
		release(connection) {
			if (isClosed || connection.far !== 'open' || dropped.has(connection)) {
				drop(connection);
				return;
			}

			resting.push({connection, sinceMs: nowMs()});
		},
		drop,
		dropResting,
		close() {
			isClosed = true;
			dropResting();
		},
	};
}

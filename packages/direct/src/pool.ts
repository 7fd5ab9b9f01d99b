import {Client} from 'undici';

/** How long a connection that rests is kept where the target states no time, in milliseconds: under the usual 5 s of servers. */
const restMs = 4000;

/** How long before the stated end of its rest a connection is no longer used, in milliseconds. */
const restMarginMs = 1000;

/** The connections to one target, each with one request at a time. */
export type Pool = {
	/**
	Takes a connection that was in use within `maxRestMs` (milliseconds), or a new one.
	Give it back with `release`, or `drop` it after anything but a clean end.
	*/
	take(maxRestMs: number): Client;
	release(client: Client): void;
	drop(client: Client): void;
	/** Closes the connections that rest, since one of their kind has proved dead. */
	dropResting(): void;
	/** Closes what rests, and each other connection as it is given back. */
	close(): void;
	/** Connections opened so far. */
	opened(): number;
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
const client = pool.take(1000);
*/
export function createPool({host, port, connectMs, nowMs}: PoolOptions): Pool {
	const resting: Array<{readonly client: Client; readonly sinceMs: number}> = [];
	const dropped = new WeakSet<Client>();
	let opened = 0;
	let isClosed = false;

	const drop = (client: Client): void => {
		if (!dropped.has(client)) {
			dropped.add(client);
			void client.destroy();
		}
	};

	const open = (): Client => {
		const client = new Client(`http://${host}:${port}`, {
			pipelining: 1, headersTimeout: 0, bodyTimeout: 0, keepAliveTimeout: restMs, keepAliveTimeoutThreshold: restMarginMs,
			connect: {timeout: connectMs, keepAlive: true},
		});
		opened++;
		client.on('disconnect', () => {
			const at = resting.findIndex(({client: other}) => other === client);
			if (at !== -1) {
				resting.splice(at, 1);
			}

			// A client would connect again by itself; one that lost its connection is not used again.
			drop(client);
		});
		return client;
	};

	const dropResting = (): void => {
		for (const {client} of resting.splice(0)) {
			drop(client);
		}
	};

	return {
		take(maxRestMs) {
			const last = resting.at(-1);
			if (last && nowMs() - last.sinceMs <= maxRestMs) {
				resting.pop();
				return last.client;
			}

			return open();
		},
		release(client) {
			if (isClosed || dropped.has(client)) {
				drop(client);
				return;
			}

			resting.push({client, sinceMs: nowMs()});
		},
		drop,
		dropResting,
		close() {
			isClosed = true;
			dropResting();
		},
		opened: () => opened,
	};
}

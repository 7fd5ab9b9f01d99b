import {type Socket} from 'node:net';
import {type PacedReader, type ReadingState} from './paced-reader.js';

/**
Why a connection was closed:

- `silent`, `head`: another one needed its place, and it had sent no whole request;
- `idle`: another one needed its place, and it had no request open;
- `body`: another one needed its place, and its body had been arriving for some time;
- `unread`: another one needed its place, and its answer had not been taken for some time;
- `dropped`: the rest of a request that was refused did not end;
- `ahead`: there was too little room for what all had sent before they took their answers, and it had sent the most;
- `heads`: there was no room for the head of its request, which was larger than most;
- `full`: it was new, and no other one could give way.
*/
export const closeReasons = ['silent', 'head', 'idle', 'body', 'unread', 'dropped', 'ahead', 'heads', 'full'] as const;
export type CloseReason = typeof closeReasons[number];

/** How long a body may arrive, or an answer be unread, before its connection may be closed for another one, in milliseconds. Most requests need less. */
const protectedMs = 1000;

/** One connection of a client. */
export type Connection = {
	readonly socket: Socket;
	readonly reader: PacedReader;
	/** The requests that it has sent so far. */
	requests: number;
	/** When its state last changed, or its present answer was written whole, in milliseconds of the monotonic clock. */
	sinceMs: number;
};

type Rank = {readonly order: number; readonly reason: CloseReason};

/** The order in which connections give way; `undefined` for one that must not, since its request may be running. */
function rankOf({reader, requests}: Connection, ageMs: number): Rank | undefined {
	const byState: Readonly<Record<ReadingState, Rank | undefined>> = {
		dropped: {order: 0, reason: 'dropped'},
		idle: requests === 0 ? {order: 0, reason: 'silent'} : {order: 1, reason: 'idle'},
		head: requests === 0 ? {order: 0, reason: 'head'} : {order: 1, reason: 'head'},
		body: ageMs >= protectedMs ? {order: 2, reason: 'body'} : undefined,
		answering: ageMs >= protectedMs && reader.isUnread() ? {order: 3, reason: 'unread'} : undefined,
	};
	return byState[reader.state];
}

/**
Returns the connection that gives way to a new one, and why: first those that have sent no whole
request or not the rest of a refused one, then idle ones, then bodies and answers that take
long; among equals the one that has been in its state for the longest. Returns `undefined` if
each of them may have a running request.

@example
chooseVictim(connections, performance.now())?.connection.socket.destroy();
*/
export function chooseVictim(connections: Iterable<Connection>, nowMs: number): {readonly connection: Connection; readonly reason: CloseReason} | undefined {
	let victim: {readonly connection: Connection; readonly rank: Rank} | undefined;
	for (const connection of connections) {
		const rank = rankOf(connection, nowMs - connection.sinceMs);
		if (rank && (!victim || rank.order < victim.rank.order || (rank.order === victim.rank.order && connection.sinceMs < victim.connection.sinceMs))) {
			victim = {connection, rank};
		}
	}

	return victim && {connection: victim.connection, reason: victim.rank.reason};
}

/**
Returns the reader that holds the most bytes ahead of their turn, of those that hold more than
`share` and can free some; `undefined` if there is none.

@example
chooseLargest(connections.values(), 65_536)?.shed();
*/
export function chooseLargest(connections: Iterable<Connection>, share: number): PacedReader | undefined {
	let largest: PacedReader | undefined;
	let mostBytes = share;
	for (const {reader} of connections) {
		const bytes = reader.aheadBytes();
		if (bytes > mostBytes && reader.canShed()) {
			largest = reader;
			mostBytes = bytes;
		}
	}

	return largest;
}

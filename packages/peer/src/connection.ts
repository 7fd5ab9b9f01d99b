import {connect, type Socket} from 'node:net';
import {
	encodeFrame, readFrames, type Frame, type FrameFault,
} from './frame.js';

/** The most bytes that may be buffered for sending to one peer. */
export const maxBacklogBytes = 33_554_432;

/** The most bytes that may be buffered for sending to all peers of one process. */
const maxTotalBacklogBytes = 67_108_864;

/** By how many bytes the backlog of a connection grows before those of all connections are added up again. */
const backlogStepBytes = 65_536;

/** Counts the bytes that the connections of a process buffer for peers that do not read. */
export type Backlogs = {
	/** Adds a connection until it is closed. The returned function is called before each frame. */
	open(socket: Socket): () => void;
	/** Returns the bytes buffered now for all peers. */
	bytes(): number;
};

/**
Creates the count of one process. Over the limit, the connections with the longest
backlogs are closed, so that many peers that do not read leave memory to the others.

@example
const backlogs = createBacklogs(67_108_864);
const checkBacklog = backlogs.open(socket);
*/
export function createBacklogs(maxTotalBytes: number): Backlogs {
	const sockets = new Set<Socket>();
	const bytes = (): number => [...sockets].reduce((sum, {writableLength}) => sum + writableLength, 0);
	const closeLongest = (): void => {
		let total = bytes();
		for (const socket of [...sockets].toSorted((a, b) => b.writableLength - a.writableLength)) {
			if (total <= maxTotalBytes) {
				return;
			}

			total -= socket.writableLength;
			sockets.delete(socket);
			socket.destroy();
		}
	};

	return {
		open(socket) {
			let checkedBytes = 0;
			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
			return () => {
				checkedBytes = Math.min(checkedBytes, socket.writableLength);
				if (socket.writableLength - checkedBytes < backlogStepBytes) {
					return;
				}

				checkedBytes = socket.writableLength;
				if (bytes() > maxTotalBytes) {
					closeLongest();
				}
			};
		},
		bytes,
	};
}

/** The count of this process. */
export const processBacklogs = createBacklogs(maxTotalBacklogBytes);

/** One end of a connection between two processes. */
export type Connection = {
	/**
	Sends a frame. Frames sent in one turn of the event loop go out in one write. If more
	than `maxBacklogBytes` are already buffered, it closes the connection instead. On a
	closed connection it does nothing.
	*/
	send(frame: Frame): void;
	close(): void;
	readonly closed: boolean;
};

/**
Wraps a socket for sending frames. Frames are collected until the end of the current
turn of the event loop, so that all tokens of one model step take a single write.

@example
const connection = openConnection(socket);
connection.send({kind: 'leaving'});
*/
export function openConnection(socket: Socket, backlogs: Backlogs = processBacklogs): Connection {
	socket.setNoDelay(true);
	const checkBacklog = backlogs.open(socket);
	socket.on('error', () => {
		socket.destroy();
	});
	let isCorked = false;
	return {
		send(frame) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			// A peer that stops reading, such as a frozen process, is disconnected before its backlog exhausts the memory of this process.
			if (socket.writableLength > maxBacklogBytes) {
				socket.destroy();
				return;
			}

			checkBacklog();
			if (socket.destroyed) {
				return;
			}

			if (!isCorked) {
				isCorked = true;
				socket.cork();
				setImmediate(() => {
					isCorked = false;
					socket.uncork();
				});
			}

			socket.write(encodeFrame(frame));
		},
		close() {
			socket.end();
			socket.destroySoon();
		},
		get closed() {
			return socket.destroyed;
		},
	};
}

/**
Connects to a peer by IP address. Resolves with `undefined` if the peer can't be
reached within `timeoutMs` milliseconds; without `timeoutMs` the operating system's
limit applies. Never rejects.

@example
const socket = await openSocket({address: '127.0.0.1', port: 9001}, 1000);
*/
export async function openSocket({address, port}: {readonly address: string; readonly port: number}, timeoutMs?: number): Promise<Socket | undefined> {
	return new Promise(resolve => {
		const socket = connect({host: address, port});
		const fail = (): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(undefined);
		};

		const timer = timeoutMs === undefined ? undefined : setTimeout(fail, timeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			resolve(socket);
		});
		socket.once('error', fail);
	});
}

/**
Serves a connection until it ends. Calls `onFrame` for each frame in order; calls
`onFault` for a frame that can't be read, or `onError` with what `onFrame` throws, and
then closes the socket. Resolves when the connection has ended; never rejects.
*/
export async function serveFrames(
	socket: Socket,
	onFrame: (frame: Frame) => void,
	onFault: (fault: FrameFault) => void,
	onError: (error: unknown) => void,
): Promise<void> {
	try {
		for await (const item of readFrames(socket)) {
			if (item.kind === 'fault') {
				onFault(item.fault);
				break;
			}

			try {
				onFrame(item);
			} catch (error) {
				onError(error);
				break;
			}
		}
	} catch {
		// A connection error is handled like an orderly close.
	}

	socket.destroy();
}

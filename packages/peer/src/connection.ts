import {connect, type Socket} from 'node:net';
import {
	encodeFrame, readFrames, type Frame, type FrameFault,
} from './frame.js';

/** What may wait to be sent to one peer, in bytes. */
export const maxBacklogBytes = 33_554_432;

/** One end of a connection between two processes. */
export type Connection = {
	/**
	Sends a frame; frames sent in one turn of the event loop leave in one write.
	Where more than `maxBacklogBytes` wait, the connection is closed instead.
	*/
	send(frame: Frame): void;
	close(): void;
	readonly closed: boolean;
};

/**
Wraps a socket. Frames are gathered until the end of the current turn, so that
the tokens of one step cost one write.

@example
const connection = openConnection(socket);
connection.send({kind: 'leaving'});
*/
export function openConnection(socket: Socket): Connection {
	socket.setNoDelay(true);
	socket.on('error', () => {
		socket.destroy();
	});
	let isCorked = false;
	return {
		send(frame) {
			if (socket.destroyed || !socket.writable) {
				return;
			}

			// A peer that reads nothing, such as a frozen one, is let go before it fills this process.
			if (socket.writableLength > maxBacklogBytes) {
				socket.destroy();
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
Connects to a peer by IP number. `undefined` when it can't be reached, or not
within `timeoutMs` (milliseconds); without one the system's own limit counts.

@example
const socket = await openSocket({address: '127.0.0.1', port: 9001}, 1000);
*/
export async function openSocket({address, port}: {readonly address: string; readonly port: number}, timeoutMs?: number): Promise<Socket | undefined> {
	return new Promise(resolve => {
		const socket = connect({host: address, port});
		const giveUp = (): void => {
			clearTimeout(timer);
			socket.destroy();
			resolve(undefined);
		};

		const timer = timeoutMs === undefined ? undefined : setTimeout(giveUp, timeoutMs);
		socket.once('connect', () => {
			clearTimeout(timer);
			resolve(socket);
		});
		socket.once('error', giveUp);
	});
}

/**
Serves a connection until it ends: calls `onFrame` for each frame in order and
`onFault` for one that can't be read, after which the socket is closed. Resolves
when the connection is gone; never rejects.
*/
export async function serveFrames(
	socket: Socket,
	onFrame: (frame: Frame) => void,
	onFault: (fault: FrameFault) => void,
): Promise<void> {
	try {
		for await (const item of readFrames(socket)) {
			if (item.kind === 'fault') {
				onFault(item.fault);
				break;
			}

			onFrame(item);
		}
	} catch {
		// A broken connection ends like a closed one.
	}

	socket.destroy();
}

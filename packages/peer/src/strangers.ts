import {type Socket} from 'node:net';

/** The connections that a process has accepted and that have not said who they are. */
export type Strangers = {
	/** Adds a connection; closes the oldest one if there are too many. */
	add(socket: Socket): void;
	/** To be called when a connection has said who it is. */
	remove(socket: Socket): void;
};

/**
Creates the set of such connections. A peer says who it is in its first frame; others may
connect to its port too, and must not take the descriptors that peers need.

@example
const strangers = createStrangers(64, () => metrics.count('strangers_closed'));
createServer(socket => strangers.add(socket)).listen(7340);
*/
export function createStrangers(maxStrangers: number, onClosed: () => void): Strangers {
	const sockets = new Set<Socket>();
	return {
		add(socket) {
			const [oldest] = sockets;
			if (sockets.size >= maxStrangers) {
				sockets.delete(oldest);
				onClosed();
				oldest.destroy();
			}

			sockets.add(socket);
			socket.once('close', () => {
				sockets.delete(socket);
			});
		},
		remove(socket) {
			sockets.delete(socket);
		},
	};
}

import {once} from 'node:events';
import {connect, createServer, type Socket} from 'node:net';
import {
	encodeFrame, openConnection, protocolVersion, serveFrames, type Frame,
} from '@papayaflow/peer';

/** Simulated peers of one process that count the bytes they exchange with it. */
export type FakePeers = {
	readonly port: number;
	connections(): number;
	/** Returns the bytes sent to and received from the process since the last call. */
	takeByteCount(): number;
	/** Sends a frame on every connection. */
	send(frame: Frame): void;
	stop(): void;
};

/**
Simulates any number of sidecars behind one port. `answer` is called with each
request frame and the socket to answer on.

@example
const peers = await fakeSidecars();
*/
export async function fakeSidecars(answer: (frame: Extract<Frame, {kind: 'request'}>, socket: Socket) => void = () => undefined): Promise<FakePeers> {
	const sockets = new Set<Socket>();
	let closedBytes = 0;
	let takenBytes = 0;
	const server = createServer(socket => {
		sockets.add(socket);
		const connection = openConnection(socket);
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'sidecar', instance: 's', incarnation: 'bench', zone: 'a', sentMs: performance.now(),
		});
		void serveFrames(socket, frame => {
			if (frame.kind === 'request') {
				answer(frame, socket);
			}
		}, () => undefined, fail).then(() => {
			closedBytes += socket.bytesRead + socket.bytesWritten;
			sockets.delete(socket);
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return {
		port: (server.address() as {port: number}).port,
		connections: () => sockets.size,
		takeByteCount() {
			const totalBytes = closedBytes + [...sockets].reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
			const newBytes = totalBytes - takenBytes;
			takenBytes = totalBytes;
			return newBytes;
		},
		send(frame) {
			for (const socket of sockets) {
				socket.write(encodeFrame(frame));
			}
		},
		stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}

/** Simulates `count` entries that are connected to the sidecar on `port`. */
export async function fakeEntries(port: number, count: number): Promise<FakePeers> {
	const sockets = await Promise.all(Array.from({length: count}, async (_, index) => {
		const socket = connect({host: '127.0.0.1', port});
		await once(socket, 'connect');
		const connection = openConnection(socket);
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'entry', instance: `entry-${index}`, incarnation: 'bench', zone: 'a', sentMs: performance.now(),
		});
		void serveFrames(socket, () => undefined, () => undefined, fail);
		return socket;
	}));
	let takenBytes = 0;
	return {
		port, connections: () => sockets.length,
		takeByteCount() {
			const totalBytes = sockets.reduce((sum, socket) => sum + socket.bytesRead + socket.bytesWritten, 0);
			const newBytes = totalBytes - takenBytes;
			takenBytes = totalBytes;
			return newBytes;
		},
		send(frame) {
			for (const socket of sockets) {
				socket.write(encodeFrame(frame));
			}
		},
		stop() {
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

function fail(error: unknown): never {
	throw error;
}

import {Buffer} from 'node:buffer';
import {connect, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** How many bytes a client hands to its connection at once. */
const sliceBytes = 65_536;

/** How long a crowd may go on sending, in milliseconds. A client whose bytes are no longer taken stops here and stays connected. */
const sendingMs = 4000;

/** How long a crowd stays after it has sent everything before it is looked at, in milliseconds, so that what it has sent is read and answered. */
const settlingMs = 1000;

/** The size from which on a crowd is a large one. */
const largeCrowd = 500;

/** What one client of a crowd sends. It reads no answers, or slowly. */
export type Behaviour = {
	/** The bytes that the client sends, one part after the other. */
	readonly parts: (path: string) => readonly Uint8Array[];
	/** The pause after each part, in milliseconds. */
	readonly pauseMs?: number;
	/** Whether the client closes its connection once it has sent everything, and connects again as often as this. */
	readonly reconnects?: number;
	/** How often the client reads a part of its answer, of up to 64 KB; never by default. */
	readonly readsPerSecond?: number;
	/** How long a large crowd stays before it is looked at, in milliseconds, if its requests take the process longer than others. */
	readonly staysMs?: number;
};

/** Many clients of one port that stay connected after they have sent what they send. */
export type Crowd = {
	/** Resolves some time after each client has sent everything, or is no longer listened to. */
	readonly sent: Promise<void>;
	leave(): void;
};

/** What a crowd connects to, and the path that its requests name. */
export type Place = {readonly host: string; readonly port: number; readonly path: string};

/** Opens `size` connections to a port on loopback, each of which behaves in the same way. */
export function gatherCrowd({host, port, path}: Place, size: number, {parts, pauseMs = 0, reconnects = 0, readsPerSecond = 0, staysMs = settlingMs}: Behaviour): Crowd {
	const sockets = new Set<Socket>();
	const bytes = parts(path);
	const endsAtMs = performance.now() + sendingMs;
	let hasLeft = false;

	const open = async (): Promise<Socket> => {
		const socket = connect({host, port});
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.once('close', () => {
			sockets.delete(socket);
		});
		socket.pause();
		if (readsPerSecond > 0) {
			readSlowly(socket, readsPerSecond);
		}

		await changeOf(socket, 'connect');
		return socket;
	};

	const sendPart = async (socket: Socket, part: Uint8Array): Promise<void> => {
		for (let at = 0; at < part.length && isSending(socket); at += sliceBytes) {
			if (!socket.write(part.subarray(at, at + sliceBytes))) {
				await changeOf(socket, 'drain');
			}
		}
	};

	/** Waits for an event of a connection, its end or the end of the sending. */
	const changeOf = async (socket: Socket, event: string): Promise<void> => new Promise(resolve => {
		const settle = (): void => {
			clearTimeout(timer);
			socket.off(event, settle);
			socket.off('close', settle);
			resolve();
		};

		const timer = setTimeout(settle, Math.max(0, endsAtMs - performance.now()));
		socket.on(event, settle);
		socket.on('close', settle);
	});

	const isSending = (socket: Socket): boolean => !socket.destroyed && !hasLeft && performance.now() < endsAtMs;

	const behave = async (): Promise<void> => {
		for (let round = 0; round <= reconnects && performance.now() < endsAtMs && !hasLeft; round++) {
			const socket = await open();
			for (const part of bytes) {
				await sendPart(socket, part);
				if (pauseMs > 0 && isSending(socket)) {
					await sleep(pauseMs);
				}
			}

			if (reconnects > 0) {
				socket.destroy();
			}
		}
	};

	return {
		sent: Promise.all(Array.from({length: size}, behave)).then(async () => sleep(size >= largeCrowd ? staysMs : settlingMs)),
		leave() {
			hasLeft = true;
			for (const socket of sockets) {
				socket.destroy();
			}
		},
	};
}

/** Reads what a connection has received a part at a time. */
function readSlowly(socket: Socket, readsPerSecond: number): void {
	socket.on('data', () => {
		socket.pause();
	});
	const timer = setInterval(() => {
		socket.resume();
	}, 1000 / readsPerSecond);
	socket.once('close', () => {
		clearInterval(timer);
	});
}

/** Returns the head of a request; `fields` are further header lines. */
export function headOf(path: string, fields = '', method = 'POST', deadlineMs = 3000): string {
	return `${method} ${path} HTTP/1.1\r\nhost: h.example\r\nx-request-id: crowd\r\nx-deadline-ms: ${deadlineMs}\r\n${fields}\r\n`;
}

const longBodyBytes = 4_000_000;

/** Below the limit of presets, which is 1 MB. */
const presetBodyBytes = 900_000;
const chunkCount = 200_000;
const fieldCount = 1800;
const mebibyte = 1_048_576;

/** The deadline of requests that are to be running while the crowd is looked at, and how long it takes until they are in a large crowd, in milliseconds. */
const longDeadlineMs = 30_000;
const longStayMs = 5000;

const bytesOf = (text: string): Uint8Array => Buffer.from(text);

/** 64 KB in one chunk of a body. */
const longChunk = `10000\r\n${'a'.repeat(65_536)}\r\n`;

/** The head fields of a legal request with as many of them as fit into 16 KB. */
export const manyFields = Array.from({length: fieldCount}, (_, index) => `${(index + (36 ** 2)).toString(36)}:1\r\n`).join('');

/** The chunks of a body that comes one byte at a time; without the last chunk. */
export const tinyChunks = '1\r\na\r\n'.repeat(chunkCount);

/** The length of the longest frame that an unknown peer may send, as its first bytes. */
const frameBytes = 65_536;
const frameHead = Buffer.from([0, 1, 0, 0]);

/** The ways in which clients of a crowd misbehave. */
export const behaviours = {
	'bodies that stop short of their end': {
		parts: path => [bytesOf(headOf(path, `content-length: ${longBodyBytes}\r\n`)), Buffer.alloc(longBodyBytes - 1, 'a')],
	},
	'bodies of 900 KB that stop short of their end': {
		parts: path => [bytesOf(headOf(path, `content-length: ${presetBodyBytes}\r\n`)), Buffer.alloc(presetBodyBytes - 1, 'a')],
	},
	'bodies in chunks of 64 KB that stop short of their end': {
		parts: path => [bytesOf(headOf(path, 'transfer-encoding: chunked\r\n')), bytesOf(longChunk.repeat(Math.floor(longBodyBytes / 65_536)))],
	},
	'bodies in chunks of one byte that stop short of their end': {
		parts: path => [bytesOf(headOf(path, 'transfer-encoding: chunked\r\n')), bytesOf(tinyChunks)],
	},
	'bodies far over the limit': {
		parts: path => [bytesOf(headOf(path, 'transfer-encoding: chunked\r\n')), bytesOf(longChunk.repeat(16 * mebibyte / 65_536))],
	},
	'requests of very many header fields, sent ahead': {
		parts: path => [bytesOf(headOf(path, manyFields, 'GET').repeat(200))],
	},
	'small requests, sent ahead': {
		parts: path => [bytesOf(headOf(path, '', 'GET').repeat(20_000))],
	},
	'requests with bodies of 64 KB, sent ahead': {
		parts: path => [bytesOf(`${headOf(path, 'content-length: 65536\r\n')}${'a'.repeat(65_536)}`.repeat(60))],
	},
	'small requests, sent ahead on one connection after the other': {
		parts: path => [bytesOf(headOf(path, '', 'GET').repeat(2000))], reconnects: 20,
	},
	'requests whose answers are not read': {
		parts: path => [bytesOf(headOf(path, '', 'GET'))],
	},
	'requests whose answers are read slowly': {
		parts: path => [bytesOf(headOf(path, '', 'GET', longDeadlineMs))], readsPerSecond: 10, staysMs: longStayMs,
	},
	'nothing at all': {
		parts: () => [],
	},
	'heads that stop half-way': {
		parts: path => [bytesOf(headOf(path, `a: ${'a'.repeat(8000)}`, 'GET').slice(0, -4))],
	},
	'heads of very many fields that stop half-way': {
		parts: path => [bytesOf(headOf(path, manyFields, 'GET').slice(0, -2))], staysMs: longStayMs,
	},
	'requests of very many header fields that run for long': {
		parts: path => [bytesOf(headOf(path, manyFields, 'GET', longDeadlineMs))], staysMs: longStayMs,
	},
	'bodies with very many trailer fields that run for long': {
		parts: path => [bytesOf(`${headOf(path, 'transfer-encoding: chunked\r\n', 'POST', longDeadlineMs)}1\r\na\r\n0\r\n${manyFields}\r\n`)], staysMs: longStayMs,
	},
	'heads that never end': {
		parts: path => [bytesOf(headOf(path, '', 'GET').slice(0, -2)), ...Array.from({length: 400}, () => bytesOf(`a:${'a'.repeat(1000)}\r\n`))], pauseMs: 1,
	},
	'frames that stop half-way': {
		parts: () => [Buffer.concat([frameHead, Buffer.alloc(frameBytes - 1)])],
	},
	'frames that can\'t be read': {
		parts: () => [Buffer.concat([frameHead, Buffer.alloc(frameBytes, 0xFF)])], reconnects: 20,
	},
	'bodies a byte at a time': {
		parts: path => [bytesOf(headOf(path, `content-length: ${longBodyBytes}\r\n`)), ...Array.from({length: 100}, () => bytesOf('a'))], pauseMs: 20,
	},
} as const satisfies Readonly<Record<string, Behaviour>>;

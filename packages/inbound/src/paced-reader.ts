import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';
import {onBuffersAllocated} from './buffer-collector.js';
import {findLinesEnd, openLineOf, type OpenLine} from './lines.js';

/** The most lines of heads and chunked bodies that one connection gets parsed in one turn of the event loop. The parser's work grows with them, since each field and each chunk has a line. */
const linesPerTurn = 256;

/** The most bytes of a refused body that are read and dropped if the server does not know how long a body may be. */
const defaultDroppedBytes = 1_048_576;

/** How long the rest of a request that has been answered may take to arrive, in milliseconds. */
const droppingMs = 5000;

/** How long a connection stays open after its last answer, in milliseconds: long enough for the answer to arrive. */
const lingerMs = 1000;

/** How often the bytes of a body are allocated on their way to its reader: when they are read, and again by the parser. */
const copiesOfBytes = 2;

/** What a line of a head takes in memory beside its bytes. */
const lineBytes = 64;

/** What the head of most requests takes in memory, in bytes. It counts as a part of its connection. */
const ordinaryHeadBytes = 4096;

/** The answer to a request whose head is not read to its end. */
const headRefusal = 'HTTP/1.1 503 Service Unavailable\r\nretry-after: 1\r\nconnection: close\r\ncontent-length: 0\r\n\r\n';

const nothing = new Uint8Array();

type ClosingReason = 'ahead' | 'dropped' | 'heads';

/** What arrives on a connection, or is answered. */
export type ReadingState
	/** No part of a request has arrived since the last one was answered. */
	= | 'idle'
		/** A part of a head has arrived. */
		| 'head'
		/** The head has arrived, and not the whole body. */
		| 'body'
		/** The request has been answered, and its body has not arrived whole. */
		| 'dropped'
		/** A whole request has arrived and is being answered. */
		| 'answering';

export type PacedReader = {
	readonly state: ReadingState;
	/** The bytes that have arrived ahead of their turn. */
	aheadBytes(): number;
	/** What the head of the present request takes in memory, until it has been answered, beyond what most heads do. */
	headBytes(): number;
	/** Whether an answer has been written and not been taken whole. */
	isUnread(): boolean;
	/** Whether `shed` can still free bytes. */
	canShed(): boolean;
	/** Drops what has arrived ahead of its turn, and closes the connection: after its present answer, or at once if it has been answered or a part of its present body is dropped. */
	shed(): void;
	/** To be called with each request that the HTTP server emits for this connection. */
	onRequest(req: IncomingMessage, res: ServerResponse): void;
};

export type PacedReaderOptions = {
	/** Called when more bytes have arrived ahead of their turn. */
	readonly onAhead: () => void;
	/** Called when the head of a request takes more than most heads do, and with each further part of it; returns `false` if there is no room for it. */
	readonly hasRoomForHead: () => boolean;
	/** Returns the most bytes of a body that are read and dropped after its request was answered; `undefined` if the server does not know how long a body may be, for 1 MB. */
	readonly maxDroppedBytes: () => number | undefined;
	/** Called when the state changes, and when an answer has been written whole. */
	readonly onState: () => void;
	/** Called when the connection is closed because there is no room for a head or for what it has sent ahead, or because the rest of a refused request does not end. */
	readonly onClosing: (reason: ClosingReason) => void;
};

/**
Stands between a connection and the parser of Node's HTTP server, and hands over one
request at a time: the next one is parsed when the answer to this one has been taken by the
operating system. Until then its bytes wait, most of them outside of this process, since the
connection is not read. By itself, Node.js parses all requests that arrive together, each with
the objects of its head and its answer.

Bytes are handed over up to the end of a head or a body. Where neither a length nor an empty
line tells where that is, a second request may be parsed early; more can't.

@example
server.on('connection', socket => {
	const reader = paceReading(socket, options);
});
*/
export function paceReading(socket: Socket, {onAhead, hasRoomForHead, maxDroppedBytes, onState, onClosing}: PacedReaderOptions): PacedReader {
	// The parser's listener is the only one on a connection that the server has just accepted.
	const [parse] = socket.listeners('data');
	let ahead: Uint8Array = nothing;
	let openLine: OpenLine = 'nothing';
	let latest: {readonly req: IncomingMessage; bodyBytesLeft: number | undefined} | undefined;
	const openAnswers = new Set<ServerResponse>();
	let droppedBytes = 0;
	let isClosing = false;
	let isHeld = false;
	let turnLines = 0;
	let nextLines = 0;
	let headCost = 0;
	let isTurnScheduled = false;
	let state: ReadingState = 'idle';

	const currentState = (): ReadingState => {
		if (latest && !latest.req.complete) {
			return openAnswers.size > 0 ? 'body' : 'dropped';
		}

		if (openAnswers.size > 0) {
			return 'answering';
		}

		return state === 'head' ? 'head' : 'idle';
	};

	const setState = (next: ReadingState): void => {
		if (next !== state) {
			state = next;
			onState();
		}
	};

	const updateState = (): void => {
		setState(currentState());
		if (state === 'idle') {
			// The listeners of a request that is done hold its body.
			latest = undefined;
			headCost = 0;
		}
	};

	/** Lets others know that bytes have to wait. */
	const reportAhead = (): void => {
		// A view keeps the whole buffer of its read in memory.
		if (ahead.length < ahead.buffer.byteLength / 2) {
			ahead = Buffer.concat([ahead]);
		}

		if (ahead.length > 0) {
			onAhead();
		}
	};

	const hold = (): void => {
		isHeld = true;
		socket.pause();
	};

	const resume = (): void => {
		// A connection that the HTTP server has paused itself is resumed by it.
		if (isHeld) {
			isHeld = false;
			socket.resume();
		}
	};

	/** Reads nothing more, and closes the connection when what has been answered may have arrived. */
	const close = (reason: ClosingReason): void => {
		isClosing = true;
		onClosing(reason);
		ahead = nothing;
		hold();
		if (openAnswers.size === 0) {
			if (reason === 'heads') {
				socket.write(headRefusal);
			}

			socket.end();
		}
	};

	/** Returns how many bytes to hand over next; 0 to wait. */
	const nextLength = (): number => {
		if (state === 'answering') {
			return 0;
		}

		if (latest?.bodyBytesLeft !== undefined && !latest.req.complete) {
			return Math.min(ahead.length, Math.max(1, latest.bodyBytesLeft));
		}

		if (turnLines >= linesPerTurn) {
			return 0;
		}

		const {end, lines} = findLinesEnd(ahead, openLine, linesPerTurn - turnLines);
		turnLines += Math.max(1, lines);
		nextLines = lines;
		return end;
	};

	/** Lets go of the fields after a body in chunks, which nobody reads. */
	const dropTrailers = (): void => {
		if (latest?.req.complete && latest.req.rawTrailers.length > 0) {
			latest.req.rawTrailers = [];
			latest.req.trailers = {};
		}
	};

	const handOver = (bytes: Uint8Array): void => {
		if (state === 'idle') {
			setState('head');
		}

		if (state === 'head') {
			headCost += bytes.length + (nextLines * lineBytes);
			if (headCost > ordinaryHeadBytes && !hasRoomForHead()) {
				close('heads');
				return;
			}
		}

		if (state === 'dropped') {
			droppedBytes += bytes.length;
		}

		if (latest?.bodyBytesLeft !== undefined) {
			latest.bodyBytesLeft -= bytes.length;
		}

		openLine = openLineOf(bytes, openLine);
		Reflect.apply(parse, socket, [bytes]);
		dropTrailers();
		updateState();
	};

	const advance = (): void => {
		// The HTTP server pauses a connection whose body is not consumed, and its parser takes nothing meanwhile.
		const isPausedByServer = socket.isPaused() && !isHeld;
		while (ahead.length > 0 && !isPausedByServer) {
			const length = nextLength();
			if (length === 0) {
				hold();
				if (state !== 'answering') {
					scheduleTurn();
				}

				return;
			}

			const bytes = ahead.subarray(0, length);
			ahead = ahead.subarray(length);
			handOver(bytes);
			if (socket.destroyed || !socket.writable) {
				ahead = nothing;
				return;
			}

			if (state === 'dropped' && droppedBytes > (maxDroppedBytes() ?? defaultDroppedBytes)) {
				close('dropped');
				return;
			}

			if (socket.isPaused() && !isHeld) {
				return;
			}
		}

		if (!isPausedByServer) {
			resume();
		}
	};

	const startTurn = (): void => {
		isTurnScheduled = false;
		turnLines = 0;
		if (!isClosing && !socket.destroyed) {
			advance();
			reportAhead();
		}
	};

	const scheduleTurn = (): void => {
		if (!isTurnScheduled) {
			isTurnScheduled = true;
			setImmediate(startTurn);
		}
	};

	const onData = (bytes: Uint8Array): void => {
		if (isClosing || !socket.writable) {
			socket.pause();
			return;
		}

		onBuffersAllocated(copiesOfBytes * bytes.length);
		ahead = ahead.length === 0 ? bytes : Buffer.concat([ahead, bytes]);
		advance();
		reportAhead();
	};

	const onAnswered = (res: ServerResponse): void => {
		openAnswers.delete(res);
		updateState();
		if (socket.destroyed) {
			return;
		}

		if (isClosing) {
			socket.end();
			return;
		}

		if (state === 'dropped') {
			setTimeout(() => {
				if (state === 'dropped' && !isClosing && !socket.destroyed) {
					close('dropped');
				}
			}, droppingMs).unref();
		}

		scheduleTurn();
	};

	socket.removeAllListeners('data');
	socket.on('data', onData);
	socket.on('resume', () => {
		if (ahead.length > 0 && !isClosing) {
			advance();
			reportAhead();
		}
	});
	socket.once('finish', () => {
		setTimeout(() => {
			socket.destroy();
		}, lingerMs).unref();
	});
	socket.once('close', () => {
		ahead = nothing;
		latest = undefined;
		headCost = 0;
	});
	return {
		get state() {
			return state;
		},
		// A socket that is paused reads once more, into its own buffer.
		aheadBytes: () => ahead.length + socket.readableLength,
		canShed: () => !isClosing || (openAnswers.size === 0 && !socket.destroyed),
		shed() {
			if (isClosing) {
				socket.destroy();
				return;
			}

			const dropsBody = state === 'body';
			close('ahead');
			if (dropsBody) {
				socket.destroy();
			}
		},
		headBytes: () => Math.max(0, headCost - ordinaryHeadBytes),
		isUnread: () => [...openAnswers].some(({writableEnded, writableFinished}) => writableEnded && !writableFinished),
		onRequest(req, res) {
			const length = req.headers['content-length'];
			latest = {req, bodyBytesLeft: length === undefined ? undefined : Number(length)};
			openAnswers.add(res);
			droppedBytes = 0;
			// From here on, what keeps the answer is its reader.
			res.once('prefinish', onState);
			res.once('close', () => {
				onAnswered(res);
			});
		},
	};
}

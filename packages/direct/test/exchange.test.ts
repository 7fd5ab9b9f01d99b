import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type AddressInfo, type Server, type Socket,
} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {type Dialect} from '../src/dialect.js';
import {exchange} from '../src/exchange.js';
import {createPool, type Pool} from '../src/pool.js';

const dialect: Dialect = {
	readCaller: () => ({
		requestId: undefined, deadlineMs: undefined, key: undefined, generation: undefined, sharedParts: [], lastEventId: undefined,
	}),
	targetHeaders: () => [],
	readAnswer: () => ({
		requestId: 'r-1', isSealed: true, isNotRun: false, isMisdirected: false, culprit: undefined, isEncoded: false, limit: {kind: 'none'}, pause: {kind: 'none'}, leaving: {kind: 'no'},
	}),
};

describe('exchange', () => {
	let server: Server;
	let pool: Pool;
	let accepted: Promise<Socket>;

	beforeEach(async () => {
		server = createServer({pauseOnConnect: true});
		accepted = new Promise(resolve => {
			server.once('connection', resolve);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		pool = createPool({
			host: '127.0.0.1', port: (server.address() as AddressInfo).port, connectMs: 500, nowMs: () => performance.now(),
		});
	});

	afterEach(() => {
		pool.close();
		server.close();
	});

	// Guards against requests that reach a target after their callers have left, because their bytes were still queued on a slow link when they were cancelled.
	it('discards the bytes of a cancelled request that are still on their way', async () => {
		const cancelling = new AbortController();
		const body = Buffer.alloc(4_000_000);
		const exchanged = exchange(pool, {
			requestId: 'r-1', method: 'POST', path: '/', headers: [], body,
		}, {head: () => undefined, data: () => true}, {
			dialect, maxIdleMs: 0, signal: cancelling.signal, mayStart: () => true, onSent: () => undefined, onAnswer: () => undefined,
		});
		const socket = await accepted;
		await sleep(50);
		cancelling.abort('callerGone');
		expect(await exchanged).to.deep.equal({kind: 'broken', reason: 'cancelled', detail: 'callerGone'});
		await sleep(50);
		let receivedBytes = 0;
		socket.on('error', () => undefined);
		socket.on('data', chunk => {
			receivedBytes += chunk.length;
		});
		socket.resume();
		await once(socket, 'close');
		expect(receivedBytes).to.be.lessThan(body.length / 2);
	});

	// Guards against the end of the whole process when an answer without a length is cancelled: the HTTP client took the reset for the end of the answer.
	it('cancels an answer without a length that is still arriving', async () => {
		const cancelling = new AbortController();
		const exchanged = exchange(pool, {
			requestId: 'r-1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0),
		}, {
			head: () => undefined,
			data() {
				setTimeout(() => {
					cancelling.abort('callerGone');
				}, 10);
				return true;
			},
		}, {
			dialect, maxIdleMs: 0, signal: cancelling.signal, mayStart: () => true, onSent: () => undefined, onAnswer: () => undefined,
		});
		const socket = await accepted;
		socket.on('error', () => undefined);
		socket.resume();
		socket.write('HTTP/1.1 200 OK\r\n\r\npart');
		expect(await exchanged).to.deep.equal({kind: 'broken', reason: 'cancelled', detail: 'callerGone'});
		while (!socket.closed) {
			await sleep(10);
		}

		await sleep(20);
	});

	// Guards against the rest of a request that stays in memory uncounted, with the idle connection to a target that answered before it had read the request.
	it('drops the connection of a target that answered without reading the request', async () => {
		const exchanged = exchange(pool, {
			requestId: 'r-1', method: 'POST', path: '/', headers: [], body: Buffer.alloc(8_000_000),
		}, {head: () => undefined, data: () => true}, {
			dialect, maxIdleMs: 0, signal: new AbortController().signal, mayStart: () => true, onSent: () => undefined, onAnswer: () => undefined,
		});
		const socket = await accepted;
		socket.on('error', () => undefined);
		await sleep(50);
		expect(pool.unsentBytes()).to.be.above(0);
		socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
		expect((await exchanged).kind).to.equal('complete');
		await sleep(50);
		expect(pool.unsentBytes()).to.equal(0);
		socket.destroy();
	});

	// Guards against a request that is sent with a permission that ended while its connection was being opened or its process was paused.
	it('sends nothing if the permission has ended when the connection is open', async () => {
		let receivedBytes = 0;
		const exchanged = exchange(pool, {
			requestId: 'r-1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0),
		}, {head: () => undefined, data: () => true}, {
			dialect, maxIdleMs: 0, signal: new AbortController().signal, mayStart: () => false, onSent: () => undefined, onAnswer: () => undefined,
		});
		const socket = await accepted;
		socket.on('data', chunk => {
			receivedBytes += chunk.length;
		});
		socket.on('error', () => undefined);
		socket.resume();
		expect(await exchanged).to.deep.equal({kind: 'notSent', detail: 'the permission to send has expired'});
		while (!socket.closed) {
			await sleep(10);
		}

		expect(receivedBytes).to.equal(0);
	});

	// Guards against the last body of each idle connection, which nothing counts.
	it('keeps no body with a connection that is idle', async () => {
		const send = async (): Promise<WeakRef<Uint8Array>> => {
			const body = new Uint8Array(Buffer.alloc(100_000));
			const exchanged = exchange(pool, {
				requestId: 'r-1', method: 'POST', path: '/', headers: [], body,
			}, {head: () => undefined, data: () => true}, {
				dialect, maxIdleMs: 1000, signal: new AbortController().signal, mayStart: () => true, onSent: () => undefined, onAnswer: () => undefined,
			});
			const socket = await accepted;
			socket.resume();
			while (socket.bytesRead < body.length) {
				await sleep(5);
			}

			socket.write('HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n');
			expect((await exchanged).kind).to.equal('complete');
			return new WeakRef(body);
		};

		const body = await send();
		setFlagsFromString('--expose-gc');
		const collect = runInNewContext('gc') as () => void;
		for (let collections = 0; collections < 10; collections++) {
			await sleep(20);
			collect();
		}

		expect(body.deref()).to.equal(undefined);
		(await accepted).destroy();
	});

	// Guards against targets that fill the memory with bytes which the entry has passed on or dropped.
	it('keeps the bytes of an answer that were used for some time below a part of a small machine\'s memory', async () => {
		const part = Buffer.alloc(65_536);
		const before = process.memoryUsage().arrayBuffers;
		const used: Uint8Array[] = [];
		let parts = 0;
		let most = 0;
		const exchanged = exchange(pool, {
			requestId: 'r-1', method: 'GET', path: '/', headers: [], body: Buffer.alloc(0),
		}, {
			head: () => undefined,
			data(bytes) {
				used[parts % 768] = bytes;
				parts++;
				most = Math.max(most, process.memoryUsage().arrayBuffers - before);
				return true;
			},
		}, {
			dialect, maxIdleMs: 0, signal: new AbortController().signal, mayStart: () => true, onSent: () => undefined, onAnswer: () => undefined,
		});
		const socket = await accepted;
		socket.resume();
		socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${8000 * part.length}\r\n\r\n`);
		for (let count = 0; count < 8000; count++) {
			if (!socket.write(part)) {
				await once(socket, 'drain');
			}
		}

		expect((await exchanged).kind).to.equal('complete');
		expect(most).to.be.at.most((48 + 48) * 1_048_576);
		socket.destroy();
	});
});

import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {afterEach, describe, it} from 'mocha';
import {superviseServer, type CloseReason, type Supervision} from '@papayaflow/inbound';

/** Runs the collector of this process. */
function collect(): void {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
}

const defaultLimits = {maxConnections: 8, maxAheadBytes: 1_000_000, maxHeadBytes: 1_000_000};

/** The fields of a head that takes some 70 KB of memory. */
const manyFields = 'a: 1\r\n'.repeat(1000);
const maxDroppedBytes = 100_000;

/** The most that Node.js reads from a connection at once, in bytes. */
const bytesPerRead = 65_536;

describe('a supervised server', () => {
	let server: Server;
	let supervision: Supervision;
	let closed: CloseReason[] = [];
	let sockets: Socket[] = [];

	const start = async (handle: (req: IncomingMessage, res: ServerResponse) => void, limits: Partial<typeof defaultLimits> = {}): Promise<void> => {
		closed = [];
		server = createServer(handle);
		supervision = superviseServer(server, {
			...defaultLimits, ...limits, monotonicMs: () => performance.now(), maxDroppedBytes: () => maxDroppedBytes,
			onClosed(reason) {
				closed.push(reason);
			},
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	};

	afterEach(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		sockets = [];
		server.closeAllConnections();
		server.close();
	});

	const open = async (): Promise<{readonly socket: Socket; text(): string}> => {
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		sockets.push(socket);
		let text = '';
		socket.on('data', chunk => {
			text += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		return {socket, text: () => text};
	};

	const until = async (isTrue: () => boolean): Promise<void> => {
		while (!isTrue()) {
			await sleep(5);
		}
	};

	const echo = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const parts: Uint8Array[] = [];
		for await (const part of req) {
			parts.push(part as Uint8Array);
		}

		res.end(`<${req.url}:${Buffer.concat(parts).toString('latin1')}>`);
	};

	const toRequest = ({path, body, framing}: {readonly path: number; readonly body: string; readonly framing: 'length' | 'chunks' | 'none'}): string => {
		switch (framing) {
			case 'none': {
				return `GET /${path} HTTP/1.1\r\nhost: h\r\n\r\n`;
			}

			case 'length': {
				return `POST /${path} HTTP/1.1\r\nhost: h\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
			}

			case 'chunks': {
				const chunks = [...body].map(character => `1\r\n${character}\r\n`).join('');
				return `POST /${path} HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${chunks}0\r\n\r\n`;
			}
		}
	};

	// Guards against requests that are lost, mixed up or held for ever because the end of one before them is not found.
	it('answers all requests that are sent ahead, in their order and with their bodies, wherever their bytes are split', async () => {
		await start(echo);
		const body = fc.array(fc.constantFrom('\r', '\n', '0', 'a'), {maxLength: 12}).map(characters => characters.join(''));
		const requests = fc.array(fc.record({path: fc.nat(9), body, framing: fc.constantFrom('length', 'chunks', 'none')}), {minLength: 1, maxLength: 8});
		await fc.assert(fc.asyncProperty(requests, fc.array(fc.nat(1000), {maxLength: 12}), async (sent, cuts) => {
			const bytes = sent.map(request => toRequest(request)).join('');
			const {socket, text} = await open();
			socket.setNoDelay(true);
			let from = 0;
			for (const cut of [...cuts.map(cut => cut % bytes.length).toSorted((a, b) => a - b), bytes.length]) {
				socket.write(bytes.slice(from, cut));
				from = cut;
				await sleep(0);
			}

			await until(() => [...text().matchAll(/HTTP\/1\.1 /gv)].length === sent.length && text().endsWith('>'));
			expect([...text().matchAll(/<[^>]*>/gv)].map(([answer]) => answer)).to.deep.equal(sent.map(request => `</${request.path}:${request.framing === 'none' ? '' : request.body}>`));
			socket.destroy();
		}), {seed: 53, numRuns: 150});
	}).timeout(60_000);

	// Guards against the memory and the work of requests whose answers nobody takes.
	it('handles one request of a connection at a time, and reads no further meanwhile', async () => {
		const waiting: ServerResponse[] = [];
		await start((_req, res) => {
			waiting.push(res);
		});
		const {socket, text} = await open();
		socket.write(toRequest({path: 1, body: '', framing: 'none'}).repeat(20_000));
		await until(() => waiting.length > 0);
		await sleep(50);
		expect(waiting).to.have.length(1);
		expect(supervision.aheadBytes()).to.be.at.most(2 * 65_536);
		waiting.pop()!.end('first');
		await until(() => waiting.length > 0);
		expect(text()).to.contain('first');
		expect(waiting).to.have.length(1);
	});

	// Guards against a few bytes that wait and keep the whole of a long read in memory.
	it('keeps no more of a read than what waits', async () => {
		const waiting: ServerResponse[] = [];
		await start((req, res) => {
			req.resume();
			waiting.push(res);
		}, {maxConnections: 1000});
		const before = process.memoryUsage().arrayBuffers;
		const bytes = toRequest({path: 1, body: 'a'.repeat(60_000), framing: 'length'}) + toRequest({path: 2, body: '', framing: 'none'});
		const connections = 400;
		for (let count = 0; count < connections; count++) {
			const {socket} = await open();
			socket.write(bytes);
			await until(() => waiting.length === count + 1);
		}

		await until(() => supervision.aheadBytes() >= 20 * connections);
		// Buffers may be freed some time after a collection.
		let held = Number.POSITIVE_INFINITY;
		for (let collections = 0; collections < 10; collections++) {
			collect();
			held = Math.min(held, process.memoryUsage().arrayBuffers - before);
			await sleep(20);
		}

		expect(held).to.be.at.most(connections * 12_000);
	});

	// Guards against bodies in very small chunks that keep the process from accepting other connections, of which it takes one a turn.
	it('gets few chunks of a body in one turn of the event loop, however often the connection is resumed', async () => {
		let inTurn = 0;
		let mostInTurn = 0;
		let total = 0;
		await start((req, res) => {
			req.on('data', () => {
				inTurn++;
				total++;
				mostInTurn = Math.max(mostInTurn, inTurn);
				req.socket.resume();
			});
			req.once('end', () => {
				res.end('read');
			});
		});
		let isCounting = true;
		const countTurns = (): void => {
			inTurn = 0;
			if (isCounting) {
				setImmediate(countTurns);
			}
		};

		countTurns();
		const {socket, text} = await open();
		socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n');
		for (let part = 0; part < 20; part++) {
			socket.write('1\r\na\r\n'.repeat(1000));
			await sleep(1);
		}

		socket.write('0\r\n\r\n');
		await until(() => text().includes('read'));
		isCounting = false;
		expect(total).to.equal(20_000);
		expect(mostInTurn).to.be.at.most(400);
	});

	it('closes connections that have sent too much ahead once their request is answered', async () => {
		const waiting: ServerResponse[] = [];
		await start((_req, res) => {
			waiting.push(res);
		}, {maxAheadBytes: 10_000});
		const {socket, text} = await open();
		const gone = once(socket, 'end');
		socket.write(toRequest({path: 1, body: '', framing: 'none'}).repeat(2000));
		await until(() => closed.includes('ahead'));
		waiting[0].end('first');
		await gone;
		expect(text()).to.contain('first');
		expect(waiting).to.have.length(1);
		expect(supervision.aheadBytes()).to.equal(0);
	});

	// Guards against bytes that nothing counts: a socket that is paused reads once more.
	it('counts what its sockets have read while they were paused', async () => {
		let accepted: Socket | undefined;
		await start(req => {
			accepted = req.socket;
		});
		const {socket} = await open();
		socket.write(toRequest({path: 1, body: '', framing: 'none'}).repeat(100_000));
		await until(() => accepted !== undefined && accepted.readableLength > 0);
		expect(supervision.aheadBytes()).to.be.above(accepted!.readableLength);
	});

	it('closes the connections that have sent the most ahead, and answers the others', async () => {
		const waiting: ServerResponse[] = [];
		await start((req, res) => {
			if (req.url === '/1') {
				res.end('few');
			} else {
				waiting.push(res);
			}
		}, {maxAheadBytes: 300_000});
		const few = await open();
		for (let count = 0; count < 6; count++) {
			const {socket} = await open();
			socket.write(toRequest({path: 2, body: '', framing: 'none'}).repeat(20_000));
		}

		await until(() => waiting.length === 6 && closed.length >= 4);
		few.socket.write(toRequest({path: 1, body: '', framing: 'none'}).repeat(3));
		await until(() => few.text().split('few').length === 4);
		for (const res of waiting) {
			res.end();
		}

		await until(() => supervision.aheadBytes() <= 300_000);
		expect(new Set(closed)).to.deep.equal(new Set(['ahead']));
	});

	// Guards against heads of very many fields, each of which takes many times its bytes for as long as its request runs.
	it('refuses a large head that there is no room for beside those of running requests, and serves ordinary ones', async () => {
		const waiting: ServerResponse[] = [];
		await start((req, res) => {
			if (req.url === '/large') {
				waiting.push(res);
			} else {
				res.end('ordinary');
			}
		}, {maxHeadBytes: 150_000});
		const large = async (): ReturnType<typeof open> => {
			const connection = await open();
			connection.socket.write(`GET /large HTTP/1.1\r\nhost: h\r\n${manyFields}\r\n`);
			return connection;
		};

		await large();
		await large();
		await until(() => waiting.length === 2);
		const refused = await large();
		await once(refused.socket, 'end');
		expect(refused.text()).to.match(/^HTTP\/1\.1 503 .*\r\nretry-after: 1\r\n/v);
		expect(closed).to.deep.equal(['heads']);
		const ordinary = await open();
		ordinary.socket.write(toRequest({path: 1, body: '', framing: 'none'}));
		await until(() => ordinary.text().includes('ordinary'));
		waiting[0].end();
		await until(() => supervision.headBytes() <= 75_000);
		await large();
		await until(() => waiting.length === 3);
	});

	it('closes the connection of a large head that stops half-way when another large head needs its memory', async () => {
		let requests = 0;
		await start((_req, res) => {
			requests++;
			res.end();
		}, {maxHeadBytes: 150_000});
		const unfinished = await Promise.all(Array.from({length: 2}, async () => open()));
		for (const {socket} of unfinished) {
			socket.write(`GET / HTTP/1.1\r\nhost: h\r\n${manyFields}`);
		}

		await until(() => supervision.headBytes() > 130_000);
		const {socket} = await open();
		socket.write(`GET / HTTP/1.1\r\nhost: h\r\n${manyFields}\r\n`);
		await until(() => requests === 1);
		expect(closed).to.deep.equal(['head']);
		await until(() => supervision.headBytes() < 75_000);
	});

	// Guards against requests that wait until their deadlines for the rest of their bodies, which has been dropped.
	it('ends a request at once when its body is dropped for lack of room', async () => {
		let hasEnded = false;
		await start(req => {
			req.resume();
			req.once('close', () => {
				hasEnded = true;
			});
		}, {maxAheadBytes: 10_000});
		const {socket} = await open();
		socket.write(`POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n${'1\r\na\r\n'.repeat(8000)}`);
		await once(socket, 'close');
		await until(() => hasEnded);
		expect(closed).to.deep.equal(['ahead']);
	});

	it('drops the fields after a body', async () => {
		let trailers: unknown;
		await start(async (req, res) => {
			await echo(req, res);
			trailers = [req.rawTrailers, req.trailers];
		});
		const {socket, text} = await open();
		socket.write(`POST /1 HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n1\r\na\r\n0\r\n${manyFields}\r\n`);
		await until(() => trailers !== undefined && text().includes('</1:a>'));
		expect(trailers).to.deep.equal([[], {}]);
	});

	// Guards against refused requests whose bodies are read and dropped for as long as their clients like.
	it('answers a request that it refuses at once, and reads no more than a part of its body', async () => {
		let accepted: Socket | undefined;
		await start((req, res) => {
			accepted = req.socket;
			res.writeHead(404).end();
		});
		const {socket, text} = await open();
		socket.write('POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n');
		await until(() => text().includes('404'));
		const ended = once(socket, 'close');
		const timer = setInterval(() => {
			socket.write('1\r\na\r\n'.repeat(1000));
		}, 1);
		await ended;
		clearInterval(timer);
		expect(closed).to.deep.equal(['dropped']);
		expect(accepted?.bytesRead).to.be.at.most(maxDroppedBytes + (2 * bytesPerRead));
	});

	it('keeps the connection of a refused request whose body ends', async () => {
		await start((req, res) => {
			res.writeHead(req.url === '/1' ? 404 : 200).end();
		});
		const {socket, text} = await open();
		socket.write(toRequest({path: 1, body: 'a'.repeat(20_000), framing: 'length'}));
		await until(() => text().includes('404'));
		socket.write(toRequest({path: 2, body: 'a', framing: 'chunks'}));
		await until(() => text().includes('200'));
		expect(closed).to.deep.equal([]);
	});

	// Guards against clients that take the descriptors which the server needs for others.
	it('closes the connection that has been silent for the longest when there are too many, and none whose request is being answered', async () => {
		const waiting: ServerResponse[] = [];
		await start((_req, res) => {
			waiting.push(res);
		}, {maxConnections: 3});
		const running = await open();
		running.socket.write(toRequest({path: 1, body: '', framing: 'none'}));
		await until(() => waiting.length === 1);
		const silent = await open();
		const gone = once(silent.socket, 'close');
		await sleep(5);
		const partial = await open();
		partial.socket.write('GET / HTTP/1.1\r\n');
		await sleep(20);
		await open();
		await gone;
		const partialGone = once(partial.socket, 'close');
		await open();
		await partialGone;
		expect(closed).to.deep.equal(['silent', 'head']);
		expect(supervision.connections()).to.equal(3);
		waiting[0].end('served');
		await until(() => running.text().includes('served'));
	});

	it('closes idle connections before it turns a new one away', async () => {
		await start((_req, res) => {
			res.end('ok');
		}, {maxConnections: 1});
		const idle = await open();
		const gone = once(idle.socket, 'close');
		idle.socket.write(toRequest({path: 1, body: '', framing: 'none'}));
		await until(() => idle.text().includes('ok'));
		await sleep(20);
		const next = await open();
		await gone;
		next.socket.write(toRequest({path: 1, body: '', framing: 'none'}));
		await until(() => next.text().includes('ok'));
		expect(closed).to.deep.equal(['idle']);
	});

	// Guards against answers of slow requests that are lost as they are written, because their connections count as unread since their requests arrived.
	it('closes a connection whose answer is not read only when it has been unread for a second', async () => {
		let waiting: ServerResponse | undefined;
		await start((_req, res) => {
			waiting = res;
		}, {maxConnections: 1});
		const slow = await open();
		slow.socket.pause();
		slow.socket.write(toRequest({path: 1, body: '', framing: 'none'}));
		await until(() => waiting !== undefined);
		await sleep(1200);
		waiting!.end(Buffer.alloc(16_777_216));
		const early = await open();
		await once(early.socket, 'close');
		expect(closed).to.deep.equal(['full']);
		await sleep(1200);
		await open();
		await until(() => closed.length === 2);
		expect(closed).to.deep.equal(['full', 'unread']);
	});
});

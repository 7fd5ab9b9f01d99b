import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {expect} from 'chai';
import {
	after, afterEach, before, describe, it,
} from 'mocha';
import {headOf, manyFields, tinyChunks} from './crowd.js';
import {startSite, waitFor, type Site} from './site.js';

const maxBodyBytes = 4_194_304;
const answerBytes = 3_000_000;

/** The body of the answer to a request: it names the request and says how many bytes of its body arrived. */
const serve = async (server: Server): Promise<string> => {
	server.on('request', async (req, res) => {
		let received = 0;
		for await (const chunk of req) {
			received += (chunk as Uint8Array).length;
		}

		const body = req.url === '/sound/long' ? Buffer.alloc(answerBytes, 'a') : Buffer.from(`${req.headers['x-request-id'] as string}: ${received} bytes`);
		res.writeHead(200, {'x-request-id': req.headers['x-request-id'] ?? '', 'x-replica-seal': 's', 'content-length': body.length});
		res.end(body);
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

// Guards against limits for crowds that a single caller meets who stays inside what the configuration allows.
describe('a single request inside the limits', () => {
	let site: Site;
	const target = createServer();
	let socket: Socket;

	before(async () => {
		site = await startSite({entries: 1, ranks: 1, plains: 1}, maxBodyBytes);
		const configuration = JSON.parse(site.store.get('op/config')!) as {routes: unknown[]; services: unknown[]};
		configuration.routes.push({
			name: 'sound', host: 'h.example', prefix: '/sound/', route_kind: 'non_idempotent', timeout_ms: 10_000, target_latency_ms: 300, service: 'sound', max_attempts: 1, public: true,
		});
		configuration.services.push({name: 'sound', max_connections: 100});
		site.store.put('servers/sound-0', JSON.stringify({
			service: 'sound', address: await serve(target), zone: 'z', version: '1', slots: 100, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 1,
		}));
		site.store.put('op/config', JSON.stringify({...configuration, version: 2}));
		await waitFor(async () => {
			const response = await fetch(`http://127.0.0.1:${site.entries[0].adminPort}/status`);
			const {version} = await response.json() as {version: number};
			return version === 2 ? true : undefined;
		});
	});

	after(async () => {
		await site.stop();
		target.closeAllConnections();
		target.close();
	});

	afterEach(() => {
		socket.destroy();
	});

	const headWith = (path: string, id: string, fields = '', method = 'POST'): string => headOf(path, fields, method).replace('x-request-id: crowd\r\n', `x-request-id: ${id}\r\n`).replace('x-deadline-ms: 3000', 'x-deadline-ms: 10000');

	/** Sends parts on a new connection, each when the one before has been taken, and resolves with what was answered when it ends with `last`. */
	const send = async (parts: readonly string[], last: string): Promise<string> => {
		socket = connect(site.entries[0].port, '127.0.0.1');
		const chunks: string[] = [];
		let text = '';
		socket.setEncoding('latin1');
		const answered = new Promise<void>((resolve, reject) => {
			socket.on('data', (chunk: string) => {
				chunks.push(chunk);
				text = text.slice(-last.length) + chunk;
				if (text.endsWith(last)) {
					resolve();
				}
			});
			socket.once('close', () => {
				reject(new Error(`closed after ${chunks.join('').slice(0, 400)}`));
			});
			socket.on('error', () => undefined);
		});
		for (const part of parts) {
			if (!socket.write(part)) {
				await Promise.race([once(socket, 'drain'), answered]);
			}
		}

		await answered;
		return chunks.join('');
	};

	it('is served: a body of 200,000 chunks of one byte', async () => {
		expect(await send([headWith('/sound/x', 'r-1', 'transfer-encoding: chunked\r\n'), tinyChunks, '0\r\n\r\n'], 'r-1: 200000 bytes')).to.match(/^HTTP\/1\.1 200 /v);
	});

	it('is served: a body of 4 MB in pieces of 1,000 bytes', async () => {
		const pieces = Array.from({length: 4000}, () => 'a'.repeat(1000));
		expect(await send([headWith('/sound/x', 'r-2', 'content-length: 4000000\r\n'), ...pieces], 'r-2: 4000000 bytes')).to.match(/^HTTP\/1\.1 200 /v);
	});

	it('is served: a head of 1,800 fields', async () => {
		expect(await send([headWith('/sound/x', 'r-3', manyFields, 'GET')], 'r-3: 0 bytes')).to.match(/^HTTP\/1\.1 200 /v);
	});

	it('is served: a head that comes a byte at a time, and a body that does', async () => {
		const text = `${headWith('/sound/x', 'r-4', 'content-length: 3\r\n')}abc`;
		expect(await send([...text], 'r-4: 3 bytes')).to.match(/^HTTP\/1\.1 200 /v);
	});

	it('is served: 40 requests of both framings that are sent ahead on one connection, each answered in its order', async () => {
		const requests = Array.from({length: 40}, (_, index) => index % 2 === 0
			? `${headWith('/sound/x', `a-${index}`, 'content-length: 8\r\n')}\r\n\r\nabcd`
			: `${headWith('/sound/x', `a-${index}`, 'transfer-encoding: chunked\r\n')}4\r\n\r\n\r\n\r\n0\r\n\r\n`);
		const answers = await send([requests.join('')], 'a-39: 4 bytes');
		expect([...answers.matchAll(/a-(?<index>\d+): (?<bytes>\d+) bytes/gv)].map(({groups}) => `${groups!.index}: ${groups!.bytes}`))
			.to.deep.equal(Array.from({length: 40}, (_, index) => `${index}: ${index % 2 === 0 ? 8 : 4}`));
	});

	it('is served: an answer of 3 MB that is read slowly', async () => {
		socket = connect(site.entries[0].port, '127.0.0.1');
		let bytes = 0;
		socket.on('data', chunk => {
			bytes += chunk.length;
			socket.pause();
			setTimeout(() => {
				socket.resume();
			}, 10);
		});
		socket.write(headWith('/sound/long', 'r-5', '', 'GET'));
		await waitFor(async () => bytes > answerBytes ? true : undefined);
	});

	it('is told that it is refused before it has sent its body, and its connection serves the next request: a path without a route', async () => {
		const body = 'a'.repeat(1000);
		const answers = await send([`${headWith('/none', 'r-6', 'content-length: 1000\r\n')}${body}`, headWith('/sound/x', 'r-7', 'content-length: 0\r\n')], 'r-7: 0 bytes');
		expect(answers).to.match(/^HTTP\/1\.1 404 /v);
	});

	it('is told that it is refused while it sends a body of 4 MB: a path without a route', async () => {
		const text = await send([headWith('/none', 'r-8', 'content-length: 4000000\r\n'), ...Array.from({length: 62}, () => 'a'.repeat(64_000))], '\r\n\r\n').catch(String);
		expect(text).to.contain('HTTP/1.1 404 ');
	});
});

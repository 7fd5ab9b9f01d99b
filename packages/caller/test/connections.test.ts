import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {trackConnections, type CallerConnections} from '@papayaflow/caller';

const head = 'POST / HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n';
const firstChunk = '5\r\nfirst\r\n';
const lastChunk = '4\r\nlast\r\n0\r\n\r\n';

describe('the connections of callers to a server that stops', () => {
	let server: Server;
	let connections: CallerConnections;
	const sockets: Socket[] = [];

	const nowMs = (): number => performance.now();

	beforeEach(async () => {
		server = createServer(async (req: IncomingMessage, res: ServerResponse) => {
			req.resume();
			await once(req, 'end');
			await sleep(req.url === '/slow' ? 3500 : 50);
			res.end('done');
		});
		connections = trackConnections(server, nowMs);
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.closeAllConnections();
	});

	const open = async (): Promise<{readonly socket: Socket; readonly text: () => string; readonly isClosed: () => boolean}> => {
		const socket = connect({host: '127.0.0.1', port: (server.address() as AddressInfo).port});
		const chunks: string[] = [];
		let isClosed = false;
		socket.on('data', chunk => {
			chunks.push(String(chunk));
		});
		socket.on('close', () => {
			isClosed = true;
		});
		socket.on('error', () => undefined);
		await once(socket, 'connect');
		sockets.push(socket);
		return {socket, text: () => chunks.join(''), isClosed: () => isClosed};
	};

	// Guards against a stop that does not count a request before its whole body is there, or while its answer is being written.
	it('stay open until the request that has begun to arrive on them is answered', async () => {
		const [inHead, inBody, isRunning] = [await open(), await open(), await open()];
		inHead.socket.write(head.slice(0, 20));
		inBody.socket.write(head + firstChunk);
		isRunning.socket.write(head.replace('/', '/slow') + firstChunk + lastChunk);
		await sleep(20);
		const drained = connections.drain(nowMs() + 5000);
		await sleep(450);
		inHead.socket.write(head.slice(20) + firstChunk + lastChunk);
		inBody.socket.write(lastChunk);
		expect(await drained).to.equal(0);
		await sleep(20);
		for (const {text, isClosed} of [inHead, inBody, isRunning]) {
			expect(text()).to.include('200 OK').and.include('done');
			expect(isClosed()).to.equal(true);
		}

		expect([inHead, inBody].every(({text}) => text().toLowerCase().includes('connection: close'))).to.equal(true);
	});

	it('are closed when they are idle, and at the end those that are not are counted', async () => {
		const [idle, fresh, stuck] = [await open(), await open(), await open()];
		idle.socket.write(head + firstChunk + lastChunk);
		await once(idle.socket, 'data');
		stuck.socket.write(head + firstChunk);
		expect(connections.open()).to.equal(3);
		const startedMs = nowMs();
		expect(await connections.drain(nowMs() + 700)).to.equal(1);
		expect(nowMs() - startedMs).to.be.at.least(690);
		expect([idle.isClosed(), fresh.isClosed(), stuck.isClosed()]).to.deep.equal([true, true, false]);
	});

	it('carry a request that is sent just after the answer before it, and tell its caller that they are closed after it', async () => {
		const {socket, text} = await open();
		socket.write(head + firstChunk + lastChunk);
		await once(socket, 'data');
		const drained = connections.drain(nowMs() + 5000);
		socket.write(head + firstChunk + lastChunk);
		expect(await drained).to.equal(0);
		await sleep(20);
		expect(text().match(/200 OK/gv)).to.have.length(2);
		expect(text().toLowerCase().match(/connection: close/gv)?.length).to.be.at.least(1);
	});
});

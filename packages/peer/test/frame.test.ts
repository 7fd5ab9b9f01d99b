import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {
	createBacklogs, createFrameDelayEstimator, encodeFrame, maxBacklogBytes, maxFrameBytes, openConnection, readFrames, type Frame,
} from '@papayaflow/peer';

async function readAll(...chunks: readonly Uint8Array[]): Promise<readonly unknown[]> {
	const items: unknown[] = [];
	for await (const item of readFrames((async function * () {
		yield * chunks;
	})())) {
		items.push(item);
	}

	return items;
}

const hello: Frame = {
	kind: 'hello', version: 1, role: 'entry', instance: 'e', incarnation: 'i', zone: 'z', sentMs: 1.5,
};

describe('frame stream', () => {
	it('yields the same frames however it is split into chunks', async () => {
		await fc.assert(fc.asyncProperty(fc.array(fc.uint8Array({maxLength: 300}), {maxLength: 8}), fc.integer({min: 1, max: 64}), async (payloads, chunkSize) => {
			const frames = payloads.map((bytes, attempt): Frame => ({kind: 'data', attempt, bytes}));
			const stream = Uint8Array.from(frames.flatMap(frame => [...encodeFrame(frame)]));
			const chunks = Array.from({length: Math.ceil(stream.length / chunkSize)}, (_, index) => stream.slice(index * chunkSize, (index + 1) * chunkSize));
			const items = await readAll(...chunks) as Array<{attempt: number; bytes: Uint8Array}>;
			expect(items.map(({attempt, bytes}) => [attempt, [...bytes]])).to.deep.equal(payloads.map((bytes, index) => [index, [...bytes]]));
		}), {seed: 1, numRuns: 100});
	});

	it('ends with a fault at a frame of an unknown kind', async () => {
		const unknownFrame = encodeFrame({kind: 'nonsense'} as unknown as Frame);
		expect(await readAll(unknownFrame, encodeFrame(hello))).to.deep.equal([{kind: 'fault', fault: 'unknownKind'}]);
	});

	it('ends with a fault at a hello frame of another version', async () => {
		expect(await readAll(encodeFrame({...hello, version: 2}))).to.deep.equal([{kind: 'fault', fault: 'wrongVersion'}]);
	});

	it('ends with a fault at the header of an oversized frame, without waiting for its body', async () => {
		const header = new Uint8Array(4);
		new DataView(header.buffer).setUint32(0, maxFrameBytes + 1);
		expect(await readAll(header)).to.deep.equal([{kind: 'fault', fault: 'oversized'}]);
	});

	it('ends with a fault at a frame that is not valid CBOR', async () => {
		expect(await readAll(new Uint8Array([0, 0, 0, 2, 0xFF, 0xFF]))).to.deep.equal([{kind: 'fault', fault: 'malformed'}]);
	});
});

describe('connection', () => {
	it('is closed when its peer reads nothing and the backlog exceeds its limit', async () => {
		const server = createServer(socket => {
			socket.pause();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		await once(socket, 'connect');
		// Without a limit for all connections, which would close this one too.
		const connection = openConnection(socket, createBacklogs(Number.POSITIVE_INFINITY));
		const bytes = new Uint8Array(1_048_576);
		for (let sent = 0; sent < 4 * maxBacklogBytes && !connection.closed; sent += bytes.length) {
			connection.send({kind: 'data', attempt: 1, bytes});
		}

		expect(connection.closed).to.equal(true);
		server.close();
	});

	// Guards against peers that each buffer less than their own limit and fill the memory together, and against closing the connection of a peer that reads.
	it('with the longest backlog is closed when peers that read nothing exceed the limit of all', async () => {
		const accepted: Socket[] = [];
		const server = createServer({pauseOnConnect: true}, socket => {
			accepted.push(socket);
			socket.on('error', () => undefined);
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const maxTotalBytes = 16_777_216;
		const backlogs = createBacklogs(maxTotalBytes);
		const connections = await Promise.all(Array.from({length: 3}, async () => {
			const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
			await once(socket, 'connect');
			return openConnection(socket, backlogs);
		}));
		const bytes = new Uint8Array(1_048_576);
		for (let sent = 0; sent < 12; sent++) {
			for (const [index, connection] of connections.entries()) {
				// The last connection gets the least.
				if (index < 2 || sent === 0) {
					connection.send({kind: 'data', attempt: 1, bytes});
				}
			}

			expect(backlogs.bytes()).to.be.at.most(maxTotalBytes + (3 * bytes.length));
		}

		expect(connections.filter(({closed}) => closed)).to.have.length(1);
		expect(connections[2].closed).to.equal(false);
		for (const connection of connections) {
			connection.close();
		}

		for (const socket of accepted) {
			socket.destroy();
		}

		server.close();
	});
});

describe('createFrameDelayEstimator', () => {
	it('estimates the transit time of a frame beyond that of the fastest frame, whatever the clock offset', () => {
		const delayOf = createFrameDelayEstimator();
		expect(delayOf(1000, 5)).to.equal(0);
		expect(delayOf(1010, 15)).to.equal(0);
		expect(delayOf(1020, 3025)).to.equal(3000);
	});
});

import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';
import process from 'node:process';
import {PassThrough} from 'node:stream';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {readBody, type Body} from '@papayaflow/caller';

const parts = 200_000;

function openRequest(headers: IncomingMessage['headers'] = {}): PassThrough & IncomingMessage {
	return Object.assign(new PassThrough(), {headers}) as unknown as PassThrough & IncomingMessage;
}

function usedBytes(): number {
	setFlagsFromString('--expose-gc');
	(runInNewContext('gc') as () => void)();
	const {heapUsed, arrayBuffers} = process.memoryUsage();
	return heapUsed + arrayBuffers;
}

/** Returns what stays in use over several collections: buffers may be freed some time after one. */
async function heldBytes(): Promise<number> {
	let held = usedBytes();
	for (let collections = 1; collections < 10; collections++) {
		await sleep(20);
		held = Math.min(held, usedBytes());
	}

	return held;
}

describe('the body of a request', () => {
	// Guards against bodies in very small parts, each of which took some hundred bytes until the body was whole.
	it('takes little more memory than its bytes if it comes a byte at a time', async () => {
		const before = usedBytes();
		const req = openRequest();
		const {body} = readBody(req, 4_194_304);
		for (let part = 0; part < parts; part++) {
			req.write(Buffer.from('a'));
			await setImmediate();
		}

		await setImmediate();
		expect(usedBytes() - before).to.be.at.most(8 * 1_048_576);
		req.end();
		const result = await body;
		expect(result).to.have.property('kind', 'read');
		expect(result).to.have.nested.property('bytes.length', parts);
	}).timeout(20_000);

	// Guards against bodies that are no longer counted and stay in memory: once a request has been answered, nothing reports its end.
	it('takes no memory once it is cancelled, although its request stays open', async () => {
		const before = usedBytes();
		const requests = Array.from({length: 10}, () => openRequest());
		const readings = requests.map(req => readBody(req, 4_194_304));
		for (const req of requests) {
			req.write(Buffer.alloc(2_000_000));
		}

		await setImmediate();
		for (const {cancel} of readings) {
			cancel();
		}

		expect(await Promise.all(readings.map(async ({body}) => body))).to.deep.equal(requests.map(() => ({kind: 'cancelled'})));
		expect(await heldBytes() - before).to.be.at.most(8 * 1_048_576);
		expect(requests.every(req => req.readableFlowing)).to.equal(true);
	});

	// Guards against bodies of calls that have ended and whose requests are still referred to, such as the last one of each connection.
	it('is not kept by its request', async () => {
		const req = openRequest();
		const read = async (): Promise<WeakRef<Uint8Array>> => {
			const {body} = readBody(req, 4_194_304);
			req.end(Buffer.alloc(100_000));
			const result = await body;
			return new WeakRef((result as Extract<Body, {kind: 'read'}>).bytes);
		};

		const bytes = await read();
		await heldBytes();
		expect(bytes.deref()).to.equal(undefined);
		expect(req.readableEnded).to.equal(true);
		req.destroy(new Error('connection reset'));
		await setImmediate();
	});

	it('is the same however long its parts are', async () => {
		const text = Buffer.from(Array.from({length: 60_000}, (_, index) => index % 251));
		for (const length of [1, 7, 4096, 16_385, 60_000]) {
			for (const headers of [{}, {'content-length': String(text.length)}]) {
				const req = openRequest(headers);
				const {body} = readBody(req, 100_000);
				for (let at = 0; at < text.length; at += length) {
					req.write(text.subarray(at, at + length));
				}

				req.end();
				const result = await body;
				expect(result.kind === 'read' && Buffer.compare(result.bytes, text)).to.equal(0);
			}
		}
	});

	it('is given up when there is no room for a part of it, or it is too long', async () => {
		const refused = openRequest();
		const noRoom = readBody(refused, 100, () => false).body;
		refused.write('a');
		expect(await noRoom).to.deep.equal({kind: 'noRoom'});
		const long = openRequest();
		const tooLarge = readBody(long, 1).body;
		long.write('ab');
		expect(await tooLarge).to.deep.equal({kind: 'tooLarge'});
		const left = openRequest();
		const broken = readBody(left, 100).body;
		left.destroy();
		expect(await broken).to.deep.equal({kind: 'broken'});
	});
});

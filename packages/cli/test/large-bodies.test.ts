import {Buffer} from 'node:buffer';
import {readFileSync} from 'node:fs';
import {Agent, request} from 'node:http';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {startSite, type Site, type SiteProcess} from './site.js';

/** The memory of a small machine that an entry runs on, in kilobytes. */
const machineKilobytes = 350 * 1024;

const bodyBytes = 4_000_000;
const callerCount = 120;

const peakKilobytesOf = ({child}: SiteProcess): number => Number(/VmHWM:\s*(?<kilobytes>\d+)/v.exec(readFileSync(`/proc/${child.pid}/status`, 'utf8'))!.groups!.kilobytes);

// Guards against an entry that runs out of memory, with all its requests, because many callers send bodies as long as they may at once.
describe('an entry whose callers send long bodies at once', () => {
	let site: Site;

	beforeEach(async () => {
		site = await startSite({entries: 1, ranks: 3, plains: 3}, 4_194_304);
	});

	afterEach(async () => {
		await site.stop();
	});

	const post = async (agent: Agent, requestId: string, body: Uint8Array, headers: Readonly<Record<string, string>>): Promise<number | string> => new Promise(resolve => {
		const req = request({
			agent, method: 'POST', host: '127.0.0.1', port: site.entries[0].port, path: '/plain/x', headers: {
				host: 'h.example', 'x-request-id': requestId, 'x-deadline-ms': '3000', ...headers,
			},
		}, res => {
			res.resume();
			res.on('end', () => {
				resolve(res.statusCode!);
			});
			res.on('error', (error: NodeJS.ErrnoException) => {
				resolve(error.message);
			});
		});
		req.on('error', (error: NodeJS.ErrnoException) => {
			resolve(error.message);
		});
		req.end(body);
	});

	const checkLongBodies = async (headers: Readonly<Record<string, string>>): Promise<void> => {
		const agent = new Agent({keepAlive: true});
		const body = Buffer.alloc(bodyBytes, 'a');
		const answers = await Promise.all(Array.from({length: callerCount}, async (_, index) => post(agent, `b-${index}`, body, headers)));
		expect(peakKilobytesOf(site.entries[0]), 'the most memory that the entry has used').to.be.below(machineKilobytes);
		expect(answers.filter(status => status !== 200 && status !== 503 && status !== 504), 'calls without an answer').to.deep.equal([]);
		expect(answers.filter(status => status === 200)).to.have.length.above(0);
		expect(await post(agent, 'later', body, headers)).to.equal(200);
		agent.destroy();
	};

	it('answers each of them within the memory of its machine, and then takes such bodies again: in chunks', async () => {
		await checkLongBodies({'transfer-encoding': 'chunked'});
	});

	it('answers each of them within the memory of its machine, and then takes such bodies again: with a length', async () => {
		await checkLongBodies({'content-length': String(bodyBytes)});
	});
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {startSite, type CallResult, type Site} from './site.js';

describe('a planned stop of an entry under load', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 2, ranks: 3, plains: 3});
	});

	after(async () => {
		await site.stop();
	});

	// Guards against requests that were accepted and then cut off without an answer. Callers use their open connections until the process is gone.
	it('answers every request that it has accepted, until its process is gone', async () => {
		const [entry] = site.entries;
		const calls: Array<Promise<CallResult>> = [];
		let isStopping = false;
		for (let sent = 0; entry.child.exitCode === null && sent < 2000; sent++) {
			calls.push(site.call(entry, sent % 2 === 0 ? 'plain' : 'model'));
			await sleep(5);
			if (sent > 100 && !isStopping) {
				isStopping = true;
				entry.child.kill('SIGTERM');
			}
		}

		const results = await Promise.all(calls);
		expect(entry.child.exitCode).to.equal(0);
		// The kernel resets connections that it has established and the process has not accepted when it stops listening; their requests were not read.
		const targets = [...site.plains, ...site.engines];
		const wasRead = (requestId: string): boolean => entry.lines.some(line => line.includes(`"requestId":"${requestId}"`)) || targets.some(({requestIds}) => requestIds.has(requestId));
		const unanswered = results.filter(({status}) => status === 0);
		expect(unanswered.filter(({requestId}) => wasRead(requestId)), 'read, but not answered').to.deep.equal([]);
		expect(unanswered.filter(({error}) => error !== 'ECONNREFUSED' && error !== 'ECONNRESET'), 'other errors').to.deep.equal([]);
		expect(results.filter(({status}) => status === 200).length).to.be.at.least(300);
	}).timeout(40_000);
});

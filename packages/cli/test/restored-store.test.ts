import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {type LimitedTarget} from '@papayaflow/standins';
import {
	startSite, waitFor, type CallResult, type Site, type SiteProcess,
} from './site.js';

/** The time in which a change of the configuration is in force everywhere, in milliseconds. */
const configurationMs = 2000;

/** The time after which a target that is leaving gets no more requests, in milliseconds. */
const drainMs = 2000;

/** A tenth of the read calls a second that the platform's store allows. */
const storeReadsPerSecond = 200;

describe('a site whose store comes back from an older copy', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 4, ranks: 3, plains: 3});
	});

	after(async () => {
		await site.stop();
	});

	/** Waits until an entry has put a version of the configuration in force. */
	const isInForce = async ({lines}: SiteProcess, version: number): Promise<string> =>
		waitFor(async () => lines.find(line => line.includes('"configuration applied"') && line.includes(`"version":${version},`)));

	// Guards against processes that go by revisions which the store gives out a second time: they would keep what it has lost and miss what it holds.
	it('serves all calls meanwhile, and puts the next configuration in force everywhere in time', async () => {
		const {store} = site;
		const copy = store.copy();
		for (let i = 0; i < 100; i++) {
			store.put('papayaflow/other', String(i));
		}

		await sleep(1000);
		const calls: Array<Promise<CallResult>> = [];
		const load = setInterval(() => {
			for (const entry of site.entries) {
				calls.push(site.call(entry, 'plain'), site.call(entry, 'model'));
			}
		}, 50);
		await sleep(500);
		const readsBefore = store.reads();
		const restoredMs = performance.now();
		store.restore(copy);
		site.putConfiguration(2);
		await Promise.all(site.entries.map(async entry => isInForce(entry, 2)));
		expect(performance.now() - restoredMs).to.be.at.most(configurationMs);
		await sleep(4000);
		clearInterval(load);
		const seconds = (performance.now() - restoredMs) / 1000;
		expect((store.reads() - readsBefore) / seconds, 'calls to the store a second').to.be.at.most(storeReadsPerSecond);
		const results = await Promise.all(calls);
		expect(results.filter(({status}) => status !== 200)).to.deep.equal([]);
		expect(results.length).to.be.at.least(500);
	});

	/** Writes the registration of a target again with other fields, as the target itself does. */
	const reregister = (id: string, fields: Readonly<Record<string, unknown>>): void => {
		const key = `servers/${id}`;
		site.store.put(key, JSON.stringify({...JSON.parse(site.store.get(key)!) as Record<string, unknown>, ...fields}));
	};

	/** Calls both services through all entries, and counts the requests that arrive at targets within `ms` milliseconds. */
	const countArrivals = async (targets: readonly LimitedTarget[], ms: number): Promise<readonly number[]> => {
		const before = targets.map(({arrivalsMs}) => arrivalsMs.length);
		const endMs = performance.now() + ms;
		const calls: Array<Promise<CallResult>> = [];
		while (performance.now() < endMs) {
			for (const entry of site.entries) {
				calls.push(site.call(entry, 'plain'), site.call(entry, 'model'));
			}

			await sleep(50);
		}

		const results = await Promise.all(calls);
		expect(results.filter(({status}) => status !== 200), 'calls that were not answered').to.deep.equal([]);
		return targets.map(({arrivalsMs}, index) => arrivalsMs.length - before[index]);
	};

	// Guards against processes that compare revisions of the store from before and after, so that a target that leaves later still gets requests.
	it('sends nothing to targets that begin to leave afterwards', async () => {
		const {store} = site;
		const copy = store.copy();
		for (let i = 0; i < 100; i++) {
			store.put('papayaflow/other', String(i));
		}

		await sleep(1000);
		store.restore(copy);
		reregister('p-0', {seq: 1, state: 'draining'});
		reregister('e-0', {seq: 1, state: 'draining'});
		await sleep(drainMs);
		expect(await countArrivals([site.plains[0], site.engines[0]], 1000)).to.deep.equal([0, 0]);
		reregister('p-0', {seq: 2, state: 'ready'});
		reregister('e-0', {seq: 2, state: 'ready'});
		await sleep(1000);
	});

	// Guards against a registration in the copy that brings back a target which has said that it leaves and has left the list.
	it('sends nothing to targets that had left before, although the copy lists them as ready', async () => {
		const {store} = site;
		const copy = store.copy();
		reregister('p-1', {seq: 3, state: 'draining'});
		reregister('e-1', {seq: 3, state: 'draining'});
		await sleep(drainMs);
		store.remove('servers/p-1');
		store.remove('servers/e-1');
		await sleep(500);
		expect(await countArrivals([site.plains[1], site.engines[1]], 500)).to.deep.equal([0, 0]);
		store.restore(copy);
		expect(await countArrivals([site.plains[1], site.engines[1]], 4000)).to.deep.equal([0, 0]);
	});
});

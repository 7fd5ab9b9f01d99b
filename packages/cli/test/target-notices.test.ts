import {setTimeout as sleep} from 'node:timers/promises';
import {type LimitedTarget} from '@papayaflow/standins';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {loadSite, startSite, type Site} from './site.js';

const entryCount = 2;

/** The time in which every entry gets an answer from each target under the load of these tests, in milliseconds. */
const learnMs = 1500;

const rate = {perSecond: 60};

describe('what a target says of itself in its answers', () => {
	let site: Site;

	beforeEach(async () => {
		site = await startSite({entries: entryCount, ranks: 3, plains: 3});
	});

	afterEach(async () => {
		await site.stop();
	});

	const targetsOf = (service: 'plain' | 'model'): readonly LimitedTarget[] => service === 'plain' ? site.plains : site.engines;

	const reload = async (service: 'plain' | 'model', ms: number): Promise<readonly number[]> => {
		for (const target of targetsOf(service)) {
			target.arrivalsMs.length = 0;
			target.refusalsMs.length = 0;
		}

		const results = await loadSite(site, service, {...rate, ms});
		const refused = results.filter(({status}) => status !== 200);
		const decisions = refused.flatMap(({requestId}) => [...site.entries, ...site.sidecars].flatMap(({lines}) => lines.filter(line => line.includes(`"${requestId}"`))));
		expect(refused, `calls that were not answered\n${decisions.join('\n')}\n`).to.deep.equal([]);
		return targetsOf(service).map(({arrivalsMs}) => arrivalsMs.length);
	};

	const checkLeaving = async (service: 'plain' | 'model', id: string): Promise<void> => {
		const [target] = targetsOf(service);
		target.leaving = '1';
		await loadSite(site, service, {...rate, ms: learnMs});
		expect(await reload(service, 1000)).to.have.property('0', 0);

		// The registration lapses, as it does while the store is down, and comes back.
		const value = site.store.get(`servers/${id}`)!;
		site.store.remove(`servers/${id}`);
		await sleep(500);
		site.store.put(`servers/${id}`, value);
		await sleep(500);
		expect(await reload(service, 1000), 'after its registration lapsed').to.have.property('0', 0);

		target.leaving = undefined;
		site.store.remove(`servers/${id}`);
		site.store.put(`servers/${id}-later`, value);
		await sleep(500);
		expect((await reload(service, 1000))[0], 'the next target at its address').to.be.above(0);
	};

	// These guard against requests that reach a target after it has said that it leaves, while it is still registered as serving.
	it('that it leaves: a plain target gets no more requests, also when it registers again', async () => {
		await checkLeaving('plain', 'p-0');
	});

	it('that it leaves: an engine gets no more requests, also when it registers again', async () => {
		await checkLeaving('model', 'e-0');
	});

	const checkLimitAfterLapse = async (service: 'plain' | 'model', id: string): Promise<void> => {
		const [target] = targetsOf(service);
		target.limit = '1';
		for (const other of targetsOf(service)) {
			other.workMs = 200;
		}

		await loadSite(site, service, {perSecond: 30, ms: learnMs});
		const value = site.store.get(`servers/${id}`)!;
		site.store.remove(`servers/${id}`);
		await sleep(1000);
		site.store.put(`servers/${id}`, value);
		await sleep(500);
		target.arrivalsMs.length = 0;
		await loadSite(site, service, {perSecond: 30, ms: 2000});
		// A request a second, and one that was saved up before.
		expect(target.arrivalsMs.length, 'requests in 2 s after its registration came back').to.be.at.most(3);
	};

	// These guard against requests above a limit that was named before the registration lapsed: the target's next answers, which name it again, come too late.
	it('that it has a limit: a plain target gets no more requests, also when it registers again', async () => {
		await checkLimitAfterLapse('plain', 'p-0');
	});

	it('that it has a limit: an engine gets no more requests, also when it registers again', async () => {
		await checkLimitAfterLapse('model', 'e-0');
	});

	const checkPause = async (service: 'plain' | 'model'): Promise<void> => {
		const [target] = targetsOf(service);
		target.turnsAwayFor = '2.5';
		expect((await reload(service, 3000))[0], 'requests in 3 s').to.be.at.most(entryCount * 5);
		const [firstMs] = target.refusalsMs;
		// A request that was under way when the first one was turned away may come within half a second.
		expect(target.arrivalsMs.filter(atMs => atMs > firstMs + 500 && atMs < firstMs + 2400), 'requests during the pause').to.deep.equal([]);
		target.turnsAwayFor = undefined;
		await sleep(2500);
		expect((await reload(service, 1000))[0], 'after the pause').to.be.above(0);
	};

	// These guard against entries that keep asking a target that has named a time before which it takes nothing.
	it('when it takes requests again: a plain target gets none before', async () => {
		await checkPause('plain');
	});

	it('when it takes requests again: an engine gets none before', async () => {
		await checkPause('model');
	});

	// Load pattern: all targets of a service turn requests away, each until another time.
	it('when it takes requests again: if no target takes any, callers are told the earliest of those times at once', async () => {
		for (const [index, target] of site.plains.entries()) {
			target.turnsAwayFor = String(3 + (2 * index));
		}

		await loadSite(site, 'plain', {...rate, ms: 500});
		const results = await loadSite(site, 'plain', {...rate, ms: 500});
		expect(results.map(({status}) => status)).to.satisfy((statuses: readonly number[]) => statuses.every(status => status === 503));
		expect(Math.max(...results.map(({tookMs}) => tookMs)), 'the slowest refusal').to.be.below(500);
		for (const {retryAfterMs, reason} of results) {
			expect(reason).to.equal('targetsPaused');
			expect(retryAfterMs).to.be.within(1500, 6000);
		}
	});
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {loadSite, startSite, type Site} from './site.js';

const perSecond = 6;

/** The time in which these processes, which read the store every 0.1 s, take in a change, in milliseconds. */
const settleMs = 1000;

describe('a cold target', () => {
	let site: Site;

	beforeEach(async () => {
		site = await startSite({entries: 3, ranks: 3, plains: 2});
		const configuration = JSON.parse(site.store.get('op/config')!) as {services: ReadonlyArray<Readonly<Record<string, unknown>>>};
		site.store.put('op/config', JSON.stringify({...configuration, version: 2, services: configuration.services.map(service => ({...service, cold_start_s: 2.5, cold_per_s: perSecond}))}));
		await sleep(settleMs);
	});

	afterEach(async () => {
		await site.stop();
	});

	/** Registers a target anew, as after a start, and tells how many requests it gets in each half second from then on. */
	const restart = (id: string): void => {
		site.store.put(`servers/${id}`, JSON.stringify({...JSON.parse(site.store.get(`servers/${id}`)!) as Readonly<Record<string, unknown>>, born: 2, seq: 1}));
	};

	// Guards against a target that is given all calls because it is idle, just after its start; here it is the only one left.
	it('that is the only one of its service gets few requests until it is warm, and callers are told when to return', async () => {
		const [, target] = site.plains;
		site.store.remove('servers/p-0');
		restart('p-1');
		await sleep(settleMs);
		target.arrivalsMs.length = 0;
		const results = await loadSite(site, 'plain', {perSecond: 60, ms: 1200});
		const refused = results.filter(({status}) => status !== 200);
		const isWithinBound = target.arrivalsMs.every(atMs => target.arrivalsMs.filter(other => other >= atMs && other < atMs + 1000).length <= perSecond);
		expect(isWithinBound, `arrivals ${target.arrivalsMs.map(ms => Math.round(ms)).join(' ')}`).to.equal(true);
		expect(new Set(refused.map(({status, reason}) => `${status} ${reason}`))).to.deep.equal(new Set(['503 targetsCold']));
		expect(refused.every(({retryAfterMs}) => retryAfterMs !== undefined && retryAfterMs > 0)).to.equal(true);
		await sleep(1500);
		expect((await loadSite(site, 'plain', {perSecond: 30, ms: 1000})).filter(({status}) => status !== 200), 'when it is warm').to.deep.equal([]);
	});

	// Guards against a zone whose few targets get all calls at once when it is taken back, before their registrations say that they are cold.
	it('is also each one of a zone that is taken back', async () => {
		const [target] = site.plains;
		site.store.remove('servers/p-1');
		site.store.put('op/evacuate/z', '{}');
		await sleep(settleMs);
		target.arrivalsMs.length = 0;
		site.store.remove('op/evacuate/z');
		await loadSite(site, 'plain', {perSecond: 60, ms: 1500});
		expect(target.arrivalsMs.length).to.be.above(0);
		const isWithinBound = target.arrivalsMs.every(atMs => target.arrivalsMs.filter(other => other >= atMs && other < atMs + 1000).length <= perSecond);
		expect(isWithinBound, `arrivals ${target.arrivalsMs.map(ms => Math.round(ms)).join(' ')}`).to.equal(true);
	});

	it('gets few requests while others take them, and no caller is refused', async () => {
		for (const id of ['p-0', 'e-0']) {
			restart(id);
		}

		await sleep(settleMs);
		const coldTargets = [site.plains[0], site.engines[0]];
		for (const {arrivalsMs} of coldTargets) {
			arrivalsMs.length = 0;
		}

		const results = [...await loadSite(site, 'plain', {perSecond: 40, ms: 600}), ...await loadSite(site, 'model', {perSecond: 40, ms: 600})];
		expect(coldTargets.map(({arrivalsMs}) => arrivalsMs.length <= perSecond), `${coldTargets.map(({arrivalsMs}) => arrivalsMs.length).join(' and ')} requests`).to.deep.equal([true, true]);
		expect(results.filter(({status}) => status !== 200)).to.deep.equal([]);
	});
}).timeout(60_000);

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {
	loadSite, startSite, waitFor, type Site,
} from './site.js';

/** The time within which these processes, which read the store every 0.1 s, act on a key, in milliseconds. */
const settleMs = 1000;

const rate = {perSecond: 60};

describe('an evacuated zone', () => {
	let site: Site;

	beforeEach(async () => {
		site = await startSite({entries: 2, ranks: 3, plains: 2});
		for (const id of ['p-0', 'e-0']) {
			site.store.put(`servers/${id}`, site.store.get(`servers/${id}`)!.replace('"zone":"z"', '"zone":"a"'));
		}

		await sleep(settleMs);
	});

	afterEach(async () => {
		await site.stop();
	});

	const arrivals = async (): Promise<{readonly inZone: number; readonly elsewhere: number; readonly refusals: ReadonlySet<string | undefined>}> => {
		const targets = [...site.plains, ...site.engines];
		for (const target of targets) {
			target.arrivalsMs.length = 0;
		}

		const results = [...await loadSite(site, 'plain', {...rate, ms: 1000}), ...await loadSite(site, 'model', {...rate, ms: 1000})];
		const inZone = site.plains[0].arrivalsMs.length + site.engines[0].arrivalsMs.length;
		return {
			inZone, elsewhere: targets.reduce((sum, target) => sum + target.arrivalsMs.length, -inZone),
			refusals: new Set(results.filter(({status}) => status !== 200).map(({status, reason, retryAfterMs}) => `${status} ${reason} ${retryAfterMs !== undefined && retryAfterMs > 0}`)),
		};
	};

	// Guards against requests that reach an evacuated zone, and against a service that stays away once the zone is taken back. The rank beside the coordinator is in the zone.
	it('gets no requests until it is taken back; callers are refused at once while all zones are evacuated', async () => {
		const before = await arrivals();
		expect(before.inZone).to.be.above(0);
		site.store.put('op/evacuate/a', '{}');
		await sleep(settleMs);
		const evacuated = await arrivals();
		expect(evacuated).to.deep.include({inZone: 0, refusals: new Set()});
		expect(evacuated.elsewhere).to.be.above(0);
		site.store.put('op/evacuate/z', '{}');
		await sleep(settleMs);
		expect(await arrivals()).to.deep.equal({inZone: 0, elsewhere: 0, refusals: new Set(['503 zoneEvacuated true'])});
		site.store.faults.mode = 'reset';
		await sleep(settleMs);
		expect(await arrivals(), 'while the store is down').to.deep.include({inZone: 0, elsewhere: 0});
		site.store.faults.mode = 'serve';
		site.store.remove('op/evacuate/a');
		site.store.remove('op/evacuate/z');
		// A process that could not reach the store keeps the keys that it misses for 2.5 s after it is back.
		const countTakenBack = (): readonly number[] => [...site.entries, ...site.sidecars].map(({lines}) => lines.filter(line => line.includes('"zone taken back"')).length);
		await waitFor(async () => countTakenBack().every(count => count === 2) || undefined);
		const after = await arrivals();
		expect(after.refusals).to.deep.equal(new Set());
		expect(after.inZone).to.be.above(0);
	});
}).timeout(60_000);

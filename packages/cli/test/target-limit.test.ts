import {setTimeout as sleep} from 'node:timers/promises';
import {mostArrivals} from '@papayaflow/standins';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {loadSite, startSite, type Site} from './site.js';

/** The time after which all entries must know of a limit, in milliseconds. */
const spreadMs = 500;

const entryCount = 4;

/** The most requests that a target may get in a span: its rate, a burst of a quarter second or one request, and the time for which a permission is valid. */
function allowedIn(spanMs: number, perSecond: number): number {
	const permissionMs = 250;
	return Math.floor((perSecond * (spanMs + permissionMs) / 1000) + Math.max(1, perSecond / 4));
}

describe('a target that names a limit', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: entryCount, ranks: 3, plains: 3});
	});

	after(async () => {
		await site.stop();
	});

	const checkLimit = async (service: 'plain' | 'model'): Promise<void> => {
		const targets = service === 'plain' ? site.plains : site.engines;
		await loadSite(site, service, {perSecond: 60, ms: 1000});
		targets[0].limit = '2';
		await loadSite(site, service, {perSecond: 60, ms: spreadMs});
		for (const target of targets) {
			target.arrivalsMs.length = 0;
		}

		const ms = 6000;
		const results = await loadSite(site, service, {perSecond: 60, ms});
		targets[0].limit = undefined;
		const [limited, ...others] = targets.map(({arrivalsMs}) => arrivalsMs);
		for (const spanMs of [250, 1000, 4000]) {
			expect(mostArrivals(limited, spanMs), `in ${spanMs} ms`).to.be.at.most(allowedIn(spanMs, 2));
		}

		expect(limited.length, 'the limited target is used').to.be.at.least(2 * ms / 1000 * 0.75);
		expect(results.filter(({status}) => status !== 200), 'calls that were not answered').to.deep.equal([]);
		expect(others.reduce((sum, {length}) => sum + length, 0)).to.be.at.least(results.length - limited.length);
	};

	// These guard against entries that each send what they please to a target that takes only a few requests from all of them.
	it('gets no more than that rate from all entries together, beside other targets of a plain service', async () => {
		await checkLimit('plain');
	});

	it('gets no more than that rate from all entries together, beside other engines of its group', async () => {
		await checkLimit('model');
	});

	/** Stops, restarts and freezes the processes that the limit depends on, one after the other, while the load goes on. */
	const disturb = async (targetId: string): Promise<void> => {
		const dispenser = site.sidecars.find(({lines}) => lines.some(line => line.includes('limit of an owned target changed') && line.includes(`"target":"${targetId}"`)))!;
		const rank = Number(dispenser.name.slice('side-'.length));
		await sleep(1000);
		dispenser.child.kill('SIGSTOP');
		await sleep(3500);
		dispenser.child.kill('SIGCONT');
		await sleep(1500);
		dispenser.child.kill('SIGKILL');
		await sleep(1000);
		site.sidecars[rank] = await site.startSidecar(rank);
		const paused = site.entries.at(-1)!;
		paused.child.kill('SIGSTOP');
		await sleep(1500);
		paused.child.kill('SIGCONT');
		for (const [index, entry] of site.entries.entries()) {
			entry.child.kill(index % 2 === 0 ? 'SIGTERM' : 'SIGKILL');
			site.entries[index] = await site.startEntry(entry.name);
		}
	};

	const checkFaults = async (service: 'plain' | 'model'): Promise<void> => {
		const targets = service === 'plain' ? site.plains : site.engines;
		targets[1].limit = '4';
		await loadSite(site, service, {perSecond: 40, ms: spreadMs});
		targets[1].arrivalsMs.length = 0;
		const ms = 14_000;
		const [results] = await Promise.all([loadSite(site, service, {perSecond: 40, ms}), disturb(service === 'plain' ? 'p-1' : 'e-1')]);
		targets[1].limit = undefined;
		const {arrivalsMs} = targets[1];
		for (const spanMs of [250, 1000, 4000]) {
			expect(mostArrivals(arrivalsMs, spanMs), `in ${spanMs} ms`).to.be.at.most(allowedIn(spanMs, 4));
		}

		// The target gets nothing for two seconds after each loss of the dispenser, and its rate at other times.
		expect(arrivalsMs.length, 'the limited target is used').to.be.at.least(4 * (ms - 6000) / 1000 / 2);
		expect(results.filter(({status}) => status === 200).length / results.length).to.be.at.least(0.9);
	};

	// These guard against two processes that both grant permissions, or that act on permissions from before a pause.
	it('gets no more than that rate while processes are frozen, killed and restarted, beside other targets of a plain service', async () => {
		await checkFaults('plain');
	}).timeout(40_000);

	it('gets no more than that rate while processes are frozen, killed and restarted, beside other engines of its group', async () => {
		await checkFaults('model');
	}).timeout(40_000);
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {startSite, type CallResult, type Site} from './site.js';

/** The crashes that one part may cause: one that nobody can foresee, and one that confirms it. */
const maxCrashes = 2;

const soundPrefixes = ['a1', 'a2', 'a3', 'a4'];

type Load = {readonly sound: readonly CallResult[]; readonly crashing: readonly CallResult[]};

describe('a site that gets requests which crash each engine that begins to answer them', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 4, ranks: 3, plains: 1});
	});

	after(async () => {
		await site.stop();
	});

	/** Sends sound calls to all entries, and beside them calls with the part `part` behind one of the same first parts. */
	const load = async (ms: number, part: string): Promise<Load> => {
		const sound: Array<Promise<CallResult>> = [];
		const crashing: Array<Promise<CallResult>> = [];
		const endMs = performance.now() + ms;
		for (let round = 0; performance.now() < endMs; round++) {
			for (const [index, entry] of site.entries.entries()) {
				sound.push(site.call(entry, 'model', `${soundPrefixes[(round + index) % soundPrefixes.length]}:40,${part}${round}${index}:9`));
			}

			if (round % 4 === 0) {
				crashing.push(site.call(site.entries[round / 4 % site.entries.length], 'model', `${soundPrefixes[round % soundPrefixes.length]}:40,${part}:${round},u${part}${round}:9`));
			}

			await sleep(100);
		}

		return {sound: await Promise.all(sound), crashing: await Promise.all(crashing)};
	};

	const crashesOf = (part: string): number[] => site.engines.flatMap(({crashingArrivalsMs, crashingParts}) => crashingParts.has(part) ? crashingArrivalsMs : []);

	// Guards against entries that go on sending requests with a part which has crashed engines, one after the other.
	it('stops sending requests with the part after two crashes, and serves the others as before', async () => {
		await load(2000, 'b0');
		for (const engine of site.engines) {
			engine.crashingParts.add('bad');
		}

		const first = await load(6000, 'bad');
		const arrivals = crashesOf('bad');
		expect(arrivals.length, 'requests with the part at engines').to.be.within(1, maxCrashes);
		expect(first.crashing.filter(({status}) => status === 200)).to.deep.equal([]);
		const {sound, crashing} = await load(6000, 'bad');
		expect(crashesOf('bad').length, 'later requests with the part at engines').to.equal(arrivals.length);
		expect(crashing.filter(({reason}) => reason !== 'quarantined')).to.deep.equal([]);
		expect(sound.filter(({status}) => status === 200).length / sound.length, 'sound calls served').to.be.at.least(0.99);
	});
}).timeout(40_000);

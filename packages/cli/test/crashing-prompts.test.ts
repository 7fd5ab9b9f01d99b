import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	startSite, type CallResult, type Site, type SiteProcess,
} from './site.js';

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

	/** Sends a call with the part through one entry, behind a first part that sound calls have. */
	const sendWith = async (part: string, entry: SiteProcess): Promise<CallResult> => site.call(entry, 'model', `a1:40,${part}:3,u${performance.now()}:9`);

	// Guards against a process that has missed the news of a crash, and sends the next request with the part.
	it('keeps the part away from engines at entries that restart, or were frozen during the crash', async () => {
		for (const engine of site.engines) {
			engine.crashingParts.clear();
			engine.crashingParts.add('worse');
			engine.crashingArrivalsMs.length = 0;
		}

		const frozen = site.entries[3];
		frozen.child.kill('SIGSTOP');
		await sendWith('worse', site.entries[0]);
		await sleep(5000);
		frozen.child.kill('SIGCONT');
		site.entries[1].child.kill('SIGKILL');
		site.entries[1] = await site.startEntry('entry-1');
		await sleep(2000);
		const results = await Promise.all(site.entries.map(async entry => sendWith('worse', entry)));
		expect(results.map(({status, reason}) => [status, reason])).to.deep.equal(site.entries.map(() => [503, 'quarantined']));
		expect(crashesOf('worse')).to.have.length(1);
	});

	it('keeps the part away from engines after all sidecars and an entry have restarted one after the other', async () => {
		for (const rank of site.sidecars.keys()) {
			site.sidecars[rank].child.kill('SIGKILL');
			site.sidecars[rank] = await site.startSidecar(rank);
			await sleep(1500);
		}

		site.entries[2].child.kill('SIGKILL');
		site.entries[2] = await site.startEntry('entry-2');
		await sleep(2000);
		expect((await sendWith('worse', site.entries[2])).reason).to.equal('quarantined');
		expect(crashesOf('worse')).to.have.length(1);
	});

	it('lists suspected parts at an entry, and takes requests with a part again that an operator has cleared', async () => {
		const [entry, other] = site.entries;
		const url = `http://127.0.0.1:${entry.adminPort}/quarantine`;
		const listed = await (await fetch(url)).json() as ReadonlyArray<{part: string; isBlocked: boolean}>;
		expect(listed.map(({part, isBlocked}) => [part, isBlocked])).to.deep.include(['worse', false]);
		for (const engine of site.engines) {
			engine.crashingParts.clear();
		}

		expect(await (await fetch(`${url}/clear?part=worse`, {method: 'POST'})).json()).to.deep.equal({cleared: 1});
		await sleep(500);
		expect([await sendWith('worse', entry), await sendWith('worse', other)].map(({status}) => status)).to.deep.equal([200, 200]);
	});
}).timeout(40_000);

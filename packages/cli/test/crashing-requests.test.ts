import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	startSite, type CallResult, type Route, type Site,
} from './site.js';

/** The crashes that one request may cause: one that nobody can foresee, and one that tells it from the requests that fell with it. */
const maxCrashes = 2;

/** Crashes of one target that are closer together count as one. */
const restartMs = 2500;

describe('a site that gets a request again and again which crashes each target that begins to answer it', () => {
	let site: Site;

	before(async () => {
		site = await startSite({
			entries: 4, ranks: 3, plains: 6, restartMs,
		});
	});

	after(async () => {
		await site.stop();
	});

	/** Sends sound calls by a route to all entries, and beside them the call `name` to one entry after the other. */
	const load = async (ms: number, route: Route, name: string): Promise<{readonly sound: readonly CallResult[]; readonly repeated: readonly CallResult[]}> => {
		const sound: Array<Promise<CallResult>> = [];
		const repeated: Array<Promise<CallResult>> = [];
		const endMs = performance.now() + ms;
		for (let round = 0; performance.now() < endMs; round++) {
			for (const [index, entry] of site.entries.entries()) {
				sound.push(site.call(entry, route, undefined, `${name}-sound-${round}-${index}`));
			}

			if (round % 3 === 0) {
				repeated.push(site.call(site.entries[round / 3 % site.entries.length], route, undefined, name));
			}

			await sleep(100);
		}

		return {sound: await Promise.all(sound), repeated: await Promise.all(repeated)};
	};

	const targetsOf = (route: Route) => route === 'model' ? site.engines : site.plains;
	const crashes = (route: Route): number => targetsOf(route).reduce((sum, {crashingArrivalsMs}) => sum + crashingArrivalsMs.length, 0);

	const itEndsCrashes = (route: Route, what: string): void => {
		// Guards against entries that go on sending one request which has crashed targets, one after the other.
		it(`stops sending ${what} after two crashes, and answers sound calls as before`, async () => {
			const before = crashes(route);
			for (const target of targetsOf(route)) {
				target.crashingPaths.add(`/${route}/bad-${route}`);
			}

			const {repeated} = await load(7500, route, `bad-${route}`);
			expect(crashes(route) - before, 'runs of the request').to.be.within(1, maxCrashes);
			expect(repeated.filter(({status}) => status === 200)).to.deep.equal([]);
			expect(repeated.at(-1)).to.include({status: 503, reason: 'quarantined'});
			const later = await load(3000, route, `bad-${route}`);
			expect(crashes(route) - before, 'with later ones').to.be.at.most(maxCrashes);
			expect(later.sound.filter(({status}) => status !== 200)).to.deep.equal([]);
		}).timeout(30_000);
	};

	itEndsCrashes('plain', 'a lookup');
	itEndsCrashes('payment', 'a payment');
	itEndsCrashes('model', 'a prompt');
});

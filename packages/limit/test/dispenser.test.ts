import {mostArrivals, seededRandom} from '@papayaflow/standins';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {
	createDispenser, type AnnouncedLimit, type Dispenser, type OwnedTarget,
} from '@papayaflow/limit';

const target = {id: 't', incarnation: 1};
const owned = (isBeside: boolean, incarnation = 1): ReadonlyMap<string, OwnedTarget> => new Map([['t', {incarnation, isBeside}]]);

describe('a dispenser', () => {
	let nowMs: number;
	let announced: AnnouncedLimit[];
	let dispenser: Dispenser;

	const create = (isBeside: boolean): Dispenser => {
		const created = createDispenser({
			announce(limit) {
				announced.push(limit);
			},
			monotonicMs: () => nowMs, random: seededRandom(1), metrics: createMetrics(), log: createLog({}, 'error'),
		});
		created.setOwned(owned(isBeside));
		return created;
	};

	const ask = (entry: string, perSecond = 1): boolean => dispenser.ask(entry, {id: 'r', target, perSecond}).isGranted;

	/** Lets each entry ask whenever its last denial has ended, and returns the times of the grants. */
	const run = (entries: number, perSecond: number, ms: number): {readonly grantsMs: readonly number[]; readonly asks: number} => {
		const nextMs = Array.from({length: entries}, () => nowMs);
		const grantsMs: number[] = [];
		let asks = 0;
		for (const endMs = nowMs + ms; nowMs < endMs; nowMs += 10) {
			for (const [entry, atMs] of nextMs.entries()) {
				if (nowMs < atMs) {
					continue;
				}

				asks++;
				const {isGranted, retryMs} = dispenser.ask(`entry-${entry}`, {id: 'r', target, perSecond});
				nextMs[entry] = nowMs + retryMs;
				if (isGranted) {
					grantsMs.push(nowMs);
				}
			}
		}

		return {grantsMs, asks};
	};

	beforeEach(() => {
		nowMs = 0;
		announced = [];
		dispenser = create(true);
	});

	it('grants the rate to all entries together, at fractions of a request a second too', () => {
		for (const [perSecond, ms] of [[0.25, 40_000], [1, 20_000], [3.5, 20_000]] as const) {
			dispenser = create(true);
			const {grantsMs} = run(14, perSecond, ms);
			expect(grantsMs.length, `${perSecond}/s`).to.be.within(perSecond * ms / 1000 * 0.7, (perSecond * ms / 1000) + 1);
			expect(mostArrivals(grantsMs, 4000), `${perSecond}/s`).to.be.at.most((4 * perSecond) + Math.max(1, perSecond / 4));
		}
	});

	// Load pattern: every entry of a large site wants to send to a target that takes one request a second.
	it('gets a few asks for each permission, however many entries compete for it, and still grants most of the rate', () => {
		const {grantsMs, asks} = run(370, 1, 120_000);
		expect(asks - 370).to.be.at.most(12 * 120);
		expect(grantsMs.length).to.be.at.least(120 * 0.7);
	});

	it('starts empty, so that a restart grants nothing on top of what its predecessor granted', () => {
		expect(ask('a')).to.equal(false);
		nowMs = 999;
		expect(ask('a')).to.equal(false);
		nowMs = 1000;
		expect(ask('a')).to.equal(true);
	});

	it('grants nothing for 2.5 s after it was chosen, and then starts empty', () => {
		dispenser = create(false);
		for (nowMs = 0; nowMs < 3500; nowMs += 10) {
			expect(ask('a'), `at ${nowMs} ms`).to.equal(false);
		}

		expect(ask('a')).to.equal(true);
	});

	it('denies what it does not own, and forgets a target that has restarted', () => {
		dispenser.onSeen('a', {target, perSecond: 1});
		dispenser.setOwned(owned(true, 2));
		expect(ask('a')).to.equal(false);
		expect(dispenser.onEntryUp('a')).to.deep.equal([]);
	});

	it('keeps back the share of an entry that has disconnected, for half a minute', () => {
		for (const entry of ['a', 'b']) {
			dispenser.onEntryUp(entry);
		}

		dispenser.onEntryDown('b');
		const {grantsMs} = run(1, 2, 30_000);
		expect(grantsMs.length).to.be.within(28, 31);
		expect(run(1, 2, 10_000).grantsMs.length).to.be.within(18, 21);
	});

	it('counts an entry as connected while one of two connections is left', () => {
		dispenser.onEntryUp('a');
		dispenser.onEntryUp('a');
		dispenser.onEntryDown('a');
		expect(dispenser.status()).to.include({connectedRatio: 1});
	});

	it('takes a lower limit from any entry, and a higher one or none only from an entry that knew the limit in force', () => {
		dispenser.onSeen('a', {target, perSecond: 2});
		dispenser.onSeen('b', {target, perSecond: 1});
		expect(dispenser.onSeen('a', {target, perSecond: 5, basis: 1})).to.deep.equal({target, perSecond: 1, version: 2});
		expect(dispenser.onSeen('a', {target, basis: 1})).to.deep.equal({target, perSecond: 1, version: 2});
		dispenser.onSeen('b', {target, perSecond: 5, basis: 2});
		dispenser.onSeen('b', {target, basis: 3});
		expect(announced.map(({perSecond}) => perSecond)).to.deep.equal([2, 1, 5, undefined]);
		expect(ask('a')).to.equal(true);
	});

	it('tells an entry that connects which limits are in force', () => {
		dispenser.onSeen('a', {target, perSecond: 2});
		expect(dispenser.onEntryUp('b')).to.deep.equal([{target, perSecond: 2, version: 1}]);
	});

	it('lets a request through every ten seconds at a limit of zero, so that the target can take it back', () => {
		expect(run(2, 0, 60_000).grantsMs.length).to.be.within(5, 6);
	});

	it('starts empty again when a limit that was lifted is named again', () => {
		ask('a', 2);
		dispenser.onSeen('a', {target, basis: 1});
		nowMs = 60_000;
		expect(ask('a', 2), 'without a limit').to.equal(true);
		dispenser.onSeen('a', {target, perSecond: 2});
		expect(ask('a', 2)).to.equal(false);
	});

	it('grants no burst beyond the capacity after an idle time or a pause', () => {
		ask('a', 2);
		nowMs = 60_000;
		expect([ask('a', 2), ask('a', 2)]).to.deep.equal([true, false]);
	});
});

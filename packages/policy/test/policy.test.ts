import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {seededRandom} from '@papayaflow/standins';
import {
	afterFailure, afterSuccess, applyMoves, backoffMs, createFairQueue, createRetryBudget, uniformPopularity, healthy, initialMap, isComplete, isReader,
	movesBetween, pickTarget, planFromScratch, planLayers, planMoves, rankLoads, rendezvousOrder, skewOf, pickSubset, consumeQuota, withoutEjected, updatePopularity, selectWorthwhileMoves,
	type Candidate, type PickOptions,
} from '@papayaflow/policy';

const options: PickOptions = {
	nowMs: 0, random: seededRandom(1), zone: 'a', reportMaxAgeMs: 1000, zoneBias: 0, slowStartMs: 0, affinityKey: undefined, affinityLoadFactor: 1.25,
};

function candidate(id: string, ownTokens: number, overrides: Partial<Candidate> = {}): Candidate {
	return {
		id, zone: 'a', ownTokens, report: undefined, sinceMs: -10_000, ...overrides,
	};
}

function countPicks(candidates: readonly Candidate[], overrides: Partial<PickOptions> = {}): Record<string, number> {
	const counts: Record<string, number> = {};
	for (let i = 0; i < 300; i++) {
		const id = pickTarget(candidates, {...options, ...overrides})?.id ?? '';
		counts[id] = (counts[id] ?? 0) + 1;
	}

	return counts;
}

describe('pickTarget', () => {
	it('picks the drawn target with less outstanding work', () => {
		expect(countPicks([candidate('busy', 100), candidate('free', 0)])).to.deep.equal({free: 300});
	});

	it('counts the reported work of other entries, with less weight as the report ages', () => {
		const report = {
			outstandingTokens: 500, concurrency: 1, atMs: 0, ownTokensThen: 0, isSaturated: false,
		};
		const candidates = [candidate('reported', 0, {report}), candidate('idle', 10, {report: {...report, outstandingTokens: 0}})];
		expect(countPicks(candidates)).to.deep.equal({idle: 300});
		expect(countPicks(candidates, {nowMs: 5000})).to.deep.equal({reported: 300});
	});

	it('picks the same target for a prefix until its load exceeds the bound', () => {
		const free = ['a', 'b', 'c', 'd'].map(id => candidate(id, 10));
		const [home] = rendezvousOrder('prompt', ['a', 'b', 'c', 'd']);
		expect(countPicks(free, {affinityKey: 'prompt'})).to.deep.equal({[home]: 300});
		const loaded = free.map(other => other.id === home ? candidate(home, 1000) : other);
		expect(countPicks(loaded, {affinityKey: 'prompt'})[home]).to.equal(undefined);
	});

	it('picks a target in the entry\'s availability zone unless the load there is much higher', () => {
		const zones = [candidate('near', 10), candidate('far', 8, {zone: 'b'})];
		expect(countPicks(zones, {zoneBias: 1})).to.deep.equal({near: 300});
		expect(countPicks([candidate('near', 100), candidate('far', 0, {zone: 'b'})], {zoneBias: 0.3})).to.deep.equal({far: 300});
	});

	it('picks a new target less often during slow start', () => {
		const counts = countPicks([candidate('new', 0, {sinceMs: 0}), candidate('a', 0), candidate('b', 0)], {slowStartMs: 10_000});
		expect(counts.new).to.be.lessThan(100);
	});

	it('returns undefined without candidates', () => {
		expect(pickTarget([], options)).to.equal(undefined);
	});
});

describe('ejection', () => {
	const ejection = {ejectAfterFailures: 2, ejectMs: 100, maxEjectedRatio: 0.5};

	it('ejects a target after failures in a row, and again after one failed trial', () => {
		const once = afterFailure(healthy, 0, ejection);
		const twice = afterFailure(once, 0, ejection);
		const [failed, other] = [{health: twice, ownTokens: 0}, {health: healthy, ownTokens: 10}];
		expect(withoutEjected([failed, other], 50, ejection)).to.deep.equal([other]);
		expect(withoutEjected([failed, other], 150, ejection)).to.deep.equal([failed, other]);
		expect(afterFailure(twice, 150, ejection).ejectedUntilMs).to.equal(250);
		expect(afterSuccess()).to.deep.equal(healthy);
	});

	it('leaves out no more than the allowed ratio of the targets', () => {
		const out = {health: {failures: 9, ejectedUntilMs: 100, isTrial: true}, ownTokens: 0};
		expect(withoutEjected([out, out, out, out].map(target => ({...target})), 0, ejection).length).to.equal(2);
	});

	it('tries an ejected target again with one call at a time', () => {
		const health = {failures: 9, ejectedUntilMs: 100, isTrial: true};
		const [trying, other] = [{health, ownTokens: 10}, {health: healthy, ownTokens: 0}];
		expect(withoutEjected([trying, other], 150, ejection)).to.deep.equal([other]);
	});
});

describe('consumeQuota', () => {
	it('grants each entry its share of the quota without a central counter', () => {
		const shared = {requestsPerSecond: 10, burst: 20, entries: 2};
		let bucket = consumeQuota(undefined, shared, 0);
		let within = 0;
		for (let ms = 0; ms < 10_000; ms += 10) {
			within += bucket.kind === 'within' ? 1 : 0;
			bucket = consumeQuota(bucket.bucket, shared, ms);
		}

		expect(within).to.be.within(55, 61);
	});

	it('returns when the next request will be within the quota', () => {
		const shared = {requestsPerSecond: 1, burst: 1, entries: 1};
		const first = consumeQuota(undefined, shared, 0);
		expect(consumeQuota(first.bucket, shared, 400)).to.deep.include({kind: 'over', retryAfterMs: 600});
	});
});

describe('the fair queue', () => {
	const item = (organisation: string, weight = 1, priority = 5, cost = 10) => ({
		value: {}, organisation, weight, priority, cost, deadlineMs: 0,
	});

	it('serves organisations in proportion to their weights', () => {
		const queue = createFairQueue(() => 1000);
		for (let i = 0; i < 60; i++) {
			for (const [name, weight] of [['heavy', 3], ['light', 1]] as const) {
				queue.push(item(name, weight));
			}
		}

		const served = Array.from({length: 40}, () => queue.pop()?.organisation);
		expect(served.filter(name => name === 'heavy').length).to.be.within(29, 31);
	});

	it('serves a small organisation soon while another one floods the queue', () => {
		const queue = createFairQueue(() => 1000);
		for (let i = 0; i < 100; i++) {
			queue.push(item('flood'));
		}

		queue.pop();
		queue.push(item('small'));
		const next = [queue.pop()?.organisation, queue.pop()?.organisation];
		expect(next).to.include('small');
	});

	it('gives an organisation no advantage over others by a higher priority', () => {
		const queue = createFairQueue(() => 1000);
		for (let i = 0; i < 10; i++) {
			for (const [name, priority] of [['pushy', 0], ['modest', 9]] as const) {
				queue.push(item(name, 1, priority));
			}
		}

		const served = Array.from({length: 10}, () => queue.pop()?.organisation);
		expect(served.filter(name => name === 'modest').length).to.be.within(4, 6);
	});

	it('keeps its length and cost correct through any sequence of operations', () => {
		fc.assert(fc.property(fc.array(fc.tuple(fc.constantFrom('push', 'pop', 'sweep'), fc.nat(3), fc.integer({min: 1, max: 50})), {maxLength: 100}), operations => {
			const queue = createFairQueue<unknown>(() => 20);
			let held: Array<{cost: number}> = [];
			for (const [operation, organisationIndex, cost] of operations) {
				if (operation === 'push') {
					const pushed = item(`org-${organisationIndex}`, 1 + organisationIndex, organisationIndex, cost);
					held.push(pushed);
					const result = queue.push(pushed);
					held = result.kind === 'evicted' ? held.filter(other => other !== result.evicted) : held;
				} else if (operation === 'pop') {
					const popped = queue.pop();
					held = held.filter(other => other !== popped);
				} else {
					const swept = queue.removeWhere(other => other.cost > cost);
					held = held.filter(other => !swept.includes(other as never));
				}

				expect(queue.length).to.equal(held.length);
				expect(queue.cost).to.equal(held.reduce((sum, other) => sum + other.cost, 0));
			}
		}), {seed: 5, numRuns: 200});
	});
});

describe('the retry budget and backoff', () => {
	it('grants no more retries than the ratio of the requests plus the initial allowance', () => {
		const budget = createRetryBudget();
		let retried = 0;
		for (let i = 0; i < 1000; i++) {
			budget.onRequest(0.1);
			retried += budget.tryTake() ? 1 : 0;
		}

		expect(retried).to.be.within(100, 111);
	});

	it('draws the delay below a bound that doubles with each attempt up to a maximum', () => {
		expect([0, 1, 2, 10].map(attempt => backoffMs(attempt, {baseMs: 20, maxMs: 100, random: () => 1}))).to.deep.equal([20, 40, 80, 100]);
	});
});

describe('subsets and readers', () => {
	const nodes = Array.from({length: 60}, (_, index) => ({id: `s-${index}`, zone: `z-${index % 3}`}));

	it('picks the same subset each time, spread over the availability zones', () => {
		const picked = pickSubset('entry-1', nodes, 12);
		expect(picked).to.deep.equal(pickSubset('entry-1', nodes, 12));
		expect(new Set(picked.map(({zone}) => zone)).size).to.equal(3);
		expect(picked.length).to.equal(12);
	});

	it('replaces only the removed node in a subset', () => {
		const before = pickSubset('entry-1', nodes, 12);
		const after = pickSubset('entry-1', nodes.filter(node => node !== before[0]), 12);
		expect(after.filter(node => before.includes(node)).length).to.equal(11);
	});

	it('chooses the given number of readers in each zone', () => {
		const readers = nodes.filter(node => isReader(node, nodes, 2));
		expect(readers.length).to.equal(6);
	});
});

describe('rebalancing', () => {
	const zipf = (count: number): number[] => Array.from({length: count}, (_, index) => 1 / (index + 1));

	it('predicts the skew of its plan, keeps every expert and plans no more moves than allowed', () => {
		fc.assert(fc.property(fc.integer({min: 0, max: 64}), fc.nat(), (maxMoves, seed) => {
			const random = seededRandom(seed);
			const loads = zipf(64).toSorted(() => random() - 0.5);
			const map = initialMap(16, 64, 5);
			const plan = planMoves(map, loads, {maxMoves, goodSkew: 1.01});
			const after = applyMoves(map, plan.moves);
			expect(plan.moves.length).to.be.at.most(maxMoves);
			expect(isComplete(after, 64)).to.equal(true);
			expect(skewOf(rankLoads(after, loads))).to.be.closeTo(plan.skewAfter, 1e-9);
		}), {seed: 2, numRuns: 60});
	});

	it('reaches a skew as low as that of a full re-plan within a few rounds', () => {
		const loads = zipf(256);
		let map = initialMap(64, 256, 5);
		for (let round = 0; round < 6; round++) {
			map = applyMoves(map, planMoves(map, loads, {maxMoves: 64, goodSkew: 1.01}).moves);
		}

		expect(skewOf(rankLoads(map, loads))).to.be.at.most(1.1);
		expect(skewOf(rankLoads(planFromScratch(map, loads), loads))).to.be.at.most(1.1);
	});

	it('drops moves whose cost exceeds their gain', () => {
		const loads = zipf(64);
		const map = initialMap(16, 64, 5);
		const plan = planMoves(map, loads, {maxMoves: 32, goodSkew: 1.01});
		const costOptions = {
			horizonSteps: 1000, loadMs: 2, moveMs: 2, skewWeight: 1, costWeight: 1,
		};
		expect(selectWorthwhileMoves(map, loads, plan, costOptions).length).to.be.greaterThan(0);
		expect(selectWorthwhileMoves(map, loads, plan, {...costOptions, costWeight: 1e9})).to.deep.equal([]);
	});

	it('plans moves for the layer with the highest skew first', () => {
		const map = initialMap(16, 64, 5);
		const even = Array.from({length: 64}, () => 1 / 64);
		const layers = [{map, shares: even}, {map, shares: zipf(64)}];
		const costOptions = {
			horizonSteps: 1000, loadMs: 2, moveMs: 0, skewWeight: 1, costWeight: 1,
		};
		const moves = planLayers(layers, {maxMoves: 8, goodSkew: 1.01}, costOptions);
		expect(moves.length).to.be.within(1, 8);
		expect(new Set(moves.map(({layer}) => layer))).to.deep.equal(new Set([1]));
	});

	it('lists the moves that turn one map into another', () => {
		const from = initialMap(8, 16, 3);
		const to = planFromScratch(from, zipf(16));
		const reached = applyMoves(from, movesBetween(from, to));
		const sorted = (slots: readonly number[]): readonly number[] => slots.toSorted((a, b) => a - b);
		expect(reached.map(slots => sorted(slots))).to.deep.equal(to.map(slots => sorted(slots)));
	});

	it('adopts a large change of an expert\'s share at once and smooths small ones', () => {
		let popularity = updatePopularity(uniformPopularity(4), [25, 25, 25, 25], {weight: 0.1, jumpRatio: 0.5});
		popularity = updatePopularity(popularity, [27, 23, 25, 25], {weight: 0.1, jumpRatio: 0.5});
		expect(popularity.shares[0]).to.be.closeTo(0.252, 1e-6);
		popularity = updatePopularity(popularity, [70, 10, 10, 10], {weight: 0.1, jumpRatio: 0.5});
		expect(popularity.shares[0]).to.be.closeTo(0.7, 0.01);
	});

	it('ignores a report without counts or with another number of experts', () => {
		const before = uniformPopularity(4);
		expect(updatePopularity(before, [1, 2], {weight: 0.1, jumpRatio: 0.5})).to.equal(before);
		expect(updatePopularity(before, [0, 0, 0, 0], {weight: 0.1, jumpRatio: 0.5})).to.equal(before);
	});
});

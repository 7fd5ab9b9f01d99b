import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {createRankGroup, seededRandom, type RankGroup} from '@papayaflow/standins';
import {createAdversary, settle} from './faulty-network.js';
import {
	createRankGate, recover, switchMap, type CoordinatorOptions, type Ranks,
} from '@papayaflow/experts';

const moves = [{
	layer: 0, rank: 0, slot: 0, expert: 1,
}];

function groupOf(ranks: number): RankGroup {
	return createRankGroup({
		ranks, layers: 1, experts: ranks * 2, slots: 3, checksFencing: true,
	});
}

function reach(group: RankGroup, count: number, isDeaf: (rank: number, kind: string) => boolean = () => false): Ranks {
	return {
		count,
		order: async (rank, order) => isDeaf(rank, order.kind) ? undefined : group.order(rank, order),
	};
}

function options(ranks: Ranks, epoch = 1): CoordinatorOptions {
	return {
		ranks, epoch, stepsAhead: 3, pause: settle, isStopped: () => false,
	};
}

function takeSteps(group: RankGroup, count: number): number {
	return Array.from({length: count}, () => group.step()).filter(Boolean).length;
}

describe('a switch of the expert map', () => {
	it('comes in force on every rank at one step', async () => {
		const group = groupOf(4);
		expect(await switchMap({version: 1, moves}, options(reach(group, 4)))).to.deep.equal({kind: 'committed', step: 3});
		takeSteps(group, 5);
		expect(group.used()).to.deep.equal([{step: 1, versions: [0, 0, 0, 0]}, {step: 3, versions: [1, 1, 1, 1]}]);
	});

	it('is aborted when one rank does not reply, and the group steps on', async () => {
		const group = groupOf(4);
		const ranks = reach(group, 4, (rank, kind) => rank === 2 && kind === 'hold');
		expect(await switchMap({version: 1, moves}, options(ranks))).to.deep.equal({kind: 'aborted', at: 'hold'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.version()).to.equal(0);
	});

	it('is aborted when a rank is past the step already', async () => {
		const group = groupOf(4);
		let prepared = 0;
		const ranks: Ranks = {
			count: 4,
			async order(rank, order) {
				if (order.kind === 'hold' && prepared++ === 0) {
					takeSteps(group, 9);
				}

				return group.order(rank, order);
			},
		};
		expect(await switchMap({version: 1, moves}, options(ranks))).to.deep.equal({kind: 'aborted', at: 'hold'});
	});

	it('stops at the step that is undecided, rather than taking it with two maps', async () => {
		const group = groupOf(4);
		group.order(0, {
			kind: 'prepare', epoch: 1, version: 1, moves,
		});
		group.order(0, {
			kind: 'hold', epoch: 1, version: 1, step: 3,
		});
		expect(takeSteps(group, 10)).to.equal(2);
	});

	it('is finished by a new coordinator when any rank has committed', async () => {
		const group = groupOf(4);
		const first = options(reach(group, 4, (rank, kind) => rank !== 1 && kind === 'commit'));
		let pauses = 0;
		await switchMap({version: 1, moves}, {...first, isStopped: () => pauses++ > 20});
		expect(takeSteps(group, 10)).to.equal(2);
		const recovered = await recover(options(reach(group, 4), 2));
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'committed'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.mixedSteps()).to.equal(0);
		expect(group.version()).to.equal(1);
	});

	it('is undone by a new coordinator when no rank has committed', async () => {
		const group = groupOf(4);
		for (const rank of [0, 1]) {
			group.order(rank, {
				kind: 'prepare', epoch: 1, version: 1, moves,
			});
			group.order(rank, {
				kind: 'hold', epoch: 1, version: 1, step: 3,
			});
		}

		const recovered = await recover(options(reach(group, 4), 2));
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'aborted'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.version()).to.equal(0);
	});

	it('is not committed late by an old coordinator, also on engines that ignore fencing numbers', async () => {
		const group = createRankGroup({
			ranks: 2, layers: 1, experts: 4, slots: 3, checksFencing: false,
		});
		const gates = [0, 1].map(rank => createRankGate(async order => group.order(rank, order), async () => 0));
		for (const gate of gates) {
			await gate.order({
				kind: 'prepare', epoch: 1, version: 1, moves,
			});
			await gate.order({
				kind: 'hold', epoch: 1, version: 1, step: 3,
			});
		}

		let pauses = 0;
		const ranks: Ranks = {
			count: 2,
			async order(rank, order) {
				if (order.kind === 'abort') {
					// The old coordinator's commit arrives after the ranks have told what they hold.
					await gates[0].order({kind: 'commit', epoch: 1, version: 1});
				}

				return gates[rank].order(order);
			},
		};
		const recovered = await recover({...options(ranks, 2), isStopped: () => pauses++ > 20});
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'aborted'});
		takeSteps(group, 10);
		expect(group.mixedSteps()).to.equal(0);
	});

	it('is left to the coordinator with the higher epoch', async () => {
		const group = groupOf(4);
		await recover(options(reach(group, 4), 2));
		expect(await switchMap({version: 1, moves}, options(reach(group, 4), 1))).to.deep.equal({kind: 'superseded'});
	});
});

describe('one expert map in every step', () => {
	for (const checksFencing of [true, false]) {
		it(`holds with two coordinators over a net that loses, repeats and reorders, ${checksFencing ? 'engines checking' : 'engines ignoring'} fencing numbers`, async () => {
			await fc.assert(fc.asyncProperty(fc.nat(), async seed => {
				const random = seededRandom(seed);
				let epoch = 1;
				const net = createAdversary({
					ranks: 3, checksFencing, random, knownEpoch: () => 0,
				});
				const run = async (ranks: Ranks, own: number, start: number): Promise<void> => {
					const mine = {...options(ranks, own), isStopped: () => own < epoch && random() < 0.05};
					const recovered = own === 1 ? {kind: 'recovered' as const, version: start} : await recover(mine);
					for (let version = (recovered.kind === 'recovered' ? recovered.version : 0) + 1; version < start + 4; version++) {
						const result = await switchMap({version, moves}, mine);
						if (result.kind === 'superseded') {
							return;
						}
					}
				};

				const first = net.connect();
				void run(first, 1, 0);
				const actsBefore = Math.floor(random() * 120);
				for (let i = 0; i < actsBefore; i++) {
					await net.act();
				}

				// The first coordinator crashes, or is only taken for dead and goes on beside the second.
				if (random() < 0.5) {
					first.crash();
				}

				epoch = 2;
				let isDone = false;
				void run(net.connect(), 2, 3).then(() => {
					isDone = true;
				});
				for (let i = 0; i < 120; i++) {
					await net.act();
				}

				net.calm();
				for (let i = 0; i < 400 && !isDone; i++) {
					await net.act();
				}

				expect(net.group.mixedSteps()).to.equal(0);
				expect(isDone, 'the second coordinator ends').to.equal(true);
				expect(net.group.step(), 'the group steps again').to.equal(true);
			}), {seed: 7, numRuns: 40});
		}).timeout(120_000);
	}
});

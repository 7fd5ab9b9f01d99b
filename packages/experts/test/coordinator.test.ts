import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {createRankGroup, seededRandom, type RankGroup} from '@papayaflow/standins';
import {createFaultyNetwork, settle} from './faulty-network.js';
import {
	createRankGate, recover, switchMap, type CoordinatorOptions, type Ranks,
} from '@papayaflow/experts';

const moves = [{
	layer: 0, rank: 0, slot: 0, expert: 1,
}];

function createGroup(ranks: number): RankGroup {
	return createRankGroup({
		ranks, layers: 1, experts: ranks * 2, slots: 3, checksFencing: true,
	});
}

function connectTo(group: RankGroup, count: number, dropsOrder: (rank: number, kind: string) => boolean = () => false): Ranks {
	return {
		count,
		order: async (rank, order) => dropsOrder(rank, order.kind) ? undefined : group.order(rank, order),
	};
}

function optionsOf(ranks: Ranks, epoch = 1): CoordinatorOptions {
	return {
		ranks, epoch, stepsAhead: 3, waitBeforeRetry: settle, isStopped: () => false,
	};
}

function takeSteps(group: RankGroup, count: number): number {
	return Array.from({length: count}, () => group.step()).filter(Boolean).length;
}

describe('the switch protocol of expert maps', () => {
	it('applies a committed map on every rank at the same step', async () => {
		const group = createGroup(4);
		expect(await switchMap({version: 1, moves}, optionsOf(connectTo(group, 4)))).to.deep.equal({kind: 'committed', step: 3});
		takeSteps(group, 5);
		expect(group.used()).to.deep.equal([{step: 1, versions: [0, 0, 0, 0]}, {step: 3, versions: [1, 1, 1, 1]}]);
	});

	it('aborts the switch when one rank does not reply, and the group keeps stepping', async () => {
		const group = createGroup(4);
		const ranks = connectTo(group, 4, (rank, kind) => rank === 2 && kind === 'hold');
		expect(await switchMap({version: 1, moves}, optionsOf(ranks))).to.deep.equal({kind: 'aborted', at: 'hold'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.version()).to.equal(0);
	});

	it('aborts the switch when a rank is already past the step to hold', async () => {
		const group = createGroup(4);
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
		expect(await switchMap({version: 1, moves}, optionsOf(ranks))).to.deep.equal({kind: 'aborted', at: 'hold'});
	});

	it('blocks the group before a held step, so that the step never runs with two maps', async () => {
		const group = createGroup(4);
		group.order(0, {
			kind: 'prepare', epoch: 1, version: 1, moves,
		});
		group.order(0, {
			kind: 'hold', epoch: 1, version: 1, step: 3,
		});
		expect(takeSteps(group, 10)).to.equal(2);
	});

	it('commits the map on every rank when a new coordinator takes over and any rank has committed it', async () => {
		const group = createGroup(4);
		const firstOptions = optionsOf(connectTo(group, 4, (rank, kind) => rank !== 1 && kind === 'commit'));
		let pauses = 0;
		await switchMap({version: 1, moves}, {...firstOptions, isStopped: () => pauses++ > 20});
		expect(takeSteps(group, 10)).to.equal(2);
		const recovered = await recover(optionsOf(connectTo(group, 4), 2));
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'committed'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.mixedSteps()).to.equal(0);
		expect(group.version()).to.equal(1);
	});

	it('aborts the map on every rank when a new coordinator takes over and no rank has committed it', async () => {
		const group = createGroup(4);
		for (const rank of [0, 1]) {
			group.order(rank, {
				kind: 'prepare', epoch: 1, version: 1, moves,
			});
			group.order(rank, {
				kind: 'hold', epoch: 1, version: 1, step: 3,
			});
		}

		const recovered = await recover(optionsOf(connectTo(group, 4), 2));
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'aborted'});
		expect(takeSteps(group, 10)).to.equal(10);
		expect(group.version()).to.equal(0);
	});

	it('is not affected by a late commit of an old coordinator, even on engines that ignore fencing tokens', async () => {
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
					// The commit of the old coordinator arrives after the new one has read the states of the ranks.
					await gates[0].order({kind: 'commit', epoch: 1, version: 1});
				}

				return gates[rank].order(order);
			},
		};
		const recovered = await recover({...optionsOf(ranks, 2), isStopped: () => pauses++ > 20});
		expect(recovered).to.deep.equal({kind: 'recovered', version: 1, finished: 'aborted'});
		takeSteps(group, 10);
		expect(group.mixedSteps()).to.equal(0);
	});

	it('gives up the switch when another coordinator has a higher epoch', async () => {
		const group = createGroup(4);
		await recover(optionsOf(connectTo(group, 4), 2));
		expect(await switchMap({version: 1, moves}, optionsOf(connectTo(group, 4), 1))).to.deep.equal({kind: 'superseded'});
	});
});

describe('a group with two coordinators on a faulty network', () => {
	for (const checksFencing of [true, false]) {
		it(`runs every step with one expert map when messages are lost, repeated and reordered and engines ${checksFencing ? 'check' : 'ignore'} fencing tokens`, async () => {
			await fc.assert(fc.asyncProperty(fc.nat(), async seed => {
				const random = seededRandom(seed);
				let highestEpoch = 1;
				const network = createFaultyNetwork({
					ranks: 3, checksFencing, random, knownEpoch: () => 0,
				});
				const runCoordinator = async (ranks: Ranks, ownEpoch: number, startVersion: number): Promise<void> => {
					const coordinatorOptions = {...optionsOf(ranks, ownEpoch), isStopped: () => ownEpoch < highestEpoch && random() < 0.05};
					const recovered = ownEpoch === 1 ? {kind: 'recovered' as const, version: startVersion} : await recover(coordinatorOptions);
					for (let version = (recovered.kind === 'recovered' ? recovered.version : 0) + 1; version < startVersion + 4; version++) {
						const result = await switchMap({version, moves}, coordinatorOptions);
						if (result.kind === 'superseded') {
							return;
						}
					}
				};

				const firstRanks = network.connect();
				void runCoordinator(firstRanks, 1, 0);
				const eventsBeforeTakeover = Math.floor(random() * 120);
				for (let i = 0; i < eventsBeforeTakeover; i++) {
					await network.runRandomEvent();
				}

				// The first coordinator crashes, or is wrongly considered dead and keeps running beside the second one.
				if (random() < 0.5) {
					firstRanks.crash();
				}

				highestEpoch = 2;
				let isDone = false;
				void runCoordinator(network.connect(), 2, 3).then(() => {
					isDone = true;
				});
				for (let i = 0; i < 120; i++) {
					await network.runRandomEvent();
				}

				network.stopFaults();
				for (let i = 0; i < 400 && !isDone; i++) {
					await network.runRandomEvent();
				}

				expect(network.group.mixedSteps()).to.equal(0);
				expect(isDone, 'the second coordinator finishes').to.equal(true);
				expect(network.group.step(), 'the group can take another step').to.equal(true);
			}), {seed: 7, numRuns: 40});
		}).timeout(120_000);
	}
});

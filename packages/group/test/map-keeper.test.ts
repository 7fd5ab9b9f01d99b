import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	type GuardedCommand, type LayeredMap, type PassCommand, type RankView,
} from '@papayaflow/experts';
import {layeredSkew, type Demand} from '@papayaflow/policy';
import {createPassGroup, seededRandom, type PassOrder} from '@papayaflow/standins';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {createDemandBoard, keepMap} from '@papayaflow/group';

const [ranks, layers, experts] = [24, 16, 96];

/** Map 0: experts in turn. */
const inTurn: LayeredMap = Array.from({length: layers}, () => Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, i) => rank + (i * ranks))));

/** A demand as it is right after a shift: a few experts of each layer are liked, others by layer. */
function shiftedDemands(atMs: number): readonly Demand[] {
	const random = seededRandom(7);
	return Array.from({length: layers}, () => {
		const liked = Array.from({length: experts}, () => random() ** 12);
		const sum = liked.reduce((all, one) => all + one, 0);
		return {shares: liked.map(one => one / sum), reports: 3, shiftedAtMs: atMs};
	});
}

/** The passes' own order for a command; a copy takes no time here. */
const orderOf = ({command}: GuardedCommand): PassOrder => command satisfies PassCommand;

type Kept = {readonly skewAt: (ms: number) => number; readonly changes: readonly number[]};

/** Keeps a map for three virtual seconds in which a pass takes 100 ms. */
async function keep(expertGigabytes: number): Promise<Kept> {
	const group = createPassGroup(ranks);
	let nowMs = 10_000;
	const demands = shiftedDemands(nowMs);
	const changes: Array<{readonly ms: number; readonly skew: number}> = [];
	const skewOf = (map: LayeredMap): number => layeredSkew(map.map((placement, layer) => ({placement, shares: demands[layer].shares})));
	const view = (rank: number): RankView => {
		const {map, prepared, armed} = group.ranks[rank];
		return {
			group: 'g', formation: 1, isOpen: true, rank, size: ranks, pass: group.pass(), isCopying: false, mapVersion: map, prepared, armed, held: group.held(rank), pace: 1,
			queued: 0, active: 0, usedTokens: 0,
		};
	};

	let nextPassMs = nowMs;
	await keepMap({
		ranks: {
			count: ranks, onFrame: () => false, look: async rank => view(rank),
			order: async (rank, guarded) => group.order(rank, orderOf(guarded), guarded),
			command: async (rank, guarded) => ({result: group.order(rank, orderOf(guarded), guarded), view: view(rank)}),
		},
		ownRank: 0, formation: 1, takeToken: async () => 1, readMap: async () => ({version: 0, map: inTurn}), view: () => view(0),
		board: {
			...createDemandBoard({layers, experts}), settle: () => undefined, demands: () => demands, layerShiftMs: () => 4000,
		},
		model: {
			layers, expertsPerLayer: experts, slotsPerRank: 5, maxNewPerLayer: 1, workShare: 0.85, formMs: 600, expertGigabytes, copyMs: 240,
		},
		weights: {goodSkew: 1.05, copyCost: 0.065, workShare: 0.7},
		log: createLog({}, 'error'), metrics: createMetrics(), nowMs: () => nowMs,
		async sleep(ms) {
			nowMs += ms;
			for (; nextPassMs <= nowMs; nextPassMs += 100) {
				group.begin();
			}
		},
		isStopped: () => nowMs > 13_000,
		onMap(map) {
			changes.push({ms: nowMs - 10_000, skew: skewOf(map)});
		},
	});
	return {
		skewAt: ms => changes.findLast(change => change.ms <= ms)?.skew ?? skewOf(inTurn),
		changes: changes.slice(1).map(({ms}) => ms),
	};
}

describe('the keeper of a map', () => {
	// After a shift that one change can't make up for: many layers, few places a rank, one new expert a layer.
	it('goes on to the next change without the pause that follows a plan of no change', async () => {
		const {changes, skewAt} = await keep(0.4);
		expect(changes.length).to.be.at.least(2);
		expect(changes[1] - changes[0]).to.be.below(900);
		expect(skewAt(2000)).to.be.below(skewAt(changes[0]));
	});

	it('copies small experts more freely than large ones', async () => {
		const [small, large] = [await keep(0.4), await keep(40)];
		expect(small.skewAt(2500)).to.be.below(large.skewAt(2500) - 0.2);
	});
});

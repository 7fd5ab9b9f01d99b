import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	type GuardedCommand, type LayeredMap, type PassCommand, type RankView,
} from '@papayaflow/experts';
import {skewOfLayers, type Demand} from '@papayaflow/policy';
import {createPassGroup, seededRandom, type PassOrder} from '@papayaflow/standins';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {balanceExperts, createDemandTracker} from '@papayaflow/group';

const [ranks, layers, experts] = [24, 16, 96];

/** The initial map, version 0, which assigns the experts to the ranks round robin. */
const roundRobinMap: LayeredMap = Array.from({length: layers}, () => Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, i) => rank + (i * ranks))));

/** The demand right after a shift: in each layer a few experts are hot, different ones in each layer and for each seed. */
function shiftedDemands(atMs: number, seed = 7): readonly Demand[] {
	const random = seededRandom(seed);
	return Array.from({length: layers}, () => {
		const weights = Array.from({length: experts}, () => random() ** 12);
		const sum = weights.reduce((total, weight) => total + weight, 0);
		return {shares: weights.map(weight => weight / sum), reports: 3, shiftedAtMs: atMs};
	});
}

/** Converts a command into an order of the stand-in group, in which a copy takes no time. */
const orderOf = ({command}: GuardedCommand): PassOrder => command satisfies PassCommand;

type BalancingResult = {readonly skewAt: (ms: number) => number; readonly changes: readonly number[]; readonly skewAfterSecondShift: number; readonly tokens: number; readonly refusedPrepares: number};

type BalancingOptions = {
	readonly expertGigabytes: number;
	readonly need?: number;
	/** When the demand shifts a second time, in milliseconds. */
	readonly secondShiftMs?: number;
	/** How long each reading of the clock takes, in milliseconds, and the other work each time that the plan gives way to it. */
	readonly clockMs?: number;
	readonly otherWorkMs?: number;
	/** Until when the preparation of a map takes `slowPrepareMs` instead of no time, in milliseconds. */
	readonly slowUntilMs?: number;
	readonly shiftIntervalMs?: number;
	readonly lengthMs?: number;
	/** From the first change until when no pass begins, in milliseconds. */
	readonly idleUntilMs?: number;
	/** Until when the map can't be read from every rank, in milliseconds. */
	readonly unreadableUntilMs?: number;
};

/** How long a preparation takes in which some ranks leave orders unanswered, in milliseconds. */
const slowPrepareMs = 1500;

/** Runs the balancer for three virtual seconds, or `lengthMs`, in which a pass takes 100 ms. */
async function runBalancer({
	expertGigabytes, need = 1, secondShiftMs = Number.POSITIVE_INFINITY, clockMs = 0, otherWorkMs = 0, slowUntilMs = 0, shiftIntervalMs = 4000, lengthMs = 3000, unreadableUntilMs = 0, idleUntilMs = 0,
}: BalancingOptions): Promise<BalancingResult> {
	const group = createPassGroup(ranks);
	let nowMs = 10_000;
	const firstDemands = shiftedDemands(nowMs);
	const secondDemands = shiftedDemands(nowMs + secondShiftMs, 8);
	let demands = firstDemands;
	let currentMap = roundRobinMap;
	let skewAfterSecondShift = Number.NaN;
	const changes: Array<{readonly ms: number; readonly skew: number}> = [];
	const skewOf = (map: LayeredMap): number => skewOfLayers(map.map((placement, layer) => ({placement, shares: demands[layer].shares})));
	const view = (rank: number): RankView => {
		const {map, prepared, armed} = group.ranks[rank];
		return {
			group: 'g', formation: 1, isOpen: true, rank, size: ranks, pass: group.pass(), isCopying: false, mapVersion: map, prepared, armed, held: group.held(rank), pace: 1,
			queued: 0, active: 0, usedTokens: 0,
		};
	};

	let nextPassMs = nowMs;
	let tokens = 0;
	let refusedPrepares = 0;
	const order = (rank: number, guarded: GuardedCommand): ReturnType<typeof group.order> => {
		const result = group.order(rank, orderOf(guarded), guarded);
		refusedPrepares += guarded.command.kind === 'prepare' && result === 'refused' ? 1 : 0;
		return result;
	};

	await balanceExperts({
		ranks: {
			count: ranks, onFrame: () => false, readExperts: async () => undefined, readView: async rank => view(rank),
			order: async (rank, guarded) => order(rank, guarded),
			async command(rank, guarded) {
				nowMs += guarded.command.kind === 'prepare' && nowMs - 10_000 < slowUntilMs ? slowPrepareMs / ranks : 0;
				return {result: order(rank, guarded), view: view(rank)};
			},
		},
		ownRank: 0, formation: 1, acquireToken: async () => ++tokens, waitForMembers: async () => undefined, view: () => view(0),
		readMap: async () => nowMs - 10_000 < unreadableUntilMs ? undefined : {version: 0, map: roundRobinMap},
		tracker: {
			...createDemandTracker({layers, experts}), demands: () => demands, meanLayerShiftIntervalMs: () => shiftIntervalMs,
			settle() {
				if (demands === firstDemands && nowMs - 10_000 >= secondShiftMs) {
					demands = secondDemands;
					skewAfterSecondShift = skewOf(currentMap);
				}
			},
		},
		model: {
			layers, expertsPerLayer: experts, slotsPerRank: 5, maxNewPerLayer: 1, workShare: 0.85, formationMs: 600, expertGigabytes, copyMs: 240,
		},
		weights: {goodSkew: 1.05, copyCost: 0.065, workShare: 0.7},
		log: createLog({}, 'error'), metrics: createMetrics(),
		nowMs() {
			nowMs += clockMs;
			return nowMs;
		},
		async sleep(ms) {
			nowMs += ms;
			const isIdle = changes.length > 1 && nowMs - 10_000 < idleUntilMs;
			for (; nextPassMs <= nowMs; nextPassMs += 100) {
				if (!isIdle) {
					group.beginPass();
				}
			}
		},
		async yieldTurn() {
			nowMs += otherWorkMs;
		},
		need: () => need,
		isStopped: () => nowMs > 10_000 + lengthMs,
		onMap(map) {
			currentMap = map;
			changes.push({ms: nowMs - 10_000, skew: skewOf(map)});
		},
	});
	return {
		skewAt: ms => changes.findLast(change => change.ms <= ms)?.skew ?? skewOf(roundRobinMap),
		changes: changes.slice(1).map(({ms}) => ms),
		skewAfterSecondShift,
		tokens,
		refusedPrepares,
	};
}

describe('the expert balancer', () => {
	// One change can't correct the skew after this shift, since a rank may take only one new expert per layer and change.
	it('makes the next change without waiting for the replan interval', async () => {
		const {changes, skewAt} = await runBalancer({expertGigabytes: 0.4});
		expect(changes.length).to.be.at.least(2);
		expect(changes[1] - changes[0]).to.be.below(900);
		expect(skewAt(2000)).to.be.below(skewAt(changes[0]));
	});

	// Guards against a map that comes seconds after a shift: plans were made rarely when other work of the process took most of the time.
	it('has a better map in force a second after a shift, also when other work takes most turns of the process', async () => {
		const {changes, skewAt, skewAfterSecondShift} = await runBalancer({
			expertGigabytes: 0.4, secondShiftMs: 800, clockMs: 0.3, otherWorkMs: 60,
		});
		expect(changes.some(ms => ms > 800 && ms <= 1800), changes.join(', ')).to.equal(true);
		expect(skewAt(1800) - 1).to.be.below((skewAfterSecondShift - 1) / 2);
	});

	// Guards against shifts that are hardly followed for seconds after ranks have left orders unanswered.
	it('follows a shift as closely as before after preparations that took long', async () => {
		const options = {
			expertGigabytes: 0.4, secondShiftMs: 8000, shiftIntervalMs: 1500, lengthMs: 10_000,
		};
		const [calm, disturbed] = [await runBalancer(options), await runBalancer({...options, slowUntilMs: 7900})];
		const skewAfterFirstChange = ({changes, skewAt}: BalancingResult): number => skewAt(changes.find(ms => ms > 8000) ?? 8000);
		expect(skewAfterFirstChange(disturbed)).to.be.at.most(skewAfterFirstChange(calm) + 0.05);
	});

	// Guards against orders sent for seconds to ranks that refuse them, and a change that comes late: a switch had ended, and no pass began by which the ranks would have left the armed state.
	it('starts no change before a pass has begun with the last one, and then follows the shift at once', async () => {
		const {changes, skewAt, skewAfterSecondShift, refusedPrepares} = await runBalancer({
			expertGigabytes: 0.4, secondShiftMs: 1000, idleUntilMs: 4000, lengthMs: 6000,
		});
		expect(refusedPrepares).to.equal(0);
		expect(changes.filter(ms => ms > changes[0] && ms < 4000)).to.deep.equal([]);
		expect(changes.some(ms => ms >= 4000 && ms <= 4500), changes.join(', ')).to.equal(true);
		expect(skewAt(6000)).to.be.below(skewAfterSecondShift);
	});

	// Guards against a first map that comes a second late: each attempt to read the map of a group that has just started took another token from the store.
	it('reads the map again under the same token until every rank can be read', async () => {
		const {tokens, changes} = await runBalancer({expertGigabytes: 0.4, unreadableUntilMs: 700});
		expect(tokens).to.equal(1);
		expect(changes.some(ms => ms < 1700), changes.join(', ')).to.equal(true);
	});

	it('copies small experts more freely than large ones', async () => {
		const [small, large] = [await runBalancer({expertGigabytes: 0.4}), await runBalancer({expertGigabytes: 40})];
		expect(small.skewAt(2500)).to.be.below(large.skewAt(2500) - 0.2);
	});

	it('changes nothing while passes are short enough with any map', async () => {
		const {changes} = await runBalancer({expertGigabytes: 0.4, need: 0});
		expect(changes).to.deep.equal([]);
	});
});

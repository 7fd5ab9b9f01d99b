import {
	resolvePass, switchPass, type LayeredMap, type PassSwitchOptions, type RankView,
} from '@papayaflow/experts';
import {
	layeredSkew, spreadExperts, type Demand, type Spread,
} from '@papayaflow/policy';
import {type ExpertModel} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type DemandBoard} from './demand-board.js';
import {type RemoteRanks} from './remote-ranks.js';

/** Passes between the one that was begun and the one that is held: the arms take less than a pass, so the group seldom stops. */
const passesAhead = 2;

/** The same where orders go unanswered, and ranks have to be told several times. */
const passesAheadOfSilence = 10;

/** Pause between two looks at the demand, in milliseconds. */
const planMs = 60;

/** How long after a plan that changed nothing the next one is made, in milliseconds, where no demand has shifted: a plan takes some milliseconds of a core. */
const replanMs = 900;

/** Pause before a coordinator that could not take its token, or reach a rank, tries again, in milliseconds. */
const retryMs = 300;

/** How long a demand is taken to last before two shifts have been seen, in milliseconds. */
const usualShiftMs = 4000;

/** How long a rank may take to copy its part of a map, in milliseconds, beyond which the switch is abandoned. */
const prepareTimeoutMs = 6000;

/** How long a superseded coordinator waits before it takes another token, in milliseconds, if it still coordinates. */
const supersededMs = 1000;

/** How long a held group is worked on before the coordinator looks anew at all ranks, in milliseconds. */
const decideTimeoutMs = 3000;

/** What passes take longer while a rank copies, as a ratio: the engines' published figure. */
const copySlowdown = 0.15;

/** The first versions of a coordinator's maps lie this far above its token's multiple, so that each coordinator's are above those before. */
const versionsPerToken = 10_000;

/** What the keeper's choices weigh. */
export type MapWeights = {
	/** The skew at which a layer is left as it is. */
	readonly goodSkew: number;
	/** What copying a gigabyte costs, in seconds of one rank's passes at skew 1 that take as long again. */
	readonly copyCost: number;
	/** The part of a pass that the experts' work is, at skew 1. */
	readonly workShare: number;
};

export type MapKeeperDeps = {
	readonly ranks: RemoteRanks;
	readonly ownRank: number;
	readonly board: DemandBoard;
	readonly model: ExpertModel;
	readonly weights: MapWeights;
	readonly takeToken: () => Promise<number | undefined>;
	/** Reads the map that the ranks use, from the ranks themselves. */
	readonly readMap: () => Promise<{readonly version: number; readonly map: LayeredMap} | undefined>;
	readonly formation: number;
	readonly view: () => RankView | undefined;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly nowMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly isStopped: () => boolean;
	/** Told of the map in use, for the prediction of passes. */
	readonly onMap: (map: LayeredMap) => void;
};

/**
Keeps the experts of one formation of a group spread over its ranks until it is
stopped or superseded: takes a token, resolves what an earlier coordinator left,
then plans and switches again and again.

@example
await keepMap(deps);
*/
export async function keepMap(deps: MapKeeperDeps): Promise<void> {
	while (!deps.isStopped()) {
		const token = await tokenOf(deps);
		if (token === undefined) {
			return;
		}

		// Another coordinator that took over steps down when it sees this one; then the work is this one's again.
		if (await keepWithToken(token, deps) === 'superseded') {
			await deps.sleep(supersededMs);
		}
	}
}

/** Keeps the map under one token, until a switch gets stuck; then all ranks are looked at anew, under another one. */
async function keepWithToken(token: number, deps: MapKeeperDeps): Promise<'stuck' | 'superseded'> {
	const {log, metrics} = deps;
	let heldLast = 0;
	const options: PassSwitchOptions = {
		ranks: deps.ranks, fencingToken: token, formation: deps.formation, holder: deps.ownRank, prepareTimeoutMs, decideTimeoutMs,
		nowMs: deps.nowMs, sleep: deps.sleep, isStopped: deps.isStopped,
		passAfter(begun, hasSilence) {
			heldLast = Math.max(heldLast + 1, begun + (hasSilence ? passesAheadOfSilence : passesAhead));
			return heldLast;
		},
	};
	log.info({token, formation: deps.formation}, 'coordinator took its token');
	const taken = await takeOver(options, deps);
	if (typeof taken === 'string') {
		await deps.sleep(retryMs);
		return taken;
	}

	let {map} = taken;
	heldLast = taken.held;
	let version = Math.max(token * versionsPerToken, taken.newest);
	let {copyMs} = deps.model;
	let plannedMs = Number.NEGATIVE_INFINITY;
	deps.onMap(map);
	while (!deps.isStopped()) {
		await deps.sleep(planMs);
		// An order that was given up may still have been obeyed, and hold the group.
		if (deps.view()?.held !== undefined) {
			log.warn({token, held: deps.view()?.held}, 'group held outside a switch');
			return 'stuck';
		}

		deps.board.settle(deps.nowMs());
		const demands = deps.board.demands();
		if (!hasShiftedSince(demands, plannedMs) && deps.nowMs() - plannedMs < replanMs) {
			continue;
		}

		plannedMs = deps.nowMs();
		const chosen = choose(map, demands, {copyMs, shiftMs: deps.board.layerShiftMs() ?? usualShiftMs, nowMs: plannedMs}, deps);
		if (!chosen) {
			continue;
		}

		version += 2;
		const result = await switchPass({version, map: chosen.placements, current: map}, options);
		metrics.count('map_switches', {result: result.kind});
		log.info({
			version, formation: deps.formation, token, result, copies: chosen.copies, mostPerRank: chosen.mostPerRank,
			skewBefore: round(chosen.skewBefore), skewAfter: round(chosen.skewAfter), demandAgeMs: ages(demands, deps.nowMs()),
		}, 'map switch ended');
		switch (result.kind) {
			case 'switched': {
				metrics.count('experts_moved', {}, chosen.copies);
				metrics.latency('map_prepare', result.preparedMs);
				metrics.latency('map_hold', result.heldMs);
				copyMs = chosen.mostPerRank > 0 ? result.preparedMs / chosen.mostPerRank : copyMs;
				map = chosen.placements;
				plannedMs = Number.NEGATIVE_INFINITY;
				deps.onMap(map);
				break;
			}

			case 'abandoned': {
				await deps.sleep(retryMs);
				break;
			}

			case 'superseded':
			case 'stuck': {
				return result.kind;
			}
		}
	}

	return 'superseded';
}

function hasShiftedSince(demands: readonly Demand[], sinceMs: number): boolean {
	return demands.some(({shiftedAtMs}) => shiftedAtMs !== undefined && shiftedAtMs > sinceMs);
}

async function tokenOf({takeToken, isStopped, sleep}: MapKeeperDeps): Promise<number | undefined> {
	while (!isStopped()) {
		const token = await takeToken();
		if (token !== undefined) {
			return token;
		}

		await sleep(retryMs);
	}

	return undefined;
}

/** What a coordinator goes on from. */
type Taken = {readonly map: LayeredMap; readonly newest: number; readonly held: number};

async function takeOver(options: PassSwitchOptions, {readMap, log, formation}: MapKeeperDeps): Promise<Taken | 'stuck' | 'superseded'> {
	const before = await readMap();
	if (!before) {
		log.warn({formation, token: options.fencingToken}, 'the maps in use could not be read from every rank');
		return 'stuck';
	}

	const resolved = await resolvePass(before.map, options);
	if (resolved.kind !== 'clear') {
		log.warn({formation, result: resolved.kind, token: options.fencingToken}, 'map could not be resolved');
		return resolved.kind === 'superseded' ? 'superseded' : 'stuck';
	}

	// What was resolved may have ended with another map than was read before it.
	const after = await readMap();
	return after ? {map: after.map, newest: resolved.newest, held: resolved.held} : 'stuck';
}

/** Chooses the change that gains most over what is left of the demand, by how much a rank may copy for it. */
function choose(
	map: LayeredMap,
	demands: readonly Demand[],
	{copyMs, shiftMs, nowMs}: {readonly copyMs: number; readonly shiftMs: number; readonly nowMs: number},
	{model, weights}: MapKeeperDeps,
): Spread | undefined {
	if (demands.some(({reports}) => reports === 0)) {
		return undefined;
	}

	const layers = map.map((placement, layer) => ({placement, shares: demands[layer].shares}));
	if (layeredSkew(layers) <= weights.goodSkew) {
		return undefined;
	}

	// A demand that has outlasted the mean may end at any moment, or last on.
	const leftS = demands.map(({shiftedAtMs = nowMs}) => Math.max(shiftMs / 2, shiftMs - (nowMs - shiftedAtMs)) / msPerSecond);
	const copyCost = weights.copyCost * model.expertGigabytes / map[0].length;
	let best: Spread | undefined;
	let bestValue = 0;
	for (const most of new Set([1, 2, model.maxNewPerLayer])) {
		const spread = spreadExperts(layers, {
			slotsPerRank: model.slotsPerRank, maxNewPerLayer: model.maxNewPerLayer, maxNewPerRank: most, goodSkew: weights.goodSkew, leastGain: leastStepGain,
		});
		const copyS = copyMs * spread.mostPerRank / msPerSecond;
		const gains = layers.map((layer, at) => (layeredSkew([layer]) - layeredSkew([{placement: spread.placements[at], shares: layer.shares}])) * Math.max(0, leftS[at] - copyS));
		const gain = weights.workShare * gains.reduce((sum, one) => sum + one, 0) / layers.length;
		const value = gain - (copySlowdown * copyS) - (copyCost * spread.copies);
		if (spread.copies > 0 && value > bestValue) {
			best = spread;
			bestValue = value;
		}
	}

	return best;
}

const msPerSecond = 1000;

/** What one step of a plan must gain of a layer's potential to be planned, as a ratio. */
const leastStepGain = 0.05;

function ages(demands: readonly Demand[], nowMs: number): ReadonlyArray<number | undefined> {
	return demands.map(({shiftedAtMs}) => shiftedAtMs === undefined ? undefined : Math.round(nowMs - shiftedAtMs));
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

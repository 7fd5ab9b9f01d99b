import {type LayeredMap} from '@papayaflow/experts';
import {skewOfLayer, type Demand, type Spread} from '@papayaflow/policy';
import {type ExpertModel} from '@papayaflow/routing';
import {planInSlices, type PlanningDeps} from './planning.js';

/** By what ratio passes take longer while a rank copies experts: the engines' published figure. */
const copySlowdownRatio = 0.15;

/** The most experts new to a rank in one change. Beyond some experts the copies delay the change more than they improve it. */
const maxNewPerChange = 8;

/** How long plans with higher limits are still made, in milliseconds. When other work of the process takes most of the time, a small change soon is worth more than a large one later. */
const maxPlanMs = 250;

const msPerSecond = 1000;

/** The minimum gain of one step of a plan, as defined for `leastGain` in `SpreadOptions`. */
const minStepGainRatio = 0.05;

/** How many times its cost a change must gain. With 1, changes of little worth followed each other: on virtual days of 12 to 45 ranks a third more changes moved a tenth more copies and earned no more. */
const minGainToCost = 2;

/** The weights by which a map change is chosen. */
export type BalancingWeights = {
	/** The skew up to which a layer is left unchanged. */
	readonly goodSkew: number;
	/** The cost of copying one gigabyte to a rank. At 1 it equals the cost of one second in which the passes of that rank take twice as long as at skew 1. */
	readonly copyCost: number;
	/** The share of the pass time that the experts' work takes at skew 1. */
	readonly workShare: number;
};

export type MapChoiceDeps = PlanningDeps & {
	readonly model: ExpertModel;
	readonly weights: BalancingWeights;
	/** How much a lower skew is worth now, from 0 to 1. */
	readonly need: () => number;
};

/** The choice of the next map. */
export type MapChoice = {
	/** The change of the map; `undefined` if none is worth its copies. */
	readonly chosen: Spread | undefined;
	/** The time that was spent on plans, in milliseconds. */
	readonly workMs: number;
	readonly need: number;
	readonly skew: number;
	/** The plans that were compared, for the log. */
	readonly plans: ReadonlyArray<{readonly mostPerRank: number; readonly skewAfter: number; readonly value: number}>;
};

/**
Plans changes of the map with different limits on the copies per rank and chooses the
one with the highest net gain over the time that the demand is expected to last. Chooses
none if the skew is good already, if passes are short enough as they are, or if no
change gains twice what its copies cost. `overheadMs` is the time that a change takes beside its
copies, and `shiftMs` the mean time between shifts, in milliseconds.

@example
const {chosen} = await chooseMapChange(map, tracker.demands(), {overheadMs: 100, shiftMs: 3600, nowMs: performance.now()}, deps);
*/
export async function chooseMapChange(
	map: LayeredMap,
	demands: readonly Demand[],
	{overheadMs, shiftMs, nowMs}: {readonly overheadMs: number; readonly shiftMs: number; readonly nowMs: number},
	deps: MapChoiceDeps,
): Promise<MapChoice> {
	const {model, weights} = deps;
	const need = deps.need();
	const layers = map.map((placement, layer) => ({placement, shares: demands[layer].shares}));
	const skews = layers.map(layer => skewOfLayer(layer));
	const skew = skews.reduce((sum, layerSkew) => sum + layerSkew, 0) / layers.length;
	if (need === 0 || demands.some(({reports}) => reports === 0) || skew <= weights.goodSkew) {
		return {
			chosen: undefined, workMs: 0, need, skew, plans: [],
		};
	}

	// The expected remaining time of a layer's demand is at least half the mean interval: a demand older than the mean may still last.
	const remainingS = demands.map(({shiftedAtMs = nowMs}) => Math.max(shiftMs / 2, shiftMs - (nowMs - shiftedAtMs)) / msPerSecond);
	const costPerCopy = weights.copyCost * model.expertGigabytes / map[0].length;
	const plans: Array<{readonly spread: Spread; readonly value: number}> = [];
	const valueOf = (spread: Spread): number => {
		const copyS = model.copyMs * spread.mostPerRank / msPerSecond;
		const delayS = (overheadMs / msPerSecond) + copyS;
		const layerGains = spread.layerSkews.map((layerSkew, layer) => (skews[layer] - layerSkew) * Math.max(0, remainingS[layer] - delayS));
		const gain = need * weights.workShare * layerGains.reduce((sum, layerGain) => sum + layerGain, 0) / layers.length;
		const cost = (copySlowdownRatio * copyS) + (costPerCopy * spread.copies);
		return gain < minGainToCost * cost ? Math.min(0, gain - cost) : gain - cost;
	};

	const {workMs} = await planInSlices(layers, {
		slotsPerRank: model.slotsPerRank, maxNewPerLayer: model.maxNewPerLayer, newPerRankLimits: newPerRankLimits(model), goodSkew: weights.goodSkew, leastGain: minStepGainRatio,
	}, spread => {
		const value = valueOf(spread);
		const isWorse = value <= (plans.at(-1)?.value ?? Number.NEGATIVE_INFINITY);
		plans.push({spread, value});
		return isWorse || (value > 0 && deps.nowMs() - nowMs > maxPlanMs);
	}, deps);
	const best = plans.filter(({spread, value}) => spread.copies > 0 && value > 0).toSorted((a, b) => b.value - a.value).at(0);
	return {
		chosen: best?.spread, workMs, need, skew,
		plans: plans.map(({spread, value}) => ({mostPerRank: spread.mostPerRank, skewAfter: round(spread.skewAfter), value: round(value)})),
	};
}

/** Returns the limits on the experts new to a rank over all layers for which changes are compared: from one up to what the ranks take in all layers. */
function newPerRankLimits({maxNewPerLayer, layers}: ExpertModel): readonly number[] {
	const limits: number[] = [];
	for (let limit = 1; limit <= Math.min(maxNewPerChange, maxNewPerLayer * layers); limit *= 2) {
		limits.push(limit);
	}

	return limits;
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

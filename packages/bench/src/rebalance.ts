import {
	applyMoves, uniformPopularity, initialMap, movesBetween, planFromScratch, planMoves, rankLoads, skewOf, updatePopularity, selectWorthwhileMoves,
	type ExpertMap, type Move, type Popularity,
} from '@papayaflow/policy';
import {quantile, seededRandom} from '@papayaflow/standins';
import {driftTrace, type DriftKind} from './drift.js';

const ranks = 64;
const experts = 256;
const ticks = 1800;
const tickMs = 1000;
const planningIntervalTicks = 5;
const reportLagTicks = 2;
const reportLossProbability = 0.1;
const fixedStepMs = 2.5;
const meanLoadMs = 2;
const expertBytes = 44_000_000;
const weightBytesPerMs = 4_000_000;
const moveMs = 2;

/** The figures of one policy on one trace. */
export type RebalanceRow = {
	readonly policy: string;
	readonly drift: DriftKind;
	/** Spare expert slots on each rank. */
	readonly spare: number;
	readonly loadSkew: readonly [p50: number, p95: number, p99: number];
	readonly stepSkew: readonly [p50: number, p95: number, p99: number];
	/** Time that moves added to steps over the whole trace, in milliseconds. */
	readonly lostMs: number;
	/** Expert moves. */
	readonly moved: number;
	readonly movedGigabytes: number;
};

/**
Returns the moves to make now. `seen` is the popularity estimated from reports,
`truth` the actual one, and `isFresh` whether a report arrived in this tick.
*/
export type RebalancePolicy = (input: {map: ExpertMap; seen: Popularity; truth: readonly number[]; isFresh: boolean}) => readonly Move[];

/** The rebalancing weights of a preset. */
export type Weights = {readonly skewWeight: number; readonly costWeight: number};

const stepsPerSecond = 1000 / (fixedStepMs + meanLoadMs);

/** The policy of the product: plans at most `maxMoves` moves and keeps those whose benefit over the horizon outweighs their cost. */
export function createWeightedPolicy({skewWeight, costWeight}: Weights, maxMoves = 64, horizonMs = 60_000): RebalancePolicy {
	return ({map, seen, isFresh}) => {
		if (!isFresh) {
			return [];
		}

		const plan = planMoves(map, seen.shares, {maxMoves, goodSkew: 1.01});
		return selectWorthwhileMoves(map, seen.shares, plan, {
			horizonSteps: horizonMs / 1000 * stepsPerSecond, loadMs: meanLoadMs, moveMs, skewWeight, costWeight,
		});
	};
}

export const baselines: Readonly<Record<string, RebalancePolicy>> = {
	never: () => [],
	'full re-plan': ({map, seen}) => movesBetween(map, planFromScratch(map, seen.shares)),
	'threshold 1.2': ({map, seen}) => skewOf(rankLoads(map, seen.shares)) > 1.2 ? movesBetween(map, planFromScratch(map, seen.shares)) : [],
};

/** Runs one policy over one trace in virtual time. */
export function runPolicy(policy: RebalancePolicy, name: string, {drift, spare, seed}: {drift: DriftKind; spare: number; seed: number}): RebalanceRow {
	const random = seededRandom(seed);
	const trace = driftTrace(drift, {
		experts, ticks, zipf: 1, random,
	});
	let map = initialMap(ranks, experts, (experts / ranks) + spare);
	let seen = uniformPopularity(experts);
	let pending: {moves: readonly Move[]; readyTick: number} | undefined;
	const loadSkews: number[] = [];
	const stepSkews: number[] = [];
	let lostMs = 0;
	let moved = 0;
	for (let tick = 0; tick < ticks; tick++) {
		const truth = trace[tick];
		if (pending && tick >= pending.readyTick) {
			map = applyMoves(map, pending.moves);
			pending = undefined;
		}

		const isReported = tick >= reportLagTicks && random() >= reportLossProbability;
		if (isReported) {
			seen = updatePopularity(seen, trace[tick - reportLagTicks], {weight: 0.3, jumpRatio: 0.5});
		}

		if (tick % planningIntervalTicks === 0 && !pending && seen.reports > 0) {
			const moves = policy({
				map, seen, truth, isFresh: isReported,
			});
			if (moves.length > 0) {
				// The weight store has limited bandwidth; the map is switched when the last expert has been loaded.
				const loadTicks = Math.ceil(moves.length * expertBytes / weightBytesPerMs / tickMs);
				pending = {moves, readyTick: tick + loadTicks};
				moved += moves.length;
				lostMs += moves.length * moveMs;
			}
		}

		const loads = rankLoads(map, truth);
		const mean = 1 / ranks;
		loadSkews.push(skewOf(loads));
		stepSkews.push(skewOf(loads.map(load => fixedStepMs + (meanLoadMs * load / mean))));
	}

	const percentiles = (values: readonly number[]): [number, number, number] => [quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99)];
	return {
		policy: name, drift, spare, loadSkew: percentiles(loadSkews), stepSkew: percentiles(stepSkews), lostMs, moved, movedGigabytes: moved * expertBytes / 1e9,
	};
}

/** Returns the figures for perfect knowledge: every tick plans from the actual popularity, and moves are free and immediate. */
export function runPerfectKnowledge({drift, spare, seed}: {drift: DriftKind; spare: number; seed: number}): RebalanceRow {
	const trace = driftTrace(drift, {
		experts, ticks, zipf: 1, random: seededRandom(seed),
	});
	const start = initialMap(ranks, experts, (experts / ranks) + spare);
	const loads = trace.map(truth => rankLoads(planFromScratch(start, truth), truth));
	const skews = loads.map(load => skewOf(load));
	const steps = loads.map(load => skewOf(load.map(value => fixedStepMs + (meanLoadMs * value * ranks))));
	const percentiles = (values: readonly number[]): [number, number, number] => [quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99)];
	return {
		policy: 'perfect knowledge', drift, spare, loadSkew: percentiles(skews), stepSkew: percentiles(steps), lostMs: 0, moved: 0, movedGigabytes: 0,
	};
}

export {driftKinds} from './drift.js';

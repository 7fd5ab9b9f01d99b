import {
	applyMoves, evenPopularity, initialMap, movesBetween, planAnew, planMoves, rankLoads, skewOf, withReport, worthMoves,
	type ExpertMap, type Move, type Popularity,
} from '@papayaflow/policy';
import {quantile, seededRandom} from '@papayaflow/standins';
import {driftTrace, type DriftKind} from './drift.js';

const ranks = 64;
const experts = 256;
const ticks = 1800;
const tickMs = 1000;
const intervalTicks = 5;
const lagTicks = 2;
const reportGapChance = 0.1;
const fixedMs = 2.5;
const loadMs = 2;
const expertBytes = 44_000_000;
const weightBytesPerMs = 4_000_000;
const moveMs = 2;

/** What one policy came to on one trace. */
export type RebalanceRow = {
	readonly policy: string;
	readonly drift: DriftKind;
	readonly spare: number;
	readonly loadSkew: readonly [p50: number, p95: number, p99: number];
	readonly stepSkew: readonly [p50: number, p95: number, p99: number];
	/** Time that steps lost to moves, in milliseconds of the trace. */
	readonly lostMs: number;
	readonly moved: number;
	readonly movedGigabytes: number;
};

export type RebalancePolicy = (input: {map: ExpertMap; seen: Popularity; truth: readonly number[]; isFresh: boolean}) => readonly Move[];

/** Weights of a preset, as the rebalancing reads them. */
export type Weights = {readonly skewWeight: number; readonly costWeight: number};

const stepsPerSecond = 1000 / (fixedMs + loadMs);

/** The project's own policy: plan few moves, and take those that pay over the horizon. */
export function weighed({skewWeight, costWeight}: Weights, maxMoves = 64, horizonMs = 60_000): RebalancePolicy {
	return ({map, seen, isFresh}) => {
		if (!isFresh) {
			return [];
		}

		const plan = planMoves(map, seen.shares, {maxMoves, goodSkew: 1.01});
		return worthMoves(map, seen.shares, plan, {
			horizonSteps: horizonMs / 1000 * stepsPerSecond, loadMs, moveMs, skewWeight, costWeight,
		});
	};
}

export const baselines: Readonly<Record<string, RebalancePolicy>> = {
	never: () => [],
	'full re-plan': ({map, seen}) => movesBetween(map, planAnew(map, seen.shares)),
	'threshold 1.2': ({map, seen}) => skewOf(rankLoads(map, seen.shares)) > 1.2 ? movesBetween(map, planAnew(map, seen.shares)) : [],
};

/** Runs one policy over one trace in virtual time. */
export function runPolicy(policy: RebalancePolicy, name: string, {drift, spare, seed}: {drift: DriftKind; spare: number; seed: number}): RebalanceRow {
	const random = seededRandom(seed);
	const trace = driftTrace(drift, {
		experts, ticks, zipf: 1, random,
	});
	let map = initialMap(ranks, experts, (experts / ranks) + spare);
	let seen = evenPopularity(experts);
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

		const isReported = tick >= lagTicks && random() >= reportGapChance;
		if (isReported) {
			seen = withReport(seen, trace[tick - lagTicks], {weight: 0.3, jump: 0.5});
		}

		if (tick % intervalTicks === 0 && !pending && seen.reports > 0) {
			const moves = policy({
				map, seen, truth, isFresh: isReported,
			});
			if (moves.length > 0) {
				// The weight store is limited: the map switches when the last expert has been loaded.
				const loadTicks = Math.ceil(moves.length * expertBytes / weightBytesPerMs / tickMs);
				pending = {moves, readyTick: tick + loadTicks};
				moved += moves.length;
				lostMs += moves.length * moveMs;
			}
		}

		const loads = rankLoads(map, truth);
		const mean = 1 / ranks;
		loadSkews.push(skewOf(loads));
		stepSkews.push(skewOf(loads.map(load => fixedMs + (loadMs * load / mean))));
	}

	const spread = (values: readonly number[]): [number, number, number] => [quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99)];
	return {
		policy: name, drift, spare, loadSkew: spread(loadSkews), stepSkew: spread(stepSkews), lostMs, moved, movedGigabytes: moved * expertBytes / 1e9,
	};
}

/** What perfect knowledge comes to: planned anew each tick from the truth, moved at no cost and at once. */
export function runPerfect({drift, spare, seed}: {drift: DriftKind; spare: number; seed: number}): RebalanceRow {
	const trace = driftTrace(drift, {
		experts, ticks, zipf: 1, random: seededRandom(seed),
	});
	const start = initialMap(ranks, experts, (experts / ranks) + spare);
	const loads = trace.map(truth => rankLoads(planAnew(start, truth), truth));
	const skews = loads.map(load => skewOf(load));
	const steps = loads.map(load => skewOf(load.map(value => fixedMs + (loadMs * value * ranks))));
	const spread = (values: readonly number[]): [number, number, number] => [quantile(values, 0.5), quantile(values, 0.95), quantile(values, 0.99)];
	return {
		policy: 'perfect knowledge', drift, spare, loadSkew: spread(skews), stepSkew: spread(steps), lostMs: 0, moved: 0, movedGigabytes: 0,
	};
}

export {driftKinds} from './drift.js';

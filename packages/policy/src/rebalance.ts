import {
	applyMoves, countCopies, rankLoads, skewOf, type ExpertMap, type Move,
} from './expert-map.js';

/** The least reduction of the peak load for which experts are exchanged, so that rounding errors alone cause no exchange. */
const minPeakReduction = 1e-9;

/** The minimum ratio of the load per copy of a hot expert to that of the expert that gives up a copy. Without a margin, two experts of similar load would take the slot from each other in turn. */
const minCopyGainRatio = 1.15;

export type PlanOptions = {
	/** The most moves in one plan. */
	readonly maxMoves: number;
	/** The skew at or below which no further moves are planned. */
	readonly goodSkew: number;
};

/** Moves with the skew before and after them. */
export type Plan = {readonly moves: readonly Move[]; readonly skewBefore: number; readonly skewAfter: number};

type PlanState = {
	readonly map: number[][];
	/** The number of copies of each expert. */
	readonly copies: number[];
	/** The load of each expert. */
	readonly loads: readonly number[];
	readonly rankLoads: number[];
};

/** An exchange of an expert of the most loaded rank with one of `rank`; `peak` is the higher of the two ranks' loads after it. */
type Exchange = {readonly heaviestSlot: number; readonly rank: number; readonly slot: number; readonly peak: number};

/**
Plans a small number of moves that balance the load of the ranks. First, hot experts
get further copies in the slots of copies that are needed least; then the most loaded
rank exchanges experts with less loaded ranks. The plan is deterministic for an expert
map and loads.

@example
const plan = planMoves(map, popularity.shares, {maxMoves: 16, goodSkew: 1.02});
*/
export function planMoves(map: ExpertMap, loads: readonly number[], options: PlanOptions): Plan {
	const state: PlanState = {
		map: map.map(slots => [...slots]), copies: countCopies(map, loads.length), loads, rankLoads: rankLoads(map, loads),
	};
	const skewBefore = skewOf(state.rankLoads);
	const moves: Move[] = [];
	const isDone = (needed: number): boolean => moves.length + needed > options.maxMoves || skewOf(state.rankLoads) <= options.goodSkew;

	while (!isDone(1)) {
		const move = chooseCopyMove(state);
		if (!move) {
			break;
		}

		applyMove(state, move);
		moves.push(move);
	}

	while (!isDone(2)) {
		const heaviest = indexOfMax(state.rankLoads);
		const exchange = bestExchange(state, heaviest);
		if (!exchange) {
			break;
		}

		const {heaviestSlot, rank, slot} = exchange;
		const [hot, cold] = [state.map[heaviest][heaviestSlot], state.map[rank][slot]];
		moves.push({rank, slot, expert: hot}, {rank: heaviest, slot: heaviestSlot, expert: cold});
		applyMove(state, moves.at(-2)!);
		applyMove(state, moves.at(-1)!);
	}

	// A slot that several moves changed is loaded only once, with its final expert.
	return {moves: lastMovePerSlot(moves, map), skewBefore, skewAfter: skewOf(state.rankLoads)};
}

export type MoveCostOptions = {
	/** The number of steps over which a plan has to save at least its cost. */
	readonly horizonSteps: number;
	/** The part of a step's time that grows with the load of the most loaded rank, in milliseconds at skew 1. */
	readonly loadMs: number;
	/** The time that one move costs the group, in milliseconds. */
	readonly moveMs: number;
	/** The weight of the time saved by a lower skew. */
	readonly skewWeight: number;
	/** The weight of the time that the moves cost. */
	readonly costWeight: number;
};

/**
Shortens a plan to the prefix with the greatest net gain: the time that its moves save
over the horizon less the time that they cost, each multiplied by its weight. A prefix
that would leave an expert without a copy is not considered. Returns no moves if no
prefix has a net gain.

@example
const moves = selectWorthwhileMoves(map, shares, plan, costOptions);
*/
export function selectWorthwhileMoves(map: ExpertMap, loads: readonly number[], plan: Plan, options: MoveCostOptions): readonly Move[] {
	const weightedGainMs = (count: number): number => {
		const moves = plan.moves.slice(0, count);
		const savedMs = (plan.skewBefore - skewOf(rankLoads(applyMoves(map, moves), loads))) * options.loadMs * options.horizonSteps;
		return (options.skewWeight * savedMs) - (options.costWeight * count * options.moveMs);
	};

	let bestCount = 0;
	let bestGainMs = 0;
	for (let count = 1; count <= plan.moves.length; count++) {
		const gainMs = keepsEveryExpert(map, plan.moves.slice(0, count), loads.length) ? weightedGainMs(count) : Number.NEGATIVE_INFINITY;
		if (gainMs > bestGainMs) {
			bestCount = count;
			bestGainMs = gainMs;
		}
	}

	return plan.moves.slice(0, bestCount);
}

/**
Plans a new map regardless of the current placement. Spare slots go to the experts
with the highest load per copy; then the copies, in descending order of load, go to the
least loaded rank. It is the baseline to which `planMoves` is compared.
*/
export function planFromScratch(map: ExpertMap, loads: readonly number[]): ExpertMap {
	const experts = loads.length;
	const slotsTotal = map.reduce((sum, slots) => sum + slots.length, 0);
	const copies = loads.map(() => 1);
	for (let spareSlots = slotsTotal - experts; spareSlots > 0; spareSlots--) {
		let hottest = 0;
		for (let expert = 1; expert < experts; expert++) {
			if (loads[expert] / copies[expert] > loads[hottest] / copies[hottest] && copies[expert] < map.length) {
				hottest = expert;
			}
		}

		copies[hottest]++;
	}

	const copyLoads = copies.flatMap((count, expert) => Array.from({length: count}, () => ({expert, load: loads[expert] / count})));
	const next: number[][] = map.map(() => []);
	const sumByRank = map.map(() => 0);
	for (const {expert, load} of copyLoads.toSorted((a, b) => b.load - a.load)) {
		const hasFreeSlot = (rank: number): boolean => next[rank].length < map[rank].length;
		let lightest = -1;
		for (let rank = 0; rank < map.length; rank++) {
			if (hasFreeSlot(rank) && (lightest === -1 || sumByRank[rank] < sumByRank[lightest])) {
				lightest = rank;
			}
		}

		next[lightest].push(expert);
		sumByRank[lightest] += load;
	}

	return next;
}

/** Lists the moves that turn one map into another. Experts that stay on their rank keep their slot. */
export function movesBetween(from: ExpertMap, to: ExpertMap): readonly Move[] {
	const moves: Move[] = [];
	for (const [rank, slots] of from.entries()) {
		const missing = [...to[rank]];
		const freeSlots: number[] = [];
		for (const [slot, expert] of slots.entries()) {
			const at = missing.indexOf(expert);
			if (at === -1) {
				freeSlots.push(slot);
			} else {
				missing.splice(at, 1);
			}
		}

		moves.push(...freeSlots.map((slot, index) => ({rank, slot, expert: missing[index]})));
	}

	return moves;
}

// Gives the expert with the highest load per copy a slot of the expert whose remaining copies would have the least load.
function chooseCopyMove(state: PlanState): Move | undefined {
	const {loads, copies, map} = state;
	let hot = 0;
	let spare = -1;
	for (const [expert, load] of loads.entries()) {
		if (load / copies[expert] > loads[hot] / copies[hot] && copies[expert] < map.length) {
			hot = expert;
		}

		if (copies[expert] > 1 && (spare === -1 || load / (copies[expert] - 1) < loads[spare] / (copies[spare] - 1))) {
			spare = expert;
		}
	}

	if (spare === -1 || spare === hot || loads[hot] / copies[hot] < minCopyGainRatio * loads[spare] / (copies[spare] - 1)) {
		return undefined;
	}

	let best: Move | undefined;
	for (const [rank, slots] of map.entries()) {
		const slot = slots.indexOf(spare);
		if (slot !== -1 && !slots.includes(hot) && (!best || state.rankLoads[rank] < state.rankLoads[best.rank])) {
			best = {rank, slot, expert: hot};
		}
	}

	return best;
}

function bestExchange(state: PlanState, heaviest: number): Exchange | undefined {
	const {map, loads, copies} = state;
	const peakBefore = state.rankLoads[heaviest];
	let best: Exchange | undefined;
	let bestPeak = peakBefore - minPeakReduction;
	for (const [rank, slots] of map.entries()) {
		const lighterLoad = state.rankLoads[rank];
		if (rank === heaviest || lighterLoad >= peakBefore) {
			continue;
		}

		for (const [heaviestSlot, hot] of map[heaviest].entries()) {
			const hotLoad = loads[hot] / copies[hot];
			for (const [slot, cold] of slots.entries()) {
				const delta = hotLoad - (loads[cold] / copies[cold]);
				const peak = Math.max(peakBefore - delta, lighterLoad + delta);
				if (peak < bestPeak && !slots.includes(hot) && !map[heaviest].includes(cold)) {
					bestPeak = peak;
					best = {
						heaviestSlot, rank, slot, peak,
					};
				}
			}
		}
	}

	return best;
}

function applyMove(state: PlanState, {rank, slot, expert}: Move): void {
	const replaced = state.map[rank][slot];
	state.map[rank][slot] = expert;
	state.copies[replaced]--;
	state.copies[expert]++;
	for (const [index, slots] of state.map.entries()) {
		if (index === rank || slots.includes(replaced) || slots.includes(expert)) {
			// Between the two moves of an exchange an expert may have no copy. Its load is counted again after the second move.
			state.rankLoads[index] = slots.reduce((sum, held) => sum + (state.loads[held] / Math.max(1, state.copies[held])), 0);
		}
	}
}

function lastMovePerSlot(moves: readonly Move[], map: ExpertMap): readonly Move[] {
	const bySlot = new Map<string, Move>();
	for (const move of moves) {
		bySlot.delete(`${move.rank}/${move.slot}`);
		bySlot.set(`${move.rank}/${move.slot}`, move);
	}

	return [...bySlot.values()].filter(({rank, slot, expert}) => map[rank][slot] !== expert);
}

function keepsEveryExpert(map: ExpertMap, moves: readonly Move[], experts: number): boolean {
	return countCopies(applyMoves(map, moves), experts).every(count => count > 0);
}

function indexOfMax(values: readonly number[]): number {
	let max = 0;
	for (let i = 1; i < values.length; i++) {
		max = values[i] > values[max] ? i : max;
	}

	return max;
}

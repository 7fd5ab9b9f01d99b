import {
	applyMoves, countCopies, rankLoads, skewOf, type ExpertMap, type Move,
} from './expert-map.js';

const leastImprovement = 1e-9;
const copyMargin = 1.15;

export type PlanOptions = {
	/** The most moves that one plan may hold. */
	readonly maxMoves: number;
	/** The skew at which there is nothing left to gain. */
	readonly goodSkew: number;
};

/** Moves with the skew that they are expected to leave. */
export type Plan = {readonly moves: readonly Move[]; readonly skewBefore: number; readonly skewAfter: number};

type Ranks = {
	readonly map: number[][];
	readonly copies: number[];
	readonly loads: readonly number[];
	readonly rankLoads: number[];
};

type Exchange = {readonly heavySlot: number; readonly rank: number; readonly slot: number; readonly peak: number};

/**
Plans few moves that level the ranks, in the order of what they are for: first
copies of experts that have become hot take the slots of copies that are no
longer needed, then the heaviest rank exchanges experts with lighter ones. The
same expert map and loads always give the same plan.

@example
const plan = planMoves(map, popularity.shares, {maxMoves: 16, goodSkew: 1.02});
*/
export function planMoves(map: ExpertMap, loads: readonly number[], options: PlanOptions): Plan {
	const state: Ranks = {
		map: map.map(slots => [...slots]), copies: countCopies(map, loads.length), loads, rankLoads: rankLoads(map, loads),
	};
	const skewBefore = skewOf(state.rankLoads);
	const moves: Move[] = [];
	const isDone = (needed: number): boolean => moves.length + needed > options.maxMoves || skewOf(state.rankLoads) <= options.goodSkew;

	while (!isDone(1)) {
		const move = nextCopy(state);
		if (!move) {
			break;
		}

		place(state, move);
		moves.push(move);
	}

	while (!isDone(2)) {
		const heavy = indexOfMax(state.rankLoads);
		const exchange = bestExchange(state, heavy);
		if (!exchange) {
			break;
		}

		const {heavySlot, rank, slot} = exchange;
		const [hot, cold] = [state.map[heavy][heavySlot], state.map[rank][slot]];
		moves.push({rank, slot, expert: hot}, {rank: heavy, slot: heavySlot, expert: cold});
		place(state, moves.at(-2)!);
		place(state, moves.at(-1)!);
	}

	// A slot that was moved twice is loaded once, with what it holds in the end.
	return {moves: lastBySlot(moves, map), skewBefore, skewAfter: skewOf(state.rankLoads)};
}

export type WorthOptions = {
	/** Steps over which a plan has to pay for itself. */
	readonly horizonSteps: number;
	/** The part of a step's time that grows with the load of the heaviest rank, in milliseconds at skew 1. */
	readonly loadMs: number;
	/** The time that one move costs the group, in milliseconds. */
	readonly moveMs: number;
	readonly skewWeight: number;
	readonly costWeight: number;
};

/**
Cuts a plan back to the moves that pay: takes its steps from the front as long as
what a step saves over the horizon beats what it costs, each by its weight of the
preset. Returns no moves where none pay.

@example
const moves = worthMoves(map, shares, plan, worth);
*/
export function worthMoves(map: ExpertMap, loads: readonly number[], plan: Plan, options: WorthOptions): readonly Move[] {
	const valueOf = (count: number): number => {
		const moves = plan.moves.slice(0, count);
		const saved = (plan.skewBefore - skewOf(rankLoads(applyMoves(map, moves), loads))) * options.loadMs * options.horizonSteps;
		return (options.skewWeight * saved) - (options.costWeight * count * options.moveMs);
	};

	let best = 0;
	let bestValue = 0;
	for (let count = 1; count <= plan.moves.length; count++) {
		const value = keepsAll(map, plan.moves.slice(0, count), loads.length) ? valueOf(count) : Number.NEGATIVE_INFINITY;
		if (value > bestValue) {
			best = count;
			bestValue = value;
		}
	}

	return plan.moves.slice(0, best);
}

/**
Plans the whole map anew without regard to where experts stand: copies go to the
experts with the most load a copy, then the heaviest goes to the lightest rank.
The baseline that `planMoves` is measured against.
*/
export function planAnew(map: ExpertMap, loads: readonly number[]): ExpertMap {
	const experts = loads.length;
	const slotsTotal = map.reduce((sum, slots) => sum + slots.length, 0);
	const copies = loads.map(() => 1);
	for (let spare = slotsTotal - experts; spare > 0; spare--) {
		let hottest = 0;
		for (let expert = 1; expert < experts; expert++) {
			if (loads[expert] / copies[expert] > loads[hottest] / copies[hottest] && copies[expert] < map.length) {
				hottest = expert;
			}
		}

		copies[hottest]++;
	}

	const parts = copies.flatMap((count, expert) => Array.from({length: count}, () => ({expert, load: loads[expert] / count})));
	const next: number[][] = map.map(() => []);
	const sums = map.map(() => 0);
	for (const {expert, load} of parts.toSorted((a, b) => b.load - a.load)) {
		const open = (rank: number): boolean => next[rank].length < map[rank].length;
		let lightest = -1;
		for (let rank = 0; rank < map.length; rank++) {
			if (open(rank) && (lightest === -1 || sums[rank] < sums[lightest])) {
				lightest = rank;
			}
		}

		next[lightest].push(expert);
		sums[lightest] += load;
	}

	return next;
}

/** Lists the moves that lead from one map to another, leaving in its slot what stays on its rank. */
export function movesBetween(from: ExpertMap, to: ExpertMap): readonly Move[] {
	const moves: Move[] = [];
	for (const [rank, slots] of from.entries()) {
		const wanted = [...to[rank]];
		const free: number[] = [];
		for (const [slot, expert] of slots.entries()) {
			const at = wanted.indexOf(expert);
			if (at === -1) {
				free.push(slot);
			} else {
				wanted.splice(at, 1);
			}
		}

		moves.push(...free.map((slot, index) => ({rank, slot, expert: wanted[index]})));
	}

	return moves;
}

// The expert whose copies carry most gets a slot from the one that can best spare a copy.
function nextCopy(state: Ranks): Move | undefined {
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

	// Without a margin two experts that are nearly alike would take the slot from each other by turns.
	if (spare === -1 || spare === hot || loads[hot] / copies[hot] < copyMargin * loads[spare] / (copies[spare] - 1)) {
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

function bestExchange(state: Ranks, heavy: number): Exchange | undefined {
	const {map, loads, copies} = state;
	const before = state.rankLoads[heavy];
	let best: Exchange | undefined;
	let bestPeak = before - leastImprovement;
	for (const [rank, slots] of map.entries()) {
		const lighter = state.rankLoads[rank];
		if (rank === heavy || lighter >= before) {
			continue;
		}

		for (const [heavySlot, hot] of map[heavy].entries()) {
			const hotLoad = loads[hot] / copies[hot];
			for (const [slot, cold] of slots.entries()) {
				const delta = hotLoad - (loads[cold] / copies[cold]);
				const peak = Math.max(before - delta, lighter + delta);
				if (peak < bestPeak && !slots.includes(hot) && !map[heavy].includes(cold)) {
					bestPeak = peak;
					best = {
						heavySlot, rank, slot, peak,
					};
				}
			}
		}
	}

	return best;
}

function place(state: Ranks, {rank, slot, expert}: Move): void {
	const old = state.map[rank][slot];
	state.map[rank][slot] = expert;
	state.copies[old]--;
	state.copies[expert]++;
	for (const [index, slots] of state.map.entries()) {
		if (index === rank || slots.includes(old) || slots.includes(expert)) {
			// An expert between its two exchange moves stands nowhere for a moment; its load counts again with the second.
			state.rankLoads[index] = slots.reduce((sum, held) => sum + (state.loads[held] / Math.max(1, state.copies[held])), 0);
		}
	}
}

function lastBySlot(moves: readonly Move[], map: ExpertMap): readonly Move[] {
	const bySlot = new Map<string, Move>();
	for (const move of moves) {
		bySlot.delete(`${move.rank}/${move.slot}`);
		bySlot.set(`${move.rank}/${move.slot}`, move);
	}

	return [...bySlot.values()].filter(({rank, slot, expert}) => map[rank][slot] !== expert);
}

function keepsAll(map: ExpertMap, moves: readonly Move[], experts: number): boolean {
	return countCopies(applyMoves(map, moves), experts).every(count => count > 0);
}

function indexOfMax(values: readonly number[]): number {
	let max = 0;
	for (let i = 1; i < values.length; i++) {
		max = values[i] > values[max] ? i : max;
	}

	return max;
}

/**
The placement of the experts of one layer: for each rank, the expert in each of its
slots. The load of an expert with several copies is split evenly between them.
*/
export type ExpertMap = ReadonlyArray<readonly number[]>;

/** Replaces the expert in a slot of a rank. */
export type Move = {readonly rank: number; readonly slot: number; readonly expert: number};

/** A move in one layer of a model. Each layer has its own expert map. */
export type LayerMove = Move & {readonly layer: number};

/**
Places one copy of each expert evenly over the ranks and fills the remaining slots
with further copies, starting from the first expert.

@example
initialMap(64, 256, 5);
*/
export function initialMap(ranks: number, experts: number, slots: number): ExpertMap {
	return Array.from({length: ranks}, (_, rank) => Array.from({length: slots}, (__, slot) => ((slot * ranks) + rank) % experts));
}

/** Returns a copy of a map with the moves applied in order. */
export function applyMoves(map: ExpertMap, moves: readonly Move[]): ExpertMap {
	const next = map.map(slots => [...slots]);
	for (const {rank, slot, expert} of moves) {
		next[rank][slot] = expert;
	}

	return next;
}

/** Counts the copies of each expert. */
export function countCopies(map: ExpertMap, experts: number): number[] {
	const copies = Array.from({length: experts}, () => 0);
	for (const slots of map) {
		for (const expert of slots) {
			copies[expert]++;
		}
	}

	return copies;
}

/** Computes the load of each rank for the given loads of the experts. */
export function rankLoads(map: ExpertMap, loads: readonly number[]): number[] {
	const copies = countCopies(map, loads.length);
	return map.map(slots => slots.reduce((sum, expert) => sum + (loads[expert] / copies[expert]), 0));
}

/**
Returns the skew of loads: the ratio of the greatest to the mean, 1 if all are equal.

@example
skewOf([2, 1, 1]); // 1.5
*/
export function skewOf(loads: readonly number[]): number {
	const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
	return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/** Returns whether every expert has at least one copy. A layer whose map lacks an expert can't serve requests. */
export function isComplete(map: ExpertMap, experts: number): boolean {
	return countCopies(map, experts).every(copies => copies > 0);
}

/**
Where the experts of one layer stand: for each rank, the expert in each of its
slots. An expert that stands in several slots has its load split evenly.
*/
export type ExpertMap = ReadonlyArray<readonly number[]>;

/** Puts an expert in a slot of a rank, in place of what stood there. */
export type Move = {readonly rank: number; readonly slot: number; readonly expert: number};

/** A move in one of a model's layers, each of which has a map of its own. */
export type LayerMove = Move & {readonly layer: number};

/**
Lays experts out evenly, one slot each, and fills spare slots with the first
experts again.

@example
initialMap(64, 256, 5);
*/
export function initialMap(ranks: number, experts: number, slots: number): ExpertMap {
	return Array.from({length: ranks}, (_, rank) => Array.from({length: slots}, (__, slot) => ((slot * ranks) + rank) % experts));
}

/** Makes the map that comes of moves. */
export function applyMoves(map: ExpertMap, moves: readonly Move[]): ExpertMap {
	const next = map.map(slots => [...slots]);
	for (const {rank, slot, expert} of moves) {
		next[rank][slot] = expert;
	}

	return next;
}

/** Counts the slots in which each expert stands. */
export function countCopies(map: ExpertMap, experts: number): number[] {
	const copies = Array.from({length: experts}, () => 0);
	for (const slots of map) {
		for (const expert of slots) {
			copies[expert]++;
		}
	}

	return copies;
}

/** Adds up the load that each rank has under a map. */
export function rankLoads(map: ExpertMap, loads: readonly number[]): number[] {
	const copies = countCopies(map, loads.length);
	return map.map(slots => slots.reduce((sum, expert) => sum + (loads[expert] / copies[expert]), 0));
}

/**
How uneven loads are: the greatest over the mean, 1 when all are the same.

@example
skewOf([2, 1, 1]); // 1.5
*/
export function skewOf(loads: readonly number[]): number {
	const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
	return mean === 0 ? 1 : Math.max(...loads) / mean;
}

/** Whether every expert stands somewhere; a map that lacks one can't serve. */
export function isComplete(map: ExpertMap, experts: number): boolean {
	return countCopies(map, experts).every(copies => copies > 0);
}

import {type LayeredMap} from './pass-command.js';

/**
The differences of a map to another one, as a flat list. For each rank of a layer that
differs: the layer, the rank, the number of experts added, these experts, the number of
experts removed, and these.
*/
export type MapChanges = readonly number[];

/**
Returns the map in which the experts of each layer are assigned to the ranks in turn.

@example
mapInTurn({layers: 1, ranks: 2, expertsPerLayer: 3}); // [[[0, 2], [1]]]
*/
export function mapInTurn({layers, ranks, expertsPerLayer}: {readonly layers: number; readonly ranks: number; readonly expertsPerLayer: number}): LayeredMap {
	const layer = Array.from({length: ranks}, (_, rank) => Array.from({length: expertsPerLayer}, (__, expert) => expert).filter(expert => expert % ranks === rank));
	return Array.from({length: layers}, () => layer);
}

/** Returns a map whose lists of experts are sorted, so that equal maps have equal lists. */
export function sortedMap(map: LayeredMap): LayeredMap {
	return map.map(layer => layer.map(experts => experts.toSorted((a, b) => a - b)));
}

/**
Returns the changes that turn one map into another with as many layers and ranks.

@example
changesBetween([[[0, 2], [1]]], [[[0, 1], [1, 2]]]); // [0, 0, 1, 1, 1, 2, 0, 1, 1, 2, 0]
*/
export function changesBetween(base: LayeredMap, next: LayeredMap): MapChanges {
	const changes: number[] = [];
	for (const [layer, ranks] of next.entries()) {
		for (const [rank, experts] of ranks.entries()) {
			const before = base[layer][rank];
			const added = experts.filter(expert => !before.includes(expert));
			const removed = before.filter(expert => !experts.includes(expert));
			if (added.length + removed.length > 0) {
				changes.push(layer, rank, added.length, ...added, removed.length, ...removed);
			}
		}
	}

	return changes;
}

/**
Applies changes to a map and returns the result, with sorted lists of experts; `undefined`
if the changes don't fit the map.

@example
applyChanges([[[0, 2], [1]]], [0, 1, 1, 2, 0]); // [[[0, 2], [1, 2]]]
*/
export function applyChanges(base: LayeredMap, changes: MapChanges): LayeredMap | undefined {
	const next = base.map(layer => [...layer]);
	for (let at = 0; at < changes.length;) {
		const [layer, rank, addedCount] = changes.slice(at, at + 3);
		const before = next[layer]?.[rank];
		const added = changes.slice(at + 3, at + 3 + addedCount);
		const removedCount = changes[at + 3 + addedCount];
		const end = at + 4 + addedCount + removedCount;
		if (before === undefined || !(end <= changes.length)) {
			return undefined;
		}

		const removed = new Set(changes.slice(at + 4 + addedCount, end));
		next[layer][rank] = [...before.filter(expert => !removed.has(expert)), ...added];
		at = end;
	}

	return sortedMap(next);
}

import {
	rankLoads, skewOf, type ExpertMap, type LayerMove,
} from './expert-map.js';
import {
	planMoves, selectWorthwhileMoves, type PlanOptions, type MoveCostOptions,
} from './rebalance.js';

/** One layer as its engine reports it: the expert map and each expert's share of the layer's load. */
export type Layer = {readonly map: ExpertMap; readonly shares: readonly number[]};

/**
Plans the moves of all layers within a common limit of `maxMoves`. Layers are planned
from the highest skew to the lowest, and each gets only the moves that are worth their
cost. `costOptions.loadMs` is divided evenly between the layers.

@example
const moves = planLayers(layers, {maxMoves: 64, goodSkew: 1.01}, costOptions);
*/
export function planLayers(layers: readonly Layer[], options: PlanOptions, costOptions: MoveCostOptions): readonly LayerMove[] {
	const order = layers
		.map(({map, shares}, layer) => ({layer, skew: skewOf(rankLoads(map, shares))}))
		.toSorted((a, b) => b.skew - a.skew || a.layer - b.layer);
	const moves: LayerMove[] = [];
	for (const {layer} of order) {
		const {map, shares} = layers[layer];
		const plan = planMoves(map, shares, {...options, maxMoves: options.maxMoves - moves.length});
		const taken = selectWorthwhileMoves(map, shares, plan, {...costOptions, loadMs: costOptions.loadMs / layers.length});
		moves.push(...taken.map(move => ({...move, layer})));
	}

	return moves;
}

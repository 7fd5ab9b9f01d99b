import {type LayeredMap} from '@papayaflow/experts';
import {layeredSkew, type Demand, type Shifts} from '@papayaflow/policy';
import {type DemandBoard} from './demand-board.js';

/** The weight of one more shift in the mean of the skew that shifts bring. */
const shiftWeight = 0.3;

/** How uneven a group's ranks are, now and when demand shifts. */
export type SkewWatch = {
	/** The skew of the map in use under the demand as it is known; 1 before both are. */
	skew(): number;
	/** What shifts bring; `undefined` before two have been seen. */
	shifts(): Shifts | undefined;
};

/**
Watches the skew of the map that `map` names. It is worked out anew only when the
map or the demand has changed.

@example
const watch = watchSkew(board, () => map);
*/
export function watchSkew(board: DemandBoard, map: () => LayeredMap | undefined): SkewWatch {
	let known: {readonly map: LayeredMap; readonly demands: readonly Demand[]; readonly skew: number} | undefined;
	let shiftSkew: number | undefined;
	let seenMs = Number.NEGATIVE_INFINITY;
	return {
		skew() {
			const present = map();
			const demands = board.demands();
			if (!present) {
				return 1;
			}

			if (known?.map === present && known.demands === demands) {
				return known.skew;
			}

			const skew = layeredSkew(present.map((placement, layer) => ({placement, shares: demands[layer].shares})));
			known = {map: present, demands, skew};
			const shiftedMs = board.shiftedMs();
			if (shiftedMs !== undefined && shiftedMs > seenMs) {
				seenMs = shiftedMs;
				shiftSkew = shiftSkew === undefined ? skew : shiftSkew + ((skew - shiftSkew) * shiftWeight);
			}

			return skew;
		},
		shifts() {
			const intervalMs = board.meanShiftMs();
			return shiftSkew === undefined || intervalMs === undefined ? undefined : {skew: shiftSkew, intervalMs};
		},
	};
}

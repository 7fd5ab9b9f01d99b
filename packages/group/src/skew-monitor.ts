import {type LayeredMap} from '@papayaflow/experts';
import {skewOfLayers, type Demand, type DemandShifts} from '@papayaflow/policy';
import {type DemandTracker} from './demand-tracker.js';

/** The weight of a new sample in the moving average of the skew right after a demand shift. */
const skewSampleWeight = 0.3;

/** Monitors how unevenly the expert work is spread over a group's ranks. */
export type SkewMonitor = {
	/** The skew of the current map under the estimated demand; 1 while no map is known. */
	skew(): number;
	/** The mean skew right after a demand shift and the mean interval between shifts; `undefined` before the second shift. */
	shifts(): DemandShifts | undefined;
};

/**
Creates a monitor for the map that `map` returns. The skew is computed again only
when the map or the demand estimate has changed.

@example
const monitor = createSkewMonitor(tracker, () => map);
*/
export function createSkewMonitor(tracker: DemandTracker, map: () => LayeredMap | undefined): SkewMonitor {
	let cached: {readonly map: LayeredMap; readonly demands: readonly Demand[]; readonly skew: number} | undefined;
	let meanShiftSkew: number | undefined;
	// A shift from before the monitor was created says nothing about the skew of the present map.
	let lastSampledShiftMs = tracker.lastShiftMs() ?? Number.NEGATIVE_INFINITY;
	return {
		skew() {
			const currentMap = map();
			const demands = tracker.demands();
			if (!currentMap) {
				return 1;
			}

			if (cached?.map === currentMap && cached.demands === demands) {
				return cached.skew;
			}

			const skew = skewOfLayers(currentMap.map((placement, layer) => ({placement, shares: demands[layer].shares})));
			cached = {map: currentMap, demands, skew};
			const shiftedMs = tracker.lastShiftMs();
			if (shiftedMs !== undefined && shiftedMs > lastSampledShiftMs) {
				lastSampledShiftMs = shiftedMs;
				meanShiftSkew = meanShiftSkew === undefined ? skew : meanShiftSkew + ((skew - meanShiftSkew) * skewSampleWeight);
			}

			return skew;
		},
		shifts() {
			const intervalMs = tracker.meanShiftIntervalMs();
			return meanShiftSkew === undefined || intervalMs === undefined ? undefined : {skew: meanShiftSkew, intervalMs};
		},
	};
}

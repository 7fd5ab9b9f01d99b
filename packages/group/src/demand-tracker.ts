import {createDemandEstimator, uniformDemand, type Demand} from '@papayaflow/policy';

/** Estimates the demand for each expert from the counts that the ranks of a group report. */
export type DemandTracker = {
	/** Adds the counts that a rank reports for one interval, ordered by layer and then by expert. Counts of another length are ignored. */
	addCounts(counts: readonly number[]): void;
	/** Updates the estimate of each layer from the counts added since the last update. Does nothing until the counts cover enough time for one report, or while they are all 0. */
	settle(nowMs: number): void;
	/** Starts with a demand that was known earlier, unless counts have been reported already. Counts soon replace it if the demand has changed meanwhile. */
	restore(known: KnownDemand): void;
	/** The present estimate, for another coordinator. */
	known(): KnownDemand;
	/** When the estimate was last updated from counts, in milliseconds; minus infinity before that. */
	updatedMs(): number;
	/** The estimated demand of each layer. */
	demands(): readonly Demand[];
	/** When the demand of any layer last shifted, in milliseconds; `undefined` before the first report. */
	lastShiftMs(): number | undefined;
	/** The mean time between shifts of the group's demand, in milliseconds; `undefined` before the second shift. */
	meanShiftIntervalMs(): number | undefined;
	/** The mean time between shifts of a single layer's demand, over all layers, in milliseconds. It is longer than `meanShiftIntervalMs` where layers shift at different times. */
	meanLayerShiftIntervalMs(): number | undefined;
};

/** A demand that an earlier coordinator of the group has estimated. */
export type KnownDemand = {
	/** The share of each expert, by layer. */
	readonly shares: ReadonlyArray<readonly number[]>;
	readonly meanShiftIntervalMs: number | undefined;
	readonly meanLayerShiftIntervalMs: number | undefined;
};

/** The weight of a new interval in the moving average of the time between shifts. */
const intervalWeight = 0.3;

/** The minimum time that a report covers, in milliseconds. Over a shorter time the mix of a few requests looks like a shift. */
const minReportMs = 190;

/** Demand changes within this time are counted as one shift, in milliseconds, because layers and ranks report one after another. */
const shiftMergeMs = 1000;

/**
Creates a tracker that starts with even demand.

@example
const tracker = createDemandTracker({layers: 3, experts: 96});
tracker.addCounts(counts);
tracker.settle(performance.now());
*/
export function createDemandTracker({layers, experts}: {readonly layers: number; readonly experts: number}): DemandTracker {
	const estimator = createDemandEstimator({layers, experts});
	let demands: readonly Demand[] = Array.from({length: layers}, () => uniformDemand(experts));
	let meanIntervalMs: number | undefined;
	let meanLayerIntervalMs: number | undefined;
	let settledAtMs = Number.NEGATIVE_INFINITY;
	let hasReports = false;
	let lastShiftMs: number | undefined;

	return {
		addCounts: estimator.add,
		settle(nowMs) {
			if (nowMs - settledAtMs < minReportMs || !estimator.hasCounts()) {
				return;
			}

			settledAtMs = nowMs;
			hasReports = true;
			const previous = demands;
			demands = estimator.endWindow(nowMs);
			const layerIntervals = demands.map(({shiftedAtMs = 0}, layer) => shiftedAtMs - (previous[layer].shiftedAtMs ?? shiftedAtMs));
			for (const intervalMs of layerIntervals.filter(intervalMs => intervalMs >= shiftMergeMs)) {
				meanLayerIntervalMs = updateMeanInterval(meanLayerIntervalMs, intervalMs);
			}

			const hasShifted = demands.some(({shiftedAtMs}, layer) => shiftedAtMs !== previous[layer].shiftedAtMs);
			if (!hasShifted) {
				return;
			}

			const intervalMs = lastShiftMs === undefined ? undefined : nowMs - lastShiftMs;
			if (intervalMs === undefined || intervalMs >= shiftMergeMs) {
				lastShiftMs = nowMs;
				if (intervalMs !== undefined) {
					meanIntervalMs = updateMeanInterval(meanIntervalMs, intervalMs);
				}
			}
		},
		restore({shares, meanShiftIntervalMs, meanLayerShiftIntervalMs}) {
			if (hasReports) {
				return;
			}

			estimator.restore(shares);
			demands = estimator.demands();
			meanIntervalMs = meanShiftIntervalMs;
			meanLayerIntervalMs = meanLayerShiftIntervalMs;
		},
		known: () => ({shares: demands.map(({shares}) => shares), meanShiftIntervalMs: meanIntervalMs, meanLayerShiftIntervalMs: meanLayerIntervalMs}),
		updatedMs: () => settledAtMs,
		lastShiftMs: () => lastShiftMs,
		demands: () => demands,
		meanShiftIntervalMs: () => meanIntervalMs,
		meanLayerShiftIntervalMs: () => meanLayerIntervalMs,
	};
}

function updateMeanInterval(meanMs: number | undefined, intervalMs: number): number {
	return meanMs === undefined ? intervalMs : meanMs + ((intervalMs - meanMs) * intervalWeight);
}

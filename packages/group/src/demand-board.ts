import {
	defaultDemandOptions, evenDemand, withCounts, type Demand,
} from '@papayaflow/policy';

/** What the ranks of a group have counted, as their coordinator puts it together. */
export type DemandBoard = {
	/** Takes what a rank has counted in some stretch of time, by layer and expert. */
	take(counts: readonly number[]): void;
	/** Takes what has come into the estimate of each layer, once enough has come for one report. */
	settle(nowMs: number): void;
	demands(): readonly Demand[];
	/** When the demand last shifted in any layer, in milliseconds; `undefined` before the first report. */
	shiftedMs(): number | undefined;
	/** How long a demand lasts before it shifts, on average, in milliseconds; `undefined` before a second shift. */
	meanShiftMs(): number | undefined;
	/** The same for the demand of one layer, over all layers; where few shift at once it lasts longer. */
	layerShiftMs(): number | undefined;
};

/** The weight of one more interval between shifts in their mean. */
const intervalWeight = 0.3;

/** The least time of one report, in milliseconds: in less, the mix of a few requests looks like a shift. */
const reportMs = 190;

/** Jumps of demand within this time are parts of one shift, in milliseconds: layers and ranks report one after the other. */
const sameShiftMs = 1000;

/**
Makes an empty board.

@example
const board = createDemandBoard({layers: 3, experts: 96});
board.take(counts);
board.settle(performance.now());
*/
export function createDemandBoard({layers, experts}: {readonly layers: number; readonly experts: number}): DemandBoard {
	const fresh = new Float64Array(layers * experts);
	let demands: readonly Demand[] = Array.from({length: layers}, () => evenDemand(experts));
	let meanMs: number | undefined;
	let layerMeanMs: number | undefined;
	let settledMs = Number.NEGATIVE_INFINITY;
	let shiftedMs: number | undefined;

	return {
		take(counts) {
			if (counts.length !== fresh.length) {
				return;
			}

			for (const [i, count] of counts.entries()) {
				fresh[i] += count;
			}
		},
		settle(nowMs) {
			if (nowMs - settledMs < reportMs || fresh.every(count => count === 0)) {
				return;
			}

			settledMs = nowMs;
			const before = demands;
			demands = before.map((demand, layer) => withCounts(demand, fresh.subarray(layer * experts, (layer + 1) * experts), nowMs, defaultDemandOptions));
			fresh.fill(0);
			const intervals = demands.map(({shiftedAtMs = 0}, layer) => shiftedAtMs - (before[layer].shiftedAtMs ?? shiftedAtMs));
			for (const interval of intervals.filter(interval => interval >= sameShiftMs)) {
				layerMeanMs = withInterval(layerMeanMs, interval);
			}

			const hasShifted = demands.some(({shiftedAtMs}, layer) => shiftedAtMs !== before[layer].shiftedAtMs);
			if (!hasShifted) {
				return;
			}

			const interval = shiftedMs === undefined ? undefined : nowMs - shiftedMs;
			if (interval === undefined || interval >= sameShiftMs) {
				shiftedMs = nowMs;
				if (interval !== undefined) {
					meanMs = withInterval(meanMs, interval);
				}
			}
		},
		shiftedMs: () => shiftedMs,
		demands: () => demands,
		meanShiftMs: () => meanMs,
		layerShiftMs: () => layerMeanMs,
	};
}

function withInterval(meanMs: number | undefined, interval: number): number {
	return meanMs === undefined ? interval : meanMs + ((interval - meanMs) * intervalWeight);
}

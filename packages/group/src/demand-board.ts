import {
	defaultDemandOptions, evenDemand, withCounts, type Demand,
} from '@papayaflow/policy';

/** What the ranks of a group have counted, as their coordinator puts it together. */
export type DemandBoard = {
	/** Takes the counts of a rank since its start; the first ones and those after a restart set the base. */
	take(rank: number, formation: number, counts: readonly number[]): void;
	/** Takes what has come since the last call into the estimate of each layer. */
	settle(nowMs: number): void;
	demands(): readonly Demand[];
	/** How long a demand lasts before it shifts, on average, in milliseconds; `undefined` before a second shift. */
	meanShiftMs(): number | undefined;
};

/** The weight of one more interval between shifts in their mean. */
const intervalWeight = 0.3;

/**
Makes an empty board.

@example
const board = createDemandBoard({layers: 3, experts: 96});
board.take(0, 1, counts);
board.settle(performance.now());
*/
export function createDemandBoard({layers, experts}: {readonly layers: number; readonly experts: number}): DemandBoard {
	const seen = new Map<number, {formation: number; counts: readonly number[]}>();
	const fresh = new Float64Array(layers * experts);
	let demands: readonly Demand[] = Array.from({length: layers}, () => evenDemand(experts));
	let meanMs: number | undefined;

	return {
		take(rank, formation, counts) {
			if (counts.length !== fresh.length) {
				return;
			}

			const before = seen.get(rank);
			seen.set(rank, {formation, counts});
			if (!before || before.formation !== formation || before.counts.some((count, i) => count > counts[i])) {
				return;
			}

			for (const [i, count] of counts.entries()) {
				fresh[i] += count - before.counts[i];
			}
		},
		settle(nowMs) {
			demands = demands.map((demand, layer) => {
				const next = withCounts(demand, fresh.subarray(layer * experts, (layer + 1) * experts), nowMs, defaultDemandOptions);
				if (next.shiftedAtMs !== demand.shiftedAtMs && demand.shiftedAtMs !== undefined && next.shiftedAtMs !== undefined) {
					const interval = next.shiftedAtMs - demand.shiftedAtMs;
					meanMs = meanMs === undefined ? interval : meanMs + ((interval - meanMs) * intervalWeight);
				}

				return next;
			});
			fresh.fill(0);
		},
		demands: () => demands,
		meanShiftMs: () => meanMs,
	};
}

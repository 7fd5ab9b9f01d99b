/** How much each expert of a layer is in demand, as estimated from counts. */
export type Demand = {
	/** The share of the layer's choices by expert; sums to 1. */
	readonly shares: readonly number[];
	/** Reports since the demand last shifted. */
	readonly reports: number;
	/** When it last shifted, in milliseconds; `undefined` before the first report. */
	readonly shiftedAtMs: number | undefined;
};

export type DemandOptions = {
	/** The least weight of a new report: older ones fade at this rate. */
	readonly weight: number;
	/** The change of an expert's share that a mix of other requests does not bring about by itself. */
	readonly shift: number;
};

/** The change of share that counts as a shift: several times what a window's mix of requests moves a hot expert. */
export const defaultDemandOptions: DemandOptions = {weight: 0.08, shift: 0.07};

/** The demand before any report: every expert alike. */
export function evenDemand(experts: number): Demand {
	return {shares: Array.from({length: experts}, () => 1 / experts), reports: 0, shiftedAtMs: undefined};
}

/**
Takes the counts of one window into the estimate. While the demand stays as it is,
reports are averaged, so that the mix of the requests of one moment moves nothing;
when an expert's share jumps, the averaging begins anew with this report.

Pattern: what callers ask about changes all at once every few seconds, and between
that only the mix of requests does.

@example
demand = withCounts(demand, counts, nowMs, defaultDemandOptions);
*/
export function withCounts(demand: Demand, counts: readonly number[] | Float64Array, nowMs: number, {weight, shift}: DemandOptions): Demand {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	if (counts.length !== demand.shares.length || total <= 0) {
		return demand;
	}

	const fresh = Array.from(counts, count => count / total);
	const hasShifted = demand.reports === 0 || fresh.some((share, expert) => {
		const before = demand.shares[expert];
		return Math.abs(share - before) > shift && (share > 2 * before || before > 2 * share);
	});
	if (hasShifted) {
		return {shares: fresh, reports: 1, shiftedAtMs: nowMs};
	}

	const part = Math.max(weight, 1 / (demand.reports + 1));
	return {
		shares: demand.shares.map((share, expert) => share + ((fresh[expert] - share) * part)), reports: demand.reports + 1, shiftedAtMs: demand.shiftedAtMs,
	};
}

/** The estimated demand for each expert of a layer. */
export type Demand = {
	/** Each expert's share of the tokens routed in the layer; sums to 1. */
	readonly shares: readonly number[];
	/** The number of reports since the last shift, including the one that showed it. */
	readonly reports: number;
	/** The time of the last shift, in milliseconds; `undefined` before the first report. */
	readonly shiftedAtMs: number | undefined;
};

export type DemandOptions = {
	/** The minimum weight of a new report in the average, from 0 to 1. */
	readonly weight: number;
	/** The change of an expert's share above which the demand has shifted, if the share has also changed by more than a factor of 2. It must exceed the variation between mixes of requests. */
	readonly shift: number;
};

/** `shift` is several times the variation that the mix of requests of one window causes in the share of a hot expert. */
export const defaultDemandOptions: DemandOptions = {weight: 0.08, shift: 0.07};

/** Returns the demand before any report, with equal shares for all experts. */
export function uniformDemand(experts: number): Demand {
	return {shares: Array.from({length: experts}, () => 1 / experts), reports: 0, shiftedAtMs: undefined};
}

/**
Updates the estimate with the counts of one window. While the demand is stable,
reports are averaged, so that the changing mix of requests moves no experts. When an
expert's share changes by more than `shift` and by more than a factor of 2, the demand
has shifted and the average restarts with this report. A report without counts or with
another number of experts is ignored.

Load pattern: the subjects of requests change all at once every few seconds; between
these shifts only the mix of requests varies.

@example
demand = updateDemand(demand, counts, nowMs, defaultDemandOptions);
*/
export function updateDemand(demand: Demand, counts: readonly number[] | Float64Array, nowMs: number, {weight, shift: shiftThreshold}: DemandOptions): Demand {
	let total = 0;
	for (const count of counts) {
		total += count;
	}

	if (counts.length !== demand.shares.length || total <= 0) {
		return demand;
	}

	const windowShares = Array.from(counts, count => count / total);
	const hasShifted = demand.reports === 0 || windowShares.some((share, expert) => {
		const previous = demand.shares[expert];
		return Math.abs(share - previous) > shiftThreshold && (share > 2 * previous || previous > 2 * share);
	});
	if (hasShifted) {
		return {shares: windowShares, reports: 1, shiftedAtMs: nowMs};
	}

	const reportWeight = Math.max(weight, 1 / (demand.reports + 1));
	return {
		shares: demand.shares.map((share, expert) => share + ((windowShares[expert] - share) * reportWeight)), reports: demand.reports + 1, shiftedAtMs: demand.shiftedAtMs,
	};
}

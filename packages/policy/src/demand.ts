/** The estimated demand for each expert of a layer. */
export type Demand = {
	/** Each expert's share of the tokens routed in the layer; sums to 1. */
	readonly shares: readonly number[];
	/** The number of windows since the last shift, including the one that showed it. */
	readonly reports: number;
	/** The time of the last shift, in milliseconds; `undefined` before the first report, and for restored shares. */
	readonly shiftedAtMs: number | undefined;
};

/** Estimates the demand for the experts of a group from the counts that its ranks report. */
export type DemandEstimator = {
	/** Adds the counts of one rank for one interval, ordered by layer and then by expert. Counts of another length are ignored. */
	add(counts: readonly number[]): void;
	/** Whether counts have been added since the last window ended. */
	hasCounts(): boolean;
	/** Starts with shares that were estimated earlier, by layer, unless a window has ended already. They count like few reports, so that counts soon replace them. */
	restore(shares: ReadonlyArray<readonly number[]>): void;
	/** The estimated demand of each layer. */
	demands(): readonly Demand[];
	/** Ends a window: finds out whether the demand of a layer has shifted, and updates the estimates. Returns the estimated demand of each layer. */
	endWindow(nowMs: number): readonly Demand[];
};

/** The statistic that a window must exceed to speak for a shift: twice the value that is expected without one. */
const allowance = 2;

/** The sum of the excess over `allowance` in consecutive windows at which the demand has shifted. */
const decisionLimit = 4;

/** The number of reports that the estimate of a layer averages at most, so that it follows demand that drifts without a shift. */
const maxReports = 600;

/** The number of reports from which the scatter between reports is estimated at most. */
const maxScatterReports = 200;

/** The weight of a report in the moving average of the size of reports. */
const sizeWeight = 0.02;

/** The reports of one layer in a window, or since the last shift. */
type Sample = {
	/** The weighted sum of the shares of each expert. */
	readonly sums: Float64Array;
	weight: number;
	squaredWeight: number;
};

/** The number of reports that restored shares count as: enough that a first window of few requests does not replace them, few enough that later windows do. */
const restoredReports = 8;

type LayerEstimate = {
	readonly window: Sample & {
		/** The weighted sum of the squared shares. */
		squares: number;
		/** The weighted sum of the variance that shares have because counts are whole numbers. */
		countVariance: number;
	};
	readonly reference: Sample;
	/** The moving average of the logarithm of a report's total. */
	logTotal: number | undefined;
	/** The variance between reports, summed over the experts and multiplied by `scatterReports`. */
	scatter: number;
	scatterReports: number;
	/** The cumulative sum of the excess of the statistic. */
	excess: number;
	demand: Demand;
};

/** Returns the demand before any report, with equal shares for all experts. */
export function uniformDemand(experts: number): Demand {
	return {shares: Array.from({length: experts}, () => 1 / experts), reports: 0, shiftedAtMs: undefined};
}

/**
Creates an estimator that starts with even demand. Until the demand shifts, its estimate
is the mean of all reports since the last shift, so that the changing mix of requests
moves no experts.

Whether a window shows a shift follows from the counts alone, whatever the number of
experts, layers and requests: the squared distance between the mean shares of the window
and those since the last shift is divided by the one that the scatter between single
reports explains (the pseudo-F of M. J. Anderson, "A new method for non-parametric
multivariate analysis of variance", 2001). The excess of this statistic over an
allowance is summed over consecutive windows (CUSUM; E. S. Page, "Continuous inspection
schemes", 1954), for each layer and for all layers together, since all may shift at
once. Reports count about equally, since a long prompt fills one with a single subject.

Load pattern: the subjects of requests change all at once every few seconds; between
these shifts only the mix of requests varies.

@example
const estimator = createDemandEstimator({layers: 3, experts: 96});
estimator.add(counts);
const [{shares}] = estimator.endWindow(performance.now());
*/
export function createDemandEstimator({layers, experts}: {readonly layers: number; readonly experts: number}): DemandEstimator {
	const estimates = Array.from({length: layers}, () => createLayerEstimate(experts));
	let groupExcess = 0;
	let hasCounts = false;

	return {
		add(counts) {
			if (counts.length !== layers * experts) {
				return;
			}

			for (const [layer, estimate] of estimates.entries()) {
				hasCounts = addReport(estimate, counts, layer * experts) || hasCounts;
			}
		},
		hasCounts: () => hasCounts,
		restore(shares) {
			if (shares.length === layers && shares.every(({length}) => length === experts) && estimates.every(({demand}) => demand.reports === 0)) {
				for (const [layer, estimate] of estimates.entries()) {
					restoreShares(estimate, shares[layer]);
				}
			}
		},
		demands: () => estimates.map(({demand}) => demand),
		endWindow(nowMs) {
			hasCounts = false;
			const comparisons = estimates.map(estimate => compareWindow(estimate));
			const compared = comparisons.filter(comparison => comparison !== undefined);
			const observed = compared.reduce((sum, comparison) => sum + comparison.observed, 0);
			const expected = compared.reduce((sum, comparison) => sum + comparison.expected, 0);
			groupExcess = expected > 0 ? Math.max(0, groupExcess + (observed / expected) - allowance) : groupExcess;
			const hasGroupShifted = groupExcess > decisionLimit;
			groupExcess = hasGroupShifted ? 0 : groupExcess;
			for (const [layer, estimate] of estimates.entries()) {
				const comparison = comparisons[layer];
				const ratio = comparison && comparison.observed / comparison.expected;
				estimate.excess = ratio === undefined ? estimate.excess : Math.max(0, estimate.excess + ratio - allowance);
				const hasShifted = estimate.demand.reports === 0 || estimate.excess > decisionLimit || (hasGroupShifted && (ratio ?? 0) > 1);
				closeWindow(estimate, comparison, hasShifted, nowMs);
			}

			return this.demands();
		},
	};
}

/** The squared distance of a window's shares from the estimate, and the one that the scatter between reports explains. */
type Comparison = {readonly observed: number; readonly expected: number; readonly reports: number; readonly scatter: number};

function createLayerEstimate(experts: number): LayerEstimate {
	const createSample = (): Sample => ({sums: new Float64Array(experts), weight: 0, squaredWeight: 0});
	return {
		window: {...createSample(), squares: 0, countVariance: 0}, reference: createSample(), logTotal: undefined, scatter: 0, scatterReports: 0, excess: 0, demand: uniformDemand(experts),
	};
}

function restoreShares(estimate: LayerEstimate, shares: readonly number[]): void {
	const {reference} = estimate;
	// Reports of the usual size have the weight of one half.
	reference.weight = restoredReports / 2;
	reference.squaredWeight = restoredReports / 4;
	reference.sums.set(shares.map(share => share * reference.weight));
	estimate.demand = {shares: [...shares], reports: 1, shiftedAtMs: undefined};
}

/** Adds the counts from `offset` on to the window of a layer; returns `false` if all are 0. */
function addReport(estimate: LayerEstimate, counts: readonly number[], offset: number): boolean {
	const {window} = estimate;
	const experts = window.sums.length;
	let total = 0;
	for (let expert = 0; expert < experts; expert++) {
		total += counts[offset + expert];
	}

	if (!(total > 0)) {
		return false;
	}

	const logTotal = Math.log(total);
	estimate.logTotal = estimate.logTotal === undefined ? logTotal : estimate.logTotal + ((logTotal - estimate.logTotal) * sizeWeight);
	const weight = total / (total + Math.exp(estimate.logTotal));
	let squares = 0;
	for (let expert = 0; expert < experts; expert++) {
		const share = counts[offset + expert] / total;
		window.sums[expert] += weight * share;
		squares += share * share;
	}

	window.weight += weight;
	window.squaredWeight += weight * weight;
	window.squares += weight * squares;
	window.countVariance += weight * (1 - squares) / total;
	return true;
}

/** Returns `undefined` if there is nothing to compare. */
function compareWindow(estimate: LayerEstimate): Comparison | undefined {
	const {window, reference} = estimate;
	if (window.weight === 0 || reference.weight === 0) {
		return undefined;
	}

	let observed = 0;
	let meanSquares = 0;
	for (let expert = 0; expert < window.sums.length; expert++) {
		const share = window.sums[expert] / window.weight;
		observed += (share - (reference.sums[expert] / reference.weight)) ** 2;
		meanSquares += share * share;
	}

	const reports = effectiveReports(window);
	const ownScatter = Math.max(0, (window.squares / window.weight) - meanSquares) * reports;
	const scatterReports = estimate.scatterReports + reports - 1;
	const scatter = scatterReports > minScatterReports ? (estimate.scatter + ownScatter) / scatterReports : 0;
	const variance = Math.max(scatter, window.countVariance / window.weight);
	return {
		observed, expected: variance * ((1 / reports) + (1 / effectiveReports(reference))), reports, scatter: ownScatter,
	};
}

/** With fewer reports to compare, the scatter between them is not known. */
const minScatterReports = 1;

/** Returns the number of equally weighted reports that would have the same variance of the mean. */
function effectiveReports({weight, squaredWeight}: Sample): number {
	return weight * weight / squaredWeight;
}

function closeWindow(estimate: LayerEstimate, comparison: Comparison | undefined, hasShifted: boolean, nowMs: number): void {
	const {window, reference} = estimate;
	if (window.weight === 0) {
		return;
	}

	if (comparison) {
		// Without a shift, the distance from the estimate counts like the distance of one more report.
		const betweenReports = hasShifted ? 0 : 1;
		const kept = Math.min(1, maxScatterReports / (estimate.scatterReports + comparison.reports));
		const between = betweenReports * comparison.observed / ((1 / comparison.reports) + (1 / effectiveReports(reference)));
		estimate.scatter = (estimate.scatter + comparison.scatter + between) * kept;
		estimate.scatterReports = (estimate.scatterReports + comparison.reports - 1 + betweenReports) * kept;
	}

	if (hasShifted) {
		estimate.excess = 0;
		clearSample(reference);
	}

	const kept = Math.min(1, maxReports / (effectiveReportsOrZero(reference) + effectiveReports(window)));
	for (let expert = 0; expert < window.sums.length; expert++) {
		reference.sums[expert] = (reference.sums[expert] * kept) + window.sums[expert];
	}

	reference.weight = (reference.weight * kept) + window.weight;
	reference.squaredWeight = (reference.squaredWeight * kept * kept) + window.squaredWeight;
	estimate.demand = {
		shares: Array.from(reference.sums, sum => sum / reference.weight),
		reports: hasShifted ? 1 : estimate.demand.reports + 1,
		shiftedAtMs: hasShifted ? nowMs : estimate.demand.shiftedAtMs,
	};
	clearSample(window);
	window.squares = 0;
	window.countVariance = 0;
}

function effectiveReportsOrZero(sample: Sample): number {
	return sample.weight === 0 ? 0 : effectiveReports(sample);
}

function clearSample(sample: Sample): void {
	sample.sums.fill(0);
	sample.weight = 0;
	sample.squaredWeight = 0;
}

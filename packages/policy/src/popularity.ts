/** The estimated load of each expert of a layer. */
export type Popularity = {
	/** Each expert's share of the total load; sums to 1. */
	readonly shares: readonly number[];
	/** The number of reports in the estimate. */
	readonly reports: number;
};

export type PopularityOptions = {
	/** The weight of a new report, from 0 to 1. */
	readonly weight: number;
	/** The relative change of an expert's share above which the new share replaces the estimate. */
	readonly jumpRatio: number;
};

/** Returns the estimate before any report, with equal shares for all experts. */
export function uniformPopularity(experts: number): Popularity {
	return {shares: Array.from({length: experts}, () => 1 / experts), reports: 0};
}

/**
Updates the estimate with the counts of one report. Small changes are smoothed, so
that noise moves no experts; a large change of an expert's share is adopted at once.

A report without counts or with another number of experts is ignored.

@example
popularity = updatePopularity(popularity, counts, {weight: 0.3, jumpRatio: 0.5});
*/
export function updatePopularity(popularity: Popularity, counts: readonly number[], options: PopularityOptions): Popularity {
	const total = counts.reduce((sum, count) => sum + count, 0);
	if (counts.length !== popularity.shares.length || total <= 0) {
		return popularity;
	}

	if (popularity.reports === 0) {
		return {shares: counts.map(count => count / total), reports: 1};
	}

	const blended = popularity.shares.map((share, expert) => {
		const reportedShare = counts[expert] / total;
		const hasJumped = Math.abs(reportedShare - share) > options.jumpRatio * Math.max(share, 1 / counts.length);
		return hasJumped ? reportedShare : share + ((reportedShare - share) * options.weight);
	});
	const sum = blended.reduce((all, share) => all + share, 0);
	return {shares: blended.map(share => share / sum), reports: popularity.reports + 1};
}

/** The experts' loads as they are estimated. */
export type Popularity = {
	/** The share of the whole load by expert; sums to 1. */
	readonly shares: readonly number[];
	/** How many reports it rests on. */
	readonly reports: number;
};

export type PopularityOptions = {
	/** The weight of a new report, from 0 to 1. */
	readonly weight: number;
	/** The relative change of an expert's share beyond which the new report counts in full. */
	readonly jump: number;
};

/** The estimate before any report: every expert alike. */
export function evenPopularity(experts: number): Popularity {
	return {shares: Array.from({length: experts}, () => 1 / experts), reports: 0};
}

/**
Takes a report of counts into the estimate. Small changes are smoothed, so that
noise moves no experts; an expert whose share jumps is followed at once.

A report with another number of experts, or without counts, is left out.

@example
popularity = withReport(popularity, counts, {weight: 0.3, jump: 0.5});
*/
export function withReport(popularity: Popularity, counts: readonly number[], options: PopularityOptions): Popularity {
	const total = counts.reduce((sum, count) => sum + count, 0);
	if (counts.length !== popularity.shares.length || total <= 0) {
		return popularity;
	}

	if (popularity.reports === 0) {
		return {shares: counts.map(count => count / total), reports: 1};
	}

	const blended = popularity.shares.map((share, expert) => {
		const fresh = counts[expert] / total;
		const hasJumped = Math.abs(fresh - share) > options.jump * Math.max(share, 1 / counts.length);
		return hasJumped ? fresh : share + ((fresh - share) * options.weight);
	});
	const sum = blended.reduce((all, share) => all + share, 0);
	return {shares: blended.map(share => share / sum), reports: popularity.reports + 1};
}

import {rendezvousOrder} from './rendezvous.js';

/** The latest load report of a target, with the time of its arrival. */
export type AgedReport = {
	readonly outstandingTokens: number;
	readonly concurrency: number;
	/** The time at which the report arrived, in milliseconds. */
	readonly atMs: number;
	/** The tokens of this process's own work outstanding at the target when the report arrived. */
	readonly ownTokensThen: number;
	/** Whether requests wait in the target's queue. The target reports every change of this, so the flag itself does not expire with age. */
	readonly isSaturated: boolean;
};

/** A target as known to one entry. */
export type Candidate = {
	readonly id: string;
	readonly zone: string;
	/** The tokens of this entry's own work outstanding at the target. */
	readonly ownTokens: number;
	readonly report: AgedReport | undefined;
	/** The time at which this entry learnt of the target, in milliseconds; slow start counts from it. */
	readonly sinceMs: number;
};

export type PickOptions = {
	readonly nowMs: number;
	readonly random: () => number;
	readonly zone: string;
	/** The age at which the report of a target that is not saturated is ignored, in milliseconds. */
	readonly reportMaxAgeMs: number;
	/** The load added to targets outside `zone`, as a ratio of the mean load. */
	readonly zoneBias: number;
	/** The time over which a new target's share of the draws rises to the full one, in milliseconds. */
	readonly slowStartMs: number;
	/** The key that identifies the request's prefix in prefix caches; `undefined` for a request without one. */
	readonly affinityKey: string | undefined;
	/** The highest load at which a target is chosen for its prefix cache, as a ratio of the mean load. */
	readonly affinityLoadFactor: number;
};

/** The weight of a target that has just become known, as a ratio of the full weight, so that it still gets some requests. */
const minSlowStartWeight = 0.1;

/** How many targets of a prefix's rendezvous order may be chosen for their cache. */
const maxAffinityTargets = 2;

/** The age at which the load report of a saturated target is ignored, in milliseconds. Saturation is reported when it begins and ends, so such a report stays valid for longer than `reportMaxAgeMs`. */
const saturatedReportMaxAgeMs = 10_000;

/** The highest ratio of saturated candidates at which no saturated candidate is chosen for its prefix cache. */
const maxAvoidedSaturatedRatio = 0.25;

/**
Picks the target that is likely to answer first.

A request with a prefix goes to the first of its two rendezvous targets that is not
saturated and whose load is within `affinityLoadFactor` of the mean. Saturation is
ignored if more than `maxAvoidedSaturatedRatio` of the candidates are saturated. If
neither of the two qualifies, or the request has no prefix, two candidates are drawn at
random and the one with less load is picked.

The load is this entry's own outstanding work plus the reported work of other entries.
As the report ages towards `reportMaxAgeMs`, the mean over all candidates replaces it
linearly.

Returns `undefined` when there are no candidates.

@example
const target = pickTarget(candidates, {...options, affinityKey: undefined});
*/
export function pickTarget(candidates: readonly Candidate[], options: PickOptions): Candidate | undefined {
	if (candidates.length <= 1) {
		return candidates.at(0);
	}

	const loads = estimateLoads(candidates, options);
	const mean = loads.reduce((sum, load) => sum + load, 0) / loads.length;
	const preferred = options.affinityKey === undefined ? undefined : findAffinityTarget(candidates, loads, mean, options);
	return preferred ?? betterOfTwo(candidates, loads, mean, options);
}

/**
Estimates each candidate's outstanding tokens. For a candidate without a report, the
work of other entries is taken as the mean over the reports, or 0 if there are none.

@example
const [load] = estimateLoads([candidate], options);
*/
export function estimateLoads(candidates: readonly Candidate[], options: Pick<PickOptions, 'nowMs' | 'reportMaxAgeMs'>): readonly number[] {
	const reported = candidates.map(candidate => candidate.report);
	const known = reported.filter(report => report !== undefined);
	const meanOtherTokens = known.length === 0
		? 0
		: known.reduce((sum, report) => sum + Math.max(0, report.outstandingTokens - report.ownTokensThen), 0) / known.length;
	return candidates.map(({report, ownTokens}) => {
		if (!report) {
			return meanOtherTokens + ownTokens;
		}

		const maxAgeMs = report.isSaturated ? saturatedReportMaxAgeMs : options.reportMaxAgeMs;
		const freshness = Math.max(0, 1 - ((options.nowMs - report.atMs) / maxAgeMs));
		const otherTokens = Math.max(0, report.outstandingTokens - report.ownTokensThen);
		return (otherTokens * freshness) + (meanOtherTokens * (1 - freshness)) + ownTokens;
	});
}

function findAffinityTarget(candidates: readonly Candidate[], loads: readonly number[], mean: number, options: PickOptions): Candidate | undefined {
	const saturatedCount = candidates.filter(({report}) => report?.isSaturated).length;
	// If few candidates are saturated, a cache hit does not make up for the wait. If many are, the other candidates are likely saturated as well and lack the cache.
	const shouldAvoidSaturated = saturatedCount <= candidates.length * maxAvoidedSaturatedRatio;
	const order = rendezvousOrder(options.affinityKey!, candidates.map(({id}) => id)).slice(0, maxAffinityTargets);
	for (const id of order) {
		const index = candidates.findIndex(candidate => candidate.id === id);
		const isSkipped = shouldAvoidSaturated && candidates[index].report?.isSaturated === true;
		if (!isSkipped && loads[index] <= (mean * options.affinityLoadFactor) + 1) {
			return candidates[index];
		}
	}

	return undefined;
}

// Draws two different candidates and returns the one with less load, counting `zoneBias` against those outside the zone.
function betterOfTwo(candidates: readonly Candidate[], loads: readonly number[], mean: number, options: PickOptions): Candidate {
	const first = drawWeighted(candidates, options);
	const second = drawWeighted(candidates, options, first);
	const cost = (index: number): number => loads[index] + (candidates[index].zone === options.zone ? 0 : options.zoneBias * (mean + 1));
	return cost(first) <= cost(second) ? candidates[first] : candidates[second];
}

// Draws new targets less often, since their caches are cold.
function drawWeighted(candidates: readonly Candidate[], options: PickOptions, excludedIndex?: number): number {
	const weights = candidates.map(({sinceMs}, index) => {
		if (index === excludedIndex) {
			return 0;
		}

		const ageRatio = options.slowStartMs === 0 ? 1 : (options.nowMs - sinceMs) / options.slowStartMs;
		return Math.min(1, Math.max(minSlowStartWeight, ageRatio));
	});
	let remaining = options.random() * weights.reduce((sum, weight) => sum + weight, 0);
	for (const [index, weight] of weights.entries()) {
		remaining -= weight;
		if (remaining < 0 && weight > 0) {
			return index;
		}
	}

	return weights.findLastIndex(weight => weight > 0);
}

import {rendezvousOrder} from './rendezvous.js';

/** The last thing a target said of its load, and when it arrived here. */
export type AgedReport = {
	readonly outstandingTokens: number;
	readonly concurrency: number;
	readonly atMs: number;
	/** What this process had outstanding at the target when the report arrived. */
	readonly ownTokensThen: number;
	/** Whether work waits there. It says so when that begins and when it ends, so this does not fade. */
	readonly isSaturated: boolean;
};

/** A target as one entry sees it. */
export type Candidate = {
	readonly id: string;
	readonly zone: string;
	/** The tokens of this entry's own work that is outstanding there. */
	readonly ownTokens: number;
	readonly report: AgedReport | undefined;
	/** When the target became known here, for slow start. */
	readonly sinceMs: number;
};

export type PickOptions = {
	readonly nowMs: number;
	readonly random: () => number;
	readonly zone: string;
	readonly reportMaxAgeMs: number;
	/** Extra load, as a ratio of the mean, before a far zone is taken. */
	readonly zoneBias: number;
	readonly slowStartMs: number;
	/** What the request's prefix cache is found by; `undefined` for none. */
	readonly affinityKey: string | undefined;
	/** How far over the mean a target may be and still be taken for its cache. */
	readonly affinityLoadFactor: number;
};

const leastSlowStartShare = 0.1;
const affinityChoices = 2;
const saturatedMaxAgeMs = 10_000;
const fewSaturated = 0.25;

/**
Picks the target that is likely to answer first.

A request with a prefix goes to the first of its two rendezvous targets where no
work waits and whose load is within `affinityLoadFactor` of the mean. Otherwise two candidates are drawn and
the one with less load is taken. Load is what this entry itself has outstanding
plus the last report, faded linearly to the mean over `reportMaxAgeMs`: an old
report says nothing.

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
	const cached = options.affinityKey === undefined ? undefined : cachedTarget(candidates, loads, mean, options);
	return cached ?? betterOfTwo(candidates, loads, mean, options);
}

/**
Estimates each candidate's outstanding tokens.

@example
const [load] = estimateLoads([candidate], options);
*/
export function estimateLoads(candidates: readonly Candidate[], options: Pick<PickOptions, 'nowMs' | 'reportMaxAgeMs'>): readonly number[] {
	const reported = candidates.map(candidate => candidate.report);
	const known = reported.filter(report => report !== undefined);
	const meanOthers = known.length === 0
		? 0
		: known.reduce((sum, report) => sum + Math.max(0, report.outstandingTokens - report.ownTokensThen), 0) / known.length;
	return candidates.map(({report, ownTokens}) => {
		if (!report) {
			return meanOthers + ownTokens;
		}

		const fadeMs = report.isSaturated ? saturatedMaxAgeMs : options.reportMaxAgeMs;
		const freshness = Math.max(0, 1 - ((options.nowMs - report.atMs) / fadeMs));
		const others = Math.max(0, report.outstandingTokens - report.ownTokensThen);
		return (others * freshness) + (meanOthers * (1 - freshness)) + ownTokens;
	});
}

function cachedTarget(candidates: readonly Candidate[], loads: readonly number[], mean: number, options: PickOptions): Candidate | undefined {
	const saturated = candidates.filter(({report}) => report?.isSaturated).length;
	// Where few are full their cache is not worth the wait; where many are, every other place is as full and has no cache.
	const isAvoided = saturated <= candidates.length * fewSaturated;
	const order = rendezvousOrder(options.affinityKey!, candidates.map(({id}) => id)).slice(0, affinityChoices);
	for (const id of order) {
		const index = candidates.findIndex(candidate => candidate.id === id);
		const isFull = isAvoided && candidates[index].report?.isSaturated === true;
		if (!isFull && loads[index] <= (mean * options.affinityLoadFactor) + 1) {
			return candidates[index];
		}
	}

	return undefined;
}

function betterOfTwo(candidates: readonly Candidate[], loads: readonly number[], mean: number, options: PickOptions): Candidate {
	const first = draw(candidates, options);
	const second = draw(candidates, options, first);
	const cost = (index: number): number => loads[index] + (candidates[index].zone === options.zone ? 0 : options.zoneBias * (mean + 1));
	return cost(first) <= cost(second) ? candidates[first] : candidates[second];
}

// A target that has just come is drawn less often, since its caches are cold.
function draw(candidates: readonly Candidate[], options: PickOptions, except?: number): number {
	const shares = candidates.map(({sinceMs}, index) => {
		if (index === except) {
			return 0;
		}

		const age = options.slowStartMs === 0 ? 1 : (options.nowMs - sinceMs) / options.slowStartMs;
		return Math.min(1, Math.max(leastSlowStartShare, age));
	});
	let mark = options.random() * shares.reduce((sum, share) => sum + share, 0);
	for (const [index, share] of shares.entries()) {
		mark -= share;
		if (mark < 0 && share > 0) {
			return index;
		}
	}

	return shares.findLastIndex(share => share > 0);
}

import {
	groupCapacity, type GroupDay, type RequestKind, type RequestOutcome,
} from './group-day.js';

/** What a late answer earns of the value of one in time; the published range is 0.3 to 0.5. */
const lateValueRatio = 0.4;

const valueRatios = {
	inTime: 1, late: lateValueRatio, refused: 0, abandoned: 0,
};

/** What an answer in time of each kind is worth. */
const kindValues: ReadonlyMap<string, number> = new Map([['urgent', 3], ['usual', 1.6], ['patient', 0.8]]);

/** The skew at which the capacity is computed to which loads refer: that of a map which fits the demand. */
const fittingSkew = 1.2;

/** The load outside bursts, as a ratio of the capacity. */
const usualLoad = 0.8;

/** The period of the burst, from the first request on. */
export const burst = {fromMs: 6000, untilMs: 12_000};

const noShiftsMs = 1e9;

/** Three kinds of streams, the most urgent first, with their part of the usual load. */
const kinds: readonly RequestKind[] = [
	{
		name: 'urgent', priority: 0, share: 0.3, objectiveMs: 503,
	},
	{
		name: 'usual', priority: 1, share: 0.4, objectiveMs: 503,
	},
	{
		name: 'patient', priority: 2, share: 0.3, objectiveMs: 1003,
	},
];

/** Returns a day with the three kinds at the usual load and without shifts of demand. */
export function dayOfThreeKinds(day: GroupDay): GroupDay {
	return {
		...day, kinds, requestsPerS: usualLoad * groupCapacity(day, fittingSkew).perSecond, shiftMs: noShiftsMs, lengthMs: 20_000,
	};
}

/** Returns a day of one kind at the usual load and without shifts of demand. */
export function dayOfOneKind(day: GroupDay): GroupDay {
	return {
		...dayOfThreeKinds(day),
		kinds: [{
			name: 'all', priority: 1, share: 1, objectiveMs: day.objectiveMs,
		}],
	};
}

/**
Returns a day in which one kind raises the total load to `load` times the capacity for a
period, by default for 6 s.

@example
const day = withBurst(dayOfThreeKinds(groupDays[1]), 'patient', 1.5);
*/
export function withBurst(day: GroupDay, name: string, load: number, period: {readonly fromMs: number; readonly untilMs: number} = burst): GroupDay {
	const excess = (load / usualLoad) - 1;
	return {...day, kinds: day.kinds?.map(kind => kind.name === name ? {...kind, burst: {factor: 1 + (excess / kind.share), ...period}} : kind)};
}

/**
Returns the part of their value that the requests of a kind earned that were sent within
a period.

@example
const urgent = earnedRatio(outcomes, {kind: 'urgent', ...burst});
*/
export function earnedRatio(outcomes: readonly RequestOutcome[], {kind, fromMs, untilMs}: {readonly kind?: string; readonly fromMs: number; readonly untilMs: number}): number {
	const sent = outcomes.filter(each => (kind === undefined || each.kind === kind) && each.sentMs >= fromMs && each.sentMs < untilMs);
	return sent.reduce((sum, {outcome}) => sum + valueRatios[outcome], 0) / sent.length;
}

/**
Returns the value that the requests of a period earned as a ratio of the value under an
order with full knowledge, which serves as many requests in time and as many late, but
chooses those of the highest value.

@example
const ratio = orderingRatio(outcomes, burst);
*/
export function orderingRatio(outcomes: readonly RequestOutcome[], {fromMs, untilMs}: {readonly fromMs: number; readonly untilMs: number}): number {
	const sent = outcomes.filter(({sentMs}) => sentMs >= fromMs && sentMs < untilMs);
	const earnedRatios = sent.map(({outcome}) => valueRatios[outcome]);
	const values = sent.map(({kind}) => kindValues.get(kind) ?? 1);
	const sum = (left: readonly number[], right: readonly number[]): number => left.reduce((total, value, i) => total + (value * right[i]), 0);
	const descending = (numbers: readonly number[]): readonly number[] => numbers.toSorted((a, b) => b - a);
	return sum(earnedRatios, values) / sum(descending(earnedRatios), descending(values));
}

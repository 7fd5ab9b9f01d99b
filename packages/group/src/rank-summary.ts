import {type RankView} from '@papayaflow/experts';

/** The state that several ranks of a group share, as it is logged. `isUnread` marks ranks that could not be read. */
export type RankSummary = {
	/** The ranks as a list of numbers and ranges. */
	readonly ranks: string;
	readonly isUnread?: true;
	readonly pass?: number;
	readonly map?: number;
	readonly prepared?: number;
	/** The version and the pass for which the ranks are armed, as `VERSION@PASS`. */
	readonly armed?: string;
	readonly held?: number;
};

/**
Describes the states of the ranks of a group in a log line, whose size depends on the
number of different states.

@example
summarizeRanks(views); // [{ranks: '0-2', pass: 205, map: 3, prepared: 10032, held: 206}, {ranks: '3,5', pass: 205, map: 3, prepared: 10018, armed: '10018@206'}]
*/
export function summarizeRanks(views: ReadonlyArray<RankView | undefined>): readonly RankSummary[] {
	const groups = new Map<string, number[]>();
	for (const [rank, view] of views.entries()) {
		const state = JSON.stringify(view ? stateOf(view) : {isUnread: true});
		groups.set(state, [...(groups.get(state) ?? []), rank]);
	}

	return [...groups].map(([state, ranks]) => ({ranks: listRanges(ranks), ...JSON.parse(state) as Omit<RankSummary, 'ranks'>}));
}

function stateOf({pass, mapVersion, prepared, armed, held}: RankView): Omit<RankSummary, 'ranks'> {
	return {
		pass, map: mapVersion, prepared, armed: armed && `${armed.version}@${armed.pass}`, held,
	};
}

function listRanges(numbers: readonly number[]): string {
	const ranges: Array<{readonly first: number; last: number}> = [];
	for (const number of numbers) {
		const range = ranges.at(-1);
		if (range?.last === number - 1) {
			range.last = number;
		} else {
			ranges.push({first: number, last: number});
		}
	}

	return ranges.map(({first, last}) => first === last ? String(first) : `${first}-${last}`).join(',');
}

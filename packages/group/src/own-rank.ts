import {
	type CommandReply, type CommandResult, type GuardedCommand, type RankView,
} from '@papayaflow/experts';

/** How often a coordinator looks at its own rank, in milliseconds: about a pass, which it measures. */
const closeLookMs = 80;

/** How often another sidecar looks at its rank, in milliseconds: it waits for a new formation alone. */
const lookMs = 240;

/** How often the counts are read, in milliseconds: some passes, so that a shift in demand shows within two of them. */
const countMs = 170;

/** A rank's engine, as the platform's adapter reaches it. */
export type RankEngine = {
	view(): Promise<RankView | undefined>;
	counts(): Promise<{readonly formation: number; readonly pass: number; readonly counts: readonly number[]} | undefined>;
	experts(): Promise<{readonly formation: number; readonly version: number; readonly experts: ReadonlyArray<readonly number[]>} | undefined>;
	command(guarded: GuardedCommand): Promise<CommandResult>;
};

/** The rank beside this sidecar. */
export type OwnRank = {
	/** What it said last; `undefined` while it can't be reached or belongs to no group. */
	view(): RankView | undefined;
	/** Looks now, and brings what it says. */
	look(): Promise<RankView | undefined>;
	command(guarded: GuardedCommand): Promise<CommandReply>;
};

export type OwnRankOptions = {
	readonly engine: RankEngine;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	/** Whether this sidecar coordinates, and looks more often. */
	readonly isClose: () => boolean;
	readonly onView: (view: RankView | undefined) => void;
	readonly onCounts: (counts: {readonly formation: number; readonly pass: number; readonly counts: readonly number[]}) => void;
};

/**
Follows the rank beside this sidecar: its state, and the counts of its experts.

@example
const own = followOwnRank(options);
own.view()?.pass;
*/
export function followOwnRank({engine, sleep, signal, isClose, onView, onCounts}: OwnRankOptions): OwnRank {
	let last: RankView | undefined;

	const look = async (): Promise<RankView | undefined> => {
		last = await engine.view();
		onView(last);
		return last;
	};

	const follow = async (): Promise<void> => {
		while (!signal.aborted) {
			await look();
			await sleep(isClose() ? closeLookMs : lookMs);
		}
	};

	const count = async (): Promise<void> => {
		while (!signal.aborted) {
			const counts = last && await engine.counts();
			if (counts) {
				onCounts(counts);
			}

			await sleep(countMs);
		}
	};

	void count();
	void follow();
	return {
		view: () => last,
		look,
		async command(guarded) {
			const result = await engine.command(guarded);
			return {result, view: await look()};
		},
	};
}

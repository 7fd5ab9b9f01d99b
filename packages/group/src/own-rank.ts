import {
	type CommandReply, type CommandResult, type GuardedCommand, type RankView,
} from '@papayaflow/experts';
import {countedBetween, type RunningCounts} from './counts.js';

/** How often a coordinator looks at its own rank, in milliseconds: about a pass, which it measures. */
const closeLookMs = 80;

/** How often another sidecar looks at its rank, in milliseconds: it waits for a new formation alone. */
const lookMs = 240;

/** Over which time choices are counted for one report, in milliseconds: some passes, so that a shift in demand shows within two reports. */
const countMs = 170;

/**
What one rank's reports of its counts may take of the links, in bytes a millisecond: the 2 KB a second that
control may take of a node. A group with more experts is told of a part of the time; its ranks take turns by chance.
*/
const countBytesPerMs = 2;

/** A rank's engine, as the platform's adapter reaches it. */
export type RankEngine = {
	view(): Promise<RankView | undefined>;
	counts(): Promise<RunningCounts | undefined>;
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
	/** Told how often each expert was chosen in the last stretch of time. */
	readonly onCounts: (counted: CountedStretch) => void;
	readonly random: () => number;
};

/** The choices of one rank's requests in the stretch of time that ended just now. */
export type CountedStretch = {readonly formation: number; readonly pass: number; readonly counts: readonly number[]};

/**
Follows the rank beside this sidecar: its state, and the counts of its experts.

@example
const own = followOwnRank(options);
own.view()?.pass;
*/
export function followOwnRank({engine, sleep, signal, isClose, onView, onCounts, random}: OwnRankOptions): OwnRank {
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
		let before: RunningCounts | undefined;
		while (!signal.aborted) {
			const now = last && await engine.counts();
			const counts = before && now && countedBetween(before, now);
			before = now;
			if (now && counts) {
				onCounts({formation: now.formation, pass: now.pass, counts});
				const restMs = ((counts.length / countBytesPerMs) - countMs) * (0.5 + random());
				if (restMs > 0) {
					before = undefined;
					await sleep(restMs);
					continue;
				}
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

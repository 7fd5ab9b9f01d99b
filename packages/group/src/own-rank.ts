import {
	type CommandReply, type CommandResult, type GuardedCommand, type RankExperts, type RankView,
} from '@papayaflow/experts';
import {countsBetween, type CumulativeCounts} from './counts.js';

/** How often a coordinator polls its own rank, in milliseconds: about once per pass, because it measures the pass time. */
const coordinatorPollMs = 80;

/** How often any other sidecar polls its rank, in milliseconds. It only has to notice a new formation. */
const pollMs = 240;

/** The interval that one report of counts covers, in milliseconds: several passes, so that a demand shift shows within two reports. */
const countsIntervalMs = 170;

/**
The bandwidth limit for the count reports of one rank, in bytes per millisecond: the
2 KB/s that control traffic may use on an instance. If a report exceeds the limit for
its interval, the sidecar pauses for a random time after it and does not report the
counts of the pause. The time is random so that the sidecars don't all report at once.
*/
const countBytesPerMs = 2;

/** The client of a rank's engine that the platform's adapter provides. */
export type RankEngine = {
	view(): Promise<RankView | undefined>;
	counts(): Promise<CumulativeCounts | undefined>;
	experts(): Promise<RankExperts | undefined>;
	command(guarded: GuardedCommand): Promise<CommandResult>;
};

/** The rank beside this sidecar. */
export type OwnRank = {
	/** The state that the last poll returned; `undefined` while the rank can't be reached or belongs to no group. */
	view(): RankView | undefined;
	/** Polls the rank's state now and returns it. */
	pollView(): Promise<RankView | undefined>;
	/** Sends a command to the rank and returns its result with the state after it. */
	command(guarded: GuardedCommand): Promise<CommandReply>;
};

export type OwnRankOptions = {
	readonly engine: RankEngine;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	/** Whether this sidecar coordinates the group and therefore polls more often. */
	readonly isCoordinating: () => boolean;
	/** Called with the result of each poll. */
	readonly onView: (view: RankView | undefined) => void;
	/** Called with the counts of each reported interval. */
	readonly onCounts: (interval: IntervalCounts) => void;
	readonly random: () => number;
};

/** How often each expert was chosen for one rank's requests in the interval that has just ended. */
export type IntervalCounts = {readonly formation: number; readonly pass: number; readonly counts: readonly number[]};

/**
Polls the state and the expert counts of the rank beside this sidecar until `signal`
aborts.

@example
const own = pollOwnRank(options);
own.view()?.pass;
*/
export function pollOwnRank({engine, sleep, signal, isCoordinating, onView, onCounts, random}: OwnRankOptions): OwnRank {
	let lastView: RankView | undefined;

	const pollView = async (): Promise<RankView | undefined> => {
		lastView = await engine.view();
		onView(lastView);
		return lastView;
	};

	const pollViews = async (): Promise<void> => {
		while (!signal.aborted) {
			await pollView();
			await sleep(isCoordinating() ? coordinatorPollMs : pollMs);
		}
	};

	const pollCounts = async (): Promise<void> => {
		let before: CumulativeCounts | undefined;
		while (!signal.aborted) {
			const now = lastView && await engine.counts();
			const counts = before && now && countsBetween(before, now);
			before = now;
			// A rank without requests has nothing to report.
			if (now && counts?.some(count => count > 0)) {
				onCounts({formation: now.formation, pass: now.pass, counts});
				const pauseMs = ((counts.length / countBytesPerMs) - countsIntervalMs) * (0.5 + random());
				if (pauseMs > 0) {
					before = undefined;
					await sleep(pauseMs);
					continue;
				}
			}

			await sleep(countsIntervalMs);
		}
	};

	void pollCounts();
	void pollViews();
	return {
		view: () => lastView,
		pollView,
		async command(guarded) {
			const result = await engine.command(guarded);
			return {result, view: await pollView()};
		},
	};
}

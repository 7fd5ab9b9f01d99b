import {
	type CommandReply, type CommandResult, type GuardedCommand, type RankExperts, type RankView,
} from '@papayaflow/experts';
import {countsBetween, type CumulativeCounts} from './counts.js';

/** How often a coordinator polls its own rank, in milliseconds: about once per pass, because it measures the pass time. */
export const coordinatorPollMs = 80;

/** How often a sidecar polls its rank that may become the coordinator, or that does not know the state of its group, in milliseconds. */
export const candidatePollMs = 240;

/** How often any other sidecar polls its rank, in milliseconds. The candidates tell it when the state of the group changes, so its own polls only matter while it is connected to none of them. */
export const memberPollMs = 2000;

/** The interval that one report of counts covers, in milliseconds: several passes, so that a demand shift shows within two reports. */
const countsIntervalMs = 170;

/** How often the counts of a rank without requests are read, in milliseconds. A group has many ranks, most of which have no requests at times. */
const idleCountsIntervalMs = 1000;

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
	/** Ends the pause before the next periodic poll, as when the state is known to have changed. */
	pollSoon(): void;
	/** Sends a command to the rank and returns its result with the state after it. */
	command(guarded: GuardedCommand): Promise<CommandReply>;
};

export type OwnRankOptions = {
	readonly engine: RankEngine;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	/** Returns the pause before the next poll of the state, in milliseconds. */
	readonly pollIntervalMs: () => number;
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
export function pollOwnRank({engine, sleep, signal, pollIntervalMs, onView, onCounts, random}: OwnRankOptions): OwnRank {
	let lastView: RankView | undefined;
	let endPause = (): void => undefined;

	const pollView = async (): Promise<RankView | undefined> => {
		lastView = await engine.view();
		onView(lastView);
		return lastView;
	};

	const pauseBeforePoll = async (): Promise<void> => Promise.race([sleep(pollIntervalMs()), new Promise<void>(resolve => {
		endPause = resolve;
	})]);

	const pollViews = async (): Promise<void> => {
		while (!signal.aborted) {
			await pollView();
			await pauseBeforePoll();
		}
	};

	const pollCounts = async (): Promise<void> => {
		let before: CumulativeCounts | undefined;
		while (!signal.aborted) {
			const now = lastView && await engine.counts();
			const counts = before && now && countsBetween(before, now);
			before = now;
			if (counts?.every(count => count === 0)) {
				await sleep(idleCountsIntervalMs);
				continue;
			}

			if (now && counts) {
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
		pollSoon() {
			endPause();
		},
		async command(guarded) {
			const result = await engine.command(guarded);
			return {result, view: await pollView()};
		},
	};
}

import {type LayerMove} from '@papayaflow/policy';

/**
What a coordinator tells a rank. `epoch` is the coordinator's fencing number; a
rank that has promised a higher one refuses.
*/
export type RankOrder
	/** Asks for the rank's state and a promise to refuse lower epochs. */
	= | {readonly kind: 'promise'; readonly epoch: number}
	/** Loads the experts that the rank needs for a map, without using them. */
		| {readonly kind: 'prepare'; readonly epoch: number; readonly version: number; readonly moves: readonly LayerMove[]}
	/** Promises not to take step `step` before the map is committed or aborted. */
		| {readonly kind: 'hold'; readonly epoch: number; readonly version: number; readonly step: number}
	/** Uses the map from the held step on. */
		| {readonly kind: 'commit'; readonly epoch: number; readonly version: number}
	/** Forgets the map and never holds for it again. */
		| {readonly kind: 'abort'; readonly epoch: number; readonly version: number};

/** A map that is to come in force at a step. */
export type Scheduled = {readonly version: number; readonly step: number};

/** What a rank says of itself with each reply. */
export type RankState = {
	/** The highest epoch promised. */
	readonly promised: number;
	/** The version of the map in use. */
	readonly committed: number;
	readonly prepared: number;
	readonly held?: Scheduled;
	readonly next?: Scheduled;
	/** The highest version aborted. */
	readonly aborted: number;
	/** The last step taken. */
	readonly step: number;
};

export type RankReply = {readonly accepted: boolean; readonly state: RankState};

/** The ranks of a group, wherever they stand. */
export type Ranks = {
	readonly count: number;
	/** Gives one order to one rank; `undefined` when no reply came in time, which says nothing of what the rank did. */
	order(rank: number, order: RankOrder): Promise<RankReply | undefined>;
};

import {type LayerMove} from '@papayaflow/policy';

/**
Order from a coordinator to a rank. `epoch` is the coordinator's fencing token; a
rank that has promised a higher epoch refuses the order.
*/
export type RankOrder
	/** Requests the state of the rank and its promise to refuse lower epochs. */
	= | {readonly kind: 'promise'; readonly epoch: number}
	/** Loads the experts that the rank needs for a map, without using them. */
		| {readonly kind: 'prepare'; readonly epoch: number; readonly version: number; readonly moves: readonly LayerMove[]}
	/** Keeps the rank from taking step `step` until the map is committed or aborted. */
		| {readonly kind: 'hold'; readonly epoch: number; readonly version: number; readonly step: number}
	/** Uses the map from the held step on. */
		| {readonly kind: 'commit'; readonly epoch: number; readonly version: number}
	/** Discards the map. The rank refuses any later hold for it. */
		| {readonly kind: 'abort'; readonly epoch: number; readonly version: number};

/** A map that takes effect at a step. */
export type ScheduledMap = {readonly version: number; readonly step: number};

/** State of a rank, which it sends with each reply. */
export type RankState = {
	/** The highest epoch promised. */
	readonly promised: number;
	/** The version of the map in use. */
	readonly committed: number;
	readonly prepared: number;
	/** The map that the rank holds: it does not take the step until the map is committed or aborted. */
	readonly held?: ScheduledMap;
	/** The committed map that takes effect at a later step. */
	readonly next?: ScheduledMap;
	/** The highest version aborted. */
	readonly aborted: number;
	/** The last step taken. */
	readonly step: number;
};

export type RankReply = {readonly accepted: boolean; readonly state: RankState};

/** Access to the ranks of a group, on this machine and on others. */
export type Ranks = {
	readonly count: number;
	/** Sends an order to a rank; `undefined` when no reply came in time, in which case the rank may or may not have obeyed. */
	order(rank: number, order: RankOrder): Promise<RankReply | undefined>;
};

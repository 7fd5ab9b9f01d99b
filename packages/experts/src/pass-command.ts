/** For each layer and rank, the experts that the rank holds. */
export type LayeredMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/**
What a coordinator tells a rank of a group that makes its passes together. The
group stops before a pass that one rank holds; a rank that is armed uses a prepared
map from a pass on.
*/
export type PassCommand
	/** Copies what the rank lacks of a map, without using it. Replaces what was prepared before. */
	= | {readonly kind: 'prepare'; readonly version: number; readonly map: LayeredMap}
		| {readonly kind: 'arm'; readonly version: number; readonly pass: number}
		| {readonly kind: 'disarm'; readonly version: number}
		/** Keeps the group from beginning a pass, until it is let go. It does not lapse. */
		| {readonly kind: 'hold'; readonly pass: number}
		| {readonly kind: 'release'; readonly pass: number};

/** A command with what guards it against being obeyed by the wrong one or too late. */
export type GuardedCommand = {
	readonly command: PassCommand;
	/** Rises with each coordinator; a rank that has seen a higher one refuses. */
	readonly fencingToken: number;
	/** The formation of the group that the command is for. */
	readonly formation: number;
};

/** What a rank says of itself. */
export type RankView = {
	readonly group: string;
	/** Rises each time that the group forms anew; maps, preparations, arms and holds of before are gone then. */
	readonly formation: number;
	readonly isOpen: boolean;
	readonly rank: number;
	readonly size: number;
	/** The last pass that was begun. */
	readonly pass: number;
	/** Whether it is copying experts. */
	readonly isCopying: boolean;
	/** The version of the map in use. */
	readonly mapVersion: number;
	/** The version that is whole and can be armed. */
	readonly prepared: number | undefined;
	readonly armed: {readonly version: number; readonly pass: number} | undefined;
	readonly held: number | undefined;
	/** Over 1 where the rank is slow. */
	readonly pace: number;
	/** Requests there that wait and that run. */
	readonly queued: number;
	readonly active: number;
	readonly usedTokens: number;
};

/**
What became of a command. `unknown`: no answer came, and it may be obeyed yet.
`refused`: the rank's state does not allow it. `fenced`: another coordinator has
a higher token.
*/
export type CommandResult = 'obeyed' | 'refused' | 'fenced' | 'unknown';

export type CommandReply = {readonly result: CommandResult; readonly view: RankView | undefined};

/** The ranks of a group, wherever they stand. */
export type PassRanks = {
	readonly count: number;
	/** Gives one command to one rank, once, and does not look at what came of it. */
	order(rank: number, guarded: GuardedCommand): Promise<CommandResult>;
	/** Gives one command to one rank, once, and brings the rank's state after it. */
	command(rank: number, guarded: GuardedCommand): Promise<CommandReply>;
	/** Asks a rank for its state; `undefined` when it can't be reached. */
	look(rank: number): Promise<RankView | undefined>;
};

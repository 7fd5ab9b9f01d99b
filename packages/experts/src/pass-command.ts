/** Expert map of all layers: the experts that each rank holds, indexed by layer and by rank. */
export type LayeredMap = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/**
Command from a coordinator to one rank of a group whose ranks begin each pass together.
If one rank holds a pass, the whole group waits before it. An armed rank uses its
prepared map from the given pass on.
*/
export type PassCommand
	/** Copies the experts of the map that the rank lacks, without using the map. Replaces the map prepared before. */
	= | {readonly kind: 'prepare'; readonly version: number; readonly map: LayeredMap}
		| {readonly kind: 'arm'; readonly version: number; readonly pass: number}
		| {readonly kind: 'disarm'; readonly version: number}
		/** Keeps the group from beginning a pass until the hold is released. A hold does not expire. */
		| {readonly kind: 'hold'; readonly pass: number}
		| {readonly kind: 'release'; readonly pass: number};

/** Command with the fencing token and the formation by which a rank rejects stale commands. */
export type GuardedCommand = {
	readonly command: PassCommand;
	/** Higher for each new coordinator. A rank that has seen a higher token rejects the command. */
	readonly fencingToken: number;
	/** The formation of the group for which the command is valid. */
	readonly formation: number;
};

/** State of a rank, as the rank reports it. */
export type RankView = {
	readonly group: string;
	/** Rises each time that the group re-forms. The ranks then discard their maps, prepared and armed ones included, and release their holds. */
	readonly formation: number;
	readonly isOpen: boolean;
	readonly rank: number;
	readonly size: number;
	/** The last pass that has begun. */
	readonly pass: number;
	/** Whether the rank is copying experts for a map that it prepares. */
	readonly isCopying: boolean;
	/** The version of the map in use. */
	readonly mapVersion: number;
	/** The version of the map that is completely copied and can be armed. */
	readonly prepared: number | undefined;
	readonly armed: {readonly version: number; readonly pass: number} | undefined;
	/** The pass that this rank holds. */
	readonly held: number | undefined;
	/** Above 1 while the rank is slower than normal. */
	readonly pace: number;
	/** Requests that wait at the rank. */
	readonly queued: number;
	/** Requests that run on the rank. */
	readonly active: number;
	readonly usedTokens: number;
};

/** The experts that one rank holds in each layer under the map in use. */
export type RankExperts = {readonly formation: number; readonly version: number; readonly experts: ReadonlyArray<readonly number[]>};

/**
Outcome of a command. `unknown`: no reply arrived, and the rank may still obey the
command later. `refused`: the state of the rank does not allow the command. `fenced`:
the rank has seen a higher fencing token of another coordinator.
*/
export type CommandResult = 'obeyed' | 'refused' | 'fenced' | 'unknown';

export type CommandReply = {readonly result: CommandResult; readonly view: RankView | undefined};

/** Access to the ranks of a group, on this machine and on others. */
export type PassRanks = {
	readonly count: number;
	/** Sends a command to a rank once, and returns the result without the state of the rank. */
	order(rank: number, guarded: GuardedCommand): Promise<CommandResult>;
	/** Sends a command to a rank once, and returns the result with the state of the rank afterwards. */
	command(rank: number, guarded: GuardedCommand): Promise<CommandReply>;
	/** Reads the state of a rank; `undefined` when the rank can't be reached. */
	readView(rank: number): Promise<RankView | undefined>;
};

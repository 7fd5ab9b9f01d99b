type ScheduledVersion = {readonly version: number; readonly step: number};

type Move = {readonly layer: number; readonly rank: number; readonly slot: number; readonly expert: number};

/** The expert in each slot, by layer and rank. */
type Slots = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** State of a rank: the highest epoch that it has accepted (`promised`), and the versions of its expert maps. */
type Rank = {
	promised: number;
	committed: number;
	prepared: number;
	held: ScheduledVersion | undefined;
	next: ScheduledVersion | undefined;
	aborted: number;
};

type RankState = Readonly<Rank> & {readonly step: number};

type Order = Readonly<Record<string, unknown>>;

export type RankGroupOptions = {
	readonly ranks: number;
	readonly layers: number;
	/** Number of experts in a layer. */
	readonly experts: number;
	/** Number of slots of a rank in each layer. */
	readonly slots: number;
	/** Whether a rank rejects an order whose epoch is lower than the highest that it has accepted. */
	readonly checksFencing: boolean;
};

/** The ranks of one group, which run in lock-step. */
export type RankGroup = {
	/** Runs the next step. Returns `false` without running it if a rank holds the group before it. */
	step(): boolean;
	stepNumber(): number;
	/** Sends an order to a rank. Returns whether the rank accepted it, and the rank's state. */
	order(rank: number, order: Order): {readonly accepted: boolean; readonly state: RankState};
	/** Returns the state of a rank. */
	show(rank: number): RankState;
	/** The slots of the current map. */
	slots(): Slots;
	version(): number;
	/** The map versions by rank, recorded at the first step and at each step in which they changed. */
	used(): ReadonlyArray<{readonly step: number; readonly versions: readonly number[]}>;
	/** Number of steps in which two ranks used different maps. */
	mixedSteps(): number;
	/** Whether a rank has prepared or holds a map that is neither in use nor aborted. */
	isSwitching(): boolean;
};

/**
Creates a group of ranks. The orders are `promise`, `prepare`, `hold`, `commit` and
`abort`, each with the epoch of the coordinator that sends it.

@example
const group = createRankGroup({ranks: 4, layers: 2, experts: 16, slots: 5, checksFencing: true});
*/
export function createRankGroup(options: RankGroupOptions): RankGroup {
	const ranks: Rank[] = Array.from({length: options.ranks}, () => ({
		promised: 0, committed: 0, prepared: 0, held: undefined, next: undefined, aborted: 0,
	}));
	const initialSlots = (rank: number): readonly number[] => Array.from({length: options.slots}, (_, slot) => ((slot * options.ranks) + rank) % options.experts);
	const initialLayer = (): ReadonlyArray<readonly number[]> => Array.from({length: options.ranks}, (_, rank) => initialSlots(rank));
	const initialMap: Slots = Array.from({length: options.layers}, initialLayer);
	const maps = new Map<number, Slots>([[0, initialMap]]);
	const used: Array<{step: number; versions: number[]}> = [];
	let stepNumber = 0;
	let mixedStepCount = 0;

	const stateOf = (rank: Rank): RankState => ({...rank, step: stepNumber});

	return {
		step() {
			const next = stepNumber + 1;
			if (ranks.some(rank => rank.held && rank.held.step <= next)) {
				return false;
			}

			stepNumber = next;
			for (const rank of ranks) {
				if (rank.next && rank.next.step <= stepNumber) {
					rank.committed = rank.next.version;
					rank.next = undefined;
				}
			}

			const versions = ranks.map(rank => rank.committed);
			mixedStepCount += new Set(versions).size > 1 ? 1 : 0;
			if (used.at(-1)?.versions.join(',') !== versions.join(',')) {
				used.push({step: stepNumber, versions});
			}

			return true;
		},
		stepNumber: () => stepNumber,
		order(index, order) {
			const rank = ranks[index];
			const epoch = Number(order.epoch);
			if (options.checksFencing && epoch < rank.promised) {
				return {accepted: false, state: stateOf(rank)};
			}

			rank.promised = Math.max(rank.promised, epoch);
			if (order.kind === 'prepare') {
				maps.set(Number(order.version), applyMoves(maps.get(rank.committed)!, order.moves as readonly Move[]));
			}

			return {accepted: applyOrder(rank, order, stepNumber), state: stateOf(rank)};
		},
		show: index => stateOf(ranks[index]),
		slots: () => maps.get(ranks[0].committed)!,
		version: () => ranks[0].committed,
		used: () => used,
		mixedSteps: () => mixedStepCount,
		isSwitching: () => ranks.some(({prepared, committed, aborted}) => prepared > Math.max(committed, aborted)),
	};
}

function applyOrder(rank: Rank, order: Order, stepNumber: number): boolean {
	const version = Number(order.version);
	switch (order.kind) {
		case 'promise': {
			return true;
		}

		case 'prepare': {
			rank.prepared = version;
			return version > rank.aborted;
		}

		case 'hold': {
			return hold(rank, version, {stepNumber, step: Number(order.step)});
		}

		case 'commit': {
			return commit(rank, version);
		}

		case 'abort': {
			return abort(rank, version);
		}

		default: {
			return false;
		}
	}
}

function hold(rank: Rank, version: number, {stepNumber, step}: {stepNumber: number; step: number}): boolean {
	const mayHold = version > rank.aborted && rank.prepared === version && chosenVersion(rank) < version && rank.next === undefined && (rank.held === undefined || rank.held.version === version);
	if (stepNumber >= step || !mayHold) {
		return false;
	}

	rank.held = {version, step};
	return true;
}

function commit(rank: Rank, version: number): boolean {
	if (chosenVersion(rank) >= version) {
		return true;
	}

	if (rank.held?.version !== version) {
		return false;
	}

	rank.next = rank.held;
	rank.held = undefined;
	return true;
}

function abort(rank: Rank, version: number): boolean {
	if (chosenVersion(rank) >= version) {
		return false;
	}

	rank.aborted = Math.max(rank.aborted, version);
	rank.held = rank.held?.version === version ? undefined : rank.held;
	return true;
}

function chosenVersion(rank: Rank): number {
	return Math.max(rank.committed, rank.next?.version ?? 0);
}

function applyMoves(slots: Slots, moves: readonly Move[]): Slots {
	const next = slots.map(layer => layer.map(rankSlots => [...rankSlots]));
	for (const {layer, rank, slot, expert} of moves) {
		next[layer][rank][slot] = expert;
	}

	return next;
}

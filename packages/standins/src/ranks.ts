type Scheduled = {readonly version: number; readonly step: number};

type Move = {readonly layer: number; readonly rank: number; readonly slot: number; readonly expert: number};

/** For each layer and rank, the expert in each slot. */
type Slots = ReadonlyArray<ReadonlyArray<readonly number[]>>;

/** What a rank knows of its expert maps. */
type Rank = {
	promised: number;
	committed: number;
	prepared: number;
	held: Scheduled | undefined;
	next: Scheduled | undefined;
	aborted: number;
};

type RankState = Readonly<Rank> & {readonly step: number};

type Order = Readonly<Record<string, unknown>>;

export type RankGroupOptions = {
	readonly ranks: number;
	readonly layers: number;
	/** Experts of a layer. */
	readonly experts: number;
	/** Slots of a rank in each layer. */
	readonly slots: number;
	/** Whether a rank refuses an order with a lower epoch than it has promised. */
	readonly checksFencing: boolean;
};

/** The ranks of one group, which take their steps together. */
export type RankGroup = {
	/** Takes a step if no rank holds it back; `false` when one does. */
	step(): boolean;
	stepNumber(): number;
	order(rank: number, order: Order): {readonly accepted: boolean; readonly state: RankState};
	show(rank: number): RankState;
	/** The slots of each layer and rank under the map in use. */
	slots(): Slots;
	version(): number;
	/** The maps used: the version by rank, at each step where it changed. */
	used(): ReadonlyArray<{readonly step: number; readonly versions: readonly number[]}>;
	/** The steps in which two ranks used different maps. */
	mixedSteps(): number;
};

/**
Makes a group of ranks. Orders are `promise`, `prepare`, `hold`, `commit` and
`abort`, each with the epoch of who gives it.

@example
const group = createRankGroup({ranks: 4, layers: 2, experts: 16, slots: 5, checksFencing: true});
*/
export function createRankGroup(options: RankGroupOptions): RankGroup {
	const ranks: Rank[] = Array.from({length: options.ranks}, () => ({
		promised: 0, committed: 0, prepared: 0, held: undefined, next: undefined, aborted: 0,
	}));
	const startSlots = (rank: number): readonly number[] => Array.from({length: options.slots}, (_, slot) => ((slot * options.ranks) + rank) % options.experts);
	const startLayer = (): ReadonlyArray<readonly number[]> => Array.from({length: options.ranks}, (_, rank) => startSlots(rank));
	const start: Slots = Array.from({length: options.layers}, startLayer);
	const maps = new Map<number, Slots>([[0, start]]);
	const used: Array<{step: number; versions: number[]}> = [];
	let stepNumber = 0;
	let mixed = 0;

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
			mixed += new Set(versions).size > 1 ? 1 : 0;
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
				maps.set(Number(order.version), moved(maps.get(rank.committed)!, order.moves as readonly Move[]));
			}

			return {accepted: obey(rank, order, stepNumber), state: stateOf(rank)};
		},
		show: index => stateOf(ranks[index]),
		slots: () => maps.get(ranks[0].committed)!,
		version: () => ranks[0].committed,
		used: () => used,
		mixedSteps: () => mixed,
	};
}

function obey(rank: Rank, order: Order, stepNumber: number): boolean {
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
	const mayHold = version > rank.aborted && rank.prepared === version && chosen(rank) < version && rank.next === undefined && (rank.held === undefined || rank.held.version === version);
	if (stepNumber >= step || !mayHold) {
		return false;
	}

	rank.held = {version, step};
	return true;
}

function commit(rank: Rank, version: number): boolean {
	if (chosen(rank) >= version) {
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
	if (chosen(rank) >= version) {
		return false;
	}

	rank.aborted = Math.max(rank.aborted, version);
	rank.held = rank.held?.version === version ? undefined : rank.held;
	return true;
}

function chosen(rank: Rank): number {
	return Math.max(rank.committed, rank.next?.version ?? 0);
}

function moved(slots: Slots, moves: readonly Move[]): Slots {
	const next = slots.map(layer => layer.map(held => [...held]));
	for (const {layer, rank, slot, expert} of moves) {
		next[layer][rank][slot] = expert;
	}

	return next;
}

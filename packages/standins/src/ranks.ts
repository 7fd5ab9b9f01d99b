/** What a rank knows of its expert maps. */
type Rank = {
	promised: number;
	committed: number;
	/** The version held and the step before which it must be decided. */
	held: {version: number; step: number; epoch: number} | undefined;
	prepared: number;
	/** The map that comes in force at a step, once committed. */
	next: {version: number; step: number} | undefined;
	/** The versions that were aborted. */
	aborted: number;
	reachable: boolean;
};

/** The ranks of one group, which take their steps together. */
export type RankGroup = {
	/** Takes a step if no rank holds it back; `false` when one does. */
	step(batch: number): boolean;
	stepNumber(): number;
	order(rank: number, order: Record<string, unknown>): unknown;
	show(rank: number): unknown;
	/** The maps used: for each step at which any changed, the version by rank. */
	maps(): ReadonlyArray<{readonly step: number; readonly versions: readonly number[]}>;
	/** The steps in which two ranks used different maps. */
	mixedSteps(): number;
};

/**
Makes a group of ranks. Orders are `prepare`, `hold`, `commit`, `abort` and
`promise`, each with the epoch of who gives it.

@example
const group = createRankGroup(4, true);
*/
export function createRankGroup(size: number, checksFencing: boolean): RankGroup {
	const ranks: Rank[] = Array.from({length: size}, () => ({
		promised: 0, committed: 0, held: undefined, prepared: 0, next: undefined, aborted: 0, reachable: true,
	}));
	const used: Array<{step: number; versions: number[]}> = [];
	let stepNumber = 0;
	let mixed = 0;

	const showRank = (rank: Rank): Record<string, unknown> => ({
		promised: rank.promised, committed: rank.committed, held: rank.held ?? null, next: rank.next ?? null, prepared: rank.prepared,
		aborted: rank.aborted, step: stepNumber,
	});

	const obey = (rank: Rank, order: Record<string, unknown>): boolean => {
		const version = Number(order.version);
		const step = Number(order.step);
		const epoch = Number(order.epoch);
		switch (order.kind) {
			case 'promise': {
				return true;
			}

			case 'prepare': {
				rank.prepared = version;
				return true;
			}

			case 'hold': {
				if (stepNumber >= step || !mayHold(rank, version)) {
					return false;
				}

				rank.held = {version, step, epoch};
				return true;
			}

			case 'commit': {
				if (rank.next?.version === version || rank.committed >= version) {
					return true;
				}

				if (rank.held?.version !== version) {
					return false;
				}

				rank.next = {version, step: rank.held.step};
				rank.held = undefined;
				return true;
			}

			case 'abort': {
				if (rank.next?.version === version || rank.committed >= version) {
					return false;
				}

				rank.aborted = Math.max(rank.aborted, version);
				rank.held = rank.held?.version === version ? undefined : rank.held;
				return true;
			}

			default: {
				return false;
			}
		}
	};

	return {
		step(batch) {
			const next = stepNumber + 1;
			if (ranks.some(rank => rank.held && rank.held.step <= next)) {
				return false;
			}

			if (batch === 0 && !ranks.some(rank => rank.next)) {
				return true;
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
			const rank = ranks.at(index);
			if (!rank) {
				return undefined;
			}

			const epoch = Number(order.epoch);
			if (checksFencing && epoch < rank.promised) {
				return {accepted: false, reason: 'oldEpoch', ...showRank(rank)};
			}

			rank.promised = checksFencing ? Math.max(rank.promised, epoch) : rank.promised;
			const accepted = obey(rank, order);
			return {accepted, ...showRank(rank)};
		},
		show(index) {
			const rank = ranks.at(index);
			return rank && showRank(rank);
		},
		maps: () => used,
		mixedSteps: () => mixed,
	};
}

function mayHold(rank: Rank, version: number): boolean {
	return version > rank.aborted && rank.prepared === version && (!rank.next || rank.next.version < version);
}

/** State of one rank: versions of its maps, and the highest fencing token that it has accepted. */
type PassRank = {
	map: number;
	prepared: number | undefined;
	/** The highest version that the rank has ever prepared. */
	highestPrepared: number;
	armed: {readonly version: number; readonly pass: number} | undefined;
	token: number;
};

/** An order to a rank, translated from the protocol of the platform's engines. */
export type PassOrder
	= | {readonly kind: 'prepare'; readonly version: number}
		| {readonly kind: 'arm'; readonly version: number; readonly pass: number}
		| {readonly kind: 'disarm'; readonly version: number}
		| {readonly kind: 'hold'; readonly pass: number}
		| {readonly kind: 'release'; readonly pass: number};

/** In-memory ranks that begin each pass together. */
export type PassGroup = {
	readonly ranks: readonly PassRank[];
	pass(): number;
	/** The pass before which a rank holds the group, or `undefined`. */
	held(rank: number): number | undefined;
	formation(): number;
	/** Begins the next pass. Returns `false` if a rank holds the group before it. */
	beginPass(): boolean;
	order(rank: number, order: PassOrder, precondition: {readonly fencingToken: number; readonly formation: number}): 'obeyed' | 'refused' | 'fenced';
	/** Starts a new formation, as when a lost rank returns: all ranks use map 0, have nothing prepared, armed or held, and keep their fencing tokens. */
	startFormation(): void;
	/** Number of passes that began while two ranks had different maps. */
	mixedPasses(): number;
};

/**
Creates a group that handles orders as observed on the platform's engines: a repeated hold
succeeds, the release of a pass that is not held succeeds without effect, and a preparation
that adds no experts completes at once.

@example
const group = createPassGroup(3);
group.order(0, {kind: 'hold', pass: 2}, {fencingToken: 1, formation: 1});
*/
export function createPassGroup(count: number): PassGroup {
	let formation = 1;
	let currentPass = 0;
	let mixedPasses = 0;
	const createRank = (): PassRank => ({
		map: 0, prepared: undefined, highestPrepared: 0, armed: undefined, token: 0,
	});
	const ranks: PassRank[] = Array.from({length: count}, () => createRank());
	const holds: Array<number | undefined> = Array.from({length: count}, () => undefined);

	const applyOrder = (rankIndex: number, order: PassOrder): boolean => {
		const rank = ranks[rankIndex];
		switch (order.kind) {
			case 'prepare': {
				if (rank.armed !== undefined || order.version <= rank.highestPrepared) {
					return false;
				}

				rank.prepared = order.version;
				rank.highestPrepared = order.version;
				return true;
			}

			case 'arm': {
				if (rank.armed) {
					return rank.armed.version === order.version && rank.armed.pass === order.pass;
				}

				if (rank.prepared !== order.version || order.pass <= currentPass) {
					return false;
				}

				rank.armed = {version: order.version, pass: order.pass};
				return true;
			}

			case 'disarm': {
				if (rank.map === order.version) {
					return false;
				}

				rank.armed = rank.armed?.version === order.version ? undefined : rank.armed;
				return true;
			}

			case 'hold': {
				if (holds[rankIndex] !== undefined || order.pass <= currentPass) {
					return holds[rankIndex] === order.pass;
				}

				holds[rankIndex] = order.pass;
				return true;
			}

			case 'release': {
				holds[rankIndex] = holds[rankIndex] === order.pass ? undefined : holds[rankIndex];
				return true;
			}
		}
	};

	return {
		ranks,
		pass: () => currentPass,
		held: rank => holds[rank],
		formation: () => formation,
		beginPass() {
			if (holds.some(held => held !== undefined && held <= currentPass + 1)) {
				return false;
			}

			currentPass++;
			for (const rank of ranks) {
				if (rank.armed && rank.armed.pass <= currentPass) {
					rank.map = rank.armed.version;
					rank.prepared = undefined;
					rank.armed = undefined;
				}
			}

			mixedPasses += ranks.some(rank => rank.map !== ranks[0].map) ? 1 : 0;
			return true;
		},
		order(rankIndex, order, precondition) {
			if (precondition.fencingToken < ranks[rankIndex].token) {
				return 'fenced';
			}

			if (precondition.formation !== formation || !applyOrder(rankIndex, order)) {
				return 'refused';
			}

			ranks[rankIndex].token = precondition.fencingToken;
			return 'obeyed';
		},
		startFormation() {
			formation++;
			for (const [rankIndex, rank] of ranks.entries()) {
				Object.assign(rank, {...createRank(), token: rank.token});
				holds[rankIndex] = undefined;
			}
		},
		mixedPasses: () => mixedPasses,
	};
}

/** What one rank of the stand-in knows of its maps. */
type PassRank = {
	map: number;
	prepared: number | undefined;
	highest: number;
	armed: {readonly version: number; readonly pass: number} | undefined;
	token: number;
};

/** An order as the platform's engines take it, already in this project's words. */
export type PassOrder
	= | {readonly kind: 'prepare'; readonly version: number}
		| {readonly kind: 'arm'; readonly version: number; readonly pass: number}
		| {readonly kind: 'disarm'; readonly version: number}
		| {readonly kind: 'hold'; readonly pass: number}
		| {readonly kind: 'release'; readonly pass: number};

/** Ranks that begin each pass together, in memory. */
export type PassGroup = {
	readonly ranks: readonly PassRank[];
	pass(): number;
	held(rank: number): number | undefined;
	formation(): number;
	/** Begins the next pass; `false` where a rank holds it. */
	begin(): boolean;
	order(rank: number, order: PassOrder, guard: {readonly fencingToken: number; readonly formation: number}): 'obeyed' | 'refused' | 'fenced';
	/** A rank was lost and is back: a new formation with map 0 and nothing prepared, armed or held. */
	reform(): void;
	/** Passes that began while two ranks had different maps. */
	mixed(): number;
};

/**
Makes a group whose orders behave as those of the users' engines do, as seen there:
a hold that is repeated is obeyed, a release of another pass changes nothing, a
preparation without new experts is done at once.

@example
const group = createPassGroup(3);
group.order(0, {kind: 'hold', pass: 2}, {fencingToken: 1, formation: 1});
*/
export function createPassGroup(count: number): PassGroup {
	let formation = 1;
	let pass = 0;
	let mixed = 0;
	const fresh = (): PassRank => ({
		map: 0, prepared: undefined, highest: 0, armed: undefined, token: 0,
	});
	const ranks: PassRank[] = Array.from({length: count}, () => fresh());
	const holds: Array<number | undefined> = Array.from({length: count}, () => undefined);

	const obey = (at: number, order: PassOrder): boolean => {
		const rank = ranks[at];
		switch (order.kind) {
			case 'prepare': {
				if (rank.armed !== undefined || order.version <= rank.highest) {
					return false;
				}

				rank.prepared = order.version;
				rank.highest = order.version;
				return true;
			}

			case 'arm': {
				if (rank.armed) {
					return rank.armed.version === order.version && rank.armed.pass === order.pass;
				}

				if (rank.prepared !== order.version || order.pass <= pass) {
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
				if (holds[at] !== undefined || order.pass <= pass) {
					return holds[at] === order.pass;
				}

				holds[at] = order.pass;
				return true;
			}

			case 'release': {
				holds[at] = holds[at] === order.pass ? undefined : holds[at];
				return true;
			}
		}
	};

	return {
		ranks,
		pass: () => pass,
		held: rank => holds[rank],
		formation: () => formation,
		begin() {
			if (holds.some(held => held !== undefined && held <= pass + 1)) {
				return false;
			}

			pass++;
			for (const rank of ranks) {
				if (rank.armed && rank.armed.pass <= pass) {
					rank.map = rank.armed.version;
					rank.prepared = undefined;
					rank.armed = undefined;
				}
			}

			mixed += ranks.some(rank => rank.map !== ranks[0].map) ? 1 : 0;
			return true;
		},
		order(at, order, guard) {
			if (guard.fencingToken < ranks[at].token) {
				return 'fenced';
			}

			if (guard.formation !== formation || !obey(at, order)) {
				return 'refused';
			}

			ranks[at].token = guard.fencingToken;
			return 'obeyed';
		},
		reform() {
			formation++;
			for (const [at, rank] of ranks.entries()) {
				Object.assign(rank, {...fresh(), token: rank.token});
				holds[at] = undefined;
			}
		},
		mixed: () => mixed,
	};
}

import {skewOf} from './expert-map.js';

/** For each rank, the experts that it holds. */
export type Placement = ReadonlyArray<readonly number[]>;

/** One layer: where its experts stand and how much each is in demand. */
export type LayerLoad = {readonly placement: Placement; readonly shares: readonly number[]};

export type SpreadOptions = {
	/** Experts that a rank can hold in a layer. */
	readonly slotsPerRank: number;
	/** Experts new to a rank that one change may bring in a layer. */
	readonly maxNewPerLayer: number;
	/** Experts new to a rank that one change may bring over all layers: copying them takes as long as the rank with most. */
	readonly maxNewPerRank: number;
	/** The skew of a layer at which there is nothing left to gain. */
	readonly goodSkew: number;
	/** What a step must gain of the layer's potential, as a ratio, to be worth a copy. */
	readonly leastGain: number;
};

/** Placements for all layers, with what they cost and bring. */
export type Spread = {
	readonly placements: readonly Placement[];
	/** Copies that ranks have to make. */
	readonly copies: number;
	/** The most copies that one rank has to make. */
	readonly mostPerRank: number;
	/** The mean over the layers of the skew, before and after. */
	readonly skewBefore: number;
	readonly skewAfter: number;
};

/** How sharply the heaviest ranks count in the potential; higher is closer to the maximum alone. */
const sharpness = 8;

/** The hottest experts of the heaviest rank that a step looks at. */
const hottestLooked = 4;

type State = {
	readonly held: number[][];
	readonly holders: number[][];
	readonly loads: number[];
	readonly shares: readonly number[];
	readonly newCounts: number[];
	/** What each rank held before, which it need not copy. */
	readonly before: ReadonlyArray<ReadonlySet<number>>;
};

type Step = {readonly expert: number; readonly to: number; readonly evicted: number | undefined; readonly removedFrom: number | undefined};

/**
Spreads the experts in demand over the ranks with few copies: again and again the
heaviest rank of the most uneven layer shares its hottest expert with a rank that
has room, or hands it over, until no step gains enough. Every expert keeps a rank.

Pattern: one expert draws a fifth of a layer's tokens, some ten times its part, and
changes every few seconds; a rank that holds it alone holds back every pass.

@example
const spread = spreadExperts([{placement, shares}], {slotsPerRank: 11, maxNewPerLayer: 4, maxNewPerRank: 2, goodSkew: 1.02, leastGain: 0.01});
*/
export function spreadExperts(layers: readonly LayerLoad[], options: SpreadOptions): Spread {
	const states = layers.map(layer => stateOf(layer));
	const ranks = layers[0].placement.length;
	const skewBefore = meanSkew(states);
	const newPerRank = Array.from({length: ranks}, () => 0);
	const isDone = states.map(() => false);
	for (;;) {
		const layer = mostUneven(states, isDone, options.goodSkew);
		if (layer === -1) {
			break;
		}

		const state = states[layer];
		const step = bestStep(state, newPerRank, options);
		if (!step) {
			isDone[layer] = true;
			continue;
		}

		if (!state.before[step.to].has(step.expert)) {
			state.newCounts[step.to]++;
			newPerRank[step.to]++;
		}

		take(state, step);
	}

	return {
		placements: states.map(state => state.held.map(experts => experts.toSorted((a, b) => a - b))),
		copies: newPerRank.reduce((sum, count) => sum + count, 0),
		mostPerRank: Math.max(...newPerRank),
		skewBefore,
		skewAfter: meanSkew(states),
	};
}

/** The mean over layers of the greatest load of a rank over the mean load. */
export function layeredSkew(layers: readonly LayerLoad[]): number {
	return meanSkew(layers.map(layer => stateOf(layer)));
}

function stateOf({placement, shares}: LayerLoad): State {
	const holders: number[][] = Array.from(shares, () => []);
	for (const [rank, experts] of placement.entries()) {
		for (const expert of experts) {
			holders[expert].push(rank);
		}
	}

	return {
		held: placement.map(experts => [...experts]),
		holders,
		loads: placement.map(experts => experts.reduce((sum, expert) => sum + (shares[expert] / holders[expert].length), 0)),
		shares,
		newCounts: placement.map(() => 0),
		before: placement.map(experts => new Set(experts)),
	};
}

function meanSkew(states: readonly State[]): number {
	return states.reduce((sum, {loads}) => sum + skewOf(loads), 0) / states.length;
}

function mostUneven(states: readonly State[], isDone: readonly boolean[], goodSkew: number): number {
	let worst = -1;
	let worstSkew = goodSkew;
	for (const [layer, {loads}] of states.entries()) {
		const skew = skewOf(loads);
		if (!isDone[layer] && skew > worstSkew) {
			worst = layer;
			worstSkew = skew;
		}
	}

	return worst;
}

function bestStep(state: State, newPerRank: readonly number[], options: SpreadOptions): Step | undefined {
	const heavy = state.loads.indexOf(Math.max(...state.loads));
	const mean = state.loads.reduce((sum, load) => sum + load, 0) / state.loads.length;
	const hottest = state.held[heavy]
		.toSorted((a, b) => partOf(state, b) - partOf(state, a))
		.slice(0, hottestLooked);
	let best: Step | undefined;
	let bestGain = options.leastGain * potential(state.loads[heavy], mean);
	for (const expert of hottest) {
		for (const to of state.held.keys()) {
			// A rank above the mean has nothing to take.
			if (state.loads[to] >= mean || state.held[to].includes(expert)) {
				continue;
			}

			const isNew = !state.before[to].has(expert);
			if (isNew && (state.newCounts[to] >= options.maxNewPerLayer || newPerRank[to] >= options.maxNewPerRank)) {
				continue;
			}

			const evicted = state.held[to].length < options.slotsPerRank ? undefined : leastNeeded(state, to);
			if (state.held[to].length >= options.slotsPerRank && evicted === undefined) {
				continue;
			}

			for (const removedFrom of [undefined, heavy]) {
				const step: Step = {
					expert, to, evicted, removedFrom,
				};
				const gain = gainOf(state, step, mean);
				if (gain > bestGain) {
					best = step;
					bestGain = gain;
				}
			}
		}
	}

	return best;
}

function partOf({shares, holders}: State, expert: number): number {
	return shares[expert] / holders[expert].length;
}

// The expert that costs the other ranks least when this one gives it up; one that stands nowhere else stays.
function leastNeeded(state: State, rank: number): number | undefined {
	let least: number | undefined;
	for (const expert of state.held[rank]) {
		if (state.holders[expert].length > 1 && (least === undefined || state.shares[expert] < state.shares[least])) {
			least = expert;
		}
	}

	return least;
}

function potential(load: number, mean: number): number {
	return (load / mean) ** sharpness;
}

function gainOf(state: State, step: Step, mean: number): number {
	const deltas = new Map<number, number>();
	const shift = (expert: number, from: readonly number[], to: readonly number[]): void => {
		for (const rank of from) {
			deltas.set(rank, (deltas.get(rank) ?? 0) - (state.shares[expert] / from.length));
		}

		for (const rank of to) {
			deltas.set(rank, (deltas.get(rank) ?? 0) + (state.shares[expert] / to.length));
		}
	};

	const holders = state.holders[step.expert];
	shift(step.expert, holders, [...holders.filter(rank => rank !== step.removedFrom), step.to]);
	if (step.evicted !== undefined) {
		const others = state.holders[step.evicted];
		shift(step.evicted, others, others.filter(rank => rank !== step.to));
	}

	let gain = 0;
	for (const [rank, delta] of deltas) {
		gain += potential(state.loads[rank], mean) - potential(state.loads[rank] + delta, mean);
	}

	return gain;
}

function take(state: State, {expert, to, evicted, removedFrom}: Step): void {
	if (evicted !== undefined) {
		remove(state, evicted, to);
	}

	if (removedFrom !== undefined) {
		remove(state, expert, removedFrom);
	}

	// The one that gives an expert away does not hold it while the other one is added, so holders may be none here.
	const holders = state.holders[expert];
	const partBefore = holders.length === 0 ? 0 : state.shares[expert] / holders.length;
	const partAfter = state.shares[expert] / (holders.length + 1);
	for (const rank of holders) {
		state.loads[rank] += partAfter - partBefore;
	}

	holders.push(to);
	state.held[to].push(expert);
	state.loads[to] += partAfter;
}

function remove(state: State, expert: number, rank: number): void {
	const holders = state.holders[expert];
	const part = state.shares[expert] / holders.length;
	holders.splice(holders.indexOf(rank), 1);
	state.held[rank].splice(state.held[rank].indexOf(expert), 1);
	state.loads[rank] -= part;
	for (const other of holders) {
		state.loads[other] += (state.shares[expert] / holders.length) - part;
	}
}

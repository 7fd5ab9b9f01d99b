import {skewOf} from './expert-map.js';

/** The experts held by each rank. */
export type Placement = ReadonlyArray<readonly number[]>;

/** One layer: the placement of its experts and each expert's share of the demand. */
export type LayerLoad = {readonly placement: Placement; readonly shares: readonly number[]};

export type SpreadOptions = {
	/** The most experts that a rank can hold in a layer. */
	readonly slotsPerRank: number;
	/** The most experts new to a rank that one change may add to it in a layer. */
	readonly maxNewPerLayer: number;
	/** The most experts new to a rank that one change may add to it over all layers. The rank with the most new experts determines how long the copying takes. */
	readonly maxNewPerRank: number;
	/** The skew at or below which a layer is left as it is. */
	readonly goodSkew: number;
	/** The minimum gain of a step, as a ratio of the potential of the most loaded rank (see `potential`). A step with a smaller gain is not worth a copy. */
	readonly leastGain: number;
};

/** The new placements of all layers, with their cost and effect. */
export type Spread = {
	readonly placements: readonly Placement[];
	/** The total number of experts that ranks have to copy. */
	readonly copies: number;
	/** The greatest number of experts that one rank has to copy. */
	readonly mostPerRank: number;
	/** The skew averaged over the layers, before and after the change. */
	readonly skewBefore: number;
	readonly skewAfter: number;
};

/** How many of the hottest experts of the most loaded rank are considered for a step. */
const maxCandidateExperts = 4;

/** How many of the least loaded ranks that can take an expert are considered for a step. The work of a step then grows only linearly with the size of the group. */
const maxCandidateRanks = 12;

const noRanks: readonly number[] = [];

type LayerState = {
	/** The experts held by each rank. */
	readonly held: number[][];
	/** The ranks that hold each expert. */
	readonly holders: number[][];
	/** The load of each rank. */
	readonly loads: number[];
	/** The skew of `loads`. */
	skew: number;
	readonly shares: readonly number[];
	/** For each rank, the number of experts added that it has to copy. */
	readonly newExpertCounts: number[];
	/** The experts that each rank held before the change, which it need not copy. */
	readonly initialExperts: ReadonlyArray<ReadonlySet<number>>;
};

/** Adds an expert to the rank `to`, in place of `evicted` if set, and removes it from `removedFrom` if set. */
type Step = {readonly expert: number; readonly to: number; readonly evicted: number | undefined; readonly removedFrom: number | undefined};

/**
Balances the load of the ranks while copying few experts. In each step, the most
loaded rank of the layer with the highest skew shares one of its hottest experts with a
less loaded rank, or hands it over; this is repeated until no step gains enough. Every
expert keeps at least one rank.

Load pattern: one expert gets a fifth of a layer's tokens, some ten times an even
share, and which expert it is changes every few seconds. A rank that alone holds it
delays every pass.

@example
const spread = spreadExperts([{placement, shares}], {slotsPerRank: 11, maxNewPerLayer: 4, maxNewPerRank: 2, goodSkew: 1.02, leastGain: 0.01});
*/
export function spreadExperts(layers: readonly LayerLoad[], options: SpreadOptions): Spread {
	const planning = spreadExpertsInSteps(layers, options);
	for (;;) {
		const step = planning.next();
		if (step.done) {
			return step.value;
		}
	}
}

/**
Does the same as `spreadExperts`, one step at a time, so that other work can be done
between the steps. With a group of 64 ranks and 12 layers, all steps take some ten
milliseconds of processor time.

@example
const planning = spreadExpertsInSteps(layers, options);
for (let step = planning.next(); !step.done; step = planning.next()) await setImmediate();
*/
export function * spreadExpertsInSteps(layers: readonly LayerLoad[], options: SpreadOptions): Generator<void, Spread> {
	const states = layers.map(layer => createLayerState(layer));
	const ranks = layers[0].placement.length;
	const skewBefore = meanSkew(states);
	const newPerRank = Array.from({length: ranks}, () => 0);
	const isDone = states.map(() => false);
	for (;;) {
		const layer = mostSkewedLayer(states, isDone, options.goodSkew);
		if (layer === -1) {
			break;
		}

		const state = states[layer];
		const step = bestStep(state, newPerRank, options);
		if (!step) {
			isDone[layer] = true;
			yield;
			continue;
		}

		if (!state.initialExperts[step.to].has(step.expert)) {
			state.newExpertCounts[step.to]++;
			newPerRank[step.to]++;
		}

		applyStep(state, step);
		state.skew = skewOf(state.loads);
		yield;
	}

	return {
		placements: states.map(state => state.held.map(experts => experts.toSorted((a, b) => a - b))),
		copies: newPerRank.reduce((sum, count) => sum + count, 0),
		mostPerRank: Math.max(...newPerRank),
		skewBefore,
		skewAfter: meanSkew(states),
	};
}

/** Returns the skew of the ranks' loads averaged over the layers: the ratio of the greatest to the mean load of a rank. */
export function skewOfLayers(layers: readonly LayerLoad[]): number {
	return meanSkew(layers.map(layer => createLayerState(layer)));
}

function createLayerState({placement, shares}: LayerLoad): LayerState {
	const holders: number[][] = Array.from(shares, () => []);
	for (const [rank, experts] of placement.entries()) {
		for (const expert of experts) {
			holders[expert].push(rank);
		}
	}

	const loads = placement.map(experts => experts.reduce((sum, expert) => sum + (shares[expert] / holders[expert].length), 0));
	return {
		held: placement.map(experts => [...experts]),
		holders,
		loads,
		skew: skewOf(loads),
		shares,
		newExpertCounts: placement.map(() => 0),
		initialExperts: placement.map(experts => new Set(experts)),
	};
}

function meanSkew(states: readonly LayerState[]): number {
	return states.reduce((sum, {skew}) => sum + skew, 0) / states.length;
}

// Considers only layers that are not done and whose skew exceeds `goodSkew`; returns -1 if there is none.
function mostSkewedLayer(states: readonly LayerState[], isDone: readonly boolean[], goodSkew: number): number {
	let worst = -1;
	let worstSkew = goodSkew;
	for (const [layer, {skew}] of states.entries()) {
		if (!isDone[layer] && skew > worstSkew) {
			worst = layer;
			worstSkew = skew;
		}
	}

	return worst;
}

function bestStep(state: LayerState, newPerRank: readonly number[], options: SpreadOptions): Step | undefined {
	const heaviest = state.loads.indexOf(Math.max(...state.loads));
	const mean = state.loads.reduce((sum, load) => sum + load, 0) / state.loads.length;
	const hottest = state.held[heaviest]
		.toSorted((a, b) => loadPerCopy(state, b) - loadPerCopy(state, a))
		.slice(0, maxCandidateExperts);
	const potentials = state.loads.map(load => potential(load, mean));
	// A rank at or above the mean load does not take over work.
	const ranks = [...state.held.keys()].filter(rank => state.loads[rank] < mean).toSorted((a, b) => state.loads[a] - state.loads[b]);
	let best: Step | undefined;
	let bestGain = options.leastGain * potentials[heaviest];
	for (const expert of hottest) {
		let candidates = 0;
		for (const to of ranks) {
			if (state.held[to].includes(expert)) {
				continue;
			}

			const isNew = !state.initialExperts[to].has(expert);
			if (isNew && (state.newExpertCounts[to] >= options.maxNewPerLayer || newPerRank[to] >= options.maxNewPerRank)) {
				continue;
			}

			const isFull = state.held[to].length >= options.slotsPerRank;
			const evicted = isFull ? evictionCandidate(state, to) : undefined;
			if (isFull && evicted === undefined) {
				continue;
			}

			if (++candidates > maxCandidateRanks) {
				break;
			}

			for (const removedFrom of [undefined, heaviest]) {
				const step: Step = {
					expert, to, evicted, removedFrom,
				};
				const gain = potentialGain(state, step, {mean, potentials});
				if (gain > bestGain) {
					best = step;
					bestGain = gain;
				}
			}
		}
	}

	return best;
}

function loadPerCopy({shares, holders}: LayerState, expert: number): number {
	return shares[expert] / holders[expert].length;
}

// Returns the least demanded expert that another rank holds as well, since its removal adds the least load to the other ranks; `undefined` if there is none.
function evictionCandidate(state: LayerState, rank: number): number | undefined {
	let candidate: number | undefined;
	for (const expert of state.held[rank]) {
		if (state.holders[expert].length > 1 && (candidate === undefined || state.shares[expert] < state.shares[candidate])) {
			candidate = expert;
		}
	}

	return candidate;
}

// Returns the potential of a rank: its load divided by the mean load, raised to the power of 8. The gain of a step is its reduction of the sum of the potentials; with a high exponent the most loaded ranks dominate the choice.
function potential(load: number, mean: number): number {
	const ratio = load / mean;
	const ratio2 = ratio * ratio;
	const ratio4 = ratio2 * ratio2;
	return ratio4 * ratio4;
}

function potentialGain(state: LayerState, {expert, to, evicted, removedFrom}: Step, {mean, potentials}: {readonly mean: number; readonly potentials: readonly number[]}): number {
	const holders = state.holders[expert];
	const copyLoadBefore = state.shares[expert] / holders.length;
	const copyLoadAfter = state.shares[expert] / (holders.length + (removedFrom === undefined ? 1 : 0));
	const evictedHolders = evicted === undefined ? noRanks : state.holders[evicted];
	const evictedLoadBefore = evicted === undefined ? 0 : state.shares[evicted] / evictedHolders.length;
	const evictedLoadAfter = evicted === undefined ? 0 : state.shares[evicted] / (evictedHolders.length - 1);
	let gain = 0;
	const addGainOf = (rank: number, delta: number): void => {
		gain += potentials[rank] - potential(state.loads[rank] + delta, mean);
	};

	const evictedDeltaOf = (rank: number): number => evictedHolders.includes(rank) ? (rank === to ? 0 : evictedLoadAfter) - evictedLoadBefore : 0;
	for (const rank of holders) {
		addGainOf(rank, (rank === removedFrom ? 0 : copyLoadAfter) - copyLoadBefore + evictedDeltaOf(rank));
	}

	addGainOf(to, copyLoadAfter + evictedDeltaOf(to));
	for (const rank of evictedHolders) {
		if (rank !== to && !holders.includes(rank)) {
			addGainOf(rank, evictedDeltaOf(rank));
		}
	}

	return gain;
}

function applyStep(state: LayerState, {expert, to, evicted, removedFrom}: Step): void {
	if (evicted !== undefined) {
		removeCopy(state, evicted, to);
	}

	if (removedFrom !== undefined) {
		removeCopy(state, expert, removedFrom);
	}

	// An expert that is handed over has already been removed from its old rank, so it may have no holders here.
	const holders = state.holders[expert];
	const copyLoadBefore = holders.length === 0 ? 0 : state.shares[expert] / holders.length;
	const copyLoadAfter = state.shares[expert] / (holders.length + 1);
	for (const rank of holders) {
		state.loads[rank] += copyLoadAfter - copyLoadBefore;
	}

	holders.push(to);
	state.held[to].push(expert);
	state.loads[to] += copyLoadAfter;
}

function removeCopy(state: LayerState, expert: number, rank: number): void {
	const holders = state.holders[expert];
	const copyLoad = state.shares[expert] / holders.length;
	holders.splice(holders.indexOf(rank), 1);
	state.held[rank].splice(state.held[rank].indexOf(expert), 1);
	state.loads[rank] -= copyLoad;
	for (const other of holders) {
		state.loads[other] += (state.shares[expert] / holders.length) - copyLoad;
	}
}

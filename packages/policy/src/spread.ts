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
	/** The skew of each layer after the change. */
	readonly layerSkews: readonly number[];
};

/** How many of the hottest experts of the most loaded rank are considered for a step. */
const maxCandidateExperts = 4;

/** How many of the least loaded ranks that can take an expert are considered for a step. The work of a step then grows only linearly with the size of the group. */
const maxCandidateRanks = 12;

/** Stands for no expert and for no rank in a step. */
const none = -1;

type LayerState = {
	/** The experts held by each rank. */
	readonly held: number[][];
	/** The ranks that hold each expert. */
	readonly holders: number[][];
	/** For each rank and expert, at `rank * experts + expert`: `heldNow` and `heldBefore`, or 0. */
	readonly flags: Uint8Array;
	/** The load of each rank. */
	readonly loads: Float64Array;
	/** The potential of each rank (see `potential`). */
	readonly potentials: Float64Array;
	readonly meanLoad: number;
	/** The skew of `loads`. */
	skew: number;
	readonly shares: readonly number[];
	/** For each rank, the number of experts added that it has to copy. */
	readonly newExpertCounts: number[];
};

/** The rank holds the expert in the plan. */
const heldNow = 1;

/** The rank held the expert before the change, so it need not copy it. */
const heldBefore = 2;

/** Adds an expert to the rank `to`, in place of `evicted`, and removes it from `removedFrom`; either of these may be `none`. */
type Step = {readonly expert: number; readonly to: number; readonly evicted: number; readonly removedFrom: number};

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
	const planning = spreadExpertsInSteps(layers, {...options, newPerRankLimits: [options.maxNewPerRank]});
	for (;;) {
		const step = planning.next();
		if (step.value) {
			return step.value;
		}
	}
}

/**
Does the same as `spreadExperts` for several limits on the experts new to a rank, in
ascending order, one step at a time, so that other work can be done between the steps.
Yields `undefined` after a step and the spread once it is complete for a limit. Each
spread continues the one for the limit before it, so that all of them together take no
more work than the last one.

@example
for (const spread of spreadExpertsInSteps(layers, {...options, newPerRankLimits: [1, 2, 4]})) {
	if (spread && spread.skewAfter < 1.2) break;
	await setImmediate();
}
*/
export function * spreadExpertsInSteps(
	layers: readonly LayerLoad[],
	options: Omit<SpreadOptions, 'maxNewPerRank'> & {readonly newPerRankLimits: readonly number[]},
): Generator<Spread | undefined, undefined> {
	const states = layers.map(layer => createLayerState(layer));
	const skewBefore = meanSkew(states);
	const newPerRank = layers[0].placement.map(() => 0);
	for (const maxNewPerRank of options.newPerRankLimits) {
		const isDone = states.map(() => false);
		for (;;) {
			const layer = mostSkewedLayer(states, isDone, options.goodSkew);
			if (layer === none) {
				break;
			}

			const state = states[layer];
			const step = bestStep(state, newPerRank, {...options, maxNewPerRank});
			if (!step) {
				isDone[layer] = true;
				yield undefined;
				continue;
			}

			if (!isHeldBefore(state, step.to, step.expert)) {
				state.newExpertCounts[step.to]++;
				newPerRank[step.to]++;
			}

			applyStep(state, step);
			yield undefined;
		}

		yield {
			placements: states.map(state => state.held.map(experts => experts.toSorted((a, b) => a - b))),
			copies: newPerRank.reduce((sum, count) => sum + count, 0),
			mostPerRank: Math.max(...newPerRank),
			skewBefore,
			skewAfter: meanSkew(states),
			layerSkews: states.map(({skew}) => skew),
		};
	}
}

/** Returns the skew of the ranks' loads averaged over the layers: the ratio of the greatest to the mean load of a rank. */
export function skewOfLayers(layers: readonly LayerLoad[]): number {
	return layers.reduce((sum, layer) => sum + skewOfLayer(layer), 0) / layers.length;
}

/** Returns the skew of the ranks' loads in one layer. */
export function skewOfLayer({placement, shares}: LayerLoad): number {
	const copies = new Float64Array(shares.length);
	for (const experts of placement) {
		for (const expert of experts) {
			copies[expert]++;
		}
	}

	return skewOf(placement.map(experts => experts.reduce((sum, expert) => sum + (shares[expert] / copies[expert]), 0)));
}

function createLayerState({placement, shares}: LayerLoad): LayerState {
	const holders: number[][] = Array.from(shares, () => []);
	const flags = new Uint8Array(placement.length * shares.length);
	for (const [rank, experts] of placement.entries()) {
		for (const expert of experts) {
			holders[expert].push(rank);
			flags[(rank * shares.length) + expert] = heldNow + heldBefore;
		}
	}

	const loads = Float64Array.from(placement, experts => experts.reduce((sum, expert) => sum + (shares[expert] / holders[expert].length), 0));
	const meanLoad = loads.reduce((sum, load) => sum + load, 0) / loads.length;
	return {
		held: placement.map(experts => [...experts]),
		holders,
		flags,
		loads,
		potentials: loads.map(load => potential(load, meanLoad)),
		meanLoad,
		skew: meanLoad === 0 ? 1 : Math.max(...loads) / meanLoad,
		shares,
		newExpertCounts: placement.map(() => 0),
	};
}

function isHeld({flags, shares}: LayerState, rank: number, expert: number): boolean {
	return (flags[(rank * shares.length) + expert] & heldNow) !== 0;
}

function isHeldBefore({flags, shares}: LayerState, rank: number, expert: number): boolean {
	return (flags[(rank * shares.length) + expert] & heldBefore) !== 0;
}

function meanSkew(states: readonly LayerState[]): number {
	return states.reduce((sum, {skew}) => sum + skew, 0) / states.length;
}

// Considers only layers that are not done and whose skew exceeds `goodSkew`; returns `none` if there is none.
function mostSkewedLayer(states: readonly LayerState[], isDone: readonly boolean[], goodSkew: number): number {
	let worst = none;
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
	const {loads, potentials, meanLoad, held} = state;
	const heaviest = loads.indexOf(Math.max(...loads));
	const hottest = held[heaviest]
		.toSorted((a, b) => loadPerCopy(state, b) - loadPerCopy(state, a))
		.slice(0, maxCandidateExperts);
	// A rank at or above the mean load does not take over work.
	const ranks: number[] = [];
	for (const [rank, load] of loads.entries()) {
		if (load < meanLoad) {
			ranks.push(rank);
		}
	}

	ranks.sort((a, b) => loads[a] - loads[b]);
	let best: Step | undefined;
	let bestGain = options.leastGain * potentials[heaviest];
	for (const expert of hottest) {
		let candidates = 0;
		for (const to of ranks) {
			if (isHeld(state, to, expert)) {
				continue;
			}

			const isNew = !isHeldBefore(state, to, expert);
			if (isNew && (state.newExpertCounts[to] >= options.maxNewPerLayer || newPerRank[to] >= options.maxNewPerRank)) {
				continue;
			}

			const isFull = held[to].length >= options.slotsPerRank;
			const evicted = isFull ? evictionCandidate(state, to) : none;
			if (isFull && evicted === none) {
				continue;
			}

			if (++candidates > maxCandidateRanks) {
				break;
			}

			for (const removedFrom of [none, heaviest]) {
				const step: Step = {
					expert, to, evicted, removedFrom,
				};
				const gain = potentialGain(state, step);
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

// Returns the least demanded expert that another rank holds as well, since its removal adds the least load to the other ranks; `none` if there is none.
function evictionCandidate(state: LayerState, rank: number): number {
	let candidate = none;
	for (const expert of state.held[rank]) {
		if (state.holders[expert].length > 1 && (candidate === none || state.shares[expert] < state.shares[candidate])) {
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

function potentialGain(state: LayerState, {expert, to, evicted, removedFrom}: Step): number {
	const {loads, potentials, meanLoad, shares} = state;
	const holders = state.holders[expert];
	const copyLoadBefore = shares[expert] / holders.length;
	const copyLoadAfter = shares[expert] / (holders.length + (removedFrom === none ? 1 : 0));
	let evictedLoad = 0;
	let evictedChange = 0;
	if (evicted !== none) {
		const evictedCopies = state.holders[evicted].length;
		evictedLoad = shares[evicted] / evictedCopies;
		evictedChange = (shares[evicted] / (evictedCopies - 1)) - evictedLoad;
	}

	let gain = potentials[to] - potential(loads[to] + copyLoadAfter - evictedLoad, meanLoad);
	for (const rank of holders) {
		const change = (rank === removedFrom ? 0 : copyLoadAfter) - copyLoadBefore + (evicted !== none && isHeld(state, rank, evicted) ? evictedChange : 0);
		gain += potentials[rank] - potential(loads[rank] + change, meanLoad);
	}

	if (evicted === none) {
		return gain;
	}

	for (const rank of state.holders[evicted]) {
		if (rank !== to && !isHeld(state, rank, expert)) {
			gain += potentials[rank] - potential(loads[rank] + evictedChange, meanLoad);
		}
	}

	return gain;
}

function applyStep(state: LayerState, {expert, to, evicted, removedFrom}: Step): void {
	if (evicted !== none) {
		removeCopy(state, evicted, to);
	}

	if (removedFrom !== none) {
		removeCopy(state, expert, removedFrom);
	}

	// An expert that is handed over has already been removed from its old rank, so it may have no holders here.
	const holders = state.holders[expert];
	const copyLoadBefore = holders.length === 0 ? 0 : state.shares[expert] / holders.length;
	const copyLoadAfter = state.shares[expert] / (holders.length + 1);
	for (const rank of holders) {
		addLoad(state, rank, copyLoadAfter - copyLoadBefore);
	}

	holders.push(to);
	state.held[to].push(expert);
	state.flags[(to * state.shares.length) + expert] |= heldNow;
	addLoad(state, to, copyLoadAfter);
	state.skew = Math.max(...state.loads) / state.meanLoad;
}

function removeCopy(state: LayerState, expert: number, rank: number): void {
	const holders = state.holders[expert];
	const copyLoad = state.shares[expert] / holders.length;
	holders.splice(holders.indexOf(rank), 1);
	state.held[rank].splice(state.held[rank].indexOf(expert), 1);
	state.flags[(rank * state.shares.length) + expert] &= ~heldNow;
	addLoad(state, rank, -copyLoad);
	for (const other of holders) {
		addLoad(state, other, (state.shares[expert] / holders.length) - copyLoad);
	}
}

function addLoad({loads, potentials, meanLoad}: LayerState, rank: number, change: number): void {
	loads[rank] += change;
	potentials[rank] = potential(loads[rank], meanLoad);
}

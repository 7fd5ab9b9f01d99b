import {normal} from '@papayaflow/standins';

/** How the popularity of experts changes over a trace. */
export type DriftKind = 'slow' | 'burst' | 'shift' | 'rough';

export const driftKinds = ['slow', 'burst', 'shift', 'rough'] as const satisfies readonly DriftKind[];

// One tick is one second. The logarithm of the popularity is a mean-reverting random walk. Its standard deviation is
// about a sixth and its time constant ten minutes; for rough drift a fifth and about two minutes.
const calmDrift = {deviation: 0.01, pull: 1 / 600, noise: 0.01};
const roughDrift = {deviation: 0.03, pull: 0.01, noise: 0.03};
const burstExperts = 8;
const burstFactor = 6;

/**
Returns the true share of each expert in the load for every tick. All experts drift.
In a `burst` trace the popularity of the eight least popular experts grows by the factor
`burstFactor * experts / 8` within a twentieth of the trace and falls back later. In the
middle of a `shift` trace half of the experts exchange their popularity at once. In a
`rough` trace the steps of the drift are three times as large.

@example
const popularity = driftTrace('burst', {experts: 256, ticks: 600, zipf: 1, random});
*/
export function driftTrace(kind: DriftKind, {experts, ticks, zipf, random}: {experts: number; ticks: number; zipf: number; random: () => number}): ReadonlyArray<readonly number[]> {
	const {deviation, pull, noise} = kind === 'rough' ? roughDrift : calmDrift;
	const order = shuffled(experts, random);
	let base = order.map(place => -zipf * Math.log(place + 1));
	const drift = base.map(() => 0);
	const bursting = new Set(order.map((place, expert) => ({place, expert})).toSorted((a, b) => b.place - a.place).slice(0, burstExperts).map(({expert}) => expert));
	return Array.from({length: ticks}, (_, tick) => {
		if (kind === 'shift' && tick === Math.floor(ticks / 2)) {
			base = base.map((value, expert) => expert < experts / 2 ? base[(experts / 2) - 1 - expert] : value);
		}

		const growth = kind === 'burst' ? Math.log(burstFactor * experts / 8) * burstEnvelope(tick / ticks) : 0;
		const values = base.map((value, expert) => {
			drift[expert] += (deviation * normal(random)) - (pull * drift[expert]);
			const burstGrowth = bursting.has(expert) ? growth : 0;
			return Math.exp(value + drift[expert] + burstGrowth + (noise * normal(random)));
		});
		const sum = values.reduce((all, value) => all + value, 0);
		return values.map(value => value / sum);
	});
}

// Rises from zero to one between 30 and 35 % of the trace, and falls back to zero between 75 and 80 %.
function burstEnvelope(traceFraction: number): number {
	return Math.max(0, Math.min(1, (traceFraction - 0.3) * 20, (0.8 - traceFraction) * 20));
}

function shuffled(count: number, random: () => number): number[] {
	const order = Array.from({length: count}, (_, index) => index);
	for (let i = count - 1; i > 0; i--) {
		const j = Math.floor(random() * (i + 1));
		[order[i], order[j]] = [order[j], order[i]];
	}

	return order;
}

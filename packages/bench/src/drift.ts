import {normal} from '@papayaflow/standins';

/** How experts' popularity changes over a trace. */
export type DriftKind = 'slow' | 'burst' | 'shift' | 'rough';

export const driftKinds = ['slow', 'burst', 'shift', 'rough'] as const satisfies readonly DriftKind[];

// A tick is a second: popularity wanders by a sixth and forgets in ten minutes, a rough one by a fifth in two.
const calm = {deviation: 0.01, pull: 1 / 600, noise: 0.01};
const rough = {deviation: 0.03, pull: 0.01, noise: 0.03};
const burstExperts = 8;
const burstFactor = 6;

/**
Makes the true popularity of each expert, tick by tick. All drift slowly; in a
`burst` eight cold experts grow to six times the mean within a twentieth of the
trace and fall back later; at a `shift` half of the experts change places at once;
a `rough` trace drifts three times as fast.

@example
const popularity = driftTrace('burst', {experts: 256, ticks: 600, zipf: 1, random});
*/
export function driftTrace(kind: DriftKind, {experts, ticks, zipf, random}: {experts: number; ticks: number; zipf: number; random: () => number}): ReadonlyArray<readonly number[]> {
	const {deviation, pull, noise} = kind === 'rough' ? rough : calm;
	const order = shuffled(experts, random);
	let base = order.map(place => -zipf * Math.log(place + 1));
	const drift = base.map(() => 0);
	const bursting = new Set(order.map((place, expert) => ({place, expert})).toSorted((a, b) => b.place - a.place).slice(0, burstExperts).map(({expert}) => expert));
	return Array.from({length: ticks}, (_, tick) => {
		if (kind === 'shift' && tick === Math.floor(ticks / 2)) {
			base = base.map((value, expert) => expert < experts / 2 ? base[(experts / 2) - 1 - expert] : value);
		}

		const growth = kind === 'burst' ? Math.log(burstFactor * experts / 8) * burstShape(tick / ticks) : 0;
		const values = base.map((value, expert) => {
			drift[expert] += (deviation * normal(random)) - (pull * drift[expert]);
			const lift = bursting.has(expert) ? growth : 0;
			return Math.exp(value + drift[expert] + lift + (noise * normal(random)));
		});
		const sum = values.reduce((all, value) => all + value, 0);
		return values.map(value => value / sum);
	});
}

// Up within a twentieth of the trace, down again after half of it.
function burstShape(part: number): number {
	return Math.max(0, Math.min(1, (part - 0.3) * 20, (0.8 - part) * 20));
}

function shuffled(count: number, random: () => number): number[] {
	const order = Array.from({length: count}, (_, index) => index);
	for (let i = count - 1; i > 0; i--) {
		const j = Math.floor(random() * (i + 1));
		[order[i], order[j]] = [order[j], order[i]];
	}

	return order;
}

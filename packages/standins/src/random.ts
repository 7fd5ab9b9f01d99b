/**
Creates a seeded generator of pseudo-random numbers from 0 (inclusive) to 1 (exclusive),
so that a benchmark is reproducible.

@example
const random = seededRandom(1);
*/
export function seededRandom(seed: number): () => number {
	let state = seed >>> 0;
	return () => {
		state = (state + 0x6D_2B_79_F5) >>> 0;
		let mixed = Math.imul(state ^ (state >>> 15), 1 | state);
		mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), 61 | mixed);
		return ((mixed ^ (mixed >>> 14)) >>> 0) / 4_294_967_296;
	};
}

/** Returns a sample of the normal distribution with mean 0 and standard deviation 1. */
export function normal(random: () => number): number {
	return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** Returns a sample of the exponential distribution with mean 1. */
export function exponential(random: () => number): number {
	return -Math.log(1 - random());
}

/** Returns the quantile `q` (0 to 1) of the values, or `NaN` if there are none. */
export function quantile(values: readonly number[], q: number): number {
	const sorted = Float64Array.from(values).toSorted();
	return sorted.length === 0 ? Number.NaN : sorted[Math.min(sorted.length - 1, Math.floor(q * sorted.length))];
}

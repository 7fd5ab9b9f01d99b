/** How often each expert was chosen, as a rank says of the time since it started. */
export type RunningCounts = {readonly formation: number; readonly pass: number; readonly counts: readonly number[]};

/** How often each expert was chosen in a stretch of time, packed for a frame: each byte times `unit`. */
export type PackedCounts = {readonly unit: number; readonly counts: Uint8Array};

const highestByte = 255;

/**
What was counted between two looks at a rank; `undefined` where it started again or
the group formed anew between them, so that nothing can be told of that time.

@example
const counted = countedBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [6]}); // [2]
*/
export function countedBetween(before: RunningCounts, after: RunningCounts): readonly number[] | undefined {
	const isSameRun = before.formation === after.formation && before.counts.length === after.counts.length;
	const counted = after.counts.map((count, i) => count - before.counts[i]);
	return isSameRun && counted.every(count => count >= 0) ? counted : undefined;
}

/**
Packs counts into a byte each. Only their proportions matter to who reads them, so
large ones are rounded to multiples of a unit.

@example
const packed = packCounts([510, 2]); // unit 2, bytes 255 and 1
*/
export function packCounts(counts: readonly number[]): PackedCounts {
	const unit = Math.max(1, Math.ceil(Math.max(0, ...counts) / highestByte));
	return {unit, counts: Uint8Array.from(counts, count => Math.round(count / unit))};
}

/** Unpacks counts. */
export function unpackCounts({unit, counts}: PackedCounts): number[] {
	return Array.from(counts, count => count * unit);
}

/** How often each expert has been chosen since the rank started, as the rank reports it. */
export type CumulativeCounts = {readonly formation: number; readonly pass: number; readonly counts: readonly number[]};

/** How often each expert was chosen in an interval, packed for a frame: a count is its byte times `unit`. */
export type PackedCounts = {readonly unit: number; readonly counts: Uint8Array};

const maxByte = 255;

/**
Returns how often each expert was chosen between two readings of a rank's cumulative
counts. Returns `undefined` if the rank restarted or its group re-formed between the
readings, because their difference is meaningless then.

@example
const counts = countsBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [6]}); // [2]
*/
export function countsBetween(before: CumulativeCounts, after: CumulativeCounts): readonly number[] | undefined {
	const isComparable = before.formation === after.formation && before.counts.length === after.counts.length;
	const differences = after.counts.map((count, i) => count - before.counts[i]);
	return isComparable && differences.every(count => count >= 0) ? differences : undefined;
}

/**
Packs each count into a byte. If any count exceeds 255, all are rounded to multiples of
a unit, since the receiver uses only their proportions.

@example
const packed = packCounts([510, 2]); // unit 2, bytes 255 and 1
*/
export function packCounts(counts: readonly number[]): PackedCounts {
	const unit = Math.max(1, Math.ceil(Math.max(0, ...counts) / maxByte));
	return {unit, counts: Uint8Array.from(counts, count => Math.round(count / unit))};
}

/** Unpacks counts that `packCounts` has packed, up to rounding. */
export function unpackCounts({unit, counts}: PackedCounts): number[] {
	return Array.from(counts, count => count * unit);
}

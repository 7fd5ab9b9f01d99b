const bytesPerCount = 4;

/** Packs counts for a frame; a count beyond 32 bits begins again at 0, as after a restart. */
export function encodeCounts(counts: readonly number[]): Uint8Array {
	const bytes = new Uint8Array(counts.length * bytesPerCount);
	const view = new DataView(bytes.buffer);
	for (const [i, count] of counts.entries()) {
		view.setUint32(i * bytesPerCount, count);
	}

	return bytes;
}

/** Unpacks the counts of a frame. */
export function decodeCounts(bytes: Uint8Array): number[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	return Array.from({length: Math.floor(bytes.length / bytesPerCount)}, (_, i) => view.getUint32(i * bytesPerCount));
}

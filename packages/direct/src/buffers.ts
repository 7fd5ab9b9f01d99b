/** Counts the bytes of the answers that an entry holds until they are whole. */
export type AnswerBuffers = {
	/** Adds bytes to the total; returns `false` if the total is now over its limit. */
	add(bytes: number): boolean;
	remove(bytes: number): void;
};

/**
Creates the count of one entry. The limit for all answers together keeps targets that
send answers without end from filling the memory, however many calls they have.

@example
const buffers = createAnswerBuffers(67_108_864);
if (!buffers.add(chunk.length)) cutOff();
*/
export function createAnswerBuffers(maxTotalBytes: number): AnswerBuffers {
	let total = 0;
	return {
		add(bytes) {
			total += bytes;
			return total <= maxTotalBytes;
		},
		remove(bytes) {
			total -= bytes;
		},
	};
}

/** The bytes that one answer holds in memory. */
export type HeldBytes = {
	/** Sets the bytes held now; returns `false` if the answer must give them up, because all together are over the limit and it holds the most. */
	set(bytes: number): boolean;
	/** Ends the accounting of the answer. */
	release(): void;
};

/** What the bytes of an answer are held for: `answers` until the answer or its event is whole, `unread` until the caller reads them. */
export type AnswerUse = 'answers' | 'unread';

/** Counts the bytes of answers that an entry holds: those that are not whole yet, and those that callers have not read. */
export type AnswerBuffers = {
	/** Adds an answer that holds nothing yet. `onEvict` is called when it must give up its bytes to others. */
	open(onEvict: () => void, use?: AnswerUse): HeldBytes;
	/** Returns the bytes held now for one use. */
	bytes(use: AnswerUse): number;
};

/**
Creates the count of one entry. The limit for all answers together keeps targets that send
answers without end, and callers that read none, from filling the memory, however many
there are. Over the limit, the answer that holds the most is given up.

@example
const held = createAnswerBuffers(67_108_864).open(() => controller.abort());
if (!held.set(bufferedBytes)) cutOff();
*/
export function createAnswerBuffers(maxTotalBytes: number): AnswerBuffers {
	type Answer = {bytes: number; readonly use: AnswerUse; readonly evict: () => void};
	const answers = new Set<Answer>();
	const held = {answers: 0, unread: 0};

	const remove = (answer: Answer): void => {
		if (answers.delete(answer)) {
			held[answer.use] -= answer.bytes;
		}
	};

	const largest = (): Answer | undefined => {
		let found: Answer | undefined;
		for (const answer of answers) {
			if (!found || answer.bytes > found.bytes) {
				found = answer;
			}
		}

		return found;
	};

	return {
		open(onEvict, use = 'answers') {
			const answer: Answer = {bytes: 0, use, evict: onEvict};
			return {
				set(bytes) {
					remove(answer);
					if (bytes === 0) {
						answer.bytes = 0;
						return true;
					}

					answer.bytes = bytes;
					answers.add(answer);
					held[use] += bytes;
					while (held.answers + held.unread > maxTotalBytes) {
						const evicted = largest()!;
						remove(evicted);
						if (evicted === answer) {
							return false;
						}

						evicted.evict();
					}

					return true;
				},
				release() {
					remove(answer);
				},
			};
		},
		bytes: use => held[use],
	};
}

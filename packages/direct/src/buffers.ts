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

/** How long a body may arrive before it may be given up for another one, in milliseconds. Most bodies need less. */
const protectedMs = 1000;

/** The bytes of one request's body. */
export type BodyBytes = {
	/** Adds bytes; returns `false`, and adds nothing, if all bodies together would be over the limit or the body was released. */
	add(bytes: number): boolean;
	/** Begins the time in which the body arrives. Bodies that arrive slowly give way to others; `onEvict` is called then, and the body is released. */
	beginArrival(onEvict: () => void): void;
	/** Ends that time: the body is whole, or no longer read. */
	endArrival(): void;
	/** Ends the accounting of the body. */
	release(): void;
};

/** Counts the bytes of bodies that an entry holds, from their arrival until their calls have ended. */
export type BodyBuffers = {
	open(): BodyBytes;
	/** Returns the bytes of all bodies that are held now. */
	bytes(): number;
};

/**
Creates the count of one entry. The limit for all bodies together keeps callers from
filling the memory, however many send long bodies at once. Over the limit, bodies that have been
arriving for more than a second give way, the slowest first. If there is none, the body that
arrives over the limit is refused: the others may belong to calls that a target is running.

Load pattern: many callers that stop short of the end of their bodies and stay connected.

@example
const body = createBodyBuffers(67_108_864, () => performance.now()).open();
if (!body.add(chunk.length)) refuse();
*/
export function createBodyBuffers(maxTotalBytes: number, monotonicMs: () => number): BodyBuffers {
	type Arrival = {readonly sinceMs: number; readonly bytes: () => number; readonly evict: () => void};
	const arrivals = new Set<Arrival>();
	let total = 0;

	/** Gives up the slowest body of those that arrive for long; returns `false` if there is none. */
	const evictSlowest = (own: Arrival | undefined): boolean => {
		const now = monotonicMs();
		let slowest: {readonly arrival: Arrival; readonly bytesPerMs: number} | undefined;
		for (const arrival of arrivals) {
			const ageMs = now - arrival.sinceMs;
			const bytesPerMs = arrival.bytes() / ageMs;
			if (arrival !== own && ageMs >= protectedMs && arrival.bytes() > 0 && (!slowest || bytesPerMs < slowest.bytesPerMs)) {
				slowest = {arrival, bytesPerMs};
			}
		}

		slowest?.arrival.evict();
		return slowest !== undefined;
	};

	return {
		open() {
			let own = 0;
			let isReleased = false;
			let arrival: Arrival | undefined;
			const body: BodyBytes = {
				add(bytes) {
					while (!isReleased && total + bytes > maxTotalBytes) {
						if (!evictSlowest(arrival)) {
							return false;
						}
					}

					if (isReleased) {
						return false;
					}

					own += bytes;
					total += bytes;
					return true;
				},
				beginArrival(onEvict) {
					arrival = {
						sinceMs: monotonicMs(), bytes: () => own,
						evict() {
							body.release();
							onEvict();
						},
					};
					arrivals.add(arrival);
				},
				endArrival() {
					if (arrival) {
						arrivals.delete(arrival);
						arrival = undefined;
					}
				},
				release() {
					body.endArrival();
					isReleased = true;
					total -= own;
					own = 0;
				},
			};
			return body;
		},
		bytes: () => total,
	};
}

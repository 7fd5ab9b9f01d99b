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

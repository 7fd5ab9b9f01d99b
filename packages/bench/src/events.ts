type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** A queue of events in virtual time. Events run by time, and in the order in which they were added when the time is the same. */
export type EventQueue = {
	readonly nowMs: number;
	/** Schedules `run` for the time `ms`. */
	at(ms: number, run: () => void): void;
	/** Runs every event up to and including the time `endMs`. */
	runUntil(endMs: number): void;
	/** Runs the events like `runUntil`, and lets pending promise callbacks run after each event. */
	runUntilAsync(endMs: number): Promise<void>;
};

/**
Creates an empty queue whose time starts at zero.

@example
const events = createEventQueue();
events.at(10, () => {});
events.runUntil(1000);
*/
export function createEventQueue(): EventQueue {
	const heap: Event[] = [];
	let nowMs = 0;
	let nextOrder = 0;

	const isBefore = (a: Event, b: Event): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

	const push = (event: Event): void => {
		heap.push(event);
		let at = heap.length - 1;
		while (at > 0) {
			const parent = (at - 1) >> 1;
			if (!isBefore(heap[at], heap[parent])) {
				break;
			}

			[heap[at], heap[parent]] = [heap[parent], heap[at]];
			at = parent;
		}
	};

	const pop = (): Event => {
		const [first] = heap;
		const last = heap.pop()!;
		if (heap.length > 0) {
			heap[0] = last;
			for (let at = 0; ;) {
				const left = (2 * at) + 1;
				const right = left + 1;
				let least = at;
				least = left < heap.length && isBefore(heap[left], heap[least]) ? left : least;
				least = right < heap.length && isBefore(heap[right], heap[least]) ? right : least;
				if (least === at) {
					break;
				}

				[heap[at], heap[least]] = [heap[least], heap[at]];
				at = least;
			}
		}

		return first;
	};

	return {
		get nowMs() {
			return nowMs;
		},
		at(ms, run) {
			push({atMs: ms, order: nextOrder++, run});
		},
		runUntil(endMs) {
			while (heap.length > 0 && heap[0].atMs <= endMs) {
				const event = pop();
				nowMs = event.atMs;
				event.run();
			}
		},
		async runUntilAsync(endMs) {
			while (heap.length > 0 && heap[0].atMs <= endMs) {
				const event = pop();
				nowMs = event.atMs;
				event.run();
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			}
		},
	};
}

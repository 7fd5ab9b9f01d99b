type Event = {readonly atMs: number; readonly order: number; readonly run: () => void};

/** Virtual time: things that happen at set moments, in their order. */
export type Events = {
	readonly nowMs: number;
	at(ms: number, run: () => void): void;
	/** Runs everything up to `endMs`. */
	runUntil(endMs: number): void;
	/** The same, with all that is ready to go on after each event. */
	runUntilAsync(endMs: number): Promise<void>;
};

/**
Makes an empty clock in virtual time.

@example
const events = createEvents();
events.at(10, () => {});
events.runUntil(1000);
*/
export function createEvents(): Events {
	const heap: Event[] = [];
	let nowMs = 0;
	let order = 0;

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
			push({atMs: ms, order: order++, run});
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

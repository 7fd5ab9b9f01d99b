/** A clock on which asynchronous functions sleep without real time passing. */
export type VirtualTime = {
	/** The time since the start, in milliseconds. */
	nowMs(): number;
	sleep(ms: number): Promise<void>;
	/** Runs what is due, in the order of time, until `endMs` or until nothing sleeps. */
	runUntil(endMs: number): Promise<void>;
};

type Sleeper = {readonly atMs: number; readonly order: number; readonly wake: () => void};

/**
Creates a clock that stands at 0. Between two moments it lets all promises settle that
need no time.

@example
const time = createVirtualTime();
void (async () => { await time.sleep(1000); })();
await time.runUntil(60_000);
*/
export function createVirtualTime(): VirtualTime {
	const sleepers: Sleeper[] = [];
	let currentMs = 0;
	let lastOrder = 0;

	const isEarlier = (a: Sleeper, b: Sleeper): boolean => a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);

	// The sleepers form a binary heap, whose first element is the earliest.
	const push = (sleeper: Sleeper): void => {
		sleepers.push(sleeper);
		for (let at = sleepers.length - 1; at > 0;) {
			const parent = (at - 1) >> 1;
			if (!isEarlier(sleepers[at], sleepers[parent])) {
				return;
			}

			[sleepers[at], sleepers[parent]] = [sleepers[parent], sleepers[at]];
			at = parent;
		}
	};

	const pop = (): Sleeper => {
		const [first] = sleepers;
		const last = sleepers.pop()!;
		if (sleepers.length === 0) {
			return first;
		}

		sleepers[0] = last;
		for (let at = 0; ;) {
			const children = [(2 * at) + 1, (2 * at) + 2].filter(child => child < sleepers.length);
			const child = children.length === 2 && isEarlier(sleepers[children[1]], sleepers[children[0]]) ? children[1] : children[0];
			if (child === undefined || !isEarlier(sleepers[child], sleepers[at])) {
				return first;
			}

			[sleepers[at], sleepers[child]] = [sleepers[child], sleepers[at]];
			at = child;
		}
	};

	return {
		nowMs: () => currentMs,
		sleep: async ms => new Promise(resolve => {
			push({atMs: currentMs + Math.max(0, ms), order: lastOrder++, wake: resolve});
		}),
		async runUntil(endMs) {
			await settlePromises();
			while (sleepers.length > 0 && sleepers[0].atMs <= endMs) {
				const {atMs, wake} = pop();
				currentMs = atMs;
				wake();
				await settlePromises();
			}

			currentMs = endMs;
		},
	};
}

async function settlePromises(): Promise<void> {
	return new Promise(resolve => {
		setImmediate(resolve);
	});
}

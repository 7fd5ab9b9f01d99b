/** Work that waits before a target. */
export type Queued<T> = {
	readonly value: T;
	readonly organisation: string;
	readonly weight: number;
	/** 0 is served first within its organisation. */
	readonly priority: number;
	/** The work it is expected to bring, in tokens. */
	readonly cost: number;
	/** When its caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
};

export type PushResult<T>
	= | {readonly kind: 'queued'}
	/** The queue was full, and `evicted` was put out to make room; it may be what was pushed. */
		| {readonly kind: 'evicted'; readonly evicted: Queued<T>};

/** A queue that shares a target between organisations by weight. */
export type FairQueue<T> = {
	push(item: Queued<T>): PushResult<T>;
	/** Takes the next item; `undefined` when empty. */
	pop(): Queued<T> | undefined;
	/** Takes out every item that `isHopeless` holds for. */
	sweep(isHopeless: (item: Queued<T>) => boolean): ReadonlyArray<Queued<T>>;
	/** Takes out one item by its value; `false` when it is not here. */
	remove(value: T): boolean;
	/** The cost that would be served before a new item of this organisation. */
	costAhead(organisation: string, weight: number, priority: number): number;
	readonly length: number;
	readonly cost: number;
};

type Lane<T> = {items: Array<Queued<T>>; start: number; cost: number; weight: number};

/**
Makes a start-time fair queue. Organisations get their share by weight; within
one, lower priority numbers go first, then the order of arrival. A priority moves
work only past the organisation's own, so that nobody gains by claiming a high one.

When full, the newest item of the organisation with the most queued cost for its
weight is put out, so that a flood pushes out itself.

@example
const queue = createFairQueue<Attempt>(256);
queue.push({value, organisation: 'ayamoni', weight: 1, priority: 5, cost: 120, deadlineMs});
*/
export function createFairQueue<T>(limit: () => number): FairQueue<T> {
	const lanes = new Map<string, Lane<T>>();
	// The virtual times at which organisations that are idle now would start again.
	const finished = new Map<string, number>();
	let now = 0;
	let length = 0;
	let cost = 0;

	const taken = (organisation: string, lane: Lane<T>, item: Queued<T>): void => {
		length--;
		cost -= item.cost;
		lane.cost -= item.cost;
		if (lane.items.length === 0) {
			lanes.delete(organisation);
			finished.set(organisation, lane.start);
			for (const [name, start] of finished) {
				if (start <= now) {
					finished.delete(name);
				}
			}
		}
	};

	const evict = (): Queued<T> => {
		let heaviest: [string, Lane<T>] | undefined;
		for (const [organisation, lane] of lanes) {
			if (!heaviest || lane.cost / lane.weight > heaviest[1].cost / heaviest[1].weight) {
				heaviest = [organisation, lane];
			}
		}

		const [organisation, lane] = heaviest!;
		const item = lane.items.pop()!;
		taken(organisation, lane, item);
		return item;
	};

	return {
		push(item) {
			let lane = lanes.get(item.organisation);
			if (!lane) {
				lane = {
					items: [], start: Math.max(now, finished.get(item.organisation) ?? 0), cost: 0, weight: item.weight,
				};
				finished.delete(item.organisation);
				lanes.set(item.organisation, lane);
			}

			lane.weight = item.weight;
			const place = lane.items.findLastIndex(other => other.priority <= item.priority) + 1;
			lane.items.splice(place, 0, item);
			lane.cost += item.cost;
			length++;
			cost += item.cost;
			return length > limit() ? {kind: 'evicted', evicted: evict()} : {kind: 'queued'};
		},
		pop() {
			let next: [string, Lane<T>] | undefined;
			for (const [organisation, lane] of lanes) {
				if (!next || lane.start < next[1].start) {
					next = [organisation, lane];
				}
			}

			if (!next) {
				return undefined;
			}

			const [organisation, lane] = next;
			const item = lane.items.shift()!;
			now = Math.max(now, lane.start);
			lane.start += item.cost / item.weight;
			taken(organisation, lane, item);
			return item;
		},
		sweep(isHopeless) {
			const out: Array<Queued<T>> = [];
			for (const [organisation, lane] of lanes) {
				const hopeless = lane.items.filter(item => isHopeless(item));
				if (hopeless.length === 0) {
					continue;
				}

				lane.items = lane.items.filter(item => !hopeless.includes(item));
				for (const item of hopeless) {
					taken(organisation, lane, item);
				}

				out.push(...hopeless);
			}

			return out;
		},
		remove(value) {
			return this.sweep(item => item.value === value).length > 0;
		},
		costAhead(organisation, weight, priority) {
			const own = lanes.get(organisation);
			const ownAhead = own ? own.items.filter(item => item.priority <= priority).reduce((sum, item) => sum + item.cost, 0) : 0;
			let ahead = ownAhead;
			for (const [name, lane] of lanes) {
				if (name !== organisation) {
					// While this organisation's work is served, another gets its own share of the target, but no more than it has.
					ahead += Math.min(lane.cost, ((ownAhead + 1) / weight) * lane.weight);
				}
			}

			return ahead;
		},
		get length() {
			return length;
		},
		get cost() {
			return cost;
		},
	};
}

/** An item that waits for a target. */
export type Queued<T> = {
	readonly value: T;
	readonly organisation: string;
	readonly weight: number;
	/** Lower values are served first within the organisation; 0 is the most urgent. */
	readonly priority: number;
	/** The expected work, in tokens. */
	readonly cost: number;
	/** The time at which the caller stops waiting, in milliseconds. */
	readonly deadlineMs: number;
};

export type PushResult<T>
	= | {readonly kind: 'queued'}
	/** The queue was full, and `evicted` was removed from it; it may be the pushed item itself. */
		| {readonly kind: 'evicted'; readonly evicted: Queued<T>};

/** A queue that divides the capacity of a target between organisations by weight. */
export type FairQueue<T> = {
	push(item: Queued<T>): PushResult<T>;
	/** Removes and returns the next item; `undefined` if the queue is empty. */
	pop(): Queued<T> | undefined;
	/** Removes and returns every item for which `matches` returns true. */
	removeWhere(matches: (item: Queued<T>) => boolean): ReadonlyArray<Queued<T>>;
	/** Removes the item with a value; `false` if it is not in the queue. */
	remove(value: T): boolean;
	/** Estimates the cost that would be served before a new item of the organisation, in tokens. */
	costAhead(organisation: string, weight: number, priority: number): number;
	readonly length: number;
	readonly cost: number;
};

/** The queued items of one organisation, with the virtual time at which its next item starts. */
type Lane<T> = {items: Array<Queued<T>>; virtualStart: number; cost: number; weight: number};

/**
Creates a start-time fair queue. Organisations get their share by weight; within an
organisation, lower priority numbers are served first, then earlier arrivals. A
priority only reorders the organisation's own items, so that an organisation gains
nothing over others by giving all its items a high priority.

If the queue holds more than `limit()` items after a push, the last item of the
organisation with the most queued cost relative to its weight is evicted, so that a
flood evicts its own items.

@example
const queue = createFairQueue<Attempt>(() => 256);
queue.push({value, organisation: 'ayamoni', weight: 1, priority: 5, cost: 120, deadlineMs});
*/
export function createFairQueue<T>(limit: () => number): FairQueue<T> {
	const lanes = new Map<string, Lane<T>>();
	// For organisations without queued items, the virtual time at which their next item starts.
	const idleVirtualStarts = new Map<string, number>();
	let virtualTime = 0;
	let length = 0;
	let cost = 0;

	const accountRemoval = (organisation: string, lane: Lane<T>, item: Queued<T>): void => {
		length--;
		cost -= item.cost;
		lane.cost -= item.cost;
		if (lane.items.length === 0) {
			lanes.delete(organisation);
			idleVirtualStarts.set(organisation, lane.virtualStart);
			for (const [name, start] of idleVirtualStarts) {
				if (start <= virtualTime) {
					idleVirtualStarts.delete(name);
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
		accountRemoval(organisation, lane, item);
		return item;
	};

	return {
		push(item) {
			let lane = lanes.get(item.organisation);
			if (!lane) {
				lane = {
					items: [], virtualStart: Math.max(virtualTime, idleVirtualStarts.get(item.organisation) ?? 0), cost: 0, weight: item.weight,
				};
				idleVirtualStarts.delete(item.organisation);
				lanes.set(item.organisation, lane);
			}

			lane.weight = item.weight;
			const insertAt = lane.items.findLastIndex(other => other.priority <= item.priority) + 1;
			lane.items.splice(insertAt, 0, item);
			lane.cost += item.cost;
			length++;
			cost += item.cost;
			return length > limit() ? {kind: 'evicted', evicted: evict()} : {kind: 'queued'};
		},
		pop() {
			let next: [string, Lane<T>] | undefined;
			for (const [organisation, lane] of lanes) {
				if (!next || lane.virtualStart < next[1].virtualStart) {
					next = [organisation, lane];
				}
			}

			if (!next) {
				return undefined;
			}

			const [organisation, lane] = next;
			const item = lane.items.shift()!;
			virtualTime = Math.max(virtualTime, lane.virtualStart);
			lane.virtualStart += item.cost / item.weight;
			accountRemoval(organisation, lane, item);
			return item;
		},
		removeWhere(matches) {
			const removed: Array<Queued<T>> = [];
			for (const [organisation, lane] of lanes) {
				const matching = lane.items.filter(item => matches(item));
				if (matching.length === 0) {
					continue;
				}

				lane.items = lane.items.filter(item => !matching.includes(item));
				for (const item of matching) {
					accountRemoval(organisation, lane, item);
				}

				removed.push(...matching);
			}

			return removed;
		},
		remove(value) {
			return this.removeWhere(item => item.value === value).length > 0;
		},
		costAhead(organisation, weight, priority) {
			const own = lanes.get(organisation);
			const ownCostAhead = own ? own.items.filter(item => item.priority <= priority).reduce((sum, item) => sum + item.cost, 0) : 0;
			let totalAhead = ownCostAhead;
			for (const [name, lane] of lanes) {
				if (name !== organisation) {
					// While this organisation's items are served, each other organisation is served by its weight, but no more than it has queued.
					totalAhead += Math.min(lane.cost, ((ownCostAhead + 1) / weight) * lane.weight);
				}
			}

			return totalAhead;
		},
		get length() {
			return length;
		},
		get cost() {
			return cost;
		},
	};
}

import {LRUCache} from 'lru-cache';

/** The number of lifetimes that a table remembers. */
const maxLifetimes = 4096;

/** How long a table remembers a lifetime that is no longer asked for, in milliseconds. */
const rememberedMs = 3_600_000;

/** One lifetime of a target. A target that has restarted, or another one at its address, starts without a limit. */
export type TargetLifetime = {readonly id: string; readonly incarnation: number};

/**
What a process knows about targets, each for one lifetime. It does not depend on the
registrations: one may lapse and come back, and calls that run meanwhile learn more.
*/
export type LifetimeTable<T> = {
	/** The value of a target; `undefined` if there is none for this lifetime. */
	get(target: TargetLifetime): T | undefined;
	set(target: TargetLifetime, value: T): void;
	entries(): ReadonlyArray<readonly [TargetLifetime, T]>;
	/** Forgets all targets but these. */
	retain(targets: readonly TargetLifetime[]): void;
};

/**
Creates an empty table. It remembers at most 4,096 lifetimes, each for an hour after it was last asked for.

@example
const table = createLifetimeTable<number>();
table.set({id: 'i-1', incarnation: 1}, 5);
table.get({id: 'i-1', incarnation: 2}); // undefined
*/
export function createLifetimeTable<T>(): LifetimeTable<T> {
	const values = new LRUCache<string, readonly [TargetLifetime, T]>({max: maxLifetimes, ttl: rememberedMs, updateAgeOnGet: true});
	return {
		get: target => values.get(keyOf(target))?.[1],
		set({id, incarnation}, value) {
			values.set(keyOf({id, incarnation}), [{id, incarnation}, value]);
		},
		entries: () => [...values.values()],
		retain(targets) {
			const kept = new Set(targets.map(target => keyOf(target)));
			for (const key of values.keys()) {
				if (!kept.has(key)) {
					values.delete(key);
				}
			}
		},
	};
}

function keyOf({id, incarnation}: TargetLifetime): string {
	return `${id}/${incarnation}`;
}

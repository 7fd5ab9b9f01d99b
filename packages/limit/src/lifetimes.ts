/** One lifetime of a target. A target that has restarted, or another one at its address, starts without a limit. */
export type TargetLifetime = {readonly id: string; readonly incarnation: number};

/** What a process knows about targets, each for one lifetime. */
export type LifetimeTable<T> = {
	/** The value of a target; `undefined` if there is none for this lifetime. */
	get(target: TargetLifetime): T | undefined;
	/** Sets the value of a target and forgets that of its earlier lifetime. */
	set(target: TargetLifetime, value: T): void;
	entries(): ReadonlyArray<readonly [TargetLifetime, T]>;
	/** Forgets all targets but these. */
	retain(targets: readonly TargetLifetime[]): void;
};

/**
Creates an empty table.

@example
const table = createLifetimeTable<number>();
table.set({id: 'i-1', incarnation: 1}, 5);
table.get({id: 'i-1', incarnation: 2}); // undefined
*/
export function createLifetimeTable<T>(): LifetimeTable<T> {
	const byId = new Map<string, readonly [TargetLifetime, T]>();
	return {
		get({id, incarnation}) {
			const [target, value] = byId.get(id) ?? [];
			return target?.incarnation === incarnation ? value : undefined;
		},
		set({id, incarnation}, value) {
			byId.set(id, [{id, incarnation}, value]);
		},
		entries: () => [...byId.values()],
		retain(targets) {
			const incarnations = new Map(targets.map(({id, incarnation}) => [id, incarnation]));
			for (const [id, [{incarnation}]] of byId) {
				if (incarnations.get(id) !== incarnation) {
					byId.delete(id);
				}
			}
		},
	};
}

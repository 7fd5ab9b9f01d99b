/** The number of links to sidecars of unknown group that a candidate opens at a time, at least. After a power loss, hundreds of links that turn out to be useless delayed the first placements by half a second. */
const minProbes = 8;

/** The part of a service's targets that are probed at a time in a large fleet, so that the last one is probed within five seconds. */
const probedRatio = 1 / 16;

/** How long a link to a sidecar of unknown group counts as just opened, in milliseconds. It stays open after that, but other sidecars are tried beside it. */
const probeMs = 300;

/** What is known about the group of the sidecar that chooses. */
export type OwnGroup = {
	readonly group: string;
	/** Whether all members of the group are connected. */
	readonly isComplete: boolean;
};

/** Chooses the targets to whose sidecars a candidate keeps links. */
export type LinkChoice = {
	/** Returns the targets to be linked, out of all targets of the service. Those of unknown group are tried in the given order. */
	choose(targets: readonly string[], own: OwnGroup): readonly string[];
};

/**
Creates the choice of links. The known members of the own group are linked at once.
Sidecars of unknown group are linked a few at a time until all members are
connected, and those that turn out to be in another group are dropped.

Load pattern: all processes of a service with several groups of dozens of ranks start at once.

@example
const links = createLinkChoice({groupOf: membership.groupOf, nowMs: monotonicMs}).choose(targets, {group: 'notice-0', isComplete: false});
*/
export function createLinkChoice({groupOf, nowMs}: {readonly groupOf: (target: string) => string | undefined; readonly nowMs: () => number}): LinkChoice {
	/** When the link to each target of unknown group was first wanted. */
	const probes = new Map<string, number>();
	return {
		choose(targets, {group, isComplete}) {
			const now = nowMs();
			const members: string[] = [];
			const unknown = new Set<string>();
			for (const target of targets) {
				const targetGroup = groupOf(target);
				if (targetGroup === group) {
					members.push(target);
				} else if (targetGroup === undefined && !isComplete) {
					unknown.add(target);
				}
			}

			for (const target of probes.keys()) {
				if (!unknown.has(target)) {
					probes.delete(target);
				}
			}

			const maxProbes = Math.max(minProbes, Math.ceil(targets.length * probedRatio));
			let recent = [...probes.values()].filter(sinceMs => now - sinceMs < probeMs).length;
			for (const target of unknown) {
				if (recent < maxProbes && !probes.has(target)) {
					probes.set(target, now);
					recent++;
				}
			}

			return [...members, ...probes.keys()];
		},
	};
}

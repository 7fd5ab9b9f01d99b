import {createDemandTracker, type DemandTracker} from './demand-tracker.js';

/** How long an estimated demand is used after the last counts, in milliseconds. An older one says little about the requests to come. */
export const maxDemandAgeMs = 60_000;

/** The demand of the group that this process has coordinated, which outlasts a formation. */
export type DemandMemory = {
	/** Returns the tracker of the last term of a group if it is recent and of these sizes, and otherwise a new one. */
	trackerOf(group: string, sizes: DemandSizes): DemandTracker;
};

export type DemandSizes = {readonly layers: number; readonly experts: number};

/**
Creates a memory without demand.

Load pattern: a group that has lost a rank forms anew within a second, and the same
requests return. With its known demand the first map is planned before any counts arrive.

@example
const tracker = createDemandMemory(monotonicMs).trackerOf('notice-0', {layers: 3, experts: 96});
*/
export function createDemandMemory(nowMs: () => number): DemandMemory {
	let last: {readonly group: string; readonly sizes: DemandSizes; readonly tracker: DemandTracker} | undefined;
	return {
		trackerOf(group, sizes) {
			const isUsable = last?.group === group && last.sizes.layers === sizes.layers && last.sizes.experts === sizes.experts && nowMs() - last.tracker.updatedMs() <= maxDemandAgeMs;
			last = isUsable ? last : {group, sizes, tracker: createDemandTracker(sizes)};
			return last!.tracker;
		},
	};
}

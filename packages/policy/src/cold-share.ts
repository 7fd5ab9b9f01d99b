/** How often one entry may send a request to a cold target. */
export type ColdShare = {
	/** The shortest time between two requests, in milliseconds. */
	readonly spacingMs: number;
	/** How long after its moment a request may still be sent, in milliseconds; without a limit if the bound holds also when all entries send at the same time. */
	readonly lapseMs: number;
};

const msPerSecond = 1000;

/** How much longer the spacing is than a whole part of a second. Requests that are sent this much apart, in a second, may arrive closer to each other. */
const jitterFactor = 1.1;

/** How long the moment of an entry lasts if there are more entries than requests allowed in a second, in milliseconds: long enough to be met by some of its requests. */
const slotMs = 200;

/** How far the mean stays below the bound if the entries' moments are independent, in standard deviations: about one second in 4,000 has more requests. */
const deviations = 3.5;

/**
Returns one entry's share of the requests that a cold target may get, such that all
entries together stay within `perSecond * overrun + slack` in every second without
knowing of each other. While that is at least one request for each entry, the spacing
alone ensures it. Beyond that an entry may send only in short slots at moments that
should be random, and the share is lower, since the slots of several entries may coincide.

Load pattern: a target is cold for some seconds while every entry has more requests for it
than its share.

@example
coldShare({perSecond: 28, overrun: 1.5, slack: 5, entries: 16}); // {spacingMs: 571, lapseMs: Infinity}
*/
export function coldShare({perSecond, overrun, slack, entries}: {
	readonly perSecond: number; readonly overrun: number; readonly slack: number; readonly entries: number;
}): ColdShare {
	const bound = (perSecond * overrun) + slack;
	const perEntry = Math.floor(bound / entries);
	if (perEntry >= 1) {
		return {spacingMs: Math.max(entries * msPerSecond / perSecond, jitterFactor * msPerSecond / perEntry), lapseMs: Number.POSITIVE_INFINITY};
	}

	const mean = (((Math.sqrt((deviations ** 2) + (4 * bound)) - deviations) / 2) ** 2) / (1 + (slotMs / msPerSecond));
	return {spacingMs: entries * msPerSecond / Math.min(perSecond, mean), lapseMs: slotMs};
}

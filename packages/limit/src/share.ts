const msPerSecond = 1000;

/** The shortest time for which a turn lasts, in milliseconds. */
const minTurnMs = 250;

/** One entry's turns to send to a target, while no dispenser can be reached. */
export type Share = {
	/** Takes the present turn if it has not been used. */
	tryTake(perSecond: number, entries: number): boolean;
	/** How long until the next turn, in milliseconds. */
	waitMs(): number;
};

/**
Creates an equal share of a target's rate: this entry's turn comes once in the time in
which the rate allows one request for each entry. The first turn comes at a random
moment, and a turn that is not used is lost, so that the entries can't all save one up
and send at once.

@example
const share = createShare({monotonicMs, random: Math.random});
share.tryTake(2, 4); // True once in two seconds.
*/
export function createShare({monotonicMs, random}: {readonly monotonicMs: () => number; readonly random: () => number}): Share {
	let nextMs: number | undefined;
	return {
		tryTake(perSecond, entries) {
			const now = monotonicMs();
			const periodMs = entries * msPerSecond / perSecond;
			const turnMs = Math.max(minTurnMs, msPerSecond / perSecond);
			nextMs ??= now + (random() * periodMs);
			if (now >= nextMs + turnMs) {
				nextMs += Math.ceil((now - nextMs - turnMs) / periodMs) * periodMs;
			}

			if (now < nextMs) {
				return false;
			}

			nextMs += periodMs;
			return true;
		},
		waitMs: () => Math.max(0, (nextMs ?? 0) - monotonicMs()),
	};
}

import {type RankOrder, type RankReply} from './order.js';

/** Gives orders to one rank, one at a time. */
export type RankGate = {
	order(order: RankOrder): Promise<RankReply | undefined>;
};

/**
Makes the only writer to a rank. Orders pass one after the other, so that a rank
never checks one promise and records another; an order of a lower epoch than the
highest seen is refused here, also where the engine itself would obey it.

`knownEpoch` is asked before the first order: a process that has just started has
promises of its predecessor to keep, and the epoch in the key-value service is at
least as high as any that was promised. While it can't be learned nothing passes.

@example
const gate = createRankGate(order => engine.order(0, order), async () => readEpoch(store, 'notice-1'));
*/
export function createRankGate(
	send: (order: RankOrder) => Promise<RankReply | undefined>,
	knownEpoch: () => Promise<number | undefined>,
): RankGate {
	let highest: number | undefined;
	let last: Promise<unknown> = Promise.resolve();

	const pass = async (order: RankOrder): Promise<RankReply | undefined> => {
		highest ??= await knownEpoch();
		// Old coordinators are refused here, since some engines obey anyone. (expert-map.pml: fenced)
		if (highest === undefined || order.epoch < highest) {
			return undefined;
		}

		highest = order.epoch;
		return send(order);
	};

	return {
		async order(order) {
			const turn = last.then(async () => pass(order));
			last = turn.catch(() => undefined);
			return turn;
		},
	};
}

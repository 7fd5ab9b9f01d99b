import {type RankOrder, type RankReply} from './order.js';

/** Forwards orders to one rank, one at a time. */
export type RankGate = {
	order(order: RankOrder): Promise<RankReply | undefined>;
};

/**
Creates the gate through which every order to a rank must go. The gate forwards orders
one at a time, so that the check of an epoch and the promise of the rank can't
interleave with those of another order. It drops an order whose epoch is lower than the
highest one seen, even if the engine itself would obey the order, and returns
`undefined` for it.

`readKnownEpoch` is called before the first order, because a restarted process must
keep the promises of its predecessor. It returns the epoch in the key-value service,
which is at least as high as any epoch promised, or `undefined` while the service can't
be reached. Until the epoch is known, the gate drops every order.

@example
const gate = createRankGate(order => engine.order(0, order), async () => readEpoch(store, 'notice-1'));
*/
export function createRankGate(
	send: (order: RankOrder) => Promise<RankReply | undefined>,
	readKnownEpoch: () => Promise<number | undefined>,
): RankGate {
	let highestEpoch: number | undefined;
	let queueTail: Promise<unknown> = Promise.resolve();

	const forward = async (order: RankOrder): Promise<RankReply | undefined> => {
		highestEpoch ??= await readKnownEpoch();
		// Fencing happens here because some engines ignore the epoch of an order. (expert-map.pml: fenced)
		if (highestEpoch === undefined || order.epoch < highestEpoch) {
			return undefined;
		}

		highestEpoch = order.epoch;
		return send(order);
	};

	return {
		async order(order) {
			const reply = queueTail.then(async () => forward(order));
			queueTail = reply.catch(() => undefined);
			return reply;
		},
	};
}

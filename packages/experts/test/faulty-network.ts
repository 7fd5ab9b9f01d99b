import {createRankGroup, type RankGroup} from '@papayaflow/standins';
import {
	createRankGate, type RankGate, type RankOrder, type RankReply, type Ranks,
} from '@papayaflow/experts';

type Message = {deliver: () => Promise<void>; drop: () => void};

/** Simulated network between coordinators and the ranks of a group that loses, repeats and reorders messages. */
export type FaultyNetwork = {
	readonly group: RankGroup;
	/** Connects a coordinator to the ranks. `crash` stops it: from then on it sends no orders and receives no replies. */
	connect(): Ranks & {crash(): void};
	/** Runs one random event: delivers, drops or repeats a message, or lets the group take a step. */
	runRandomEvent(): Promise<void>;
	/** From now on loses and repeats no messages. They still arrive in a random order. */
	stopFaults(): void;
};

/** Waits several turns of the event loop, so that pending promise callbacks run. */
export async function settle(): Promise<void> {
	for (let i = 0; i < 8; i++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/**
Creates a faulty network in front of the gates of one group's ranks. `knownEpoch` returns
the epoch that a gate reads before its first order. Only the gates refuse old epochs
when `checksFencing` is false.
*/
export function createFaultyNetwork({ranks, checksFencing, random, knownEpoch}: {ranks: number; checksFencing: boolean; random: () => number; knownEpoch: () => number}): FaultyNetwork {
	const group = createRankGroup({
		ranks, layers: 1, experts: ranks * 2, slots: 3, checksFencing,
	});
	const gates: RankGate[] = Array.from({length: ranks}, (_, rank) => createRankGate(
		async order => group.order(rank, order),
		async () => knownEpoch(),
	));
	const messages: Message[] = [];
	let isFaultFree = false;

	const takeRandomMessage = (): Message | undefined => {
		const index = Math.floor(random() * messages.length);
		const [message] = messages.splice(index, 1);
		return message;
	};

	return {
		group,
		connect() {
			let isCrashed = false;
			return {
				count: ranks,
				crash() {
					isCrashed = true;
				},
				async order(rank: number, order: RankOrder) {
					return new Promise<RankReply | undefined>(resolve => {
						// A crashed coordinator receives no replies, but its messages may still arrive.
						const replyToCoordinator = (reply: RankReply | undefined): void => {
							if (!isCrashed) {
								resolve(reply);
							}
						};

						if (isCrashed) {
							return;
						}

						messages.push({
							async deliver() {
								const reply = await gates[rank].order(order);
								const isReplyLost = !isFaultFree && random() < 0.2;
								replyToCoordinator(isReplyLost ? undefined : reply);
							},
							drop() {
								replyToCoordinator(undefined);
							},
						});
					});
				},
			};
		},
		async runRandomEvent() {
			const roll = random();
			if (roll < 0.25) {
				group.step();
			} else if (roll < 0.75 || isFaultFree) {
				await takeRandomMessage()?.deliver();
			} else if (roll < 0.85) {
				takeRandomMessage()?.drop();
			} else if (messages.length > 0) {
				// The message stays queued, so it is delivered again later.
				await messages[Math.floor(random() * messages.length)].deliver();
			}

			await settle();
		},
		stopFaults() {
			isFaultFree = true;
		},
	};
}

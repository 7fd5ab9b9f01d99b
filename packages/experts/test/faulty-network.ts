import {createRankGroup, type RankGroup} from '@papayaflow/standins';
import {
	createRankGate, type RankGate, type RankOrder, type RankReply, type Ranks,
} from '@papayaflow/experts';

type Message = {deliver: () => Promise<void>; lose: () => void};

/** What may happen to the messages between coordinators and ranks. */
export type Adversary = {
	readonly group: RankGroup;
	/** The ranks as one coordinator reaches them, over a net that loses, repeats and reorders. */
	connect(): Ranks & {crash(): void};
	/** Does one thing at random: delivers, loses or repeats a message, takes a step, or lets time pass. */
	act(): Promise<void>;
	/** From now on messages arrive, in a random order. */
	calm(): void;
};

/** Runs whatever is ready to go on. */
export async function settle(): Promise<void> {
	for (let i = 0; i < 8; i++) {
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}
}

/**
Makes a net between coordinators and the ranks of one group. `knownEpoch` is what
the gates of the ranks read; engines that ignore fencing numbers rest on them.
*/
export function createAdversary({ranks, checksFencing, random, knownEpoch}: {ranks: number; checksFencing: boolean; random: () => number; knownEpoch: () => number}): Adversary {
	const group = createRankGroup({
		ranks, layers: 1, experts: ranks * 2, slots: 3, checksFencing,
	});
	const gates: RankGate[] = Array.from({length: ranks}, (_, rank) => createRankGate(
		async order => group.order(rank, order),
		async () => knownEpoch(),
	));
	const messages: Message[] = [];
	let isCalm = false;

	const take = (): Message | undefined => {
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
						// A coordinator that has crashed hears nothing more; what it sent may still arrive.
						const answer = (reply: RankReply | undefined): void => {
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
								const isReplyLost = !isCalm && random() < 0.2;
								answer(isReplyLost ? undefined : reply);
							},
							lose() {
								answer(undefined);
							},
						});
					});
				},
			};
		},
		async act() {
			const chance = random();
			if (chance < 0.25) {
				group.step();
			} else if (chance < 0.75 || isCalm) {
				await take()?.deliver();
			} else if (chance < 0.85) {
				take()?.lose();
			} else if (messages.length > 0) {
				// Delivered now and once more at some later time.
				await messages[Math.floor(random() * messages.length)].deliver();
			}

			await settle();
		},
		calm() {
			isCalm = true;
		},
	};
}

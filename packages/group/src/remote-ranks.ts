import {type CommandReply, type PassRanks, type RankView} from '@papayaflow/experts';
import {type Frame, type Peer} from '@papayaflow/peer';
import {type OwnRank, type RankEngine} from './own-rank.js';

/** How long another sidecar may take to pass a command on and to look, in milliseconds: two calls beside it and the way there. */
const replyMs = 400;

/** A member of the group as its coordinator reaches it. */
export type Member = {
	readonly rank: number;
	/** Its engine, as `IP:PORT`. */
	readonly target: string;
	/** The sidecar beside it; `undefined` while there is none. */
	readonly peer: Peer | undefined;
};

export type RemoteRanksOptions = {
	readonly own: OwnRank;
	readonly ownRank: number;
	readonly size: number;
	readonly member: (rank: number) => Member | undefined;
	/** Reaches an engine without its sidecar, from this machine. */
	readonly connect: (target: string) => RankEngine;
	/** How old an engine's word may be that is asked from another machine, in milliseconds. */
	readonly lagMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
};

/** The ranks of a group, with the frames that bring their replies. */
export type RemoteRanks = PassRanks & {
	/** Takes a frame that may be a reply; `false` when it is none. */
	onFrame(frame: Frame): boolean;
};

/**
Reaches the ranks of a group: the own one at once, others through their sidecars,
and one whose sidecar is gone straight at its engine, which is slower and priced.

@example
const ranks = createRemoteRanks(options);
const view = await ranks.look(3);
*/
export function createRemoteRanks(options: RemoteRanksOptions): RemoteRanks {
	const waiting = new Map<number, (reply: CommandReply) => void>();
	let lastId = 0;

	const ask = async (peer: Peer, frame: (id: number) => Frame): Promise<CommandReply> => {
		const id = ++lastId;
		return new Promise(resolve => {
			const end = (reply: CommandReply): void => {
				clearTimeout(timer);
				waiting.delete(id);
				resolve(reply);
			};

			const timer = setTimeout(end, replyMs, {result: 'unknown', view: undefined});
			waiting.set(id, end);
			peer.send(frame(id));
		});
	};

	// An engine tells another machine what was so some time ago; a look after that time shows what is so now.
	const lookFrom = async (target: string): Promise<RankView | undefined> => {
		await options.sleep(options.lagMs());
		return options.connect(target).view();
	};

	return {
		count: options.size,
		async order(rank, guarded) {
			const member = options.member(rank);
			if (rank === options.ownRank || member?.peer) {
				const {result} = await this.command(rank, guarded);
				return result;
			}

			return member ? options.connect(member.target).command(guarded) : 'unknown';
		},
		async command(rank, guarded) {
			if (rank === options.ownRank) {
				return options.own.command(guarded);
			}

			const member = options.member(rank);
			if (member?.peer) {
				return ask(member.peer, id => ({kind: 'command', id, guarded}));
			}

			if (!member) {
				return {result: 'unknown', view: undefined};
			}

			const result = await options.connect(member.target).command(guarded);
			return {result, view: await lookFrom(member.target)};
		},
		async look(rank) {
			if (rank === options.ownRank) {
				return options.own.look();
			}

			const member = options.member(rank);
			if (member?.peer) {
				const reply = await ask(member.peer, id => ({kind: 'look', id}));
				return reply.view;
			}

			return member && lookFrom(member.target);
		},
		onFrame(frame) {
			if (frame.kind !== 'viewed') {
				return false;
			}

			waiting.get(frame.id)?.({result: frame.result, view: frame.view});
			return true;
		},
	};
}

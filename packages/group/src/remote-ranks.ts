import {
	type CommandReply, type GuardedCommand, type PassRanks, type RankExperts, type RankView,
} from '@papayaflow/experts';
import {type Frame, type Peer} from '@papayaflow/peer';
import {type Metrics} from '@papayaflow/telemetry';
import {createMapSender, createMapSorter, type MapSender} from './map-transfer.js';
import {type OwnRank, type RankEngine} from './own-rank.js';

/** How long to wait for another sidecar's reply, in milliseconds: it makes up to two calls to its engine, and the frames take a round trip. */
const replyTimeoutMs = 400;

/**
How long a sidecar from which nothing has arrived while a reply was due is passed over, in
milliseconds. Its connection may have gone silent, which its heartbeats show only after
several seconds.
*/
const passOverMs = 2000;

/** How long to wait for the experts of another rank, in milliseconds. They are asked for when all processes may just have started. */
const expertsTimeoutMs = 1000;

/**
What all coordinations of a process share on the connections to other sidecars. One that is
stopping goes on beside the next one, so the ids of their frames must differ, and the
maps must be described in the order in which they are sent.
*/
export type RankChannel = {
	readonly nextId: () => number;
	readonly maps: MapSender;
	/** Records that a frame of any kind has arrived from another sidecar. */
	readonly onHeard: (peer: Peer) => void;
	/** When the last frame arrived from a sidecar, in milliseconds of the monotonic clock; `undefined` before the first. */
	readonly heardMs: (peer: Peer) => number | undefined;
};

/**
Creates the channel of a process.

@example
const channel = createRankChannel(monotonicMs);
*/
export function createRankChannel(nowMs: () => number): RankChannel {
	let lastId = 0;
	const heardMs = new WeakMap<Peer, number>();
	return {
		nextId: () => ++lastId,
		maps: createMapSender(),
		onHeard(peer) {
			heardMs.set(peer, nowMs());
		},
		heardMs: peer => heardMs.get(peer),
	};
}

/** A member of the group, as its coordinator reaches it. */
export type Member = {
	readonly rank: number;
	/** The rank's engine, as `IP:PORT`. */
	readonly target: string;
	/** The connection to the rank's sidecar; `undefined` while there is none. */
	readonly peer: Peer | undefined;
};

export type RemoteRanksOptions = {
	readonly own: OwnRank;
	/** The engine of the own rank. */
	readonly engine: Pick<RankEngine, 'experts'>;
	readonly ownRank: number;
	readonly size: number;
	readonly member: (rank: number) => Member | undefined;
	/** Connects to an engine directly from this machine, without its sidecar. */
	readonly connect: (target: string) => RankEngine;
	/** The maximum age of the state that an engine returns to another machine, in milliseconds. */
	readonly reportLagMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly nowMs: () => number;
	readonly metrics: Metrics;
	readonly channel: RankChannel;
};

/** Access to the ranks of a group. */
export type RemoteRanks = PassRanks & {
	/** Reads the experts that a rank holds under the map in use; `undefined` if they can't be read. */
	readExperts(rank: number): Promise<RankExperts | undefined>;
	/** Handles a frame that replies to a command or a request of these ranks; returns `false` for any other frame. */
	onFrame(frame: Frame): boolean;
};

/**
Creates the access to the ranks of a group: the own rank is called directly, any other
rank through its sidecar. If that sidecar is gone or has just fallen silent, its engine is called
from this machine, over another connection, which is slower and costs more.

@example
const ranks = createRemoteRanks(options);
const view = await ranks.readView(3);
*/
export function createRemoteRanks(options: RemoteRanksOptions): RemoteRanks {
	const pendingReplies = new Map<number, (reply: CommandReply) => void>();
	const pendingExperts = new Map<number, (held: RankExperts | undefined) => void>();
	const passedOverUntilMs = new WeakMap<Peer, number>();
	const {nextId, maps} = options.channel;
	const sort = createMapSorter();

	/** All ranks get the experts of a map in the same order, whichever way the map takes. */
	const withSortedMap = (guarded: GuardedCommand): GuardedCommand => {
		const {command} = guarded;
		return command.kind === 'prepare' ? {...guarded, command: {...command, map: sort(command.map)}} : guarded;
	};

	const commandFrame = (peer: Peer, id: number, {command, ...guard}: GuardedCommand): Frame => ({
		kind: 'command', id, guarded: {...guard, command: command.kind === 'prepare' ? {...command, map: maps.describe(peer, command.map)} : command},
	});

	const request = async (peer: Peer, frame: (id: number) => Frame): Promise<CommandReply> => {
		const id = nextId();
		return new Promise(resolve => {
			const settle = (reply: CommandReply): void => {
				clearTimeout(timer);
				pendingReplies.delete(id);
				resolve(reply);
			};

			const sentMs = options.nowMs();
			const timer = setTimeout(() => {
				// A sidecar that sends other frames is only busy, and direct calls would take longer than its late replies.
				const isSilent = (options.channel.heardMs(peer) ?? Number.NEGATIVE_INFINITY) <= sentMs;
				options.metrics.count('rank_reply_timeouts', {silent: String(isSilent)});
				if (isSilent) {
					passedOverUntilMs.set(peer, options.nowMs() + passOverMs);
				}

				settle({result: 'unknown', view: undefined});
			}, replyTimeoutMs);
			pendingReplies.set(id, settle);
			peer.send(frame(id));
		});
	};

	const replyingPeer = (member: Member | undefined): Peer | undefined => {
		const peer = member?.peer;
		return peer && options.nowMs() >= (passedOverUntilMs.get(peer) ?? Number.NEGATIVE_INFINITY) ? peer : undefined;
	};

	const requestExperts = async (peer: Peer): Promise<RankExperts | undefined> => {
		const id = nextId();
		return new Promise(resolve => {
			const settle = (held: RankExperts | undefined): void => {
				clearTimeout(timer);
				pendingExperts.delete(id);
				resolve(held);
			};

			const timer = setTimeout(settle, expertsTimeoutMs, undefined);
			pendingExperts.set(id, settle);
			peer.send({kind: 'askExperts', id});
		});
	};

	// The state that an engine returns to another machine may be as old as the report lag. Waiting for that time first ensures that the state is no older than the call.
	const readCurrentView = async (target: string): Promise<RankView | undefined> => {
		await options.sleep(options.reportLagMs());
		return options.connect(target).view();
	};

	return {
		count: options.size,
		async order(rank, guarded) {
			const member = options.member(rank);
			if (rank === options.ownRank || replyingPeer(member)) {
				const {result} = await this.command(rank, guarded);
				return result;
			}

			return member ? options.connect(member.target).command(withSortedMap(guarded)) : 'unknown';
		},
		async command(rank, unsorted) {
			const guarded = withSortedMap(unsorted);
			if (rank === options.ownRank) {
				return options.own.command(guarded);
			}

			const member = options.member(rank);
			const peer = replyingPeer(member);
			if (peer) {
				const reply = await request(peer, id => commandFrame(peer, id, guarded));
				// The sidecar may not have understood the map.
				if (guarded.command.kind === 'prepare' && reply.result === 'unknown' && reply.view) {
					maps.forget(peer);
				}

				return reply;
			}

			if (!member) {
				return {result: 'unknown', view: undefined};
			}

			const result = await options.connect(member.target).command(guarded);
			return {result, view: await readCurrentView(member.target)};
		},
		async readView(rank) {
			if (rank === options.ownRank) {
				return options.own.pollView();
			}

			const member = options.member(rank);
			const peer = replyingPeer(member);
			if (peer) {
				const reply = await request(peer, id => ({kind: 'look', id}));
				return reply.view;
			}

			return member && readCurrentView(member.target);
		},
		// A sidecar reads its own engine without charge, and connections to dozens of engines would keep the coordinator busy just after a start.
		async readExperts(rank) {
			if (rank === options.ownRank) {
				return options.engine.experts();
			}

			const member = options.member(rank);
			return member?.peer ? requestExperts(member.peer) : member && options.connect(member.target).experts();
		},
		onFrame(frame) {
			if (frame.kind === 'experts') {
				pendingExperts.get(frame.id)?.(frame.held);
				return true;
			}

			if (frame.kind !== 'viewed') {
				return false;
			}

			pendingReplies.get(frame.id)?.({result: frame.result, view: frame.view});
			return true;
		},
	};
}

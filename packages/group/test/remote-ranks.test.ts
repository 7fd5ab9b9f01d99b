import {
	type GuardedCommand, type LayeredMap, type RankExperts, type RankView,
} from '@papayaflow/experts';
import {type Frame, type Peer} from '@papayaflow/peer';
import {createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createMapReceiver} from '../src/map-transfer.js';
import {
	createRankChannel, createRemoteRanks, type Member, type RankChannel, type RemoteRanks,
} from '../src/remote-ranks.js';

const heldBy = (rank: number): RankExperts => ({formation: 1, version: 2, experts: [[rank]]});

/** A rank that is not beside this sidecar, whose sidecar replies unless it is silent. */
function createMember(rank: number, ranks: () => RemoteRanks, isSilent: boolean): Member {
	const peer: Peer = {
		hello: {
			kind: 'hello', version: 1, role: 'sidecar', instance: `side-${rank}`, incarnation: 'x', zone: 'z', sentMs: 0,
		},
		host: '', close: () => undefined,
		send(frame: Frame) {
			if (frame.kind === 'askExperts' && !isSilent) {
				ranks().onFrame({kind: 'experts', id: frame.id, held: heldBy(rank)});
			}
		},
	};
	return {rank, target: `10.0.0.${rank}:80`, peer};
}

const armCommand: GuardedCommand = {command: {kind: 'arm', version: 2, pass: 5}, fencingToken: 1, formation: 1};

const armedView: RankView = {
	group: 'g', formation: 1, isOpen: true, rank: 1, size: 2, pass: 1, isCopying: false, mapVersion: 0, prepared: 2, armed: {version: 2, pass: 5}, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
};

describe('the access to the ranks of a group', () => {
	// Guards against a coordinator that opens connections to dozens of engines just after all processes have started.
	it('reads the experts of each rank through its sidecar, and directly only without a sidecar', async () => {
		const connected: string[] = [];
		const members = [1, 2].map(rank => createMember(rank, () => ranks, false));
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => heldBy(0)}, ownRank: 0, size: 4, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => 0, metrics: createMetrics(), channel: createRankChannel(() => 0),
			member: rank => rank === 3 ? {rank, target: '10.0.0.3:80', peer: undefined} : members[rank - 1],
			connect(target) {
				connected.push(target);
				return {
					view: async () => undefined, counts: async () => undefined, experts: async () => heldBy(3), command: async () => 'refused',
				};
			},
		});
		expect(await Promise.all([0, 1, 2, 3].map(async rank => ranks.readExperts(rank)))).to.deep.equal([0, 1, 2, 3].map(rank => heldBy(rank)));
		expect(connected).to.deep.equal(['10.0.0.3:80']);
	});

	/** Calls an arm of rank 1 three times, whose sidecar never replies; `heard` is called while each reply is due. */
	const armThrice = async (heard: (channel: RankChannel, peer: Peer) => void): Promise<{readonly results: readonly unknown[]; readonly framesSent: () => number; readonly ranks: RemoteRanks; readonly wait: (ms: number) => void}> => {
		let nowMs = 0;
		let framesSent = 0;
		const channel = createRankChannel(() => nowMs);
		const peer: Peer = {
			...createMember(1, () => ranks, true).peer!,
			send() {
				framesSent++;
				nowMs += 100;
				heard(channel, peer);
			},
		};
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => nowMs, metrics: createMetrics(), channel,
			member: () => ({rank: 1, target: '10.0.0.1:80', peer}),
			connect: () => ({
				view: async () => armedView, counts: async () => undefined, experts: async () => undefined, command: async () => 'obeyed',
			}),
		});
		const results = [await ranks.command(1, armCommand), await ranks.command(1, armCommand), await ranks.order(1, armCommand)];
		return {
			results, framesSent: () => framesSent, ranks,
			wait(ms) {
				nowMs += ms;
			},
		};
	};

	// Guards against a group that is held for seconds: commands went on over a connection that had gone silent, until its heartbeats were missed.
	it('sends the next command over another connection if a sidecar has fallen silent, and asks the sidecar again later', async () => {
		const {results, framesSent, ranks, wait} = await armThrice(() => undefined);
		expect(results).to.deep.equal([{result: 'unknown', view: undefined}, {result: 'obeyed', view: armedView}, 'obeyed']);
		expect(await ranks.readView(1)).to.equal(armedView);
		expect(framesSent()).to.equal(1);
		wait(2000);
		await ranks.command(1, armCommand);
		expect(framesSent()).to.equal(2);
	}).timeout(3000);

	// Guards against maps that come late in busy fleets: a direct call waits for a report that is no longer out of date.
	it('goes on to ask a sidecar that sends other frames', async () => {
		const {results, framesSent} = await armThrice((channel, peer) => {
			channel.onHeard(peer);
		});
		expect(results).to.deep.equal([{result: 'unknown', view: undefined}, {result: 'unknown', view: undefined}, 'unknown']);
		expect(framesSent()).to.equal(3);
	}).timeout(3000);

	/** Two coordinations of one process, of which the first is stopping, with the frames that they send to rank 1. */
	const createTwo = (channel: RankChannel): {readonly ranks: readonly RemoteRanks[]; readonly frames: Frame[]} => {
		const frames: Frame[] = [];
		const peer: Peer = {
			...createMember(1, () => ranks[0], true).peer!,
			send(frame) {
				frames.push(frame);
			},
		};
		const ranks = [0, 1].map(() => createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => 0, metrics: createMetrics(), channel,
			member: () => ({rank: 1, target: '10.0.0.1:80', peer}),
			connect() {
				throw new Error('not expected');
			},
		}));
		return {ranks, frames};
	};

	// Guards against a rank that gets another map under the same version: the coordination of the formation before went on beside the next one, each with its own last map of the connection.
	it('describes the maps of two coordinations at once so that the rank gets each of them', () => {
		const maps: readonly LayeredMap[] = [[[[0, 1], [2]]], [[[0], [1, 2]]], [[[1, 2], [0]]], [[[0, 2], [1]]]];
		const {ranks, frames} = createTwo(createRankChannel(() => 0));
		for (const [index, map] of maps.entries()) {
			void ranks[index % 2].command(1, {command: {kind: 'prepare', version: index + 1, map}, fencingToken: 1, formation: 1 + (index % 2)});
		}

		const receive = createMapReceiver();
		const sender = createMember(0, () => ranks[0], true).peer!;
		const received = frames.map(frame => frame.kind === 'command' && frame.guarded.command.kind === 'prepare' ? receive(sender, frame.guarded.command.map) : undefined);
		expect(received).to.deep.equal(maps);
	});

	it('sends the whole map to a sidecar that has not understood the last one', async () => {
		const {ranks: [ranks], frames} = createTwo(createRankChannel(() => 0));
		const prepare: GuardedCommand = {command: {kind: 'prepare', version: 2, map: [[[0, 1], [2]]]}, fencingToken: 1, formation: 1};
		const bases: unknown[] = [];
		for (const result of ['refused', 'unknown', 'obeyed'] as const) {
			const reply = ranks.command(1, prepare);
			const frame = frames.at(-1)!;
			if (frame.kind === 'command' && frame.guarded.command.kind === 'prepare') {
				bases.push(frame.guarded.command.map.base);
				ranks.onFrame({
					kind: 'viewed', id: frame.id, result, view: armedView,
				});
			}

			await reply;
		}

		expect(bases).to.deep.equal(['inTurn', 'previous', 'inTurn']);
	});

	it('takes no reply to a command of one coordination for that of another', async () => {
		const {ranks, frames} = createTwo(createRankChannel(() => 0));
		const replies = ranks.map(async each => each.command(1, armCommand));
		const [first, second] = frames.map(frame => frame.kind === 'command' ? frame.id : Number.NaN);
		for (const each of ranks) {
			for (const [id, result] of [[first, 'refused'], [second, 'obeyed']] as const) {
				each.onFrame({
					kind: 'viewed', id, result, view: undefined,
				});
			}
		}

		expect((await Promise.all(replies)).map(({result}) => result)).to.deep.equal(['refused', 'obeyed']);
	});

	it('reads no experts of a rank whose sidecar does not reply', async () => {
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => 0, metrics: createMetrics(), channel: createRankChannel(() => 0), member: rank => createMember(rank, () => ranks, true),
			connect() {
				throw new Error('not expected');
			},
		});
		expect(await ranks.readExperts(1)).to.equal(undefined);
	}).timeout(3000);
});

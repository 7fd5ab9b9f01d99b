import {type PassCommand, type RankExperts, type RankView} from '@papayaflow/experts';
import {type Frame, type Peer} from '@papayaflow/peer';
import {createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createRemoteRanks, type Member, type RemoteRanks} from '../src/remote-ranks.js';

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

describe('the access to the ranks of a group', () => {
	// Guards against a coordinator that opens connections to dozens of engines just after all processes have started.
	it('reads the experts of each rank through its sidecar, and directly only without a sidecar', async () => {
		const connected: string[] = [];
		const members = [1, 2].map(rank => createMember(rank, () => ranks, false));
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => heldBy(0)}, ownRank: 0, size: 4, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => 0, metrics: createMetrics(),
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

	// Guards against a group that is held for seconds: commands went on over a connection that had gone silent, until its heartbeats were missed.
	it('sends the next command over another connection if a sidecar has not replied, and asks the sidecar again later', async () => {
		let nowMs = 0;
		let framesSent = 0;
		const view: RankView = {
			group: 'g', formation: 1, isOpen: true, rank: 1, size: 2, pass: 1, isCopying: false, mapVersion: 0, prepared: 2, armed: {version: 2, pass: 5}, held: undefined, pace: 1,
			queued: 0, active: 0, usedTokens: 0,
		};
		const commands: PassCommand[] = [];
		const peer = {
			...createMember(1, () => ranks, true).peer!,
			send() {
				framesSent++;
			},
		};
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => nowMs, metrics: createMetrics(),
			member: () => ({rank: 1, target: '10.0.0.1:80', peer}),
			connect: () => ({
				view: async () => view, counts: async () => undefined, experts: async () => undefined,
				async command({command}) {
					commands.push(command);
					return 'obeyed';
				},
			}),
		});
		const arm = {command: {kind: 'arm', version: 2, pass: 5}, fencingToken: 1, formation: 1} as const;
		expect(await ranks.command(1, arm)).to.deep.equal({result: 'unknown', view: undefined});
		expect(await ranks.command(1, arm)).to.deep.equal({result: 'obeyed', view});
		expect(await ranks.order(1, arm)).to.equal('obeyed');
		expect(await ranks.readView(1)).to.equal(view);
		expect([framesSent, commands.length]).to.deep.equal([1, 2]);
		nowMs = 2000;
		await ranks.command(1, arm);
		expect(framesSent).to.equal(2);
	}).timeout(3000);

	it('reads no experts of a rank whose sidecar does not reply', async () => {
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, nowMs: () => 0, metrics: createMetrics(), member: rank => createMember(rank, () => ranks, true),
			connect() {
				throw new Error('not expected');
			},
		});
		expect(await ranks.readExperts(1)).to.equal(undefined);
	}).timeout(3000);
});

import {type RankExperts} from '@papayaflow/experts';
import {type Frame, type Peer} from '@papayaflow/peer';
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
			engine: {experts: async () => heldBy(0)}, ownRank: 0, size: 4, reportLagMs: () => 0, sleep: async () => undefined,
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

	it('reads no experts of a rank whose sidecar does not reply', async () => {
		const ranks: RemoteRanks = createRemoteRanks({
			own: {
				view: () => undefined, pollView: async () => undefined, pollSoon: () => undefined, command: async () => ({result: 'refused', view: undefined}),
			},
			engine: {experts: async () => undefined}, ownRank: 0, size: 2, reportLagMs: () => 0, sleep: async () => undefined, member: rank => createMember(rank, () => ranks, true),
			connect() {
				throw new Error('not expected');
			},
		});
		expect(await ranks.readExperts(1)).to.equal(undefined);
	}).timeout(3000);
});

import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type Peer, type RankNotice} from '@papayaflow/peer';
import {createMembership} from '@papayaflow/group';

const noticeOf = (rank: number, more: Partial<RankNotice> = {}): RankNotice => ({
	group: 'g', formation: 1, rank, size: 4, isOpen: true, target: `10.0.0.${rank}:80`, isCoordinator: rank === 0, term: 1, ...more,
});

const peerOf = (): Peer => ({
	send: () => undefined, close: () => undefined, host: '', hello: undefined as never,
});

describe('the membership of a group', () => {
	it('knows the coordinator and whether a lower candidate is connected', () => {
		const membership = createMembership();
		const [zero, three] = [peerOf(), peerOf()];
		membership.set(zero, noticeOf(0));
		membership.set(three, noticeOf(3));
		expect(membership.coordinators('g')).to.deep.equal([zero]);
		expect(membership.hasLowerCandidate('g', 1)).to.equal(true);
		expect(membership.hasLowerCandidate('other', 1)).to.equal(false);
		expect([membership.hasLowerCoordinator('g', 3), membership.hasLowerCoordinator('g', 0)]).to.deep.equal([true, false]);
		membership.set(zero, noticeOf(0, {isCoordinator: false}));
		expect(membership.hasLowerCoordinator('g', 3), 'connected, but not coordinating yet').to.equal(false);
		membership.remove(zero);
		expect(membership.hasLowerCandidate('g', 1)).to.equal(false);
	});

	it('keeps the target of a rank whose sidecar is gone, so that a held group can be released', () => {
		const membership = createMembership();
		const peer = peerOf();
		membership.set(peer, noticeOf(0));
		membership.remove(peer);
		expect(membership.member('g', 0)).to.deep.equal({rank: 0, target: '10.0.0.0:80', peer: undefined});
		expect(membership.member('g', 1)).to.equal(undefined);
	});

	it('ignores a sidecar of another group', () => {
		const membership = createMembership();
		membership.set(peerOf(), noticeOf(0, {group: 'other'}));
		expect(membership.member('g', 0)).to.equal(undefined);
	});
});

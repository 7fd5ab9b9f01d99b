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
		membership.remove(zero, 'closed');
		expect(membership.hasLowerCandidate('g', 1)).to.equal(false);
	});

	it('keeps the target of a rank whose sidecar is gone, so that a held group can be released', () => {
		const membership = createMembership();
		const peer = peerOf();
		membership.set(peer, noticeOf(0));
		membership.remove(peer, 'closed');
		expect(membership.member('g', 0)).to.deep.equal({rank: 0, target: '10.0.0.0:80', peer: undefined});
		expect(membership.member('g', 1)).to.equal(undefined);
	});

	it('marks a rank as silent after its sidecar fell silent, until it is connected again', () => {
		const membership = createMembership();
		const [zero, one] = [peerOf(), peerOf()];
		membership.set(zero, noticeOf(0));
		membership.set(one, noticeOf(1));
		membership.remove(zero, 'silent');
		membership.remove(one, 'closed');
		expect([0, 1].map(rank => membership.isSilent('g', rank))).to.deep.equal([true, false]);
		membership.set(peerOf(), noticeOf(0));
		expect(membership.isSilent('g', 0)).to.equal(false);
	});

	it('does not mark a rank as silent when an older connection of its sidecar ends after the sidecar has connected again', () => {
		const membership = createMembership();
		const older = peerOf();
		membership.set(older, noticeOf(0));
		membership.set(peerOf(), noticeOf(0));
		membership.remove(older, 'silent');
		expect(membership.isSilent('g', 0)).to.equal(false);
	});

	it('reaches a rank over its other connection when the one with the latest notice ends', () => {
		const membership = createMembership();
		const [older, newer] = [peerOf(), peerOf()];
		membership.set(older, noticeOf(1));
		membership.set(newer, noticeOf(1));
		membership.set(older, noticeOf(1, {formation: 2}));
		membership.remove(older, 'closed');
		expect(membership.member('g', 1)?.peer).to.equal(newer);
		membership.remove(newer, 'closed');
		expect(membership.member('g', 1)?.peer).to.equal(undefined);
	});

	// Guards against a search through the sidecars of all groups for each rank at each poll and each placement.
	it('reads no notice of another group to find a member', () => {
		const membership = createMembership();
		let reads = 0;
		const countReads = (notice: RankNotice): RankNotice => new Proxy(notice, {
			get(target, name) {
				reads++;
				return Reflect.get(target, name) as unknown;
			},
		});
		membership.set(peerOf(), noticeOf(1));
		for (let group = 0; group < 10; group++) {
			membership.set(peerOf(), countReads(noticeOf(1, {group: `other-${group}`, target: `10.1.${group}.1:80`})));
		}

		reads = 0;
		expect(membership.member('g', 1)?.target).to.equal('10.0.0.1:80');
		expect(membership.hasLowerCandidate('g', 2)).to.equal(true);
		expect(membership.coordinators('g')).to.deep.equal([]);
		expect(reads).to.equal(0);
	});

	it('ignores a sidecar of another group', () => {
		const membership = createMembership();
		membership.set(peerOf(), noticeOf(0, {group: 'other'}));
		expect(membership.member('g', 0)).to.equal(undefined);
	});

	it('disagrees with a notice as soon as a connected candidate reports another formation or state', () => {
		const membership = createMembership();
		const own = noticeOf(5);
		const [candidate, member] = [peerOf(), peerOf()];
		expect(membership.agrees(own), 'without candidates').to.equal(true);
		membership.set(candidate, noticeOf(1));
		membership.set(member, noticeOf(4, {formation: 2}));
		expect(membership.agrees(own), 'only another member differs').to.equal(true);
		membership.set(candidate, noticeOf(1, {isOpen: false}));
		expect(membership.agrees(own), 'another state').to.equal(false);
		membership.set(candidate, noticeOf(1, {formation: 2}));
		expect(membership.agrees(own), 'another formation').to.equal(false);
		membership.remove(candidate, 'closed');
		expect(membership.agrees(own), 'the candidate is gone').to.equal(true);
	});

	// Guards against candidates that stay connected to the members of all groups, whose number grows with the fleet.
	it('remembers in which group a target is after its sidecar is gone', () => {
		const membership = createMembership();
		const peer = peerOf();
		expect(membership.groupOf('10.0.0.7:80')).to.equal(undefined);
		membership.set(peer, noticeOf(7, {group: 'other'}));
		membership.remove(peer, 'closed');
		expect(membership.groupOf('10.0.0.7:80')).to.equal('other');
	});
});

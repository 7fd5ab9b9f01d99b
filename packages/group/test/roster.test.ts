import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type Peer, type RankNotice} from '@papayaflow/peer';
import {createRoster} from '@papayaflow/group';

const noticeOf = (rank: number, more: Partial<RankNotice> = {}): RankNotice => ({
	group: 'g', formation: 1, rank, size: 4, isOpen: true, target: `10.0.0.${rank}:80`, isCoordinator: rank === 0, term: 1, ...more,
});

const peerOf = (): Peer => ({
	send: () => undefined, close: () => undefined, host: '', hello: undefined as never,
});

describe('a roster of sidecars', () => {
	it('knows who coordinates and whether a lower rank lives', () => {
		const roster = createRoster();
		const [zero, three] = [peerOf(), peerOf()];
		roster.set(zero, noticeOf(0));
		roster.set(three, noticeOf(3));
		expect(roster.coordinators('g')).to.deep.equal([zero]);
		expect(roster.hasLower('g', 1)).to.equal(true);
		expect(roster.hasLower('other', 1)).to.equal(false);
		expect([roster.lowerCoordinates('g', 3), roster.lowerCoordinates('g', 0)]).to.deep.equal([true, false]);
		roster.set(zero, noticeOf(0, {isCoordinator: false}));
		expect(roster.lowerCoordinates('g', 3), 'there, but not yet at work').to.equal(false);
		roster.remove(zero);
		expect(roster.hasLower('g', 1)).to.equal(false);
	});

	it('still knows the engine of a rank whose sidecar is gone, so that a held group can be let go', () => {
		const roster = createRoster();
		const peer = peerOf();
		roster.set(peer, noticeOf(0));
		roster.remove(peer);
		expect(roster.member('g', 0)).to.deep.equal({rank: 0, target: '10.0.0.0:80', peer: undefined});
		expect(roster.member('g', 1)).to.equal(undefined);
	});

	it('does not count a sidecar of another group', () => {
		const roster = createRoster();
		roster.set(peerOf(), noticeOf(0, {group: 'other'}));
		expect(roster.member('g', 0)).to.equal(undefined);
	});
});

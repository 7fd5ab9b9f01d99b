import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type RankView} from '@papayaflow/experts';
import {
	countedBetween, followOwnRank, packCounts, unpackCounts,
} from '@papayaflow/group';

const view: RankView = {
	group: 'g', formation: 1, isOpen: true, rank: 0, size: 24, pass: 5, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
};

describe('the counts of a rank', () => {
	it('are told as what was counted between two looks', () => {
		expect(countedBetween({formation: 1, pass: 8, counts: [4, 1]}, {formation: 1, pass: 9, counts: [6, 1]})).to.deep.equal([2, 0]);
	});

	it('tell nothing of a time in which the rank started again or the group formed anew', () => {
		expect(countedBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [1]})).to.equal(undefined);
		expect(countedBetween({formation: 1, pass: 8, counts: [4]}, {formation: 2, pass: 9, counts: [6]})).to.equal(undefined);
		expect(countedBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [4, 2]})).to.equal(undefined);
	});

	it('are packed without loss while they are small, and in proportion where they are large', () => {
		expect(unpackCounts(packCounts([0, 1, 255]))).to.deep.equal([0, 1, 255]);
		const [large, small] = unpackCounts(packCounts([100_000, 20_000]));
		expect(small / large).to.be.closeTo(0.2, 0.005);
	});

	// Many experts, thin links: ten thousand counts of 24 ranks are more than their coordinator can take.
	for (const {experts, most} of [{experts: 288, most: 2}, {experts: 10_000, most: 2}]) {
		it(`take at most ${most} KB a second of the links with ${experts} experts`, async () => {
			const ending = new AbortController();
			let nowMs = 0;
			let bytes = 0;
			followOwnRank({
				engine: {
					view: async () => view, experts: async () => undefined, command: async () => 'obeyed',
					counts: async () => ({formation: 1, pass: nowMs, counts: Array.from({length: experts}, () => nowMs)}),
				},
				async sleep(ms) {
					// The looks at the rank go on in a time of their own; only the reports' pauses make up the clock here.
					nowMs += ms === 240 ? 0 : ms;
					await sleep(0);
				},
				signal: ending.signal, isClose: () => false, onView: () => undefined, random: () => 0.5,
				onCounts({counts}) {
					bytes += packCounts(counts).counts.length;
				},
			});
			while (nowMs < 60_000) {
				await sleep(0);
			}

			ending.abort();
			expect(bytes).to.be.within(1, most * 1000 * 60 * 1.02);
		});
	}
});

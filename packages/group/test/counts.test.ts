import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type RankView} from '@papayaflow/experts';
import {
	countsBetween, packCounts, pollOwnRank, unpackCounts,
} from '@papayaflow/group';

const view: RankView = {
	group: 'g', formation: 1, isOpen: true, rank: 0, size: 24, pass: 5, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
};

describe('a rank\'s expert counts', () => {
	it('are the difference of two readings of the cumulative counts', () => {
		expect(countsBetween({formation: 1, pass: 8, counts: [4, 1]}, {formation: 1, pass: 9, counts: [6, 1]})).to.deep.equal([2, 0]);
	});

	it('are undefined for an interval in which the rank restarted or the group re-formed', () => {
		expect(countsBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [1]})).to.equal(undefined);
		expect(countsBetween({formation: 1, pass: 8, counts: [4]}, {formation: 2, pass: 9, counts: [6]})).to.equal(undefined);
		expect(countsBetween({formation: 1, pass: 8, counts: [4]}, {formation: 1, pass: 9, counts: [4, 2]})).to.equal(undefined);
	});

	it('are packed without loss up to 255 and keep their proportions above', () => {
		expect(unpackCounts(packCounts([0, 1, 255]))).to.deep.equal([0, 1, 255]);
		const [large, small] = unpackCounts(packCounts([100_000, 20_000]));
		expect(small / large).to.be.closeTo(0.2, 0.005);
	});

	// Without the limit, the reports of 24 ranks with ten thousand experts would overload the links of their coordinator.
	for (const {experts, maxKilobytesPerSecond} of [{experts: 288, maxKilobytesPerSecond: 2}, {experts: 10_000, maxKilobytesPerSecond: 2}]) {
		it(`use at most ${maxKilobytesPerSecond} KB/s of bandwidth with ${experts} experts`, async () => {
			const ending = new AbortController();
			let nowMs = 0;
			let bytes = 0;
			pollOwnRank({
				engine: {
					view: async () => view, experts: async () => undefined, command: async () => 'obeyed',
					counts: async () => ({formation: 1, pass: nowMs, counts: Array.from({length: experts}, () => nowMs)}),
				},
				async sleep(ms) {
					// Only the pauses between reports advance the clock, not those between polls of the rank's state.
					nowMs += ms === 240 ? 0 : ms;
					await sleep(0);
				},
				signal: ending.signal, pollIntervalMs: () => 240, onView: () => undefined, random: () => 0.5,
				onCounts({counts}) {
					bytes += packCounts(counts).counts.length;
				},
			});
			while (nowMs < 60_000) {
				await sleep(0);
			}

			ending.abort();
			expect(bytes).to.be.within(1, maxKilobytesPerSecond * 1000 * 60 * 1.02);
		});
	}
});

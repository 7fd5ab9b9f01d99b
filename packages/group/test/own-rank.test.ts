import {type RankView} from '@papayaflow/experts';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {pollOwnRank} from '../src/own-rank.js';

const view: RankView = {
	group: 'g', formation: 1, isOpen: true, rank: 0, size: 1, pass: 1, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
};

describe('the sidecar of a rank', () => {
	// Guards against thousands of zeros a second from each rank of an idle fleet.
	it('reports counts only of intervals in which experts were chosen', async () => {
		const readings = [[1, 1], [1, 1], [1, 1], [3, 1], [3, 1]];
		const reported: Array<readonly number[]> = [];
		const ending = new AbortController();
		pollOwnRank({
			engine: {
				view: async () => view, experts: async () => undefined, command: async () => 'refused',
				async counts() {
					const counts = readings.shift();
					if (!counts) {
						ending.abort();
					}

					return counts && {formation: 1, pass: 1, counts};
				},
			},
			async sleep() {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			},
			signal: ending.signal, isCoordinating: () => false, onView: () => undefined, random: () => 0.5,
			onCounts({counts}) {
				reported.push(counts);
			},
		});
		while (!ending.signal.aborted) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect(reported).to.deep.equal([[2, 0]]);
	});
});

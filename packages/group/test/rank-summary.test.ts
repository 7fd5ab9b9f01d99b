import {type RankView} from '@papayaflow/experts';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {summarizeRanks} from '../src/rank-summary.js';

const viewOf = (rank: number, state: Partial<RankView>): RankView => ({
	group: 'g', formation: 1, isOpen: true, rank, size: 6, pass: 205, isCopying: false, mapVersion: 3, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0, ...state,
});

describe('the summary of the states of ranks', () => {
	it('lists ranks of one state together, and those that could not be read', () => {
		const armed = {prepared: 10_018, armed: {version: 10_018, pass: 206}};
		const views = [viewOf(0, {held: 206}), viewOf(1, armed), viewOf(2, armed), viewOf(3, armed), undefined, viewOf(5, armed)];
		expect(summarizeRanks(views)).to.deep.equal([
			{
				ranks: '0', pass: 205, map: 3, held: 206,
			},
			{
				ranks: '1-3,5', pass: 205, map: 3, prepared: 10_018, armed: '10018@206',
			},
			{ranks: '4', isUnread: true},
		]);
	});
});

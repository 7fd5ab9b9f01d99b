import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createDemandBoard, type DemandBoard} from '@papayaflow/group';

describe('a board of demand', () => {
	const boardOf = (): DemandBoard => createDemandBoard({layers: 2, experts: 4});

	it('adds up what the ranks have counted since it last settled', () => {
		const board = boardOf();
		board.take([4, 0, 0, 0, 1, 1, 1, 1]);
		board.take([0, 4, 0, 0, 1, 1, 1, 1]);
		board.settle(1000);
		expect(board.demands()[0].shares).to.deep.equal([0.5, 0.5, 0, 0]);
	});

	it('waits until enough has come for one report', () => {
		const board = boardOf();
		board.take([4, 4, 0, 0, 4, 4, 0, 0]);
		board.settle(1000);
		board.take([0, 0, 4, 4, 0, 0, 4, 4]);
		board.settle(1100);
		expect(board.demands()[0].reports).to.equal(1);
		board.settle(1200);
		expect(board.demands()[0].shares[2]).to.equal(0.5);
	});

	it('tells how long the demand of one layer lasts where layers shift at different times', () => {
		const board = boardOf();
		const layouts = [[9, 1, 0, 0], [0, 0, 9, 1]];
		for (let part = 0; part < 160; part++) {
			const [first, second] = [Math.floor(part / 20) % 2, Math.floor((part + 10) / 20) % 2];
			board.take([...layouts[first], ...layouts[second]]);
			board.settle(part * 200);
		}

		expect(board.meanShiftMs()).to.be.within(1800, 2200);
		expect(board.layerShiftMs()).to.be.within(3600, 4400);
	});

	it('takes jumps that follow each other at once for one shift', () => {
		const board = boardOf();
		const layouts = [[9, 1, 0, 0], [0, 9, 1, 0], [0, 0, 9, 1], [1, 0, 0, 9]];
		// Each shift shows in two reports: the second one has the rest of it.
		for (let shift = 0; shift < 8; shift++) {
			for (const part of [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]) {
				const now = layouts[(shift + (part === 0 ? 3 : 0)) % 4];
				board.take([...now, ...now]);
				board.settle((shift * 3000) + (part * 300));
			}
		}

		expect(board.meanShiftMs()).to.be.within(2500, 3500);
		expect(board.layerShiftMs()).to.be.within(2500, 3500);
	});
});

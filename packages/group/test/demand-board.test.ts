import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createDemandBoard, type DemandBoard} from '@papayaflow/group';

describe('a board of demand', () => {
	const boardOf = (): DemandBoard => createDemandBoard({layers: 2, experts: 4});

	/** Feeds a rank's running counts, as engines report them. */
	const feeder = (board: DemandBoard, rank: number): ((add: readonly number[], formation?: number) => void) => {
		let counts = Array.from({length: 8}, () => 0);
		board.take(rank, 1, counts);
		return (add, formation = 1) => {
			counts = counts.map((count, i) => count + add[i]);
			board.take(rank, formation, counts);
		};
	};

	it('adds up what the ranks have counted since they last told', () => {
		const board = boardOf();
		const [a, b] = [feeder(board, 0), feeder(board, 1)];
		a([4, 0, 0, 0, 1, 1, 1, 1]);
		b([0, 4, 0, 0, 1, 1, 1, 1]);
		board.settle(1000);
		expect(board.demands()[0].shares).to.deep.equal([0.5, 0.5, 0, 0]);
	});

	it('begins anew with a rank that counts from zero again', () => {
		const board = boardOf();
		feeder(board, 0)([4, 0, 0, 0, 4, 0, 0, 0]);
		board.take(0, 2, [1, 1, 1, 1, 1, 1, 1, 1]);
		board.settle(1000);
		expect(board.demands()[0].shares).to.deep.equal([1, 0, 0, 0]);
	});

	it('waits until enough has come for one report', () => {
		const board = boardOf();
		const feed = feeder(board, 0);
		feed([4, 4, 0, 0, 4, 4, 0, 0]);
		board.settle(1000);
		feed([0, 0, 4, 4, 0, 0, 4, 4]);
		board.settle(1100);
		expect(board.demands()[0].reports).to.equal(1);
		board.settle(1200);
		expect(board.demands()[0].shares[2]).to.equal(0.5);
	});

	it('takes jumps that follow each other at once for one shift', () => {
		const board = boardOf();
		const feed = feeder(board, 0);
		const layouts = [[9, 1, 0, 0], [0, 9, 1, 0], [0, 0, 9, 1], [1, 0, 0, 9]];
		// Each shift shows in two reports: the second one has the rest of it.
		for (let shift = 0; shift < 8; shift++) {
			for (const part of [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]) {
				const now = layouts[(shift + (part === 0 ? 3 : 0)) % 4];
				feed([...now, ...now]);
				board.settle((shift * 3000) + (part * 300));
			}
		}

		expect(board.meanShiftMs()).to.be.within(2500, 3500);
	});
});

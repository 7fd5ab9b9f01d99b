import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createDemandTracker, type DemandTracker} from '@papayaflow/group';

describe('a demand tracker', () => {
	const createTracker = (): DemandTracker => createDemandTracker({layers: 2, experts: 4});

	it('adds up the counts of all ranks since the last update', () => {
		const tracker = createTracker();
		tracker.addCounts([4, 0, 0, 0, 1, 1, 1, 1]);
		tracker.addCounts([0, 4, 0, 0, 1, 1, 1, 1]);
		tracker.settle(1000);
		expect(tracker.demands()[0].shares).to.deep.equal([0.5, 0.5, 0, 0]);
	});

	it('keeps its estimate until the counts cover enough time for a report', () => {
		const tracker = createTracker();
		tracker.addCounts([4, 4, 0, 0, 4, 4, 0, 0]);
		tracker.settle(1000);
		tracker.addCounts([0, 0, 4, 4, 0, 0, 4, 4]);
		tracker.settle(1100);
		expect(tracker.demands()[0].reports).to.equal(1);
		tracker.settle(1200);
		expect(tracker.demands()[0].shares[2]).to.equal(0.5);
	});

	it('measures how long the demand of one layer lasts when layers shift at different times', () => {
		const tracker = createTracker();
		const countsByPhase = [[9, 1, 0, 0], [0, 0, 9, 1]];
		for (let report = 0; report < 160; report++) {
			const [firstPhase, secondPhase] = [Math.floor(report / 20) % 2, Math.floor((report + 10) / 20) % 2];
			tracker.addCounts([...countsByPhase[firstPhase], ...countsByPhase[secondPhase]]);
			tracker.settle(report * 200);
		}

		expect(tracker.meanShiftIntervalMs()).to.be.within(1800, 2200);
		expect(tracker.meanLayerShiftIntervalMs()).to.be.within(3600, 4400);
	});

	it('counts demand changes in consecutive reports as one shift', () => {
		const tracker = createTracker();
		const countsByPhase = [[9, 1, 0, 0], [0, 9, 1, 0], [0, 0, 9, 1], [1, 0, 0, 9]];
		// Each shift changes the shares in two consecutive reports.
		for (let shift = 0; shift < 8; shift++) {
			for (const report of [0, 1, 2, 3, 4, 5, 6, 7, 8, 9]) {
				const counts = countsByPhase[(shift + (report === 0 ? 3 : 0)) % 4];
				tracker.addCounts([...counts, ...counts]);
				tracker.settle((shift * 3000) + (report * 300));
			}
		}

		expect(tracker.meanShiftIntervalMs()).to.be.within(2500, 3500);
		expect(tracker.meanLayerShiftIntervalMs()).to.be.within(2500, 3500);
	});
});

import {expect} from 'chai';
import {describe, it} from 'mocha';
import {mapInTurn} from '@papayaflow/experts';
import {createSkewMonitor, type DemandTracker} from '@papayaflow/group';

describe('a skew monitor', () => {
	const map = mapInTurn({layers: 1, ranks: 2, expertsPerLayer: 2});

	// Guards against a group that admits half of what it can serve after each formation, because the skew of its first map counts as that of a shift of demand.
	it('samples the skew after a shift of demand only while the map was planned for a demand', () => {
		let isPlanned = false;
		let shares = [0.9, 0.1];
		let shiftedMs: number | undefined;
		const tracker = {demands: () => [{shares, reports: 5, shiftedAtMs: shiftedMs}], lastShiftMs: () => shiftedMs, meanShiftIntervalMs: () => 2000};
		const monitor = createSkewMonitor(tracker as unknown as DemandTracker, () => map, () => isPlanned);
		shiftedMs = 100;
		expect(monitor.skew()).to.be.closeTo(1.8, 1e-9);
		expect(monitor.shifts()).to.equal(undefined);
		isPlanned = true;
		shares = [0.2, 0.8];
		shiftedMs = 2000;
		monitor.skew();
		expect(monitor.shifts()?.skew).to.be.closeTo(1.6, 1e-9);
	});
});

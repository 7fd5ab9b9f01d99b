import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type RankView} from '@papayaflow/experts';
import {createPassMeter} from '@papayaflow/group';

const viewOf = (pass: number, active: number): RankView => ({
	group: 'g', formation: 1, isOpen: true, rank: 0, size: 2, pass, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active, usedTokens: 0,
});

describe('a pass meter', () => {
	it('measures how long a group with work has begun no pass', () => {
		const meter = createPassMeter();
		meter.addSample(viewOf(1, 2), 10, 0);
		meter.addSample(viewOf(2, 2), 10, 100);
		meter.addSample(viewOf(2, 2), 10, 500);
		expect(meter.stalledMs()).to.equal(400);
		meter.addSample(viewOf(3, 2), 10, 600);
		expect(meter.stalledMs()).to.equal(0);
	});

	it('does not count the time in which the rank has no requests', () => {
		const meter = createPassMeter();
		meter.addSample(viewOf(1, 0), 0, 0);
		meter.addSample(viewOf(1, 0), 0, 1000);
		expect(meter.stalledMs()).to.equal(0);
		meter.addSample(viewOf(1, 1), 10, 1100);
		expect(meter.stalledMs()).to.equal(100);
	});
});

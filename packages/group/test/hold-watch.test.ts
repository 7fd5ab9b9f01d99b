import {type RankView} from '@papayaflow/experts';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createHoldWatch} from '../src/hold-watch.js';

describe('the watch for holds of a group', () => {
	it('counts each hold of a second once, and none that is shorter', () => {
		let nowMs = 0;
		const metrics = createMetrics();
		const watch = createHoldWatch({nowMs: () => nowMs, log: createLog({}, 'error'), metrics});
		const look = (atMs: number, held: number | undefined): void => {
			nowMs = atMs;
			watch.onView({
				group: 'g', formation: 1, pass: 5, held, armed: undefined,
			} as RankView);
		};

		const views: ReadonlyArray<readonly [atMs: number, held: number | undefined]> = [
			[0, undefined], [100, 6], [1000, 6], [1080, undefined], [2000, 8], [2900, 9], [3950, 9], [4100, 9], [4200, undefined],
		];
		for (const [atMs, held] of views) {
			look(atMs, held);
		}

		expect(metrics.read('long_holds')).to.equal(1);
		expect(metrics.quantileMs('group_hold', 1)).to.be.closeTo(1300, 10);
	});
});

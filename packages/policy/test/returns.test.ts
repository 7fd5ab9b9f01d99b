import {expect} from 'chai';
import {describe, it} from 'mocha';
import {seededRandom} from '@papayaflow/standins';
import {createReturnSchedule} from '@papayaflow/policy';

describe('the return schedule', () => {
	it('gives a single refused caller the shortest delay', () => {
		const returns = createReturnSchedule({nowMs: () => 0, random: seededRandom(1)});
		expect(returns.next({earliestMs: 150, latestMs: 2600, perSecond: 50})).to.equal(150);
	});

	// Guards against a second overload: all callers refused after an outage returned within 200 ms and were refused for good.
	it('spreads 400 callers refused at once, at the rate that can be served until that fills the window, then over the whole window', () => {
		for (const perSecond of [0, 20, 160, 1000]) {
			const returns = createReturnSchedule({nowMs: () => 0, random: seededRandom(7)});
			const delays = Array.from({length: 400}, () => returns.next({earliestMs: 100, latestMs: 2600, perSecond}));
			expect(Math.min(...delays), `${perSecond}/s`).to.be.at.least(100);
			expect(Math.max(...delays), `${perSecond}/s`).to.be.at.most(2600);
			// 160 callers a second are the lowest rate at which 400 return within 2.5 s.
			const most = Math.max(...Array.from({length: 25}, (_, i) => delays.filter(ms => ms >= i * 100 && ms < (i + 1) * 100).length));
			expect(most, `${perSecond}/s: returns within 100 ms`).to.be.at.most(Math.max(perSecond / 10, 16) * 2);
		}
	});

	it('uses free time between assigned returns and forgets those that are over', () => {
		let now = 0;
		const returns = createReturnSchedule({nowMs: () => now, random: seededRandom(1)});
		const next = (earliestMs: number): number => returns.next({earliestMs, latestMs: 2000, perSecond: 10});
		expect([next(1000), next(100), next(100), next(950)]).to.deep.equal([1000, 100, 200, 1100]);
		now = 500;
		expect(returns.pending()).to.equal(2);
		expect(next(0)).to.equal(0);
	});

	it('never exceeds the time that the caller accepts', () => {
		const returns = createReturnSchedule({nowMs: () => 0, random: seededRandom(1)});
		expect(returns.next({earliestMs: 500, latestMs: 200, perSecond: 10})).to.equal(200);
		expect(returns.next({earliestMs: 500, latestMs: -5, perSecond: 10})).to.equal(0);
	});
});

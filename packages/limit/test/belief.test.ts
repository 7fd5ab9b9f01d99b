import {expect} from 'chai';
import {describe, it} from 'mocha';
import {afterAnswer, unlimited, type NamedLimit} from '@papayaflow/limit';

const rate = (perSecond: number): NamedLimit => ({kind: 'rate', perSecond});

describe('the belief about a limit', () => {
	const believed = afterAnswer(unlimited, rate(2), {sentMs: 0, nowMs: 100});

	it('takes a lower limit from any answer', () => {
		expect(afterAnswer(believed, rate(0.5), {sentMs: 50, nowMs: 200})).to.deep.equal({perSecond: 0.5, learnedMs: 200});
	});

	it('takes a higher limit, or none, only from an answer to a request that was sent after the belief was formed', () => {
		for (const named of [rate(5), {kind: 'none'} as const]) {
			expect(afterAnswer(believed, named, {sentMs: 100, nowMs: 200})).to.equal(believed);
			expect(afterAnswer(believed, named, {sentMs: 101, nowMs: 200}).learnedMs).to.equal(200);
		}
	});

	it('is unchanged by a malformed value and by the same limit', () => {
		expect(afterAnswer(believed, {kind: 'malformed', text: 'soon'}, {sentMs: 150, nowMs: 200})).to.equal(believed);
		expect(afterAnswer(believed, rate(2), {sentMs: 150, nowMs: 200})).to.equal(believed);
	});
});

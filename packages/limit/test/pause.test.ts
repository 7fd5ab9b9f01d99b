import {createLog, createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {createPauses, type Pauses} from '@papayaflow/limit';

const target = {id: 'i-1', incarnation: 1};

describe('the pause of a target', () => {
	let nowMs: number;
	let pauses: Pauses;

	beforeEach(() => {
		nowMs = 0;
		pauses = createPauses({monotonicMs: () => nowMs, metrics: createMetrics(), log: createLog({}, 'error')});
	});

	it('lasts for the time that the target has named', () => {
		pauses.observe(target, {kind: 'pause', ms: 2000});
		nowMs = 1999;
		expect([pauses.waitMs(target), pauses.blocked()]).to.deep.equal([1, [target]]);
		nowMs = 2000;
		expect([pauses.waitMs(target), pauses.blocked()]).to.deep.equal([0, []]);
	});

	it('is lengthened by a later refusal but not shortened, since each refusal holds for itself', () => {
		pauses.observe(target, {kind: 'pause', ms: 2000});
		nowMs = 500;
		pauses.observe(target, {kind: 'pause', ms: 300});
		expect(pauses.waitMs(target)).to.equal(1500);
		pauses.observe(target, {kind: 'pause', ms: 4000});
		expect(pauses.waitMs(target)).to.equal(4000);
	});

	it('is not changed by answers without a time or with a malformed one', () => {
		pauses.observe(target, {kind: 'pause', ms: 2000});
		pauses.observe(target, {kind: 'none'});
		pauses.observe(target, {kind: 'malformed', text: 'soon'});
		expect(pauses.waitMs(target)).to.equal(2000);
	});

	it('lasts an hour at most, and belongs to one lifetime of its target', () => {
		pauses.observe(target, {kind: 'pause', ms: Number.POSITIVE_INFINITY});
		expect(pauses.waitMs(target)).to.equal(3_600_000);
		expect(pauses.waitMs({id: 'i-1', incarnation: 2})).to.equal(0);
	});

	// Guards against requests in a time that a server has named: a late answer of its earlier lifetime took the place of it.
	it('of one lifetime is not changed by answers of another one, late ones of the earlier lifetime too', () => {
		const next = {id: 'i-1', incarnation: 2};
		pauses.observe(next, {kind: 'pause', ms: 1000});
		pauses.observe(target, {kind: 'pause', ms: 2000});
		expect(pauses.waitMs(next)).to.equal(1000);
		nowMs = 1500;
		expect([pauses.waitMs(next), pauses.blocked()]).to.deep.equal([0, [target]]);
	});
});

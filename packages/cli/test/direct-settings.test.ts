import {expect} from 'chai';
import {describe, it} from 'mocha';
import {storePauseOf} from '../src/direct-settings.js';

const pauseOf = (storePauseMs: number, configMs: number, drainMs: number, evacuateMs = 0): number => storePauseOf({
	storePauseMs, configMs, drainMs, evacuateMs,
});

describe('the pause between two reads of the store', () => {
	// Load pattern: dozens of entries watch the store, and hundreds of targets rewrite their registrations each second.
	it('is as long as the shorter of the bounds allows, and never shorter than the setting', () => {
		expect(pauseOf(700, 4000, 3000)).to.equal(1050);
		expect(pauseOf(700, 2000, 2000)).to.equal(700);
		expect(pauseOf(700, 500, 9000)).to.equal(700);
		expect(pauseOf(100, 0, 0)).to.equal(100);
		expect(pauseOf(700, 8000, 9000, 5000)).to.equal(1750);
	});
});

import {expect} from 'chai';
import {describe, it} from 'mocha';
import {storePauseOf} from '../src/direct-settings.js';

describe('the pause between two reads of the store', () => {
	// Load pattern: dozens of entries watch the store, and hundreds of targets rewrite their registrations each second.
	it('is as long as the shorter of the bounds allows, and never shorter than the setting', () => {
		expect(storePauseOf({storePauseMs: 700, configMs: 4000, drainMs: 3000})).to.equal(1050);
		expect(storePauseOf({storePauseMs: 700, configMs: 2000, drainMs: 2000})).to.equal(700);
		expect(storePauseOf({storePauseMs: 700, configMs: 500, drainMs: 9000})).to.equal(700);
		expect(storePauseOf({storePauseMs: 100, configMs: 0, drainMs: 0})).to.equal(100);
	});
});

import process from 'node:process';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {groupDays, playGroupDay} from '../src/group-day.js';

/** How long after a shift of demand a fitting map should be in force, in the median. */
const adaptedBoundMs = 1000;

/** The part of what the streams of a day are worth that should be earned. */
const worthBound = 0.6;

/** What a late stream earns of the worth of one that is on time. */
const lateRatio = 0.25;

const seeds = Array.from({length: Number(process.env.GROUP_DAY_SEEDS ?? 1)}, (_, index) => index + 1);

// Guards against maps that follow the demand too late: shifts were not noticed with many experts, and all streams between two of them came late.
describe('a group whose demand shifts every 3.6 s', () => {
	for (const day of groupDays) {
		it(`has a fitting map within a second of a shift and serves its streams, with ${day.name}`, async () => {
			for (const seed of seeds) {
				const {asked, inTime, late, adaptedMs} = await playGroupDay(day, seed);
				expect(adaptedMs, `seed ${seed}: median time to a fitting map`).to.be.at.most(adaptedBoundMs);
				expect((inTime + (late * lateRatio)) / asked, `seed ${seed}: worth`).to.be.at.least(worthBound);
			}
		}).timeout(600_000);
	}
});

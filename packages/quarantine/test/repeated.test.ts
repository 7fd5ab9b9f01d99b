import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {requestSubject} from '../src/index.js';
import {createInstances} from './helper.js';

const instanceCount = 4;
const targetCount = 8;
const dayMs = 90_000;
const requestGapMs = 10;
const otherCrashGapMs = 10_000;

/** How often each request that crashes targets comes again, on average, in milliseconds. */
const repeatGapMs = 400;

/** How long a target is down after a crash, in milliseconds. */
const downMs = 3400;

/** The runs that a request may have in a day: two before it is kept back, and one that tries it half a minute later. */
const maxRuns = 3;

/** How long after the second crash all instances know of it, in milliseconds. A message takes at most 10. */
const newsMs = 10;

type Day = {
	/** The runs of each request that crashes targets. */
	readonly runs: readonly number[];
	/** The trials of each: its runs that were sent after all instances knew of the second crash. Two instances that have not heard of each other's trial yet count once. */
	readonly trials: readonly number[];
	readonly soundRequests: number;
	/** Sound requests that were refused at their first or second attempt. */
	readonly soundRefused: number;
	readonly otherCrashes: number;
};

type Running = {readonly instance: number; readonly target: number; readonly subjects: readonly string[]; readonly bad: number | undefined; readonly isRetry: boolean; readonly sentMs: number};

const subjectOf = (text: string): string => requestSubject({
	method: 'POST', path: '/pay', organisation: 'acme', body: new TextEncoder().encode(text),
});

/** Plays a day of a service whose targets crash one by one. Sound requests that fall with a target are sent again once, at another instance. */
function playDay(seed: number, {badCount, hasOtherCrashes}: {readonly badCount: number; readonly hasOtherCrashes: boolean}): Day {
	const random = seededRandom(seed);
	const clock = {nowMs: 0};
	const instances = createInstances(instanceCount, {clock});
	const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
	const running = new Set<Running>();
	const downUntilMs = Array.from({length: targetCount}, () => 0);
	const restarts = Array.from({length: targetCount}, () => 0);
	const runs = Array.from({length: badCount}, () => 0);
	const trials = Array.from({length: badCount}, () => 0);
	/** From when a run counts as a trial that all instances know of. */
	const nextTrialMs = Array.from({length: badCount}, () => Number.POSITIVE_INFINITY);
	const counts = {soundRequests: 0, soundRefused: 0, otherCrashes: 0};
	const idOf = (target: number): string => `p-${target}-${restarts[target]}`;
	const pick = (count: number): number => Math.floor(random() * count);

	const schedule = (atMs: number, run: () => void): void => {
		events.splice(events.findLastIndex(event => event.atMs <= atMs) + 1, 0, {atMs, run});
	};

	/** Schedules an event, and the delivery of the messages that it causes. */
	const at = (atMs: number, run: () => void): void => {
		schedule(atMs, () => {
			run();
			schedule(clock.nowMs + 2 + (8 * random()), () => {
				instances.deliver();
			});
		});
	};

	const send = (subject: string, bad: number | undefined, isRetry = false): void => {
		const up = downUntilMs.flatMap((untilMs, target) => untilMs <= clock.nowMs ? [target] : []);
		if (up.length === 0) {
			return;
		}

		const [instance, target] = [pick(instanceCount), up[pick(up.length)]];
		const admission = instances.quarantines[instance].admit([subject], idOf(target));
		if (admission.kind === 'refused') {
			counts.soundRefused += bad === undefined ? 1 : 0;
			return;
		}

		const request: Running = {
			instance, target, subjects: [subject], bad, isRetry, sentMs: clock.nowMs,
		};
		running.add(request);
		at(clock.nowMs + 20 + (60 * random()), () => {
			finish(request);
		});
	};

	const crash = (target: number): void => {
		const lost = [...running].filter(request => request.target === target);
		for (const [index, quarantine] of instances.quarantines.entries()) {
			const own = lost.filter(({instance}) => instance === index);
			if (own.length > 0) {
				quarantine.onCrash(idOf(target), own.map(({subjects}) => ({parts: subjects})));
			}
		}

		restarts[target]++;
		downUntilMs[target] = clock.nowMs + downMs;
		for (const request of lost) {
			running.delete(request);
			if (request.bad === undefined && !request.isRetry) {
				at(clock.nowMs + 10, () => {
					send(request.subjects[0], undefined, true);
				});
			}
		}
	};

	const finish = (request: Running): void => {
		if (!running.has(request)) {
			return;
		}

		if (request.bad !== undefined) {
			runs[request.bad]++;
			if (request.sentMs > nextTrialMs[request.bad]) {
				trials[request.bad]++;
				nextTrialMs[request.bad] = request.sentMs + newsMs;
			} else if (runs[request.bad] === 2) {
				nextTrialMs[request.bad] = clock.nowMs + newsMs;
			}

			crash(request.target);
			return;
		}

		running.delete(request);
		instances.quarantines[request.instance].onBegun(request.subjects);
	};

	const repeat = (gapMs: number, run: () => void): void => {
		at(clock.nowMs + (gapMs * exponential(random)), () => {
			run();
			repeat(gapMs, run);
		});
	};

	repeat(requestGapMs, () => {
		send(subjectOf(`sound ${counts.soundRequests++}`), undefined);
	});
	for (let bad = 0; bad < badCount; bad++) {
		repeat(repeatGapMs, () => {
			send(subjectOf(`bad ${bad}`), bad);
		});
	}

	if (hasOtherCrashes) {
		repeat(otherCrashGapMs, () => {
			counts.otherCrashes++;
			crash(pick(targetCount));
		});
	}

	for (let event = events.shift()!; event.atMs < dayMs; event = events.shift()!) {
		clock.nowMs = event.atMs;
		event.run();
	}

	return {...counts, runs, trials};
}

describe('a quarantine on random days with requests that come again', () => {
	const seeds = Array.from({length: 50}, (_, index) => index + 1);
	const refusedRatio = (days: readonly Day[]): number => days.reduce((sum, {soundRefused}) => sum + soundRefused, 0) / days.reduce((sum, {soundRequests}) => sum + soundRequests, 0);

	for (const badCount of [1, 2]) {
		for (const hasOtherCrashes of [false, true]) {
			it(`lets ${badCount} of them crash two targets each, one more in a trial, and turns away under one sound request in a thousand${hasOtherCrashes ? ', beside other crashes' : ''}`, () => {
				const days = seeds.map(seed => playDay(seed, {badCount, hasOtherCrashes}));
				const runs = days.flatMap(day => day.runs);
				expect(quantile(runs, 0.5)).to.be.within(2, maxRuns);
				// Runs that are under way at the second crash can't be stopped.
				expect(Math.max(...days.flatMap(day => day.trials)), 'trials').to.be.at.most(1);
				expect(refusedRatio(days)).to.be.at.most(0.001);
			});
		}
	}

	it('turns away under one sound request in a thousand when targets crash for other reasons', () => {
		const days = seeds.map(seed => playDay(seed, {badCount: 0, hasOtherCrashes: true}));
		expect(days.reduce((sum, {otherCrashes}) => sum + otherCrashes, 0)).to.be.at.least(seeds.length);
		expect(refusedRatio(days)).to.be.at.most(0.001);
	});
});

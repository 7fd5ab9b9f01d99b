import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createInstances} from './helper.js';

const instanceCount = 4;
const targetCount = 12;
const dayMs = 90_000;

/** The mean time between two requests, and between two crashes that no request causes, in milliseconds. */
const requestGapMs = 25;
const otherCrashGapMs = 15_000;

/** How long all targets are down after one has crashed, in milliseconds. */
const downMs = 3400;

type Day = {
	readonly crashesByPart: number;
	readonly otherCrashes: number;
	readonly soundRequests: number;
	/** Sound requests that were refused because of one of their parts. */
	readonly soundRefused: number;
	/** The time from the first crash by the part until no more requests with it are sent for half a minute, in milliseconds; `undefined` if it never crashed a target. */
	readonly verdictMs: number | undefined;
};

type Options = {readonly hasOtherCrashes: boolean; readonly hasCrashingPart: boolean; readonly isFirstPart: boolean};

/**
Plays a day: requests come at instances that hear of each other after some milliseconds, to
targets that crash when they begin to answer the part `bad`, and also for no such reason.
A group's targets go down together, so each request that has not begun then is lost or not run.
*/
function playDay(seed: number, {hasOtherCrashes, hasCrashingPart, isFirstPart}: Options): Day {
	const random = seededRandom(seed);
	const clock = {nowMs: 0};
	const instances = createInstances(instanceCount, {clock});
	type Running = {readonly instance: number; readonly target: number; readonly parts: readonly string[]; readonly trialPart: string | undefined};
	const events: Array<{readonly atMs: number; readonly run: () => void}> = [];
	const running = new Set<Running>();
	let openFromMs = 0;
	/** How often each target has crashed; it comes back under another id. */
	const restarts = Array.from({length: targetCount}, () => 0);
	const idOf = (target: number): string => `i-${target}-${restarts[target]}`;
	const counts = {
		crashesByPart: 0, otherCrashes: 0, soundRequests: 0, soundRefused: 0,
	};
	const badArrivalsMs: number[] = [];
	const schedule = (atMs: number, run: () => void): void => {
		const index = events.findLastIndex(event => event.atMs <= atMs);
		events.splice(index + 1, 0, {atMs, run});
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

	const crash = (target: number): void => {
		openFromMs = clock.nowMs + downMs;
		const lost = [...running];
		running.clear();
		for (const [index, quarantine] of instances.quarantines.entries()) {
			const own = lost.filter(({instance}) => instance === index);
			for (const {trialPart} of own.filter(request => request.target !== target && request.trialPart !== undefined)) {
				quarantine.endTrial(trialPart!);
			}

			const here = own.filter(request => request.target === target);
			if (here.length > 0) {
				quarantine.onCrash(idOf(target), here);
			}
		}

		restarts[target]++;
	};

	const begin = (request: Running): void => {
		if (!running.delete(request)) {
			return;
		}

		if (request.parts.includes('bad')) {
			counts.crashesByPart++;
			running.add(request);
			crash(request.target);
			return;
		}

		instances.quarantines[request.instance].onBegun(request.parts);
	};

	const send = (): void => {
		const isBad = hasCrashingPart && clock.nowMs > 5000 && random() < 0.03;
		const popular = `p${Math.floor(120 * (random() ** 3))}`;
		const rare = random() < 0.1 ? [`r${Math.floor(random() * 400)}`] : [];
		const parts = isBad ? (isFirstPart ? ['bad', ...rare] : [popular, ...rare, 'bad']) : [popular, ...rare];
		counts.soundRequests += isBad ? 0 : 1;
		if (clock.nowMs < openFromMs) {
			return;
		}

		const instance = Math.floor(random() * instanceCount);
		const target = Math.floor(random() * targetCount);
		const admission = instances.quarantines[instance].admit(parts, idOf(target));
		if (admission.kind === 'refused') {
			counts.soundRefused += isBad ? 0 : 1;
			return;
		}

		if (isBad) {
			badArrivalsMs.push(clock.nowMs);
		}

		const request: Running = {
			instance, target, parts, trialPart: admission.kind === 'trial' ? admission.part : undefined,
		};
		running.add(request);
		at(clock.nowMs + 80 + (220 * random()), () => {
			begin(request);
		});
	};

	const repeat = (gapMs: number, run: () => void): void => {
		at(clock.nowMs + (gapMs * exponential(random)), () => {
			run();
			repeat(gapMs, run);
		});
	};

	repeat(requestGapMs, send);
	if (hasOtherCrashes) {
		repeat(otherCrashGapMs, () => {
			counts.otherCrashes++;
			crash(Math.floor(random() * targetCount));
		});
	}

	for (let event = events.shift()!; event.atMs < dayMs; event = events.shift()!) {
		clock.nowMs = event.atMs;
		event.run();
	}

	const [firstMs] = badArrivalsMs;
	const lastBefore = badArrivalsMs.findLast((arrivalMs, index) => index === 0 || arrivalMs - badArrivalsMs[index - 1] < 29_000);
	return {...counts, verdictMs: firstMs === undefined || lastBefore === undefined ? undefined : lastBefore - firstMs};
}

describe('a quarantine on random days', () => {
	const seeds = Array.from({length: 50}, (_, index) => index + 1);
	const days = (options: Options): readonly Day[] => seeds.map(seed => playDay(seed, options));
	const refusedRatio = (played: readonly Day[]): number => played.reduce((sum, {soundRefused}) => sum + soundRefused, 0) / played.reduce((sum, {soundRequests}) => sum + soundRequests, 0);

	for (const isFirstPart of [false, true]) {
		const place = isFirstPart ? 'first' : 'a later';

		it(`lets a part in ${place} place crash two targets at most in the median, and turns away under one sound request in a hundred`, () => {
			const played = days({hasOtherCrashes: false, hasCrashingPart: true, isFirstPart});
			expect(quantile(played.map(({crashesByPart}) => crashesByPart), 0.5)).to.be.within(1, 2);
			expect(quantile(played.map(({verdictMs}) => verdictMs ?? 0), 0.5), 'time to the verdict').to.be.at.most(2 * downMs);
			expect(refusedRatio(played)).to.be.at.most(0.01);
		});

		it(`does so beside crashes that no request causes, with a part in ${place} place`, () => {
			const played = days({hasOtherCrashes: true, hasCrashingPart: true, isFirstPart});
			expect(quantile(played.map(({crashesByPart}) => crashesByPart), 0.5)).to.be.within(1, 2);
			expect(quantile(played.map(({verdictMs}) => verdictMs ?? 0), 0.5), 'time to the verdict').to.be.at.most(2 * downMs);
			expect(refusedRatio(played)).to.be.at.most(0.01);
		});
	}

	it('turns away under one sound request in a hundred when no part crashes targets', () => {
		const played = days({hasOtherCrashes: true, hasCrashingPart: false, isFirstPart: false});
		expect(played.reduce((sum, {otherCrashes}) => sum + otherCrashes, 0)).to.be.at.least(seeds.length);
		expect(refusedRatio(played)).to.be.at.most(0.01);
	});
});

import {once} from 'node:events';
import {setTimeout as sleep} from 'node:timers/promises';
import process from 'node:process';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
	after, before, describe, it,
} from 'mocha';
import {type SiteProcess} from './site.js';
import {
	lostAnswers, startStoppingSite, waitUntilDeaf, waitUntilServing, type CallerAnswer, type StoppingSite,
} from './stopping-caller.js';

/** How long after the signal the callers send the first half of a body: a little before the entry stops listening, which is after 1.5 s of a grace period of 4 s. */
const beforeDeafMs = 1250;

/** The seeds of the soak; `SOAK_SEEDS=50` runs the seeds 1 to 50. */
const soakSeeds = Array.from({length: Number(process.env.SOAK_SEEDS ?? 3)}, (_, index) => index + 1);

describe('an entry that is told to stop', () => {
	let stopping: StoppingSite;

	before(async () => {
		stopping = await startStoppingSite();
	});

	after(async () => {
		await stopping.stop();
	});

	const startEntry = async (name: string): Promise<SiteProcess> => {
		const entry = await stopping.site.startEntry(name);
		await waitUntilServing(entry);
		return entry;
	};

	const waitForExit = async ({child}: SiteProcess): Promise<void> => {
		if (child.exitCode === null) {
			await once(child, 'exit');
		}

		expect(child.exitCode).to.equal(0);
	};

	// Guards against requests that are taken late on a connection whose last answer began before the stop, and are cut off by the end of the process.
	it('tells callers at once that a request has not run which it can\'t finish, and closes their connections', async () => {
		const entry = await startEntry('entry-late');
		const callers = ['a', 'b', 'c', 'd'].map(name => stopping.openCaller(`late-${name}`));
		const streams = callers.map(async caller => caller.ask(entry, {service: 'slow', streamMs: 2600}));
		await sleep(200);
		entry.child.kill('SIGTERM');
		const first = await Promise.all(streams);
		expect(first.map(({status, isComplete}) => [status, isComplete])).to.deep.equal(first.map(() => [200, true]));
		const sentMs = performance.now();
		const late = await Promise.all(callers.map(async caller => caller.ask(entry, {service: 'slow', streamMs: 2600})));
		expect(late.map(({status, isComplete, isClosing}) => ({status, isComplete, isClosing}))).to.deep.equal(late.map(() => ({status: 503, isComplete: true, isClosing: true})));
		expect(performance.now() - sentMs).to.be.below(500);
		expect(late.every(({retryAfter}) => Number(retryAfter) < 0.1)).to.equal(true);
		expect(late.filter(({id}) => stopping.arrivals.has(id))).to.deep.equal([]);
		await waitForExit(entry);
		for (const caller of callers) {
			caller.stop();
		}
	});

	// Guards against the loss of the requests whose bodies are still arriving when the entry stops listening and nothing else is in flight.
	it('answers requests whose bodies arrive in chunks as it stops listening', async () => {
		const entry = await startEntry('entry-chunks');
		const callers = Array.from({length: 12}, (_, index) => stopping.openCaller(`chunks-${index}`));
		entry.child.kill('SIGTERM');
		const deaf = waitUntilDeaf(entry);
		await sleep(beforeDeafMs);
		const answers = await Promise.all(callers.map(async (caller, index) => caller.ask(entry, {
			service: 'pay', bodyEnds: (async () => {
				await deaf;
				await sleep(5 * (index + 1));
			})(),
		})));
		expect(answers.map(({status, isComplete}) => [status, isComplete])).to.deep.equal(answers.map(() => [200, true]));
		await waitForExit(entry);
		for (const caller of callers) {
			caller.stop();
		}
	});

	// Guards against an exit that waits for callers which keep their connections open without using them.
	it('exits soon after the end of the last call although callers keep idle connections', async () => {
		const entry = await startEntry('entry-idle');
		const callers = Array.from({length: 20}, (_, index) => stopping.openCaller(`idle-${index}`));
		await Promise.all(callers.map(async caller => caller.ask(entry, {service: 'pay'})));
		entry.child.kill('SIGTERM');
		await waitUntilDeaf(entry);
		const deafMs = performance.now();
		await waitForExit(entry);
		expect(performance.now() - deafMs).to.be.below(1000);
		for (const caller of callers) {
			caller.stop();
		}
	});

	const checkSeed = async (seed: number): Promise<void> => {
		const name = `soak-${seed}`;
		const entry = await startEntry(name);
		const draws = fc.sample(fc.record({
			kind: fc.constantFrom('pay', 'chunks', 'slow'), pauseMs: fc.oneof(fc.constant(0), fc.integer({min: 0, max: 400})), lengthMs: fc.integer({min: 20, max: 1800}),
		}), {seed, numRuns: 2000});
		const answers: CallerAnswer[] = [];
		const runCaller = async (index: number): Promise<void> => {
			const caller = stopping.openCaller(`${name}-${index}`);
			for (let at = index; entry.child.exitCode === null; at = (at + 24) % draws.length) {
				const {kind, pauseMs, lengthMs} = draws[at];
				answers.push(await caller.ask(entry, kind === 'slow'
					? {service: 'slow', streamMs: lengthMs}
					: {service: 'pay', bodyEnds: kind === 'chunks' ? sleep(lengthMs / 10) : undefined}));
				await sleep(pauseMs + (answers.at(-1)!.status === 0 ? 20 : 0));
			}

			caller.stop();
		};

		const callers = Promise.all(Array.from({length: 24}, async (_, index) => runCaller(index)));
		await sleep(500 + (draws[0].lengthMs / 4));
		// Signals come in series: more of them must not cut off what the first one lets end.
		for (const signal of ['SIGTERM', 'SIGHUP', 'SIGTERM'] as const) {
			entry.child.kill(signal);
			await sleep(draws[1].lengthMs / 6);
		}

		await waitForExit(entry);
		await callers;
		expect(lostAnswers(answers, entry, stopping.arrivals)).to.deep.equal([]);
		expect(answers.filter(({status}) => ![0, 200, 503].includes(status))).to.deep.equal([]);
		expect(answers.filter(({status, id}) => status === 503 && stopping.arrivals.has(id))).to.deep.equal([]);
		expect(answers.filter(({status}) => status === 200).length).to.be.at.least(24);
	};

	describe('while callers use their connections until it is gone', () => {
		for (const seed of soakSeeds) {
			it(`leaves no request unanswered that it has read or passed on: seed ${seed}`, async () => checkSeed(seed)).timeout(20_000);
		}
	});
});

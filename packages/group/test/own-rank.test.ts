import {type RankView} from '@papayaflow/experts';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {memberPollMs, pollOwnRank} from '../src/own-rank.js';

const view: RankView = {
	group: 'g', formation: 1, isOpen: true, rank: 0, size: 1, pass: 1, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
};

/** A clock on which time passes only in `advance`. */
function createVirtualClock(): {readonly sleep: (ms: number) => Promise<void>; readonly advance: (ms: number) => Promise<void>} {
	let nowMs = 0;
	const sleepers: Array<{readonly atMs: number; readonly wake: () => void}> = [];
	const settle = async (): Promise<void> => new Promise(resolve => {
		setImmediate(resolve);
	});
	return {
		async sleep(ms) {
			return new Promise(resolve => {
				sleepers.push({atMs: nowMs + ms, wake: resolve});
			});
		},
		async advance(ms) {
			const endMs = nowMs + ms;
			await settle();
			for (;;) {
				sleepers.sort((a, b) => b.atMs - a.atMs);
				const next = sleepers.at(-1);
				if (!next || next.atMs > endMs) {
					nowMs = endMs;
					return;
				}

				sleepers.pop();
				nowMs = next.atMs;
				next.wake();
				await settle();
			}
		},
	};
}

describe('the sidecar of a rank', () => {
	// Guards against thousands of zeros a second from each rank of an idle fleet.
	it('reports counts only of intervals in which experts were chosen', async () => {
		const readings = [[1, 1], [1, 1], [1, 1], [3, 1], [3, 1]];
		const reported: Array<readonly number[]> = [];
		const ending = new AbortController();
		pollOwnRank({
			engine: {
				view: async () => view, experts: async () => undefined, command: async () => 'refused',
				async counts() {
					const counts = readings.shift();
					if (!counts) {
						ending.abort();
					}

					return counts && {formation: 1, pass: 1, counts};
				},
			},
			async sleep() {
				await new Promise(resolve => {
					setImmediate(resolve);
				});
			},
			signal: ending.signal, pollIntervalMs: () => 1, onView: () => undefined, random: () => 0.5,
			onCounts({counts}) {
				reported.push(counts);
			},
		});
		while (!ending.signal.aborted) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect(reported).to.deep.equal([[2, 0]]);
	});

	// Guards against a large fleet that spends its processor time on reading idle ranks.
	it('reads an idle rank at most twice a second', async () => {
		const second = 1000;
		const spanMs = 20 * second;
		const clock = createVirtualClock();
		const ending = new AbortController();
		let reads = 0;
		pollOwnRank({
			engine: {
				async view() {
					reads++;
					return view;
				},
				async counts() {
					reads++;
					return {formation: 1, pass: 1, counts: [1, 1]};
				},
				experts: async () => undefined, command: async () => 'refused',
			},
			sleep: clock.sleep, signal: ending.signal, pollIntervalMs: () => memberPollMs, onView: () => undefined, onCounts: () => undefined, random: () => 0.5,
		});
		await clock.advance(spanMs);
		ending.abort();
		expect(reads / (spanMs / second)).to.be.at.most(2);
	});

	// Guards against members of a group that learn of its new formation only seconds later.
	it('reads its rank at once when it is told that the state has changed', async () => {
		const clock = createVirtualClock();
		const ending = new AbortController();
		let reads = 0;
		const own = pollOwnRank({
			engine: {
				async view() {
					reads++;
					return view;
				},
				counts: async () => undefined, experts: async () => undefined, command: async () => 'refused',
			},
			sleep: clock.sleep, signal: ending.signal, pollIntervalMs: () => memberPollMs, onView: () => undefined, onCounts: () => undefined, random: () => 0.5,
		});
		await clock.advance(100);
		expect(reads).to.equal(1);
		own.pollSoon();
		await clock.advance(1);
		expect(reads).to.equal(2);
		ending.abort();
	});
});

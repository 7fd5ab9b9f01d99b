import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {seededRandom} from '@papayaflow/standins';
import {answer, owner, platform} from './helper.js';
import {type Claims, type Lease} from '@papayaflow/idempotency';

const owners = 3;
const keys = ['pay-1', 'pay-2'];
const acts = 250;
const longestPauseMs = 12_000;
// Longer than any run: nothing that is cleared comes again.
const retentionMs = 10_000_000;

/** Owners of one shard under a store that pauses, loses answers and goes away, with what the target has run. */
async function runAdversary(seed: number): Promise<{runs: ReadonlyMap<string, number>; untrue: readonly string[]}> {
	const random = seededRandom(seed);
	const {kv, clock} = platform();
	const paused: Array<() => void> = [];
	const runs = new Map<string, number>();
	const untrue: string[] = [];
	const faults = {
		async pause(): Promise<void> {
			if (random() < 0.3) {
				await new Promise<void>(resolve => {
					paused.push(resolve);
				});
			}
		},
		fail: (): 'no' | 'before' | 'after' => random() < 0.15 ? (random() < 0.5 ? 'before' : 'after') : 'no',
	};
	const members: Array<{claims: Claims; lease: Lease}> = [];
	const join = async (index: number): Promise<void> => {
		members[index] = await owner(kv, clock, `owner-${index}-${Math.floor(random() * 1e9)}`, faults);
	};

	const arrive = async (member: {claims: Claims}, key: string): Promise<void> => {
		const runsAtArrival = runs.get(key) ?? 0;
		const result = await member.claims.claim(key, key);
		if (result.kind === 'notRun' && runsAtArrival > 0) {
			untrue.push(`notRun of ${key}, which had run`);
		}

		if (result.kind === 'replay' && new TextDecoder().decode(result.answer.body) !== key) {
			untrue.push(`another key's answer for ${key}`);
		}

		if (result.kind !== 'claimed') {
			return;
		}

		await faults.pause();
		runs.set(key, (runs.get(key) ?? 0) + 1);
		await faults.pause();
		if (random() < 0.7) {
			await result.claim.done(answer(key));
		} else {
			result.claim.lost();
		}
	};

	for (let index = 0; index < owners; index++) {
		void join(index);
	}

	for (let act = 0; act < acts; act++) {
		const chance = random();
		const member = members.at(Math.floor(random() * owners));
		if (chance < 0.3 && member) {
			void arrive(member, keys[Math.floor(random() * keys.length)]);
		} else if (chance < 0.6) {
			paused.splice(Math.floor(random() * paused.length), 1)[0]?.();
		} else if (chance < 0.75) {
			clock.nowMs += random() * longestPauseMs;
		} else if (chance < 0.9) {
			void member?.lease.tick();
		} else if (chance < 0.94) {
			void member?.lease.release();
		} else if (chance < 0.955) {
			void member?.claims.maintain(retentionMs);
		} else if (chance < 0.97) {
			void join(Math.floor(random() * owners));
		} else {
			kv.faults.down = !kv.faults.down;
		}

		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	kv.faults.down = false;
	for (let i = 0; i < 100; i++) {
		paused.shift()?.();
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	return {runs, untrue};
}

describe('claims under an adversary', () => {
	it('run no key twice and say "not run" only of what has not run', async () => {
		let ran = 0;
		await fc.assert(fc.asyncProperty(fc.nat(), async seed => {
			const {runs, untrue} = await runAdversary(seed);
			expect([...runs.values()].filter(count => count > 1)).to.deep.equal([]);
			expect(untrue).to.deep.equal([]);
			ran += runs.size;
		}), {seed: 3, numRuns: 300});
		expect(ran, 'keys that ran at all').to.be.greaterThan(100);
	}).timeout(120_000);
});

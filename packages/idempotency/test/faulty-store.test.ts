import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {seededRandom} from '@papayaflow/standins';
import {answer, owner, createPlatform} from './helper.js';
import {type Claims, type Lease} from '@papayaflow/idempotency';

const ownerCount = 3;
const keys = ['pay-1', 'pay-2'];
const stepCount = 250;
const maxClockStepMs = 12_000;
// Longer than any run of the test, so that no key expires during it. An expired key may run again.
const retentionMs = 10_000_000;

/**
Runs claims by several owners of one shard on a store that delays calls, loses
answers and becomes unavailable. Returns how often each key ran at the target, and
the results that were wrong.
*/
async function runClaims(seed: number): Promise<{runs: ReadonlyMap<string, number>; violations: readonly string[]}> {
	const random = seededRandom(seed);
	const {kv, clock} = createPlatform();
	const paused: Array<() => void> = [];
	const runs = new Map<string, number>();
	const violations: string[] = [];
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
	const startOwner = async (index: number): Promise<void> => {
		members[index] = await owner(kv, clock, `owner-${index}-${Math.floor(random() * 1e9)}`, faults);
	};

	const claimAndRun = async (member: {claims: Claims}, key: string): Promise<void> => {
		const runsBefore = runs.get(key) ?? 0;
		const result = await member.claims.claim(key, key);
		if (result.kind === 'notRun' && runsBefore > 0) {
			violations.push(`notRun for ${key}, which had run`);
		}

		if (result.kind === 'replay' && new TextDecoder().decode(result.answer.body) !== key) {
			violations.push(`answer of another key for ${key}`);
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

	for (let index = 0; index < ownerCount; index++) {
		void startOwner(index);
	}

	for (let step = 0; step < stepCount; step++) {
		const chance = random();
		const member = members.at(Math.floor(random() * ownerCount));
		if (chance < 0.3 && member) {
			void claimAndRun(member, keys[Math.floor(random() * keys.length)]);
		} else if (chance < 0.6) {
			paused.splice(Math.floor(random() * paused.length), 1)[0]?.();
		} else if (chance < 0.75) {
			clock.nowMs += random() * maxClockStepMs;
		} else if (chance < 0.9) {
			void member?.lease.renew();
		} else if (chance < 0.94) {
			void member?.lease.release();
		} else if (chance < 0.955) {
			void member?.claims.maintain(retentionMs);
		} else if (chance < 0.97) {
			void startOwner(Math.floor(random() * ownerCount));
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

	return {runs, violations};
}

describe('claims on a faulty store', () => {
	it('run each key at most once and report notRun only for a key that has not run', async () => {
		let ranKeys = 0;
		await fc.assert(fc.asyncProperty(fc.nat(), async seed => {
			const {runs, violations} = await runClaims(seed);
			expect([...runs.values()].filter(count => count > 1)).to.deep.equal([]);
			expect(violations).to.deep.equal([]);
			ranKeys += runs.size;
		}), {seed: 3, numRuns: 300});
		expect(ranKeys, 'keys that ran').to.be.greaterThan(100);
	}).timeout(120_000);
});

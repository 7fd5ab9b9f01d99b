import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {memoryStore} from '@papayaflow/standins';
import {answer, owner, createPlatform} from './helper.js';
import {createLease} from '@papayaflow/idempotency';

const leaseMs = 9000;

describe('a shard owner', () => {
	it('grants only one of two claims of a key in the same event-loop turn', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		const results = await Promise.all([claims.claim('pay-1', 'f'), claims.claim('pay-1', 'f')]);
		expect(results.map(({kind}) => kind)).to.deep.equal(['claimed', 'inProgress']);
	});

	it('replays a recorded answer to a later claim of the key', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		const first = await claims.claim('pay-1', 'f');
		expect(first.kind).to.equal('claimed');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		const second = await claims.claim('pay-1', 'f');
		expect(second).to.deep.equal({kind: 'replay', answer: answer('paid')});
	});

	it('rejects a key that was used for a different request', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.claim('pay-1', 'f');
		const second = await claims.claim('pay-1', 'g');
		expect(second.kind).to.equal('reused');
	});

	it('does not rerun a key that was claimed by an owner whose lease has expired', async () => {
		const {kv, clock} = createPlatform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const later = await b.claims.claim('pay-1', 'f');
		expect(later.kind).to.equal('claimedEarlier');
	});

	it('replays an answer that the previous owner recorded', async () => {
		const {kv, clock} = createPlatform();
		const a = await owner(kv, clock, 'a');
		const first = await a.claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const later = await b.claims.claim('pay-1', 'f');
		expect(later.kind).to.equal('replay');
	});

	it('refers a call to another owner whose lease is live', async () => {
		const {kv, clock} = createPlatform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		const b = await owner(kv, clock, 'b');
		const elsewhere = await b.claims.claim('pay-2', 'f');
		expect(elsewhere).to.deep.equal({kind: 'elsewhere', holder: 'a', standing: true});
	});

	it('acquires a shard at once when the previous owner releases its lease', async () => {
		const {kv, clock} = createPlatform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		await a.lease.release();
		const b = await owner(kv, clock, 'b');
		const taken = await b.claims.claim('pay-2', 'f');
		expect(taken.kind).to.equal('claimed');
	});

	it('resolves every call of release only after the store has removed the lease', async () => {
		const {kv, clock} = createPlatform();
		let isReleasing = false;
		let isRemoved = false;
		const a = await owner(kv, clock, 'a', {
			async pause(when, call) {
				await sleep(1);
				isRemoved ||= isReleasing && when === 'after' && call === 'write';
			},
		});
		isReleasing = true;
		void a.lease.release();
		await a.lease.release();
		expect(isRemoved).to.equal(true);
	});

	it('does not run a claim that was paused while another owner acquired its shard', async () => {
		const {kv, clock} = createPlatform();
		let resume = (): void => undefined;
		const resumed = new Promise<void>(resolve => {
			resume = resolve;
		});
		let isPaused = false;
		const a = await owner(kv, clock, 'a', {
			async pause(when, call, key) {
				if (isPaused && when === 'before' && call === 'write' && key.includes('/log/')) {
					await resumed;
				}
			},
		});
		await a.claims.lookUp('pay-0', 'f');
		isPaused = true;
		const pausedClaim = a.claims.claim('pay-1', 'f');
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const taken = await b.claims.claim('pay-1', 'f');
		expect(taken.kind).to.equal('claimed');
		resume();
		expect((await pausedClaim).kind).to.equal('unknown');
	});

	it('reports notRun for a new key while the store is down and the lease is valid', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.lookUp('pay-0', 'f');
		kv.faults.down = true;
		expect((await claims.claim('pay-1', 'f')).kind).to.equal('notRun');
		expect((await claims.claim('pay-2', 'f')).kind).to.equal('notRun');
	});

	it('reports unknown once its own lease may have expired', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.lookUp('pay-0', 'f');
		kv.faults.down = true;
		clock.nowMs += leaseMs;
		expect((await claims.lookUp('pay-1', 'f')).kind).to.equal('unknown');
		expect((await claims.claim('pay-1', 'f')).kind).to.equal('unknown');
	});

	it('considers a renewed lease expired no later than the store does', async () => {
		const {kv, clock} = createPlatform();
		let ttlMs = 1000;
		const lease = createLease({
			store: memoryStore(kv), holder: 'a', incarnation: '1', ttlMs: () => ttlMs, monotonicMs: () => clock.nowMs,
		});
		await lease.renew();
		ttlMs = leaseMs;
		clock.nowMs += 500;
		await lease.renew();
		clock.nowMs += 1001;
		expect(lease.isValid()).to.equal(false);
	});

	it('recovers from a store outage and then runs a key that it refused during the outage', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.lookUp('pay-0', 'f');
		kv.faults.down = true;
		await claims.claim('pay-1', 'f');
		kv.faults.down = false;
		let result = await claims.claim('pay-1', 'f');
		for (let i = 0; i < 20 && result.kind !== 'claimed'; i++) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			result = await claims.claim('pay-1', 'f');
		}

		expect(result.kind).to.equal('claimed');
	});

	it('recognises its own segment after the answer to the write was lost', async () => {
		const {kv, clock} = createPlatform();
		let isLosing = false;
		const {claims} = await owner(kv, clock, 'a', {
			fail(call, key) {
				const isLost = isLosing && call === 'write' && key.includes('/log/');
				isLosing &&= !isLost;
				return isLost ? 'after' : 'no';
			},
		});
		await claims.lookUp('pay-0', 'f');
		isLosing = true;
		// The write took effect but its answer was lost. Nothing was dispatched, so the key has not run.
		expect((await claims.claim('pay-1', 'f')).kind).to.equal('notRun');
		let result = await claims.claim('pay-2', 'f');
		for (let i = 0; i < 20 && result.kind !== 'claimed'; i++) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			result = await claims.claim('pay-2', 'f');
		}

		expect(result.kind).to.equal('claimed');
	});

	it('batches claims into one write while the rate limiter allows no write', async () => {
		const {kv, clock} = createPlatform();
		let writesAllowed = 1;
		const {claims} = await owner(kv, clock, 'a', {
			writeDelayMs() {
				writesAllowed--;
				return writesAllowed >= 0 ? 0 : 1;
			},
		});
		await claims.lookUp('pay-0', 'f');
		const segments = (): number => kv.history.filter(({key}) => key.includes('/log/')).length;
		await claims.claim('pay-1', 'f');
		expect(segments()).to.equal(1);
		const rest = Array.from({length: 50}, async (_, index) => claims.claim(`more-${index}`, 'f'));
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		expect(segments(), 'no write while the rate limiter allows none').to.equal(1);
		writesAllowed = 1;
		const results = await Promise.all(rest);
		expect(results.every(({kind}) => kind === 'claimed')).to.equal(true);
		expect(segments()).to.equal(2);
	});

	it('records a call whose answer is too large to store and does not run it again', async () => {
		const {kv, clock} = createPlatform();
		const {claims} = await owner(kv, clock, 'a');
		const first = await claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('x'.repeat(101))));
		expect(await claims.claim('pay-1', 'f')).to.deep.equal({kind: 'ranUnrecorded', status: 200});
	});
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {memoryStore} from '@papayaflow/standins';
import {answer, owner, platform} from './helper.js';
import {createLease} from '@papayaflow/idempotency';

const leaseMs = 9000;

describe('claims', () => {
	it('lets one of two arrivals in the same turn run', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		const results = await Promise.all([claims.claim('pay-1', 'f'), claims.claim('pay-1', 'f')]);
		expect(results.map(({kind}) => kind)).to.deep.equal(['claimed', 'inProgress']);
	});

	it('replays a recorded answer to a later arrival', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		const first = await claims.claim('pay-1', 'f');
		expect(first.kind).to.equal('claimed');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		const second = await claims.claim('pay-1', 'f');
		expect(second).to.deep.equal({kind: 'replay', answer: answer('paid')});
	});

	it('refuses a key that comes again with another request', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.claim('pay-1', 'f');
		const second = await claims.claim('pay-1', 'g');
		expect(second.kind).to.equal('reused');
	});

	it('never runs again what an owner that died had claimed', async () => {
		const {kv, clock} = platform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const later = await b.claims.claim('pay-1', 'f');
		expect(later.kind).to.equal('claimedEarlier');
	});

	it('replays at a new owner what the old one had recorded', async () => {
		const {kv, clock} = platform();
		const a = await owner(kv, clock, 'a');
		const first = await a.claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const later = await b.claims.claim('pay-1', 'f');
		expect(later.kind).to.equal('replay');
	});

	it('sends on to an owner whose lease stands', async () => {
		const {kv, clock} = platform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		const b = await owner(kv, clock, 'b');
		const elsewhere = await b.claims.claim('pay-2', 'f');
		expect(elsewhere).to.deep.equal({kind: 'elsewhere', holder: 'a', standing: true});
	});

	it('hands a shard over at once when its owner releases the lease', async () => {
		const {kv, clock} = platform();
		const a = await owner(kv, clock, 'a');
		await a.claims.claim('pay-1', 'f');
		await a.lease.release();
		const b = await owner(kv, clock, 'b');
		const taken = await b.claims.claim('pay-2', 'f');
		expect(taken.kind).to.equal('claimed');
	});

	it('is released for every caller of release only once the store has heard of it', async () => {
		const {kv, clock} = platform();
		let isReleasing = false;
		let isHeard = false;
		const a = await owner(kv, clock, 'a', {
			async pause(when, call) {
				await sleep(1);
				isHeard ||= isReleasing && when === 'after' && call === 'write';
			},
		});
		isReleasing = true;
		void a.lease.release();
		await a.lease.release();
		expect(isHeard).to.equal(true);
	});

	it('runs nothing at an owner that wakes after another has taken its shard', async () => {
		const {kv, clock} = platform();
		let wake = (): void => undefined;
		const asleep = new Promise<void>(resolve => {
			wake = resolve;
		});
		let isAsleep = false;
		const a = await owner(kv, clock, 'a', {
			async pause(when, call, key) {
				if (isAsleep && when === 'before' && call === 'write' && key.includes('/log/')) {
					await asleep;
				}
			},
		});
		await a.claims.look('pay-0', 'f');
		isAsleep = true;
		const paused = a.claims.claim('pay-1', 'f');
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const taken = await b.claims.claim('pay-1', 'f');
		expect(taken.kind).to.equal('claimed');
		wake();
		expect((await paused).kind).to.equal('unknown');
	});

	it('says not run for a new key while the store is down and its lease stands', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.look('pay-0', 'f');
		kv.faults.down = true;
		expect((await claims.claim('pay-1', 'f')).kind).to.equal('notRun');
		expect((await claims.claim('pay-2', 'f')).kind).to.equal('notRun');
	});

	it('says unknown once its own lease may have lapsed', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.look('pay-0', 'f');
		kv.faults.down = true;
		clock.nowMs += leaseMs;
		expect((await claims.look('pay-1', 'f')).kind).to.equal('unknown');
		expect((await claims.claim('pay-1', 'f')).kind).to.equal('unknown');
	});

	it('believes in a renewed lease no longer than the store keeps it', async () => {
		const {kv, clock} = platform();
		let ttlMs = 1000;
		const lease = createLease({
			store: memoryStore(kv), holder: 'a', incarnation: '1', ttlMs: () => ttlMs, monotonicMs: () => clock.nowMs,
		});
		await lease.tick();
		ttlMs = leaseMs;
		clock.nowMs += 500;
		await lease.tick();
		clock.nowMs += 1001;
		expect(lease.isValid()).to.equal(false);
	});

	it('goes on after an outage, and what it had refused may run once', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		await claims.look('pay-0', 'f');
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

	it('takes its own segment for its own after a lost answer', async () => {
		const {kv, clock} = platform();
		let lose = false;
		const {claims} = await owner(kv, clock, 'a', {
			fail(call, key) {
				const isLost = lose && call === 'write' && key.includes('/log/');
				lose &&= !isLost;
				return isLost ? 'after' : 'no';
			},
		});
		await claims.look('pay-0', 'f');
		lose = true;
		// The write took effect and its answer was lost: nothing was dispatched, so the key has not run.
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

	it('shares one write between calls that come faster than the store may be written', async () => {
		const {kv, clock} = platform();
		let leave = 1;
		const {claims} = await owner(kv, clock, 'a', {
			writePauseMs() {
				leave--;
				return leave >= 0 ? 0 : 1;
			},
		});
		await claims.look('pay-0', 'f');
		const segments = (): number => kv.history.filter(({key}) => key.includes('/log/')).length;
		await claims.claim('pay-1', 'f');
		expect(segments()).to.equal(1);
		const rest = Array.from({length: 50}, async (_, index) => claims.claim(`more-${index}`, 'f'));
		await new Promise(resolve => {
			setTimeout(resolve, 5);
		});
		expect(segments(), 'none while there is no leave').to.equal(1);
		leave = 1;
		const results = await Promise.all(rest);
		expect(results.every(({kind}) => kind === 'claimed')).to.equal(true);
		expect(segments()).to.equal(2);
	});

	it('keeps an answer that is too large as run, and does not run it again', async () => {
		const {kv, clock} = platform();
		const {claims} = await owner(kv, clock, 'a');
		const first = await claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('x'.repeat(101))));
		expect(await claims.claim('pay-1', 'f')).to.deep.equal({kind: 'ranUnrecorded', status: 200});
	});
});

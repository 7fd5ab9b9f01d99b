import {expect} from 'chai';
import {describe, it} from 'mocha';
import {answer, owner, createPlatform} from './helper.js';

const leaseMs = 9000;

async function nextTurn(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** Creates a gate. While it is closed, matching calls to the store wait until it opens. */
function createGate(matches: (call: string, key: string) => boolean) {
	let open = (): void => undefined;
	let isClosed = false;
	let opened = Promise.resolve();
	return {
		close() {
			isClosed = true;
			opened = new Promise(resolve => {
				open = resolve;
			});
		},
		open() {
			isClosed = false;
			open();
		},
		async pause(when: 'before' | 'after', call: string, key: string): Promise<void> {
			if (isClosed && when === 'before' && matches(call, key)) {
				await opened;
			}
		},
	};
}

describe('an owner of a shard log', () => {
	it('seals every epoch since the last one known to be sealed', async () => {
		const {kv, clock} = createPlatform();
		const aGate = createGate((call, key) => call === 'write' && key.includes('/log/'));
		const bGate = createGate((call, key) => call === 'list' && key.includes('/log/'));
		const a = await owner(kv, clock, 'a', {pause: aGate.pause});
		await a.claims.lookUp('pay-0', 'f');
		aGate.close();
		const late = a.claims.claim('pay-1', 'f');
		await nextTurn();
		// B raises the epoch and pauses before it has sealed A's epoch; then C acquires the shard.
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b', {pause: bGate.pause});
		bGate.close();
		void b.claims.lookUp('pay-1', 'f');
		await nextTurn();
		await nextTurn();
		clock.nowMs += leaseMs + 1;
		const c = await owner(kv, clock, 'c');
		expect((await c.claims.claim('pay-1', 'f')).kind).to.equal('claimed');
		aGate.open();
		expect((await late).kind).to.equal('unknown');
		bGate.open();
	});

	it('deletes expired segments of sealed epochs but no seal', async () => {
		const {kv, clock} = createPlatform();
		const a = await owner(kv, clock, 'a');
		const first = await a.claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		const retentionMs = 1000;
		clock.nowMs += 2 * retentionMs;
		await a.lease.renew();
		expect(await a.claims.maintain(retentionMs)).to.equal(2);
		const left = kv.list('papayaflow/idempotency/log/', 'papayaflow/idempotency/log0');
		expect(left.map(([key]) => key.split('/').slice(-2).join('/'))).to.deep.equal(['0000000001/0000000002']);
		expect((await a.claims.claim('pay-1', 'f')).kind, 'a key that has expired counts as new').to.equal('claimed');
	});

	it('keeps the key state that another owner recorded in the meantime', async () => {
		const {kv, clock} = createPlatform();
		const gate = createGate((call, key) => call === 'write' && key.includes('/0000000001/'));
		const a = await owner(kv, clock, 'a', {pause: gate.pause});
		await a.claims.lookUp('pay-0', 'f');
		gate.close();
		const late = a.claims.claim('pay-1', 'f');
		await nextTurn();
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const claimed = await b.claims.claim('pay-1', 'f');
		await (claimed.kind === 'claimed' && claimed.claim.done(answer('paid')));
		await b.lease.release();
		// A acquires the shard again before the write of its own old claim has ended.
		await a.lease.renew();
		expect((await a.claims.claim('pay-1', 'f')).kind).to.equal('replay');
		gate.open();
		expect((await late).kind).to.equal('unknown');
		expect((await a.claims.claim('pay-1', 'f')).kind).to.equal('replay');
	});
});

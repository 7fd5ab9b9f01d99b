import {expect} from 'chai';
import {describe, it} from 'mocha';
import {answer, owner, platform} from './helper.js';

const leaseMs = 9000;

async function turn(): Promise<void> {
	await new Promise(resolve => {
		setImmediate(resolve);
	});
}

/** A gate that calls of one kind wait at while it is shut. */
function createGate(isMine: (call: string, key: string) => boolean) {
	let open = (): void => undefined;
	let isShut = false;
	let waiting = Promise.resolve();
	return {
		shut() {
			isShut = true;
			waiting = new Promise(resolve => {
				open = resolve;
			});
		},
		open() {
			isShut = false;
			open();
		},
		async pause(when: 'before' | 'after', call: string, key: string): Promise<void> {
			if (isShut && when === 'before' && isMine(call, key)) {
				await waiting;
			}
		},
	};
}

describe('a new owner', () => {
	it('seals every epoch back to the last one known sealed', async () => {
		const {kv, clock} = platform();
		const aGate = createGate((call, key) => call === 'write' && key.includes('/log/'));
		const bGate = createGate((call, key) => call === 'list' && key.includes('/log/'));
		const a = await owner(kv, clock, 'a', {pause: aGate.pause});
		await a.claims.look('pay-0', 'f');
		aGate.shut();
		const late = a.claims.claim('pay-1', 'f');
		await turn();
		// B raises the epoch and pauses before it has sealed A's; then C follows B.
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b', {pause: bGate.pause});
		bGate.shut();
		void b.claims.look('pay-1', 'f');
		await turn();
		await turn();
		clock.nowMs += leaseMs + 1;
		const c = await owner(kv, clock, 'c');
		expect((await c.claims.claim('pay-1', 'f')).kind).to.equal('claimed');
		aGate.open();
		expect((await late).kind).to.equal('unknown');
		bGate.open();
	});

	it('clears old segments of sealed epochs, and never a seal', async () => {
		const {kv, clock} = platform();
		const a = await owner(kv, clock, 'a');
		const first = await a.claims.claim('pay-1', 'f');
		await (first.kind === 'claimed' && first.claim.done(answer('paid')));
		const retentionMs = 1000;
		clock.nowMs += 2 * retentionMs;
		await a.lease.tick();
		expect(await a.claims.maintain(retentionMs)).to.equal(2);
		const left = kv.list('papayaflow/idempotency/log/', 'papayaflow/idempotency/log0');
		expect(left.map(([key]) => key.split('/').slice(-2).join('/'))).to.deep.equal(['0000000001/0000000002']);
		expect((await a.claims.claim('pay-1', 'f')).kind, 'a key that has expired counts as new').to.equal('claimed');
	});

	it('does not overwrite what another owner knows of a key', async () => {
		const {kv, clock} = platform();
		const gate = createGate((call, key) => call === 'write' && key.includes('/0000000001/'));
		const a = await owner(kv, clock, 'a', {pause: gate.pause});
		await a.claims.look('pay-0', 'f');
		gate.shut();
		const late = a.claims.claim('pay-1', 'f');
		await turn();
		clock.nowMs += leaseMs + 1;
		const b = await owner(kv, clock, 'b');
		const claimed = await b.claims.claim('pay-1', 'f');
		await (claimed.kind === 'claimed' && claimed.claim.done(answer('paid')));
		await b.lease.release();
		// A takes the shard again before it hears what became of its own old claim.
		await a.lease.tick();
		expect((await a.claims.claim('pay-1', 'f')).kind).to.equal('replay');
		gate.open();
		expect((await late).kind).to.equal('unknown');
		expect((await a.claims.claim('pay-1', 'f')).kind).to.equal('replay');
	});
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	answeredNotRun, falselyRefused, orderThrough, repeated, startSmallFleet, untilServing, type Ordered, type SmallFleet,
} from './helper.js';
import {ask, orderOnce, waitUntil} from '@papayaflow/demo';

const leaseMs = 1000;

function expectAtMostOnce(ordered: Ordered): void {
	expect(repeated(ordered), 'ran more than once').to.deep.equal([]);
	expect(falselyRefused(ordered), 'told "not run" and yet ran').to.deep.equal([]);
	expect(answeredNotRun(ordered), 'answered without having run').to.deep.equal([]);
	expect(ordered.results.filter(({outcome}) => outcome === 'wrong' || outcome === 'cut'), 'without a final answer of its own').to.deep.equal([]);
}

describe('calls that may not be repeated', () => {
	let small: SmallFleet;

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet();
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('run once when both entries bring them at the same time', async () => {
		const ordered = await orderThrough(small, {orders: 60, prefix: 'both'}, async () => undefined);
		expectAtMostOnce(ordered);
		expect(ordered.results.every(({outcome}) => outcome === 'answered')).to.equal(true);
	});

	it('run at most once when answers of the store are lost after its writes', async () => {
		expectAtMostOnce(await orderThrough(small, {orders: 60, prefix: 'lost'}, async () => {
			await small.fleet.fault(small.fleet.kvPort, {loseAnswers: 6});
		}));
	});

	it('run at most once when the store is down, and are refused at once', async () => {
		const ordered = await orderThrough(small, {orders: 100, prefix: 'down'}, async () => {
			await small.fleet.fault(small.fleet.kvPort, {down: true});
			await sleep(2 * leaseMs);
			await small.fleet.fault(small.fleet.kvPort, {down: false});
		});
		expectAtMostOnce(ordered);
		expect(ordered.results.some(({outcome}) => outcome === 'notRun'), 'some are told that they did not run').to.equal(true);
		const isBack = await waitUntil(async () => (await orderOnce(small.entries[0].port, `back-${Date.now()}`)).outcome === 'answered', 15_000);
		expect(isBack, 'orders are answered again').to.equal(true);
	}).timeout(60_000);

	it('run at most once when the target cuts its answers', async () => {
		const ordered = await orderThrough(small, {orders: 40, prefix: 'cut'}, async () => {
			await Promise.all(small.plains.map(async plain => small.fleet.fault(plain.port, {cutAnswers: 3})));
		});
		expectAtMostOnce(ordered);
		expect(ordered.results.some(({outcome}) => outcome === 'unknown'), 'some are told that it is not known').to.equal(true);
	});

	it('run at most once when a sidecar is frozen past its lease and wakes', async () => {
		const ordered = await orderThrough(small, {orders: 120, prefix: 'frozen', gapMs: 30}, async () => {
			small.ledgers[0].child.kill('SIGSTOP');
			await sleep(2.5 * leaseMs);
			small.ledgers[0].child.kill('SIGCONT');
		});
		expectAtMostOnce(ordered);
	}).timeout(60_000);

	it('run at most once when a sidecar is killed and replaced', async () => {
		const ordered = await orderThrough(small, {orders: 120, prefix: 'killed', gapMs: 30}, async () => {
			small.ledgers[0].child.kill('SIGKILL');
			await small.fleet.unlist(small.ledgers[0].id);
			small.ledgers[0] = await small.fleet.startSidecar('ledger-3', 'salt-lake', {service: 'ledger', target: small.plains[0]});
		});
		expectAtMostOnce(ordered);
		expect(await untilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('run at most once when the owner is killed while the store loses answers', async () => {
		const ordered = await orderThrough(small, {orders: 120, prefix: 'pair', gapMs: 30}, async () => {
			await small.fleet.fault(small.fleet.kvPort, {loseAnswers: 4});
			small.ledgers[1].child.kill('SIGKILL');
			await small.fleet.unlist(small.ledgers[1].id);
			small.ledgers[1] = await small.fleet.startSidecar('ledger-4', 'new-town', {service: 'ledger', target: small.plains[1]});
		});
		expectAtMostOnce(ordered);
		expect(await untilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('are all answered while their owner leaves by a signal', async () => {
		const ordered = await orderThrough(small, {orders: 100, prefix: 'leaving', gapMs: 20}, async () => {
			const leaving = small.ledgers[0];
			leaving.child.kill('SIGTERM');
			await waitUntil(() => leaving.child.exitCode !== null, 15_000);
			expect(leaving.child.exitCode).to.equal(0);
			await small.fleet.unlist(leaving.id);
			small.ledgers[0] = await small.fleet.startSidecar('ledger-5', 'salt-lake', {service: 'ledger', target: small.plains[0]});
		});
		expectAtMostOnce(ordered);
		expect(ordered.results.filter(({outcome}) => outcome === 'unknown')).to.deep.equal([]);
	}).timeout(60_000);

	it('give the first answer again to a caller that asks again', async () => {
		const first = await orderOnce(small.entries[0].port, 'again');
		const second = await orderOnce(small.entries[1].port, 'again');
		expect([first.outcome, second.outcome]).to.deep.equal(['answered', 'answered']);
		const metrics = await Promise.all(small.ledgers.map(async ({adminPort}) => ask(adminPort, '/status')));
		expect(metrics.every(status => status !== undefined)).to.equal(true);
	});
});

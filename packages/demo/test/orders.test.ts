import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	answeredButNotExecuted, executedButReportedNotRun, sendOrdersDuringFault, executedMoreThanOnce, startSmallFleet, waitUntilServing, type OrderResults, type SmallFleet,
} from './helper.js';
import {ask, sendOrder, waitUntil} from '@papayaflow/demo';

const leaseMs = 1000;

function expectAtMostOnce(orderResults: OrderResults): void {
	expect(executedMoreThanOnce(orderResults), 'executed more than once').to.deep.equal([]);
	expect(executedButReportedNotRun(orderResults), 'executed although every answer was notRun').to.deep.equal([]);
	expect(answeredButNotExecuted(orderResults), 'answered without having been executed').to.deep.equal([]);
	expect(orderResults.results.filter(({outcome}) => outcome === 'wrong' || outcome === 'cut'), 'with a cut or wrong answer').to.deep.equal([]);
}

describe('non-idempotent calls', () => {
	let small: SmallFleet;

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet();
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('run once when they arrive through both entries at the same time', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 60, prefix: 'both'}, async () => undefined);
		expectAtMostOnce(orderResults);
		expect(orderResults.results.every(({outcome}) => outcome === 'answered')).to.equal(true);
	});

	it('run at most once when the store applies writes but its answers are lost', async () => {
		expectAtMostOnce(await sendOrdersDuringFault(small, {orders: 60, prefix: 'lost'}, async () => {
			await small.fleet.setFaults(small.fleet.kvPort, {loseAnswers: 6});
		}));
	});

	it('run at most once when the store is down, and some are refused as not run', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 100, prefix: 'down'}, async () => {
			await small.fleet.setFaults(small.fleet.kvPort, {down: true});
			await sleep(2 * leaseMs);
			await small.fleet.setFaults(small.fleet.kvPort, {down: false});
		});
		expectAtMostOnce(orderResults);
		expect(orderResults.results.some(({outcome}) => outcome === 'notRun'), 'some are refused as not run').to.equal(true);
		const isBack = await waitUntil(async () => (await sendOrder(small.entries[0].port, `back-${Date.now()}`)).outcome === 'answered', 15_000);
		expect(isBack, 'orders are answered after the outage').to.equal(true);
	}).timeout(60_000);

	it('run at most once when the target cuts its answers, and some have an unknown outcome', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 40, prefix: 'cut'}, async () => {
			await Promise.all(small.plainTargets.map(async plain => small.fleet.setFaults(plain.port, {cutAnswers: 3})));
		});
		expectAtMostOnce(orderResults);
		expect(orderResults.results.some(({outcome}) => outcome === 'unknown'), 'some have an unknown outcome').to.equal(true);
	});

	it('run at most once when a sidecar is frozen past the end of its lease and then resumed', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 120, prefix: 'frozen', gapMs: 30}, async () => {
			small.ledgers[0].child.kill('SIGSTOP');
			await sleep(2.5 * leaseMs);
			small.ledgers[0].child.kill('SIGCONT');
		});
		expectAtMostOnce(orderResults);
	}).timeout(60_000);

	it('run at most once when a sidecar is killed and replaced', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 120, prefix: 'killed', gapMs: 30}, async () => {
			small.ledgers[0].child.kill('SIGKILL');
			await small.fleet.unlist(small.ledgers[0].id);
			small.ledgers[0] = await small.fleet.startSidecar('ledger-3', 'salt-lake', {service: 'ledger', target: small.plainTargets[0]});
		});
		expectAtMostOnce(orderResults);
		expect(await waitUntilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('run at most once when a sidecar is killed while answers of the store are lost', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 120, prefix: 'pair', gapMs: 30}, async () => {
			await small.fleet.setFaults(small.fleet.kvPort, {loseAnswers: 4});
			small.ledgers[1].child.kill('SIGKILL');
			await small.fleet.unlist(small.ledgers[1].id);
			small.ledgers[1] = await small.fleet.startSidecar('ledger-4', 'new-town', {service: 'ledger', target: small.plainTargets[1]});
		});
		expectAtMostOnce(orderResults);
		expect(await waitUntilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('run at most once and have a known outcome when a sidecar is stopped by SIGTERM', async () => {
		const orderResults = await sendOrdersDuringFault(small, {orders: 100, prefix: 'leaving', gapMs: 20}, async () => {
			const leaving = small.ledgers[0];
			leaving.child.kill('SIGTERM');
			await waitUntil(() => leaving.child.exitCode !== null, 15_000);
			expect(leaving.child.exitCode).to.equal(0);
			await small.fleet.unlist(leaving.id);
			small.ledgers[0] = await small.fleet.startSidecar('ledger-5', 'salt-lake', {service: 'ledger', target: small.plainTargets[0]});
		});
		expectAtMostOnce(orderResults);
		expect(orderResults.results.filter(({outcome}) => outcome === 'unknown')).to.deep.equal([]);
	}).timeout(60_000);

	it('are answered when the same key is sent again through the other entry', async () => {
		const first = await sendOrder(small.entries[0].port, 'again');
		const second = await sendOrder(small.entries[1].port, 'again');
		expect([first.outcome, second.outcome]).to.deep.equal(['answered', 'answered']);
		const metrics = await Promise.all(small.ledgers.map(async ({adminPort}) => ask(adminPort, '/status')));
		expect(metrics.every(status => status !== undefined)).to.equal(true);
	});
});

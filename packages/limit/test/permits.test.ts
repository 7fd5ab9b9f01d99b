import {createLog, createMetrics, type Metrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {
	createBeliefs, createPermits, type Beliefs, type DispenserLink, type Permits, type SeenLimit,
} from '@papayaflow/limit';

const target = {id: 't', incarnation: 1};

describe('the permissions of an entry', () => {
	let nowMs: number;
	let wallMs: number;
	let link: DispenserLink | undefined;
	let reports: SeenLimit[];
	let asked: string[];
	let beliefs: Beliefs;
	let permits: Permits;
	let metrics: Metrics;

	const createEntry = (random: () => number): Permits => {
		metrics = createMetrics();
		beliefs = createBeliefs({monotonicMs: () => nowMs, metrics, log: createLog({}, 'error')});
		return createPermits({
			beliefs, dispenserOf: () => link, entries: () => 4, monotonicMs: () => nowMs, wallMs: () => wallMs, random, metrics, log: createLog({}, 'error'),
		});
	};

	const name = (perSecond: number): void => {
		permits.onAnswer(target, {kind: 'rate', perSecond}, nowMs);
	};

	beforeEach(() => {
		nowMs = 1000;
		wallMs = 0;
		reports = [];
		asked = [];
		link = {
			instance: 'side-1',
			ask(id) {
				asked.push(id);
			},
			report(seen) {
				reports.push(seen);
			},
		};
		permits = createEntry(() => 0.5);
	});

	const grantNext = async (): Promise<{use(): boolean} | undefined> => {
		const acquired = permits.acquire(target, 'r');
		await Promise.resolve();
		await Promise.resolve();
		permits.onDecision(asked.at(-1)!, {isGranted: true, retryMs: 0});
		return acquired;
	};

	it('are free for a target without a limit, and asked for one by one as soon as it names one', async () => {
		expect((await permits.acquire(target, 'r'))?.use()).to.equal(true);
		name(1);
		expect(reports).to.deep.equal([{target, perSecond: 1}]);
		const first = permits.acquire(target, 'r-1');
		const second = permits.acquire(target, 'r-2');
		await new Promise(setImmediate);
		expect(asked).to.have.length(1);
		permits.onDecision(asked[0], {isGranted: false, retryMs: 700});
		expect([await first, await second]).to.deep.equal([undefined, undefined]);
		expect(asked, 'the second call does not ask while the target is blocked').to.have.length(1);
		expect(permits.waitMs(target)).to.equal(700);
	});

	// Guards against a process that acts on a permission that ran out while it was paused or while its connection was being opened.
	it('end after 250 ms, also if the process was suspended meanwhile and its monotonic clock stood still', async () => {
		name(1);
		const [atOnce, late, tooLate] = [await grantNext(), await grantNext(), await grantNext()];
		expect(atOnce?.use()).to.equal(true);
		nowMs += 249;
		expect(late?.use()).to.equal(true);
		nowMs += 1;
		expect(tooLate?.use()).to.equal(false);

		const suspended = await grantNext();
		wallMs += 5000;
		expect(suspended?.use()).to.equal(false);
		expect([metrics.read('sent_under_limit'), metrics.read('permits', {result: 'expired'})]).to.deep.equal([2, 2]);
	});

	it('are for one request each', async () => {
		name(1);
		const permit = await grantNext();
		expect([permit?.use(), permit?.use()]).to.deep.equal([true, false]);
		expect(metrics.read('sent_under_limit')).to.equal(1);
	});

	it('are not granted by a reply that comes after the time limit', async () => {
		name(1);
		const acquired = permits.acquire(target, 'r');
		await new Promise(setImmediate);
		expect(await acquired, 'no reply').to.equal(undefined);
		permits.onDecision(asked[0], {isGranted: true, retryMs: 0});
		expect(permits.waitMs(target)).to.be.above(0);
	});

	it('come from an equal share of the rate, two seconds after the dispenser was lost, spread over all entries', async () => {
		link = undefined;
		const sentMs: number[] = [];
		for (const phase of [0.1, 0.3, 0.6, 0.9]) {
			nowMs = 1000;
			permits = createEntry(() => phase);
			name(2);
			for (; nowMs < 13_000; nowMs += 20) {
				if (await permits.acquire(target, 'r')) {
					sentMs.push(nowMs);
				}
			}
		}

		expect(Math.min(...sentMs)).to.be.at.least(3000);
		expect(sentMs.length).to.be.within(18, 21);
		const sorted = sentMs.toSorted((a, b) => a - b);
		for (const [index, atMs] of sorted.entries()) {
			expect(sorted.slice(index).filter(otherMs => otherMs < atMs + 1000).length).to.be.at.most(3);
		}
	});

	it('are not saved up in a share that goes unused', async () => {
		link = undefined;
		name(2);
		await permits.acquire(target, 'r');
		nowMs += 2000;
		await permits.acquire(target, 'r');
		let sent = 0;
		nowMs += 60_000;
		for (const endMs = nowMs + 2000; nowMs < endMs; nowMs += 20) {
			sent += await permits.acquire(target, 'r') ? 1 : 0;
		}

		expect(sent).to.equal(1);
	});

	it('follow what the dispenser announces, except a higher limit while this entry has itself seen a lower one', () => {
		permits.onAnnounced(link!, {target, perSecond: 3, version: 1});
		expect(beliefs.of(target).perSecond).to.equal(3);
		name(1);
		permits.onAnnounced(link!, {target, perSecond: 3, version: 1});
		expect(beliefs.of(target).perSecond, 'an announcement that crossed the report').to.equal(1);
		permits.onAnnounced(link!, {target, perSecond: 1, version: 2});
		permits.onAnnounced(link!, {target, version: 3});
		expect(beliefs.of(target).perSecond, 'taken back').to.equal(undefined);
		expect(reports).to.deep.equal([{target, perSecond: 1, basis: 1}, {target, perSecond: 1}]);
	});

	it('do not follow a higher limit of a sidecar that is no longer the dispenser', () => {
		permits.onAnnounced(link!, {target, perSecond: 1, version: 1});
		permits.onAnnounced({...link!, instance: 'side-2'}, {target, perSecond: 3, version: 9});
		expect(beliefs.of(target).perSecond).to.equal(1);
		permits.onAnnounced({...link!, instance: 'side-2'}, {target, perSecond: 0.5, version: 10});
		expect(beliefs.of(target).perSecond, 'a lower limit may come from any sidecar').to.equal(0.5);
	});

	it('are free again for a target that has restarted', async () => {
		name(1);
		expect(permits.dispensers()).to.deep.equal(new Set(['side-1']));
		expect(await permits.acquire({...target, incarnation: 2}, 'r')).to.not.equal(undefined);
		expect(asked).to.deep.equal([]);
	});

	// Guards against requests above a limit that a server goes on naming: limits were forgotten with the registration, which lapses and comes back.
	it('are still needed when the registration of a target has lapsed and come back', async () => {
		name(1);
		const registered = link;
		link = undefined;
		expect(permits.dispensers().size, 'while it is not registered').to.equal(0);
		name(0.5);
		link = registered;
		expect(beliefs.of(target).perSecond, 'learned meanwhile').to.equal(0.5);
		void permits.acquire(target, 'r');
		await new Promise(resolve => {
			setImmediate(resolve);
		});
		expect(asked).to.have.length(1);
	});
});

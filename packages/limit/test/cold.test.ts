import {createLog, createMetrics} from '@papayaflow/telemetry';
import {coldShare} from '@papayaflow/policy';
import {type TargetRecord} from '@papayaflow/routing';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {createColdTargets, createEntryEstimate, type ColdTargets} from '@papayaflow/limit';

const record = (more: Partial<TargetRecord> = {}): TargetRecord => ({
	id: 'i-1', incarnation: 1, registeredAt: 1, service: 's', host: '10.0.0.1', port: 80, zone: 'z', slots: 4, state: 'serving', warmingMs: 0, ...more,
});

/** A generator of numbers from 0 to 1 that begins the same way for each seed. */
const randomOf = (seed: number): () => number => {
	let state = seed;
	return () => {
		state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
		return state / (2 ** 32);
	};
};

describe('a cold target', () => {
	let nowMs: number;
	let cold: ColdTargets;

	const create = (share = coldShare({
		perSecond: 28, overrun: 1.5, slack: 5, entries: 16,
	}), random = () => 0.5): ColdTargets => createColdTargets({
		service: name => name === 's' ? {startMs: 3000, perSecond: 28} : undefined, share: () => share, monotonicMs: () => nowMs, random, metrics: createMetrics(), log: createLog({}, 'error'),
	});

	beforeEach(() => {
		nowMs = 0;
		cold = create();
	});

	const coldUntil = (): number => {
		const until = nowMs;
		for (nowMs = until; cold.isCold(record()); nowMs += 100) {
			// Advances the clock.
		}

		return nowMs;
	};

	it('is one that starts during traffic, for the longer of its service\'s time and the stated one', () => {
		cold.update([record({id: 'other'})]);
		cold.update([record({id: 'other'}), record()]);
		expect(coldUntil()).to.equal(3000);
		cold.update([record({id: 'other'}), record({incarnation: 2, registeredAt: 2, warmingMs: 5000})]);
		expect(coldUntil()).to.equal(8000);
	});

	// Guards against a fleet that is slow after each restart of an entry, and after each outage of the store.
	it('is none that an entry finds as it starts, nor one that registers again within its lifetime, unless the registration says so', () => {
		cold.update([]);
		cold.update([record(), record({id: 'stated', warmingMs: 1000})]);
		expect([cold.isCold(record()), cold.isCold(record({id: 'stated'}))]).to.deep.equal([false, true]);
		cold.update([]);
		cold.update([record({registeredAt: 2})]);
		expect(cold.isCold(record())).to.equal(false);
		cold.update([record({registeredAt: 3, warmingMs: 700})]);
		expect(coldUntil()).to.equal(700);
	});

	// Guards against a target that stays cold because one registration is read again with each change of any other.
	it('is not cold for longer when the same registration is read again', () => {
		const records = [record({warmingMs: 1000})];
		cold.update(records);
		nowMs = 900;
		cold.update(records);
		expect(coldUntil()).to.equal(1000);
	});

	it('is one that says so in an answer, or that has started again by its connections', () => {
		cold.update([record()]);
		cold.onStated(record(), 400);
		expect(coldUntil()).to.equal(400);
		cold.onStarted([record()]);
		expect(coldUntil()).to.equal(3400);
		cold.onStated(record({service: 'never cold'}), 400);
		expect(cold.isCold(record())).to.equal(false);
	});

	it('gets one request in the time of the share, also if the connection takes long or a request is not sent', () => {
		cold.onStarted([record()]);
		const first = cold.reserve(record())!;
		expect(cold.reserve(record()), 'while one is reserved').to.equal(undefined);
		first.release();
		const second = cold.reserve(record())!;
		nowMs = 300;
		expect(second.use()).to.equal(true);
		nowMs = 860;
		expect(cold.reserve(record()), 'less than the spacing after the request was sent').to.equal(undefined);
		nowMs = 872;
		expect(cold.reserve(record())?.use()).to.equal(true);
	});

	// Guards against requests placed on a warm target that reach it after it has become cold.
	it('gets no more than its share of the requests that were placed before it became cold', () => {
		const reservations = [1, 2, 3].map(() => cold.reserve(record())!);
		cold.onStarted([record()]);
		expect(reservations.map(({use}) => use())).to.deep.equal([true, false, false]);
		nowMs = 3000;
		expect([cold.waitMs(record()), cold.reserve(record())?.use()]).to.deep.equal([0, true]);
	});

	/** The most requests that arrive in one second if every entry sends whenever it may, from the start of the target on. */
	const worstSecond = (entries: number, limits: {readonly perSecond: number; readonly overrun: number; readonly slack: number}, seed: number): {readonly most: number; readonly total: number} => {
		const random = randomOf(seed);
		nowMs = 0;
		const fleet = Array.from({length: entries}, () => {
			const table = createColdTargets({
				service: () => ({startMs: 10_000, perSecond: limits.perSecond}), share: () => coldShare({...limits, entries}), monotonicMs: () => nowMs, random,
				metrics: createMetrics(), log: createLog({}, 'error'),
			});
			table.onStarted([record()]);
			return table;
		});
		const arrivals: number[] = [];
		for (nowMs = 0; nowMs < 10_000; nowMs += 10) {
			for (const table of fleet) {
				if (table.waitMs(record()) === 0 && table.reserve(record())?.use()) {
					arrivals.push(nowMs);
				}
			}
		}

		return {most: Math.max(...arrivals.map(ms => arrivals.filter(other => other >= ms && other < ms + 1000).length)), total: arrivals.length};
	};

	// Load pattern: all entries always have requests for the target, and none hears of another.
	it('gets no more than its bound in any second from all entries together, whatever their number', () => {
		const limits = {perSecond: 28, overrun: 1.5, slack: 5};
		for (const entries of [1, 4, 6, 16, 24, 39, 47, 48, 100, 370]) {
			const {most, total} = worstSecond(entries, limits, entries);
			expect(most, `${entries} entries`).to.be.at.most(47);
			expect(total, `${entries} entries, in ten seconds`).to.be.above(130);
		}
	});

	it('gets no more than its bound if that is less than one request for each entry', () => {
		for (const seed of [1, 2, 3, 4, 5, 6, 7, 8, 9, 10]) {
			expect(worstSecond(16, {perSecond: 2, overrun: 1.5, slack: 5}, seed).most, `seed ${seed}`).to.be.at.most(8);
		}
	});
});

describe('the estimate of the number of entries', () => {
	// Guards against entries that take a share for few entries because a coordinator has just started or a partition hides the others.
	it('is high until the reports have settled, and then the largest report for good', () => {
		let nowMs = 0;
		let reported: number | undefined;
		const entries = createEntryEstimate({reported: () => reported, targets: () => 77, monotonicMs: () => nowMs});
		expect(entries()).to.equal(39);
		reported = 2;
		expect(entries()).to.equal(39);
		nowMs = 5000;
		reported = 16;
		expect(entries()).to.equal(16);
		reported = 5;
		expect(entries()).to.equal(16);
	});
});

import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	type ChangesResult, type Entry, type ListResult, type Store,
} from '@papayaflow/store';
import {
	copySince, createMirror, followStore, takeCopy, type FollowOptions, type Mirror,
} from '@papayaflow/mirror';

const entry = (key: string, value: string, revision: number): Entry => ({key, value: Buffer.from(value), revision});
const keysOf = (mirror: Mirror): string[] => mirror.entries().map(({key}) => key).toSorted();
const plain = (): Mirror => createMirror({isSame: () => false});

/** A store whose answers a test gives one after the other; after the last one it waits. */
function scripted(answers: ReadonlyArray<{list: ListResult} | {changes: ChangesResult}>): {store: Store; asked: string[]} {
	const queue = [...answers];
	const asked: string[] = [];
	const next = async <T>(kind: 'list' | 'changes'): Promise<T> => {
		const answer = queue.shift() as Record<string, T> | undefined;
		if (!answer) {
			return new Promise(() => {
				// Never answers.
			});
		}

		asked.push(kind);
		expect(Object.keys(answer)).to.deep.equal([kind]);
		return answer[kind];
	};

	const store = {list: async () => next('list'), changes: async () => next('changes')} as unknown as Store;
	return {store, asked};
}

function options(clock: {nowMs: number}, events: string[]): FollowOptions {
	return {
		prefix: '', pauseMs: 0, waitMs: 10, returnMs: 2000, isReader: () => true, nowMs: () => clock.nowMs, random: () => 0, sleep: async () => undefined,
		signal: new AbortController().signal,
		onLost() {
			events.push('lost');
		},
		onRegained() {
			events.push('regained');
		},
	};
}

describe('a mirror', () => {
	it('never goes back, wherever an older value comes from', () => {
		const mirror = plain();
		mirror.apply([{kind: 'written', entry: entry('a', 'new', 7)}], 7);
		mirror.apply([{kind: 'written', entry: entry('a', 'old', 5)}], 7);
		mirror.replace({revision: 6, entries: [entry('a', 'old', 5)]});
		expect(Buffer.from(mirror.entries()[0].value).toString()).to.equal('new');
	});

	it('tells only of what means something', () => {
		const mirror = createMirror({isSame: (a, b) => Buffer.from(a.value).equals(b.value)});
		const told: number[] = [];
		mirror.onChange(({revision}) => {
			told.push(revision);
		});
		mirror.apply([{kind: 'written', entry: entry('a', 'x', 2)}], 2);
		mirror.apply([{kind: 'written', entry: entry('a', 'x', 3)}], 3);
		mirror.apply([{kind: 'removed', key: 'a', revision: 4}], 4);
		expect(told).to.deep.equal([2, 4]);
		expect(mirror.revision()).to.equal(4);
	});

	it('gives a peer what it lacks, and removes there what is gone here', () => {
		const [from, to] = [plain(), plain()];
		to.replace({revision: 3, entries: [entry('a', '1', 2), entry('b', '1', 3)]});
		from.replace({revision: 9, entries: [entry('b', '1', 3), entry('c', '1', 9)]});
		const copy = copySince(from, 3);
		expect(copy.entries.map(({key}) => key)).to.deep.equal(['c']);
		expect(takeCopy(to, copy)).to.equal('taken');
		expect(keysOf(to)).to.deep.equal(['b', 'c']);
		expect(takeCopy(plain(), copy)).to.equal('incomplete');
	});
});

describe('following the store', () => {
	it('lists anew when the history was dropped, and removes what is missing at once', async () => {
		const mirror = plain();
		const {store, asked} = scripted([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'compacted'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
		]);
		void followStore(store, mirror, options({nowMs: 0}, []));
		await sleep(20);
		expect(asked).to.deep.equal(['list', 'changes', 'list']);
		expect(keysOf(mirror)).to.deep.equal(['a']);
	});

	it('gives keys that lapsed during an outage time to come back, and no more than that', async () => {
		const mirror = plain();
		const clock = {nowMs: 0};
		const events: string[] = [];
		const {store} = scripted([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'unavailable', detail: 'down'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
			{changes: {kind: 'changes', changes: [], revision: 8}},
		]);
		void followStore(store, mirror, {
			...options(clock, events),
			async sleep() {
				await sleep(1);
			},
		});
		await sleep(30);
		expect(events).to.deep.equal(['lost', 'regained']);
		expect(keysOf(mirror), 'spared').to.deep.equal(['a', 'b']);

		const second = scripted([{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 9}}]);
		mirror.replace({revision: 8, entries: []}, () => true);
		clock.nowMs = 2000;
		void followStore(second.store, mirror, options(clock, events));
		await sleep(10);
		expect(keysOf(mirror), 'gone after all').to.deep.equal(['a']);
	});

	it('rechecks by itself once the time to come back is over', async () => {
		const mirror = plain();
		const clock = {nowMs: 0};
		let calls = 0;
		const {store, asked} = scripted([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'unavailable', detail: 'down'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
			{changes: {kind: 'changes', changes: [], revision: 8}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 9}},
		]);
		void followStore(store, mirror, {
			...options(clock, []),
			async sleep() {
				calls++;
				clock.nowMs = calls < 4 ? 0 : 2500;
				await sleep(1);
			},
		});
		await sleep(40);
		expect(asked).to.deep.equal(['list', 'changes', 'list', 'changes', 'list']);
		expect(keysOf(mirror)).to.deep.equal(['a']);
	});

	it('leaves the store alone while peers tell what they know', async () => {
		const {store, asked} = scripted([{list: {kind: 'listed', entries: [], revision: 1}}]);
		const ending = new AbortController();
		void followStore(store, plain(), {
			...options({nowMs: 0}, []), isReader: () => false, signal: ending.signal,
			async sleep() {
				await sleep(1);
			},
		});
		await sleep(20);
		ending.abort();
		expect(asked).to.deep.equal([]);
	});
});

import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	type ChangesResult, type Entry, type ListResult, type Store,
} from '@papayaflow/store';
import {
	copySince, createMirror, followStore, applyCopy, type FollowOptions, type Mirror,
} from '@papayaflow/mirror';

const entry = (key: string, value: string, revision: number): Entry => ({key, value: Buffer.from(value), revision});
const keysOf = (mirror: Mirror): string[] => mirror.entries().map(({key}) => key).toSorted();
const createPlainMirror = (): Mirror => createMirror({isEquivalent: () => false});

/** Creates a store that returns the given answers in order. Calls after the last answer never resolve. */
function createScriptedStore(answers: ReadonlyArray<{list: ListResult} | {changes: ChangesResult}>): {store: Store; asked: string[]} {
	const queue = [...answers];
	const asked: string[] = [];
	const next = async <T>(kind: 'list' | 'changes'): Promise<T> => {
		const answer = queue.shift() as Record<string, T> | undefined;
		if (!answer) {
			return new Promise(() => {
				// Never resolves.
			});
		}

		asked.push(kind);
		expect(Object.keys(answer)).to.deep.equal([kind]);
		return answer[kind];
	};

	const store = {list: async () => next('list'), changes: async () => next('changes'), era: () => 0} as unknown as Store;
	return {store, asked};
}

function followOptions(clock: {nowMs: number}, events: string[]): FollowOptions {
	return {
		prefix: '', pauseMs: 0, waitMs: 10, expiredKeyGraceMs: 2000, expiryMs: 0, isReader: () => true, nowMs: () => clock.nowMs, random: () => 0, sleep: async () => undefined,
		signal: new AbortController().signal,
		onError(error) {
			throw error;
		}, onStoreConnected: () => undefined, onStoreSilent: () => undefined,
		onStoreUnavailable() {
			events.push('lost');
		},
		onStoreRestored: () => undefined,
		onStoreAvailable() {
			events.push('regained');
		},
	};
}

describe('createMirror', () => {
	it('keeps the newer entry of a key when a change or a snapshot has an older one', () => {
		const mirror = createPlainMirror();
		mirror.apply([{kind: 'written', entry: entry('a', 'new', 7)}], 7);
		mirror.apply([{kind: 'written', entry: entry('a', 'old', 5)}], 7);
		mirror.replace({revision: 6, entries: [entry('a', 'old', 5)]});
		expect(Buffer.from(mirror.entries()[0].value).toString()).to.equal('new');
	});

	it('notifies listeners of new and removed keys, but not of an equivalent value', () => {
		const mirror = createMirror({isEquivalent: (a, b) => Buffer.from(a.value).equals(b.value)});
		const notifiedRevisions: number[] = [];
		mirror.onChange(({revision}) => {
			notifiedRevisions.push(revision);
		});
		mirror.apply([{kind: 'written', entry: entry('a', 'x', 2)}], 2);
		mirror.apply([{kind: 'written', entry: entry('a', 'x', 3)}], 3);
		mirror.apply([{kind: 'removed', key: 'a', revision: 4}], 4);
		expect(notifiedRevisions).to.deep.equal([2, 4]);
		expect(mirror.revision()).to.equal(4);
	});

	it('copies newer entries to a peer, removes missing keys there and rejects an incomplete copy', () => {
		const [from, to] = [createPlainMirror(), createPlainMirror()];
		to.replace({revision: 3, entries: [entry('a', '1', 2), entry('b', '1', 3)]});
		from.replace({revision: 9, entries: [entry('b', '1', 3), entry('c', '1', 9)]});
		const copy = copySince(from, 3);
		expect(copy.entries.map(({key}) => key)).to.deep.equal(['c']);
		expect(applyCopy(to, copy)).to.equal('taken');
		expect(keysOf(to)).to.deep.equal(['b', 'c']);
		expect(applyCopy(createPlainMirror(), copy)).to.equal('incomplete');
	});

	// Guards against records that every process holds and copies although only coordinators read them, and against copies of an earlier version, which list them, that never fit.
	it('holds and copies no entries of the keys that are not mirrored', () => {
		const createPartialMirror = (): Mirror => createMirror({isEquivalent: () => false, isMirrored: key => !key.startsWith('demand/')});
		const notified: string[] = [];
		const mirror = createPartialMirror();
		mirror.onChange(({changes}) => {
			notified.push(...changes.map(change => change.kind === 'written' ? change.entry.key : change.key));
		});
		mirror.replace({revision: 5, entries: [entry('a', '1', 2), entry('demand/s/g', '1', 5)]});
		mirror.apply([{kind: 'written', entry: entry('demand/s/g', '2', 6)}, {kind: 'removed', key: 'demand/s/g', revision: 7}], 7);
		expect([keysOf(mirror), notified, mirror.revision(), mirror.changedAt()]).to.deep.equal([['a'], ['a'], 7, 2]);
		const copy = copySince(mirror, 0);
		expect([copy.keys, copy.entries.map(({key}) => key)]).to.deep.equal([['a'], ['a']]);

		const peerMirror = createPartialMirror();
		expect(applyCopy(peerMirror, {revision: 8, entries: [entry('a', '1', 2)], keys: ['a', 'demand/s/g']})).to.equal('taken');
		expect([keysOf(peerMirror), peerMirror.revision()]).to.deep.equal([['a'], 8]);
	});
});

describe('copySince', () => {
	// Guards against copies that carry the registrations of all targets, because their heartbeats rewrite them every second.
	it('omits entries that were only rewritten with an equivalent value', () => {
		const from = createMirror({isEquivalent: (a, b) => Buffer.from(a.value).equals(b.value)});
		const to = createPlainMirror();
		from.replace({revision: 3, entries: [entry('a', '1', 2), entry('b', '1', 3)]});
		applyCopy(to, copySince(from, 0));
		from.apply([{kind: 'written', entry: entry('a', '1', 4)}, {kind: 'written', entry: entry('b', '2', 5)}, {kind: 'written', entry: entry('b', '2', 6)}], 6);
		const copy = copySince(from, 3);
		expect(copy.entries.map(({key}) => key)).to.deep.equal(['b']);
		expect(applyCopy(to, copy)).to.equal('taken');
		expect(to.entries().map(({key, value}) => `${key} ${Buffer.from(value).toString()}`)).to.deep.equal(['a 1', 'b 2']);
		expect(to.revision()).to.equal(6);
	});

	it('has a key again that was removed and written with its old value', () => {
		const from = createMirror({isEquivalent: (a, b) => Buffer.from(a.value).equals(b.value)});
		const to = createPlainMirror();
		from.replace({revision: 3, entries: [entry('a', '1', 2)]});
		applyCopy(to, copySince(from, 0));
		from.apply([{kind: 'removed', key: 'a', revision: 4}], 4);
		applyCopy(to, copySince(from, 3));
		from.apply([{kind: 'written', entry: entry('a', '1', 5)}], 5);
		applyCopy(to, copySince(from, 4));
		expect(keysOf(to)).to.deep.equal(['a']);
	});
});

describe('followStore', () => {
	it('lists the prefix again after the history was compacted and removes missing keys at once', async () => {
		const mirror = createPlainMirror();
		const {store, asked} = createScriptedStore([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'compacted'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
		]);
		void followStore(store, mirror, followOptions({nowMs: 0}, []));
		await sleep(20);
		expect(asked).to.deep.equal(['list', 'changes', 'list']);
		expect(keysOf(mirror)).to.deep.equal(['a']);
	});

	it('keeps keys that expired during an outage for the grace period only', async () => {
		const mirror = createPlainMirror();
		const clock = {nowMs: 0};
		const events: string[] = [];
		const {store} = createScriptedStore([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'unavailable', detail: 'down'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
			{changes: {kind: 'changes', changes: [], revision: 8}},
		]);
		void followStore(store, mirror, {
			...followOptions(clock, events),
			async sleep() {
				await sleep(1);
			},
		});
		// A busy machine may take much longer than the few milliseconds that these steps need.
		for (let waitedMs = 0; events.length < 2 && waitedMs < 2000; waitedMs += 5) {
			await sleep(5);
		}

		await sleep(30);
		expect(events).to.deep.equal(['lost', 'regained']);
		expect(keysOf(mirror), 'kept during the grace period').to.deep.equal(['a', 'b']);

		const second = createScriptedStore([{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 9}}]);
		mirror.replace({revision: 8, entries: []}, () => true);
		clock.nowMs = 2000;
		void followStore(second.store, mirror, followOptions(clock, events));
		await sleep(10);
		expect(keysOf(mirror), 'removed after the grace period').to.deep.equal(['a']);
	});

	it('lists the prefix again when the grace period ends', async () => {
		const mirror = createPlainMirror();
		const clock = {nowMs: 0};
		let calls = 0;
		const {store, asked} = createScriptedStore([
			{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
			{changes: {kind: 'unavailable', detail: 'down'}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
			{changes: {kind: 'changes', changes: [], revision: 8}},
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 9}},
		]);
		void followStore(store, mirror, {
			...followOptions(clock, []),
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

	// Guards against a dead connection that is taken for an outage of the store, so that removed keys are kept for the grace period.
	it('removes a key at once that a new connection no longer lists, if no key can have expired since the last answer', async () => {
		for (const [silenceMs, keys] of [[2300, ['a']], [2400, ['a', 'b']]] as const) {
			const mirror = createPlainMirror();
			const clock = {nowMs: 0};
			const events: string[] = [];
			const {store, asked} = createScriptedStore([
				{list: {kind: 'listed', entries: [entry('a', '1', 2), entry('b', '1', 3)], revision: 3}},
				{changes: {kind: 'unavailable', detail: 'no answer', cause: 'silent'}},
				{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 8}},
			]);
			void followStore(store, mirror, {
				...followOptions(clock, events), expiryMs: 2400,
				onStoreSilent() {
					events.push('silent');
					clock.nowMs += silenceMs;
				},
			});
			await sleep(20);
			expect([...asked], String(silenceMs)).to.deep.equal(['list', 'changes', 'list']);
			expect(events).to.deep.equal(['silent']);
			expect(keysOf(mirror), String(silenceMs)).to.deep.equal(keys);
		}
	});

	it('counts the store as lost if a new connection gets no answer either', async () => {
		const mirror = createPlainMirror();
		const events: string[] = [];
		const silent = {kind: 'unavailable', detail: 'no answer', cause: 'silent'} as const;
		const {store, asked} = createScriptedStore([
			{list: {kind: 'listed', entries: [entry('a', '1', 2)], revision: 3}}, {changes: silent}, {list: silent}, {list: {kind: 'listed', entries: [], revision: 8}},
		]);
		void followStore(store, mirror, followOptions({nowMs: 0}, events));
		await sleep(20);
		expect([...asked]).to.deep.equal(['list', 'changes', 'list', 'list']);
		expect(events).to.deep.equal(['lost', 'regained']);
		expect(keysOf(mirror), 'kept during the grace period').to.deep.equal(['a']);
	});

	it('makes no calls to the store while the process is not a reader', async () => {
		const {store, asked} = createScriptedStore([{list: {kind: 'listed', entries: [], revision: 1}}]);
		const stopFollowing = new AbortController();
		void followStore(store, createPlainMirror(), {
			...followOptions({nowMs: 0}, []), isReader: () => false, signal: stopFollowing.signal,
			async sleep() {
				await sleep(1);
			},
		});
		await sleep(20);
		stopFollowing.abort();
		expect(asked).to.deep.equal([]);
	});
});

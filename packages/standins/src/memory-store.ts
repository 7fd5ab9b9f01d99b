import {Buffer} from 'node:buffer';
import {type Store, type WriteResult} from '@papayaflow/store';
import {type Kv} from './kv.js';

/** What a test does to the calls of one client. */
export type StoreFaults = {
	/** Called before and after each call takes effect; what it returns is waited for. */
	readonly pause?: (when: 'before' | 'after', call: string, key: string) => Promise<void>;
	/** Whether this call fails: before it takes effect, or after with its answer lost. */
	readonly fail?: (call: string, key: string) => 'no' | 'before' | 'after';
};

/**
Makes a client of a key-value service in memory, without sockets, for tests that
set the order of things themselves.

@example
const store = memoryStore(createKv(() => clock.nowMs), {fail: () => 'after'});
*/
export function memoryStore(kv: Kv, faults: StoreFaults = {}): Store {
	const call = async <T>(name: string, key: string, act: () => T): Promise<{kind: 'done'; value: T} | {kind: 'failed'}> => {
		await faults.pause?.('before', name, key);
		const failure = kv.faults.down ? 'before' : faults.fail?.(name, key) ?? 'no';
		if (failure === 'before') {
			return {kind: 'failed'};
		}

		const value = act();
		await faults.pause?.('after', name, key);
		return failure === 'after' ? {kind: 'failed'} : {kind: 'done', value};
	};

	const unavailable = {kind: 'unavailable', detail: 'down'} as const;

	const swap = async (key: string, expected: number, value: string | undefined, lease?: string): Promise<WriteResult> => {
		const done = await call('write', key, () => ({revision: kv.swap(key, expected, value, lease), current: kv.get(key)}));
		if (done.kind === 'failed') {
			return {kind: 'unknown', detail: 'answer lost'};
		}

		const {revision, current} = done.value;
		return revision === undefined
			? {kind: 'conflict', current: current && {key, value: decode(current.value), revision: current.revision}}
			: {kind: 'written', revision};
	};

	return {
		async read(key) {
			const done = await call('read', key, () => kv.get(key));
			if (done.kind === 'failed') {
				return unavailable;
			}

			return done.value ? {kind: 'found', entry: {key, value: decode(done.value.value), revision: done.value.revision}} : {kind: 'absent'};
		},
		async list(prefix) {
			const done = await call('list', prefix, () => kv.list(prefix, `${prefix}\u{FFFF}`));
			return done.kind === 'failed'
				? unavailable
				: {
					kind: 'listed', entries: done.value.map(([key, stored]) => ({key, value: decode(stored.value), revision: stored.revision})), revision: kv.revision(),
				};
		},
		async write(key, value, options) {
			return swap(key, options.expected, Buffer.from(value).toString('base64'), options.lease);
		},
		async remove(key, expected) {
			return swap(key, expected, undefined);
		},
		async transact({conditions, puts, removals}) {
			const done = await call('write', conditions[0]?.key ?? '', () => {
				const current = conditions.flatMap(({key}) => {
					const found = kv.get(key);
					return found ? [{key, value: decode(found.value), revision: found.revision}] : [];
				});
				const holds = conditions.every(({key, revision}) => (kv.get(key)?.revision ?? 0) === revision);
				for (const {key, value, lease} of holds ? puts : []) {
					kv.swap(key, kv.get(key)?.revision ?? 0, Buffer.from(value).toString('base64'), lease);
				}

				for (const key of holds ? removals : []) {
					kv.swap(key, kv.get(key)?.revision ?? 0, undefined);
				}

				return {holds, current};
			});
			if (done.kind === 'failed') {
				return {kind: 'unknown', detail: 'answer lost'};
			}

			return done.value.holds ? {kind: 'written', revision: kv.revision()} : {kind: 'conflict', current: done.value.current};
		},
		async changes(prefix, afterRevision) {
			const done = await call('changes', prefix, () => kv.history.filter(({key, revision}) => key.startsWith(prefix) && revision > afterRevision));
			if (done.kind === 'failed') {
				return unavailable;
			}

			return {
				kind: 'changes',
				revision: kv.revision(),
				changes: done.value.map(({key, revision, value}) => value === undefined
					? {kind: 'removed', key, revision}
					: {kind: 'written', entry: {key, value: decode(value), revision}}),
			};
		},
		async grantLease(ttlMs) {
			const done = await call('grant', '', () => kv.grant(ttlMs));
			return done.kind === 'failed' ? unavailable : {kind: 'granted', lease: done.value};
		},
		async renewLease(lease) {
			const done = await call('renew', lease, () => kv.renew(lease));
			return done.kind === 'failed' ? unavailable : {kind: done.value ? 'renewed' : 'expired'};
		},
		async watch(key, _sinceRevision, onChange, signal) {
			await new Promise<void>(resolve => {
				const stop = kv.watch(key, (name, stored) => {
					onChange({key: name, value: decode(stored.value), revision: stored.revision});
				});
				signal.addEventListener('abort', () => {
					stop();
					resolve();
				}, {once: true});
			});
		},
	};
}

function decode(base64: string): Uint8Array {
	return Buffer.from(base64, 'base64');
}

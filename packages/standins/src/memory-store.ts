import {Buffer} from 'node:buffer';
import {type Store, type WriteResult} from '@papayaflow/store';
import {type Kv} from './kv.js';

/** Hooks with which a test delays or fails the calls of one client. */
export type StoreFaults = {
	/** Called and awaited before and after each call takes effect. */
	readonly pause?: (when: 'before' | 'after', call: string, key: string) => Promise<void>;
	/** Returns whether a call fails before it takes effect, or after it with the response lost. */
	readonly fail?: (call: string, key: string) => 'no' | 'before' | 'after';
};

/**
Creates a store client that calls an in-memory key-value service directly, without
sockets, for tests that control the order of the calls.

@example
const store = memoryStore(createKv(() => clock.nowMs), {fail: () => 'after'});
*/
export function memoryStore(kv: Kv, faults: StoreFaults = {}): Store {
	const performCall = async <T>(name: string, key: string, operation: () => T): Promise<{kind: 'done'; value: T} | {kind: 'failed'}> => {
		await faults.pause?.('before', name, key);
		const failure = kv.faults.down ? 'before' : faults.fail?.(name, key) ?? 'no';
		if (failure === 'before') {
			return {kind: 'failed'};
		}

		const value = operation();
		await faults.pause?.('after', name, key);
		return failure === 'after' ? {kind: 'failed'} : {kind: 'done', value};
	};

	const unavailable = {kind: 'unavailable', detail: 'down'} as const;

	const compareAndSwap = async (key: string, expected: number, value: string | undefined, lease?: string): Promise<WriteResult> => {
		const result = await performCall('write', key, () => ({revision: kv.compareAndSwap(key, expected, value, lease), current: kv.get(key)}));
		if (result.kind === 'failed') {
			return {kind: 'unknown', detail: 'answer lost'};
		}

		const {revision, current} = result.value;
		return revision === undefined
			? {kind: 'conflict', current: current && {key, value: decode(current.value), revision: current.revision}}
			: {kind: 'written', revision};
	};

	return {
		async read(key) {
			const result = await performCall('read', key, () => kv.get(key));
			if (result.kind === 'failed') {
				return unavailable;
			}

			return result.value ? {kind: 'found', entry: {key, value: decode(result.value.value), revision: result.value.revision}} : {kind: 'absent'};
		},
		async list(prefix) {
			const result = await performCall('list', prefix, () => kv.list(prefix, `${prefix}\u{FFFF}`));
			return result.kind === 'failed'
				? unavailable
				: {
					kind: 'listed', entries: result.value.map(([key, stored]) => ({key, value: decode(stored.value), revision: stored.revision})), revision: kv.revision(),
				};
		},
		async write(key, value, options) {
			return compareAndSwap(key, options.expected, Buffer.from(value).toString('base64'), options.lease);
		},
		async remove(key, expected) {
			return compareAndSwap(key, expected, undefined);
		},
		async transact({conditions, puts, removals}) {
			const result = await performCall('write', conditions[0]?.key ?? '', () => {
				const current = conditions.flatMap(({key}) => {
					const found = kv.get(key);
					return found ? [{key, value: decode(found.value), revision: found.revision}] : [];
				});
				const holds = conditions.every(({key, revision}) => (kv.get(key)?.revision ?? 0) === revision);
				for (const {key, value, lease} of holds ? puts : []) {
					kv.compareAndSwap(key, kv.get(key)?.revision ?? 0, Buffer.from(value).toString('base64'), lease);
				}

				for (const key of holds ? removals : []) {
					kv.compareAndSwap(key, kv.get(key)?.revision ?? 0, undefined);
				}

				return {holds, current};
			});
			if (result.kind === 'failed') {
				return {kind: 'unknown', detail: 'answer lost'};
			}

			return result.value.holds ? {kind: 'written', revision: kv.revision()} : {kind: 'conflict', current: result.value.current};
		},
		async changes(prefix, afterRevision) {
			const result = await performCall('changes', prefix, () => kv.history.filter(({key, revision}) => key.startsWith(prefix) && revision > afterRevision));
			if (result.kind === 'failed') {
				return unavailable;
			}

			return {
				kind: 'changes',
				revision: kv.revision(),
				changes: result.value.map(({key, revision, value}) => value === undefined
					? {kind: 'removed', key, revision}
					: {kind: 'written', entry: {key, value: decode(value), revision}}),
			};
		},
		async grantLease(ttlMs) {
			const result = await performCall('grant', '', () => kv.grant(ttlMs));
			return result.kind === 'failed' ? unavailable : {kind: 'granted', lease: result.value};
		},
		async renewLease(lease) {
			const result = await performCall('renew', lease, () => kv.renew(lease));
			return result.kind === 'failed' ? unavailable : {kind: result.value ? 'renewed' : 'expired'};
		},
		era: () => 0,
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

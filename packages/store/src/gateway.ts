import {Buffer} from 'node:buffer';
import {Agent, request} from 'undici';
import {
	type Change, type ChangesResult, type Entry, type ListResult, type ReadResult, type Store, type Transaction, type TransactionResult, type Unavailable,
	type WriteOptions, type WriteResult,
} from './store.js';
import {withTimeLimit} from './time-limit.js';

const msPerSecond = 1000;
const watchConnectTimeoutMs = 2000;

type KeyValue = {readonly key: string; readonly value?: string; readonly mod_revision: string};
type RangeReply = {readonly header?: {readonly revision: string}; readonly kvs?: readonly KeyValue[]};
type TxnReply = {
	readonly header: {readonly revision: string};
	readonly succeeded?: boolean;
	readonly responses?: ReadonlyArray<{readonly response_range?: RangeReply}>;
};
type WatchReply = {
	readonly result?: {
		readonly header?: {readonly revision: string};
		readonly compact_revision?: string;
		readonly events?: ReadonlyArray<{readonly type?: string; readonly kv: KeyValue}>;
	};
};
type CallResult<T> = {readonly kind: 'answered'; readonly body: T} | Unavailable;

export type GatewayOptions = {
	/** The base URL of the service, such as `http://10.0.0.9:2379`. */
	readonly url: string;
	/** The timeout of one call, in milliseconds. */
	readonly timeoutMs: number;
};

/**
Connects to a key-value service that implements the etcd v3 JSON gateway: range, txn,
lease and watch, with keys and values in base64.

@example
const store = connectStore({url: 'http://127.0.0.1:2379', timeoutMs: 1000});
*/
export function connectStore({url, timeoutMs}: GatewayOptions): Store {
	const dispatcher = new Agent({connections: 8, pipelining: 1, connect: {timeout: timeoutMs}});

	const call = async <T>(path: string, body: unknown): Promise<CallResult<T>> => {
		try {
			const res = await request(`${url}/v3/${path}`, {
				method: 'POST', body: JSON.stringify(body), dispatcher, signal: AbortSignal.timeout(timeoutMs),
				headers: {'content-type': 'application/json'},
			});
			const text = await res.body.text();
			if (res.statusCode !== 200) {
				return {kind: 'unavailable', detail: `the store answered with status ${res.statusCode}`};
			}

			return {kind: 'answered', body: JSON.parse(text) as T};
		} catch (error) {
			return {kind: 'unavailable', detail: error instanceof Error ? error.message : String(error)};
		}
	};

	const compareAndSwap = async (key: string, options: WriteOptions, operation: unknown): Promise<WriteResult> => {
		const encoded = encodeKey(key);
		const reply = await call<TxnReply>('kv/txn', {
			compare: [{
				target: 'MOD', key: encoded, result: 'EQUAL', mod_revision: String(options.expected),
			}],
			success: [operation],
			failure: [{request_range: {key: encoded}}],
		});
		if (reply.kind === 'unavailable') {
			return {kind: 'unknown', detail: reply.detail};
		}

		if (reply.body.succeeded) {
			return {kind: 'written', revision: Number(reply.body.header.revision)};
		}

		const [found] = reply.body.responses?.[0]?.response_range?.kvs ?? [];
		return {kind: 'conflict', current: found && toEntry(found)};
	};

	return {
		async read(key): Promise<ReadResult> {
			const reply = await call<RangeReply>('kv/range', {key: encodeKey(key)});
			if (reply.kind === 'unavailable') {
				return reply;
			}

			const [found] = reply.body.kvs ?? [];
			return found ? {kind: 'found', entry: toEntry(found)} : {kind: 'absent'};
		},
		async list(prefix): Promise<ListResult> {
			const reply = await call<RangeReply>('kv/range', {key: encodeKey(prefix), range_end: encodeKey(rangeEnd(prefix))});
			return reply.kind === 'unavailable'
				? reply
				: {kind: 'listed', entries: (reply.body.kvs ?? []).map(found => toEntry(found)), revision: Number(reply.body.header?.revision ?? 0)};
		},
		async write(key, value, options) {
			const put = {key: encodeKey(key), value: Buffer.from(value).toString('base64'), lease: options.lease ?? '0'};
			return compareAndSwap(key, options, {request_put: put});
		},
		async remove(key, expected) {
			return compareAndSwap(key, {expected}, {request_delete_range: {key: encodeKey(key)}});
		},
		async transact({conditions, puts, removals}: Transaction): Promise<TransactionResult> {
			const reply = await call<TxnReply>('kv/txn', {
				compare: conditions.map(({key, revision}) => ({
					target: 'MOD', key: encodeKey(key), result: 'EQUAL', mod_revision: String(revision),
				})),
				success: [
					...puts.map(({key, value, lease}) => ({request_put: {key: encodeKey(key), value: Buffer.from(value).toString('base64'), lease: lease ?? '0'}})),
					...removals.map(key => ({request_delete_range: {key: encodeKey(key)}})),
				],
				failure: conditions.map(({key}) => ({request_range: {key: encodeKey(key)}})),
			});
			if (reply.kind === 'unavailable') {
				return {kind: 'unknown', detail: reply.detail};
			}

			return reply.body.succeeded
				? {kind: 'written', revision: Number(reply.body.header.revision)}
				: {kind: 'conflict', current: (reply.body.responses ?? []).flatMap(({response_range: range}) => (range?.kvs ?? []).map(found => toEntry(found)))};
		},
		async changes(prefix, afterRevision, waitMs, signal): Promise<ChangesResult> {
			return withTimeLimit(signal, waitMs, async bounded => {
				try {
					const res = await request(`${url}/v3/watch`, {
						method: 'POST', signal: bounded, dispatcher, bodyTimeout: 0, headersTimeout: watchConnectTimeoutMs,
						body: JSON.stringify({
							create_request: {key: encodeKey(prefix), range_end: encodeKey(rangeEnd(prefix)), start_revision: String(afterRevision + 1)},
						}),
					});
					for await (const line of readLines(res.body)) {
						const {result} = JSON.parse(line) as WatchReply;
						if (result?.compact_revision !== undefined) {
							return {kind: 'compacted'};
						}

						const changes = (result?.events ?? []).map(({type, kv}) => toChange(type, kv));
						if (changes.length > 0) {
							return {kind: 'changes', changes, revision: Math.max(...changes.map(change => revisionOf(change)))};
						}
					}

					return {kind: 'unavailable', detail: 'the store closed the watch stream'};
				} catch (error) {
					return bounded.aborted && !signal.aborted
						? {kind: 'changes', changes: [], revision: afterRevision}
						: {kind: 'unavailable', detail: error instanceof Error ? error.message : String(error)};
				}
			});
		},
		async grantLease(ttlMs) {
			const reply = await call<{ID: string}>('lease/grant', {TTL: String(Math.ceil(ttlMs / msPerSecond))});
			return reply.kind === 'unavailable' ? reply : {kind: 'granted', lease: reply.body.ID};
		},
		era: () => 0,
		async renewLease(lease) {
			const reply = await call<{result?: {TTL?: string}}>('lease/keepalive', {ID: lease});
			if (reply.kind === 'unavailable') {
				return reply;
			}

			return {kind: Number(reply.body.result?.TTL ?? 0) > 0 ? 'renewed' : 'expired'};
		},
		async watch(key, sinceRevision, onChange, signal) {
			try {
				const res = await request(`${url}/v3/watch`, {
					method: 'POST', signal, dispatcher, bodyTimeout: 0, headersTimeout: watchConnectTimeoutMs,
					body: JSON.stringify({create_request: {key: encodeKey(key), start_revision: String(sinceRevision + 1)}}),
				});
				for await (const line of readLines(res.body)) {
					for (const event of (JSON.parse(line) as WatchReply).result?.events ?? []) {
						if (event.type !== 'DELETE') {
							onChange(toEntry(event.kv));
						}
					}
				}
			} catch {
				// A broken stream is handled like one that ended: the caller reads the key and watches it again.
			}
		},
	};
}

async function * readLines(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<string> {
	let incompleteLine = '';
	const decoder = new TextDecoder();
	for await (const chunk of chunks) {
		const parts = (incompleteLine + decoder.decode(chunk, {stream: true})).split('\n');
		incompleteLine = parts.pop() ?? '';
		yield * parts.filter(part => part.length > 0);
	}
}

function toEntry(found: KeyValue): Entry {
	return {
		key: Buffer.from(found.key, 'base64').toString(),
		value: Buffer.from(found.value ?? '', 'base64'),
		revision: Number(found.mod_revision),
	};
}

function toChange(type: string | undefined, kv: KeyValue): Change {
	const entry = toEntry(kv);
	return type === 'DELETE' ? {kind: 'removed', key: entry.key, revision: entry.revision} : {kind: 'written', entry};
}

function revisionOf(change: Change): number {
	return change.kind === 'written' ? change.entry.revision : change.revision;
}

function encodeKey(key: string): string {
	return Buffer.from(key).toString('base64');
}

function rangeEnd(prefix: string): string {
	const last = prefix.codePointAt(prefix.length - 1) ?? 0;
	return prefix.slice(0, -1) + String.fromCodePoint(last + 1);
}

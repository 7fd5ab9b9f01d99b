import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {readJson, sendJson} from './http.js';

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly created: number; readonly lease: number};
type Event = Item | {readonly key: string; readonly revision: number; readonly deleted: true};

/** Fault switches of the platform store stand-in. */
export type PlatformStoreFaults = {
	/** How calls are handled: normally (`serve`), by closing the connection (`reset`), with status 503 (`busy`), or without a response (`silent`). */
	mode: 'serve' | 'reset' | 'busy' | 'silent';
	/** Delay of each call, in milliseconds. */
	slowMs: number;
	/** Number of further writes that take effect but whose connection is closed without a response. */
	loseAnswers: number;
	/** The `Store-Era` to send in place of the present one, as in an answer that was delayed; `undefined` sends the present one. */
	era: number | undefined;
	/** Maximum number of items on a page. */
	pageItems: number;
	/** Maximum number of read calls per second, over all callers. Excess calls get status 429. A lease renewal counts as a tenth of a read. */
	readsPerSecond: number;
	/** The same limit for write calls. */
	writesPerSecond: number;
};

/** An in-memory implementation of the protocol of the platform's store. */
export type PlatformStore = {
	readonly server: Server;
	readonly faults: PlatformStoreFaults;
	/** Number of calls by path. */
	readonly calls: Map<string, number>;
	/** Number of read calls so far; each answer to a watch is one. */
	reads(): number;
	/** Number of calls rejected by the rate limits. */
	refused(): number;
	/** Writes an item on behalf of the operator or a target, without the checks that client writes are subject to. Returns its revision. */
	put(key: string, value: string, lease?: number): number;
	remove(key: string): void;
	/** Drops the history: watches that start at an earlier revision get status 410. */
	compact(): void;
	revision(): number;
	get(key: string): string | undefined;
	/** Takes a copy of all items that have no lease. */
	copy(): PlatformStoreCopy;
	/** Continues from a copy, as after a disaster: what was written since is lost, leases too, and revisions are given out again. `Store-Era` increases by one. */
	restore(copy: PlatformStoreCopy): void;
};

/** A copy of the store's items, to restore the store from later. */
export type PlatformStoreCopy = {readonly items: readonly Item[]; readonly revision: number};

const defaultPageItems = 500;
/** Minimum time that a watch without events stays open, whatever its `wait_ms`. */
const minWatchMs = 20;
const msPerSecond = 1000;
/** Exceeds the call rate of every test. */
const unlimitedPerSecond = 1e9;
const renewalCost = 0.1;
const writeCalls: ReadonlySet<string> = new Set(['kv-txn', 'kv-lease']);

/**
Creates the stand-in of the platform's store. It serves items with revisions, paged
ranges, watches over a history that can be compacted, transactions and leases under
`/papayaflow/kv-…`.

@example
const store = createPlatformStore(Date.now);
store.server.listen(8223, '127.0.0.1');
*/
export function createPlatformStore(nowMs: () => number): PlatformStore {
	const items = new Map<string, Item>();
	const leases = new Map<number, {ttlMs: number; expiresAtMs: number}>();
	const watchers = new Set<() => void>();
	const calls = new Map<string, number>();
	const faults: PlatformStoreFaults = {
		mode: 'serve', slowMs: 0, loseAnswers: 0, era: undefined, pageItems: defaultPageItems, readsPerSecond: unlimitedPerSecond, writesPerSecond: unlimitedPerSecond,
	};
	const buckets = {reads: {available: unlimitedPerSecond, atMs: nowMs()}, writes: {available: unlimitedPerSecond, atMs: nowMs()}};
	let refusedCalls = 0;
	let history: Event[] = [];
	let revision = 1;
	let era = 0;
	let compactedRevision = 0;
	let lastLease = 0;

	const recordEvent = (event: Event): void => {
		history.push(event);
		for (const notify of watchers) {
			notify();
		}
	};

	const put = (key: string, value: string, lease = 0): number => {
		revision++;
		const item: Item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		recordEvent(item);
		return revision;
	};

	const remove = (key: string): void => {
		if (items.delete(key)) {
			revision++;
			recordEvent({key, revision, deleted: true});
		}
	};

	const removeExpiredLeases = (): void => {
		for (const [id, {expiresAtMs}] of leases) {
			if (expiresAtMs <= nowMs()) {
				leases.delete(id);
				for (const {key, lease} of items.values()) {
					if (lease === id) {
						remove(key);
					}
				}
			}
		}
	};

	/** Takes the cost of a call from the read or write token bucket, which holds at most the calls of one second. Returns `false` if it holds less. */
	const isWithinRates = (call: string): boolean => {
		const kind = writeCalls.has(call) ? 'writes' : 'reads';
		const perSecond = kind === 'writes' ? faults.writesPerSecond : faults.readsPerSecond;
		const bucket = buckets[kind];
		const now = nowMs();
		bucket.available = Math.min(perSecond, bucket.available + ((now - bucket.atMs) * perSecond / msPerSecond));
		bucket.atMs = now;
		const cost = call === 'kv-keep' ? renewalCost : 1;
		if (bucket.available < cost) {
			refusedCalls++;
			return false;
		}

		bucket.available -= cost;
		return true;
	};

	const handleWatch = (query: URLSearchParams, res: ServerResponse): void => {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const startEra = era;
		const respond = (isFinal: boolean): void => {
			if (after < compactedRevision || after > revision || era !== startEra) {
				clearTimeout(timer);
				watchers.delete(respondIfChanged);
				res.setHeader('store-era', era);
				sendJson(res, 410, {error: 'compacted'});
				return;
			}

			const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0 || isFinal) {
				watchers.delete(respondIfChanged);
				clearTimeout(timer);
				sendJson(res, 200, {events, at: revision});
			}
		};

		const respondIfChanged = (): void => {
			respond(false);
		};

		watchers.add(respondIfChanged);
		const timer = setTimeout(respond, Math.max(minWatchMs, Number(query.get('wait_ms'))), true);
		res.once('close', () => {
			clearTimeout(timer);
			watchers.delete(respondIfChanged);
		});
		respondIfChanged();
	};

	const handleTransaction = (body: Record<string, unknown>, res: ServerResponse): void => {
		const {precondition = [], puts = [], drop = []} = body as {
			precondition?: ReadonlyArray<{key: string; revision: number}>;
			puts?: ReadonlyArray<{key: string; value: string; lease?: number}>;
			drop?: readonly string[];
		};
		if (precondition.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
			sendJson(res, 412, {items: precondition.map(({key}) => items.get(key) ?? {key, revision: 0})});
			return;
		}

		if (puts.some(({lease = 0}) => lease !== 0 && !leases.has(lease))) {
			sendJson(res, 404, {});
			return;
		}

		if (puts.some(({key}) => key.startsWith('op/') || key.startsWith('servers/'))) {
			sendJson(res, 403, {});
			return;
		}

		for (const {key, value, lease} of puts) {
			put(key, value, lease);
		}

		for (const key of drop) {
			remove(key);
		}

		if (faults.loseAnswers > 0) {
			faults.loseAnswers--;
			res.destroy();
			return;
		}

		sendJson(res, 200, {revision});
	};

	const handleCall = (path: string, query: URLSearchParams, body: Record<string, unknown>, res: ServerResponse): void => {
		removeExpiredLeases();
		const [call, id] = path.replace('/papayaflow/', '').split('/');
		if (!isWithinRates(call)) {
			sendJson(res, 429, {});
			return;
		}

		switch (call) {
			case 'kv-key': {
				const item = items.get(query.get('key') ?? '');
				sendJson(res, item ? 200 : 404, item ? {...item, at: revision} : {});
				break;
			}

			case 'kv-range': {
				const found = [...items.values()]
					.filter(({key}) => key.startsWith(query.get('prefix') ?? '') && key > (query.get('after') ?? ''))
					.toSorted((a, b) => a.key < b.key ? -1 : 1);
				sendJson(res, 200, {items: found.slice(0, faults.pageItems), has_more: found.length > faults.pageItems, at: revision});
				break;
			}

			case 'kv-watch': {
				handleWatch(query, res);
				break;
			}

			case 'kv-txn': {
				handleTransaction(body, res);
				break;
			}

			case 'kv-lease': {
				leases.set(++lastLease, {ttlMs: Number(body.ttl_ms), expiresAtMs: nowMs() + Number(body.ttl_ms)});
				sendJson(res, 200, {lease: lastLease, ttl_ms: body.ttl_ms});
				break;
			}

			case 'kv-keep': {
				const lease = leases.get(Number(id));
				if (lease) {
					lease.expiresAtMs = nowMs() + lease.ttlMs;
				}

				sendJson(res, lease ? 200 : 404, {ttl_ms: lease?.ttlMs ?? 0});
				break;
			}

			default: {
				sendJson(res, 400, {error: 'no such call'});
			}
		}
	};

	const server = createServer(async (req: IncomingMessage, res) => {
		const url = new URL(req.url ?? '/', 'http://store');
		calls.set(url.pathname, (calls.get(url.pathname) ?? 0) + 1);
		const body = await readJson(req);
		res.setHeader('store-era', faults.era ?? era);
		switch (faults.mode) {
			case 'reset': {
				req.socket.destroy();
				return;
			}

			case 'busy': {
				sendJson(res, 503, {});
				return;
			}

			case 'silent': {
				return;
			}

			case 'serve': {
				setTimeout(handleCall, faults.slowMs, url.pathname, url.searchParams, body, res);
			}
		}
	});

	return {
		server,
		faults,
		calls,
		reads: () => [...calls].filter(([path]) => !writeCalls.has(path.split('/').at(2) ?? '')).reduce((sum, [, count]) => sum + count, 0),
		refused: () => refusedCalls,
		put: (key, value, lease) => put(key, Buffer.from(value).toString('base64'), lease),
		remove,
		compact() {
			compactedRevision = revision;
			history = [];
			for (const notify of watchers) {
				notify();
			}
		},
		revision: () => revision,
		get(key) {
			const item = items.get(key);
			return item && Buffer.from(item.value, 'base64').toString();
		},
		copy: () => ({items: [...items.values()].filter(({lease}) => lease === 0), revision}),
		restore(copy) {
			items.clear();
			for (const item of copy.items) {
				items.set(item.key, item);
			}

			leases.clear();
			revision = copy.revision;
			compactedRevision = revision;
			history = [];
			era++;
			for (const notify of watchers) {
				notify();
			}
		},
	};
}

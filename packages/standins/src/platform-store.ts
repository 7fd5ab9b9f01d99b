import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {readJson, sendJson} from './http.js';

type Item = {readonly key: string; readonly value: string; readonly revision: number; readonly created: number; readonly lease: number};
type Event = Item | {readonly key: string; readonly revision: number; readonly deleted: true};

/** Switches that make the stand-in of the platform's store fail. */
export type PlatformStoreFaults = {
	/** How each call is answered. */
	mode: 'serve' | 'reset' | 'busy' | 'silent';
	slowMs: number;
	/** The next writes take effect, and their connections end without an answer. */
	loseAnswers: number;
	/** The most items of one page. */
	pageItems: number;
	/** Calls that are taken in a second, all callers together; those beyond are refused with 429. Renewals of leases count as a tenth of a read. */
	readsPerSecond: number;
	writesPerSecond: number;
};

/** The platform's store in memory, as its protocol describes it. */
export type PlatformStore = {
	readonly server: Server;
	readonly faults: PlatformStoreFaults;
	/** Calls by path. */
	readonly calls: Map<string, number>;
	/** Calls that came beyond the rates. */
	refused(): number;
	/** Writes as the operator or a target does. */
	put(key: string, value: string, lease?: number): number;
	remove(key: string): void;
	/** Drops the history: watches from before get 410. */
	compact(): void;
	revision(): number;
	get(key: string): string | undefined;
};

const defaultPageItems = 500;
const emptyWatchMs = 20;
const msPerSecond = 1000;
/** More calls a second than any test makes. */
const unlimited = 1e9;
const renewalPrice = 0.1;
const writingCalls: ReadonlySet<string> = new Set(['kv-txn', 'kv-lease']);

/**
Makes the stand-in: items with revisions, pages, watches with a history that can be
dropped, transactions and leases, all under `/papayaflow/kv-…`.

@example
const store = createPlatformStore(Date.now);
store.server.listen(8223, '127.0.0.1');
*/
export function createPlatformStore(nowMs: () => number): PlatformStore {
	const items = new Map<string, Item>();
	const leases = new Map<number, {ttlMs: number; untilMs: number}>();
	const waiting = new Set<() => void>();
	const calls = new Map<string, number>();
	const faults: PlatformStoreFaults = {
		mode: 'serve', slowMs: 0, loseAnswers: 0, pageItems: defaultPageItems, readsPerSecond: unlimited, writesPerSecond: unlimited,
	};
	const buckets = {reads: {left: unlimited, atMs: nowMs()}, writes: {left: unlimited, atMs: nowMs()}};
	let refused = 0;
	let history: Event[] = [];
	let revision = 1;
	let compactedAt = 0;
	let lastLease = 0;

	const note = (event: Event): void => {
		history.push(event);
		for (const wake of waiting) {
			wake();
		}
	};

	const put = (key: string, value: string, lease = 0): number => {
		revision++;
		const item: Item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		note(item);
		return revision;
	};

	const remove = (key: string): void => {
		if (items.delete(key)) {
			revision++;
			note({key, revision, deleted: true});
		}
	};

	const expire = (): void => {
		for (const [id, {untilMs}] of leases) {
			if (untilMs <= nowMs()) {
				leases.delete(id);
				for (const {key, lease} of items.values()) {
					if (lease === id) {
						remove(key);
					}
				}
			}
		}
	};

	/** Whether a call fits the rates; a second's worth may come at once. */
	const isWithinRates = (call: string): boolean => {
		const kind = writingCalls.has(call) ? 'writes' : 'reads';
		const perSecond = kind === 'writes' ? faults.writesPerSecond : faults.readsPerSecond;
		const bucket = buckets[kind];
		const now = nowMs();
		bucket.left = Math.min(perSecond, bucket.left + ((now - bucket.atMs) * perSecond / msPerSecond));
		bucket.atMs = now;
		const price = call === 'kv-keep' ? renewalPrice : 1;
		if (bucket.left < price) {
			refused++;
			return false;
		}

		bucket.left -= price;
		return true;
	};

	const watch = (query: URLSearchParams, res: ServerResponse): void => {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const answer = (isLast: boolean): void => {
			if (after < compactedAt) {
				waiting.delete(look);
				sendJson(res, 410, {error: 'compacted'});
				return;
			}

			const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0 || isLast) {
				waiting.delete(look);
				clearTimeout(timer);
				sendJson(res, 200, {events, at: revision});
			}
		};

		const look = (): void => {
			answer(false);
		};

		waiting.add(look);
		const timer = setTimeout(answer, Math.max(emptyWatchMs, Number(query.get('wait_ms'))), true);
		res.once('close', () => {
			clearTimeout(timer);
			waiting.delete(look);
		});
		look();
	};

	const transact = (body: Record<string, unknown>, res: ServerResponse): void => {
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

	const serve = (path: string, query: URLSearchParams, body: Record<string, unknown>, res: ServerResponse): void => {
		expire();
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
				watch(query, res);
				break;
			}

			case 'kv-txn': {
				transact(body, res);
				break;
			}

			case 'kv-lease': {
				leases.set(++lastLease, {ttlMs: Number(body.ttl_ms), untilMs: nowMs() + Number(body.ttl_ms)});
				sendJson(res, 200, {lease: lastLease, ttl_ms: body.ttl_ms});
				break;
			}

			case 'kv-keep': {
				const lease = leases.get(Number(id));
				if (lease) {
					lease.untilMs = nowMs() + lease.ttlMs;
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
				setTimeout(serve, faults.slowMs, url.pathname, url.searchParams, body, res);
			}
		}
	});

	return {
		server,
		faults,
		calls,
		refused: () => refused,
		put: (key, value, lease) => put(key, Buffer.from(value).toString('base64'), lease),
		remove,
		compact() {
			compactedAt = revision;
			history = [];
			for (const wake of waiting) {
				wake();
			}
		},
		revision: () => revision,
		get(key) {
			const item = items.get(key);
			return item && Buffer.from(item.value, 'base64').toString();
		},
	};
}

/* eslint camelcase: ["error", {properties: "never"}] -- the fields of the platform's protocol */
import {Buffer} from 'node:buffer';
import {createServer} from 'node:http';
import {readJson, sendJson} from './http.js';

const maxPageItems = 500;

/**
Creates a stand-in of the platform's metadata store: items with revisions, pages, watches,
transactions and leases. It keeps its whole history.
*/
export function createStore() {
	const items = new Map();
	const history = [];
	const watchers = new Set();
	let revision = 1;
	let lastLease = 0;

	const append = event => {
		history.push(event);
		for (const notify of watchers) {
			notify();
		}
	};

	const put = (key, value, lease = 0) => {
		revision++;
		const item = {
			key, value, revision, created: items.get(key)?.created ?? revision, lease,
		};
		items.set(key, item);
		append(item);
	};

	const remove = key => {
		if (items.delete(key)) {
			revision++;
			append({key, revision, deleted: true});
		}
	};

	const watch = (query, res) => {
		const after = Number(query.get('after'));
		const prefix = query.get('prefix') ?? '';
		const respond = isFinal => {
			const events = history.filter(event => event.revision > after && event.key.startsWith(prefix));
			if (events.length > 0 || isFinal) {
				clearTimeout(timer);
				watchers.delete(notify);
				sendJson(res, 200, {events, at: revision});
			}
		};

		const notify = () => {
			respond(false);
		};

		const timer = setTimeout(respond, Math.max(1, Number(query.get('wait_ms'))), true);
		watchers.add(notify);
		res.once('close', () => {
			clearTimeout(timer);
			watchers.delete(notify);
		});
		notify();
	};

	const transact = ({precondition = [], puts = [], drop = []}, res) => {
		if (precondition.some(({key, revision: expected}) => (items.get(key)?.revision ?? 0) !== expected)) {
			sendJson(res, 412, {items: precondition.map(({key}) => items.get(key) ?? {key, revision: 0})});
			return;
		}

		if ([...puts.map(({key}) => key), ...drop].some(key => key.startsWith('op/') || key.startsWith('servers/'))) {
			sendJson(res, 403, {});
			return;
		}

		for (const {key, value, lease} of puts) {
			put(key, value, lease);
		}

		for (const key of drop) {
			remove(key);
		}

		sendJson(res, 200, {revision});
	};

	const handle = async (req, res) => {
		const url = new URL(req.url, 'http://store');
		const body = await readJson(req);
		res.setHeader('store-era', 0);
		const [call, id] = url.pathname.replace('/papayaflow/', '').split('/');
		switch (call) {
			case 'kv-key': {
				const item = items.get(url.searchParams.get('key'));
				sendJson(res, item ? 200 : 404, item ? {...item, at: revision} : {});
				return;
			}

			case 'kv-range': {
				const found = [...items.values()]
					.filter(({key}) => key.startsWith(url.searchParams.get('prefix') ?? '') && key > (url.searchParams.get('after') ?? ''))
					.toSorted((a, b) => a.key < b.key ? -1 : 1);
				sendJson(res, 200, {items: found.slice(0, maxPageItems), has_more: found.length > maxPageItems, at: revision});
				return;
			}

			case 'kv-watch': {
				watch(url.searchParams, res);
				return;
			}

			case 'kv-txn': {
				transact(body, res);
				return;
			}

			case 'kv-lease': {
				sendJson(res, 200, {lease: ++lastLease, ttl_ms: body.ttl_ms});
				return;
			}

			case 'kv-keep': {
				sendJson(res, Number(id) <= lastLease ? 200 : 404, {});
				return;
			}

			default: {
				sendJson(res, 400, {});
			}
		}
	};

	const server = createServer((req, res) => {
		handle(req, res);
	});

	return {
		server,
		/** Writes an item on behalf of the operator or of a replica. */
		put(key, value) {
			put(key, Buffer.from(JSON.stringify(value)).toString('base64'));
		},
		remove,
		stop() {
			server.close();
			server.closeAllConnections();
		},
	};
}

import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {readJson, sendJson} from './http.js';
import {type Kv, type StoredValue} from './kv.js';

type Txn = {
	readonly compare: ReadonlyArray<{readonly key: string; readonly mod_revision: string}>;
	readonly success: ReadonlyArray<{readonly request_put?: {readonly value: string; readonly lease?: string}}>;
};

/**
Creates a server that offers an in-memory key-value service through the API of the etcd
v3 JSON gateway: range, txn with one compare, lease and watch. `POST /faults` sets the
fault switches, and `GET /calls` returns the number of calls by kind.

@example
serveKv(createKv(Date.now)).listen(2379, '127.0.0.1');
*/
export function serveKv(kv: Kv): Server {
	return createServer(async (req, res) => {
		const body = await readJson(req);
		const path = req.url ?? '/';
		if (path === '/faults') {
			Object.assign(kv.faults, body);
			sendJson(res, 200, kv.faults);
			return;
		}

		if (path === '/calls') {
			sendJson(res, 200, Object.fromEntries(kv.calls));
			return;
		}

		if (kv.faults.down) {
			req.socket.destroy();
			return;
		}

		setTimeout(() => {
			handleCall(kv, path, body, res);
		}, kv.faults.slowMs);
	});
}

function handleCall(kv: Kv, path: string, body: Record<string, unknown>, res: ServerResponse): void {
	switch (path) {
		case '/v3/kv/range': {
			const key = decodeText(body.key);
			const entries = body.range_end === undefined ? entriesOf(kv, key) : kv.list(key, decodeText(body.range_end));
			sendJson(res, 200, {kvs: entries.map(([name, stored]) => encodeEntry(name, stored))});
			break;
		}

		case '/v3/kv/txn': {
			handleTxn(kv, body as unknown as Txn, res);
			break;
		}

		case '/v3/lease/grant': {
			sendJson(res, 200, {ID: kv.grant(Number(body.TTL) * 1000), TTL: body.TTL});
			break;
		}

		case '/v3/lease/keepalive': {
			sendJson(res, 200, {result: {ID: body.ID, TTL: kv.renew(String(body.ID)) ? '1' : '0'}});
			break;
		}

		case '/v3/watch': {
			handleWatch(kv, decodeText((body.create_request as {key: string}).key), res);
			break;
		}

		default: {
			sendJson(res, 404, {error: 'no such call'});
		}
	}
}

function handleTxn(kv: Kv, txn: Txn, res: ServerResponse): void {
	const [compare] = txn.compare;
	const key = decodeText(compare.key);
	const put = txn.success[0].request_put;
	const revision = kv.compareAndSwap(key, Number(compare.mod_revision), put?.value, put?.lease);
	if (kv.faults.loseAnswers > 0) {
		kv.faults.loseAnswers--;
		res.destroy();
		return;
	}

	sendJson(res, 200, {
		header: {revision: String(kv.revision())},
		succeeded: revision !== undefined,
		responses: revision === undefined ? [{response_range: {kvs: entriesOf(kv, key).map(([name, stored]) => encodeEntry(name, stored))}}] : [],
	});
}

function handleWatch(kv: Kv, key: string, res: ServerResponse): void {
	res.writeHead(200, {'content-type': 'application/json'});
	res.write(`${JSON.stringify({result: {created: true}})}\n`);
	const stop = kv.watch(key, (name, stored) => {
		res.write(`${JSON.stringify({result: {events: [{type: 'PUT', kv: encodeEntry(name, stored)}]}})}\n`);
	});
	res.once('close', stop);
}

function entriesOf(kv: Kv, key: string): ReadonlyArray<readonly [string, StoredValue]> {
	const stored = kv.get(key);
	return stored ? [[key, stored]] : [];
}

function encodeEntry(key: string, stored: StoredValue): unknown {
	return {key: Buffer.from(key).toString('base64'), value: stored.value, mod_revision: String(stored.revision)};
}

function decodeText(base64: unknown): string {
	return Buffer.from(String(base64), 'base64').toString();
}

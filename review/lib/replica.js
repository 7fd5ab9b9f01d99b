/* eslint camelcase: ["error", {properties: "never"}] -- the fields of the platform's protocol */
import {createServer} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';

const passMs = 100;
/** How long work that depends on a dead rank stalls, in milliseconds. */
const stallMs = 1500;
/** How long a crashed rank is away, in milliseconds. */
const awayMs = 2000;
/** How long a group takes to form again, in milliseconds. */
const formMs = 600;

/**
Creates a stand-in of a replica of a plain service. It runs each request that names it, for
`workMs` milliseconds, and answers with its seal. `onRun` is called when a request begins to run.
*/
export function createPlainReplica({id, workMs, onArrival, onRun}) {
	return createServer(async (req, res) => {
		const headers = {'x-request-id': req.headers['x-request-id'] ?? '', 'x-replica-id': id};
		if ((req.headers['x-expect-replica'] ?? id) !== id) {
			res.writeHead(421, {...headers, 'x-not-executed': '1', 'content-length': 0});
			res.end();
			return;
		}

		req.resume();
		onArrival(id, req.headers['x-request-id']);
		onRun(id, req.headers['x-request-id']);
		await sleep(workMs);
		const body = `answer of ${id} to ${req.headers['x-request-id']}`;
		res.writeHead(200, {
			...headers, 'x-replica-seal': `seal-${id}`, 'content-type': 'text/plain', 'content-length': body.length,
		});
		res.end(body);
	});
}

/**
Creates a group of model replicas whose ranks begin each pass together while they have
requests. In each pass, each stream gets one event. A rank that begins to write an answer on
the part `crashPart` of a prompt crashes: it closes all its connections and refuses new ones
for some seconds, then starts again under its id, and the group forms anew.

`onArrival` and `onRun` are called when a request arrives and when it begins to run, `onCut`
when its connection closes before the stream is complete, and `onBorn` when a rank has started again.
*/
export function createEngineGroup({
	ids, eventsOf, crashPart, onArrival, onRun, onCut, onCrash, onBorn,
}) {
	const layers = 1;
	const experts = 6;
	const streams = ids.map(() => new Set());
	const fences = ids.map(() => 0);
	const born = ids.map(() => Date.now());
	const addresses = [];
	let epoch = 1;
	let isOpen = true;
	let pass = 0;
	let chosen = 0;

	const report = rank => ({
		stage: 'colocated', models: [{name: 'm', version: 1, adapters: []}], busy: false, seq: 0, queued: 0, active: streams[rank].size, kv_used: 0, kv_total: 186_666, handles: 0, born: born[rank], pace: 1,
		group: {
			name: 'g', epoch, rank, state: isOpen ? 'open' : 'broken',
		}, size: ids.length, step: pass, map: 0, prepared: null, armed: null, held: null,
	});

	// The counts are even, so that a coordinator has no reason to change the map.
	const picked = (rank, hasLists) => hasLists
		? {
			step: pass, epoch, map: {version: 0, experts: Array.from({length: layers}, () => Array.from({length: experts}, (_, expert) => expert).filter(expert => expert % ids.length === rank))}, prepared: null,
		}
		: {step: pass, epoch, counts: Array.from({length: layers * experts}, () => chosen)};

	const order = async (rank, req, res) => {
		const body = await readJson(req);
		if ((body.epoch ?? epoch) !== epoch) {
			sendJson(res, 409, {});
			return;
		}

		const token = body.fencing_token ?? 0;
		if (token < fences[rank]) {
			sendJson(res, 412, {});
			return;
		}

		fences[rank] = token;
		sendJson(res, body.operation === 'go' ? 200 : 409, {});
	};

	const refuse = (res, status, headers) => {
		res.writeHead(status, {...headers, 'x-not-executed': '1', 'content-length': 0});
		res.end();
	};

	const run = async (rank, req, res) => {
		const id = ids[rank];
		const requestId = req.headers['x-request-id'];
		const headers = {'x-request-id': requestId, 'x-replica-id': id};
		if ((req.headers['x-expect-replica'] ?? id) !== id) {
			refuse(res, 421, headers);
			return;
		}

		req.resume();
		onArrival(id, requestId);
		if (!isOpen) {
			await sleep(stallMs);
			refuse(res, 503, headers);
			return;
		}

		const parts = new Set((req.headers['x-prompt-prefix'] ?? '').split(',').map(part => part.split(':')[0]).slice(0, -1));
		const events = eventsOf(requestId);
		let sent = Number(req.headers['last-event-id'] ?? 0);
		const stream = {
			res,
			get hasBegun() {
				return res.headersSent;
			},
			headers,
			next() {
				if (parts.has(crashPart)) {
					onRun(id, requestId);
					crash(rank);
					return;
				}

				if (!res.headersSent) {
					onRun(id, requestId);
					res.writeHead(200, {'x-request-id': requestId, 'x-replica-seal': `seal-${id}`, 'content-type': 'text/event-stream'});
				}

				sent++;
				res.write(`id: ${sent}\ndata: piece ${sent} of ${requestId}\n\n`);
				if (sent >= events) {
					streams[rank].delete(stream);
					res.end();
				}
			},
		};
		streams[rank].add(stream);
		res.on('close', () => {
			if (streams[rank].delete(stream)) {
				onCut(id, requestId, sent);
			}
		});
	};

	const servers = ids.map((_, rank) => createServer((req, res) => {
		const url = new URL(req.url, 'http://rank');
		switch (url.pathname) {
			case '/papayaflow/report': {
				sendJson(res, 200, report(rank));

				break;
			}

			case '/papayaflow/picked': {
				sendJson(res, 200, picked(rank, url.searchParams.has('lists')));

				break;
			}

			case '/papayaflow/order': {
				order(rank, req, res);

				break;
			}

			default: {
				run(rank, req, res);
			}
		}
	}));

	const stallOthers = async crashed => {
		await sleep(stallMs);
		for (const [rank, rankStreams] of streams.entries()) {
			for (const stream of rank === crashed ? [] : rankStreams) {
				rankStreams.delete(stream);
				if (stream.hasBegun) {
					stream.res.destroy();
				} else {
					refuse(stream.res, 503, stream.headers);
				}
			}
		}
	};

	const crash = async rank => {
		if (!isOpen) {
			return;
		}

		isOpen = false;
		addresses[rank] ??= servers[rank].address();
		const {address, port} = addresses[rank];
		onCrash(ids[rank]);
		streams[rank].clear();
		servers[rank].close();
		servers[rank].closeAllConnections();
		stallOthers(rank);
		await sleep(awayMs);
		fences[rank] = 0;
		born[rank] = Date.now();
		servers[rank].listen(port, address);
		onBorn(ids[rank], born[rank]);
		await sleep(formMs);
		epoch++;
		isOpen = true;
	};

	const timer = setInterval(() => {
		if (!isOpen || streams.every(({size}) => size === 0)) {
			return;
		}

		pass++;
		chosen += 10;
		for (const rankStreams of streams) {
			for (const stream of rankStreams) {
				if (isOpen) {
					stream.next();
				}
			}
		}
	}, passMs);
	return {
		servers,
		stop() {
			clearInterval(timer);
		},
	};
}

/** The figures of the engines, for the configuration. */
export const engineFigures = {
	slots: 8, kv_capacity: 186_666, stride: 4, step_ms: 4.55, per_seq_ms: 0.9, context_per_k: 0.0183, read_per_s: 61_400, chunk: 512, report_lag_ms: 200, usual: {prompt: 700, answer: 100},
	sets: 1, experts: 6, placements: 4, spare: 2, expert_share: 0.85, form_ms: 600, expert_mb: 2200, link_mbps: 44_000,
};

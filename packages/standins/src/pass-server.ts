import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';
import {createPassGroup, type PassGroup, type PassOrder} from './pass-group.js';

/** What becomes of one order on its way: a late one is carried out after its sender has given it up. */
export type OrderFate
	= | {readonly kind: 'prompt'}
		| {readonly kind: 'unheard'}
		| {readonly kind: 'answerLost'}
		| {readonly kind: 'late'; readonly ms: number};

export type PassServerOptions = {
	readonly ranks: number;
	readonly layers: number;
	readonly expertsPerLayer: number;
	readonly passMs: number;
	/** How often a pass of one rank's requests chooses each expert of a layer. */
	readonly demand: (layer: number, expert: number) => number;
	readonly fate?: (rank: number, operation: string) => OrderFate;
};

/** A group of ranks, each with a server of its own on loopback. */
export type PassServers = {
	readonly group: PassGroup;
	/** `IP:PORT` by rank. */
	readonly addresses: readonly string[];
	/** The experts that each rank holds in the map in use, by rank and layer. */
	experts(): ReadonlyArray<ReadonlyArray<readonly number[]>>;
	/** Breaks the group, and opens it again in a new formation after a time in milliseconds. */
	lose(ms: number): Promise<void>;
	stop(): void;
};

type Lists = ReadonlyArray<readonly number[]>;

/**
Serves ranks of a group over HTTP as the users' engines do: reports, counts, lists of
experts and orders, with passes that all ranks begin together.

@example
const ranks = await startPassServers({ranks: 3, layers: 1, expertsPerLayer: 6, passMs: 5, demand: (_, expert) => 6 - expert});
*/
export async function startPassServers(options: PassServerOptions): Promise<PassServers> {
	const {ranks, layers, expertsPerLayer, fate = () => ({kind: 'prompt'})} = options;
	const group = createPassGroup(ranks);
	let isOpen = true;
	const inTurn = (rank: number): Lists => Array.from({length: layers}, () => Array.from({length: expertsPerLayer}, (_, expert) => expert).filter(expert => expert % ranks === rank));
	const lists = Array.from({length: ranks}, (_, rank) => new Map<number, Lists>([[0, inTurn(rank)]]));
	const counts = Array.from({length: ranks}, () => Array.from({length: layers * expertsPerLayer}, () => 0));

	const beginPass = (): void => {
		if (!isOpen || !group.begin()) {
			return;
		}

		for (const own of counts) {
			for (const index of own.keys()) {
				own[index] += options.demand(Math.floor(index / expertsPerLayer), index % expertsPerLayer);
			}
		}
	};

	const report = (rank: number): unknown => {
		const {map, prepared, armed} = group.ranks[rank];
		return {
			group: {
				name: 'g', epoch: group.formation(), rank, state: isOpen ? 'open' : 'broken',
			},
			size: ranks, busy: false, queued: 0, active: 0, kv_used: 0, pace: 1,
			step: group.pass(), map, prepared: prepared ?? null, armed: armed ? {version: armed.version, step: armed.pass} : null, held: group.held(rank) ?? null,
		};
	};

	const picked = (rank: number, withLists: boolean): unknown => {
		const {map} = group.ranks[rank];
		return withLists
			? {epoch: group.formation(), map: {version: map, experts: lists[rank].get(map)}, prepared: null}
			: {step: group.pass(), epoch: group.formation(), counts: counts[rank]};
	};

	const carryOut = (rank: number, body: Record<string, unknown>): number => {
		const order = readOrder(body);
		if (!order) {
			return 400;
		}

		const result = isOpen ? group.order(rank, order, {fencingToken: Number(body.fencing_token), formation: Number(body.epoch)}) : 'refused';
		if (result === 'obeyed' && order.kind === 'prepare') {
			const map = body.map as ReadonlyArray<ReadonlyArray<readonly number[]>>;
			lists[rank].set(order.version, map.map(byRank => byRank[rank]));
		}

		return statuses[result];
	};

	const takeOrder = async (rank: number, req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const body = await readJson(req);
		const decided = fate(rank, String(body.operation));
		switch (decided.kind) {
			case 'prompt': {
				sendJson(res, carryOut(rank, body), {});
				return;
			}

			case 'unheard': {
				req.socket.destroy();
				return;
			}

			case 'answerLost': {
				carryOut(rank, body);
				req.socket.destroy();
				return;
			}

			case 'late': {
				await sleep(decided.ms, undefined, {ref: false});
				carryOut(rank, body);
				req.socket.destroy();
			}
		}
	};

	const serve = (rank: number) => (req: IncomingMessage, res: ServerResponse): void => {
		const url = new URL(req.url ?? '/', 'http://rank');
		if (url.pathname === '/papayaflow/report') {
			sendJson(res, 200, report(rank));
		} else if (url.pathname === '/papayaflow/picked') {
			sendJson(res, 200, picked(rank, url.searchParams.has('lists')));
		} else if (url.pathname === '/papayaflow/order' && req.method === 'POST') {
			void takeOrder(rank, req, res);
		} else {
			sendJson(res, 404, {});
		}
	};

	const servers: Server[] = [];
	for (let rank = 0; rank < ranks; rank++) {
		const server = createServer(serve(rank)).listen(0, '127.0.0.1');
		await once(server, 'listening');
		servers.push(server);
	}

	const passes = setInterval(beginPass, options.passMs).unref();
	return {
		group,
		addresses: servers.map(server => `127.0.0.1:${(server.address() as AddressInfo).port}`),
		experts: () => group.ranks.map(({map}, rank) => lists[rank].get(map) ?? []),
		async lose(ms) {
			isOpen = false;
			await sleep(ms, undefined, {ref: false});
			group.reform();
			isOpen = true;
		},
		stop() {
			clearInterval(passes);
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}

const statuses = {obeyed: 200, refused: 409, fenced: 412} as const;

function readOrder({operation, version, step}: Record<string, unknown>): PassOrder | undefined {
	switch (operation) {
		case 'prepare':
		case 'disarm': {
			return {kind: operation, version: Number(version)};
		}

		case 'arm': {
			return {kind: 'arm', version: Number(version), pass: Number(step)};
		}

		case 'hold': {
			return {kind: 'hold', pass: Number(step)};
		}

		case 'go': {
			return {kind: 'release', pass: Number(step)};
		}

		default: {
			return undefined;
		}
	}
}

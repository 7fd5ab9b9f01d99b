import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';
import {createPassGroup, type PassGroup, type PassOrder} from './pass-group.js';

/**
How a rank handles an order: it processes the order and responds (`prompt`), ignores the order
(`unheard`), processes it without a response (`answerLost`), or does so after `ms` milliseconds,
a delay meant to exceed the sender's timeout (`late`). The connection is closed if there is no
response.
*/
export type OrderDelivery
	= | {readonly kind: 'prompt'}
		| {readonly kind: 'unheard'}
		| {readonly kind: 'answerLost'}
		| {readonly kind: 'late'; readonly ms: number};

export type PassServerOptions = {
	/** The name of the group; `g` by default. */
	readonly name?: string;
	readonly ranks: number;
	readonly layers: number;
	readonly expertsPerLayer: number;
	readonly passMs: number;
	/** How often the requests of one rank choose an expert of a layer in one pass. */
	readonly demand: (layer: number, expert: number) => number;
	/** Returns how an order to a rank is delivered; `prompt` by default. */
	readonly orderDelivery?: (rank: number, operation: string) => OrderDelivery;
	/** The IP address of each rank's server; the loopback address by default. */
	readonly hosts?: readonly string[];
	/** Whether the group has requests, without which it begins no pass; always by default. */
	readonly hasRequests?: () => boolean;
	/** Handles requests that are not calls of the platform; status 404 by default. */
	readonly serve?: (rank: number, req: IncomingMessage, res: ServerResponse) => void;
};

/** A group of ranks, each with its own server on the loopback address. */
export type PassServers = {
	readonly group: PassGroup;
	/** Address of each rank as `IP:PORT`. */
	readonly addresses: readonly string[];
	/** The experts of the current map, by rank and layer. */
	experts(): ReadonlyArray<ReadonlyArray<readonly number[]>>;
	/** Reports the group as broken for `ms` milliseconds, during which it begins no pass and refuses orders, then opens it in a new formation. */
	breakFor(ms: number): Promise<void>;
	/** Closes the server of a rank and all its connections for `ms` milliseconds, and reports the group as broken meanwhile. */
	crash(rank: number, ms: number): Promise<void>;
	/** Whether all ranks are there and the group takes requests. */
	isOpen(): boolean;
	stop(): void;
};

type ExpertLists = ReadonlyArray<readonly number[]>;

/**
Starts an HTTP server for each rank of a group, with the endpoints of the platform's engines:
status reports, counts and lists of experts, and orders. All ranks begin each pass together;
a pass begins every `passMs` milliseconds while the group is open and not held.

@example
const ranks = await startPassServers({ranks: 3, layers: 1, expertsPerLayer: 6, passMs: 5, demand: (_, expert) => 6 - expert});
*/
export async function startPassServers(options: PassServerOptions): Promise<PassServers> {
	const {
		name = 'g', ranks, layers, expertsPerLayer, hasRequests = () => true, orderDelivery: deliveryOf = () => ({kind: 'prompt'}),
	} = options;
	const group = createPassGroup(ranks);
	let isOpen = true;
	const roundRobinExperts = (rank: number): ExpertLists => Array.from({length: layers}, () => Array.from({length: expertsPerLayer}, (_, expert) => expert).filter(expert => expert % ranks === rank));
	const expertLists = Array.from({length: ranks}, (_, rank) => new Map<number, ExpertLists>([[0, roundRobinExperts(rank)]]));
	const counts = Array.from({length: ranks}, () => Array.from({length: layers * expertsPerLayer}, () => 0));

	const beginPass = (): void => {
		if (!isOpen || !hasRequests() || !group.beginPass()) {
			return;
		}

		for (const rankCounts of counts) {
			for (const index of rankCounts.keys()) {
				rankCounts[index] += options.demand(Math.floor(index / expertsPerLayer), index % expertsPerLayer);
			}
		}
	};

	const rankReport = (rank: number): unknown => {
		const {map, prepared, armed} = group.ranks[rank];
		return {
			group: {
				name, epoch: group.formation(), rank, state: isOpen ? 'open' : 'broken',
			},
			size: ranks, busy: false, queued: 0, active: 0, kv_used: 0, pace: 1,
			step: group.pass(), map, prepared: prepared ?? null, armed: armed ? {version: armed.version, step: armed.pass} : null, held: group.held(rank) ?? null,
		};
	};

	const pickedResponse = (rank: number, withLists: boolean): unknown => {
		const {map} = group.ranks[rank];
		return withLists
			? {epoch: group.formation(), map: {version: map, experts: expertLists[rank].get(map)}, prepared: null}
			: {step: group.pass(), epoch: group.formation(), counts: counts[rank]};
	};

	const applyOrder = (rank: number, body: Record<string, unknown>): number => {
		const order = parseOrder(body);
		if (!order) {
			return 400;
		}

		const result = isOpen ? group.order(rank, order, {fencingToken: Number(body.fencing_token), formation: Number(body.epoch)}) : 'refused';
		if (result === 'obeyed' && order.kind === 'prepare') {
			const map = body.map as ReadonlyArray<ReadonlyArray<readonly number[]>>;
			expertLists[rank].set(order.version, map.map(expertsByRank => expertsByRank[rank]));
		}

		return httpStatus[result];
	};

	const handleOrder = async (rank: number, req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const body = await readJson(req);
		const delivery = deliveryOf(rank, String(body.operation));
		switch (delivery.kind) {
			case 'prompt': {
				sendJson(res, applyOrder(rank, body), {});
				return;
			}

			case 'unheard': {
				req.socket.destroy();
				return;
			}

			case 'answerLost': {
				applyOrder(rank, body);
				req.socket.destroy();
				return;
			}

			case 'late': {
				await sleep(delivery.ms, undefined, {ref: false});
				applyOrder(rank, body);
				req.socket.destroy();
			}
		}
	};

	const handleRequest = (rank: number) => (req: IncomingMessage, res: ServerResponse): void => {
		const url = new URL(req.url ?? '/', 'http://rank');
		if (url.pathname === '/papayaflow/report') {
			sendJson(res, 200, rankReport(rank));
		} else if (url.pathname === '/papayaflow/picked') {
			sendJson(res, 200, pickedResponse(rank, url.searchParams.has('lists')));
		} else if (url.pathname === '/papayaflow/order' && req.method === 'POST') {
			void handleOrder(rank, req, res);
		} else if (options.serve) {
			options.serve(rank, req, res);
		} else {
			sendJson(res, 404, {});
		}
	};

	const servers: Server[] = [];
	const hosts = options.hosts ?? Array.from({length: ranks}, () => '127.0.0.1');
	for (const [rank, host] of hosts.entries()) {
		const server = createServer(handleRequest(rank)).listen(0, host);
		await once(server, 'listening');
		servers.push(server);
	}

	const passTimer = setInterval(beginPass, options.passMs).unref();
	const addresses = servers.map(server => addressOfServer(server));
	const breakFor = async (ms: number): Promise<void> => {
		isOpen = false;
		await sleep(ms, undefined, {ref: false});
		group.startFormation();
		isOpen = true;
	};

	return {
		group,
		addresses,
		breakFor,
		async crash(rank, ms) {
			const server = servers[rank];
			server.close();
			server.closeAllConnections();
			await breakFor(ms);
			server.listen(Number(addresses[rank].split(':')[1]), hosts[rank]);
		},
		isOpen: () => isOpen,
		experts: () => group.ranks.map(({map}, rank) => expertLists[rank].get(map) ?? []),
		stop() {
			clearInterval(passTimer);
			for (const server of servers) {
				server.closeAllConnections();
				server.close();
			}
		},
	};
}

function addressOfServer(server: Server): string {
	const {address, port} = server.address() as AddressInfo;
	return `${address}:${port}`;
}

const httpStatus = {obeyed: 200, refused: 409, fenced: 412} as const;

function parseOrder({operation, version, step}: Record<string, unknown>): PassOrder | undefined {
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

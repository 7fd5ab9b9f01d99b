import {once} from 'node:events';
import {
	Agent, createServer, request, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	startSite, waitFor, type Site, type SiteProcess,
} from './site.js';

const eventMs = 40;
const paymentMs = 60;

/** What a caller got for one request. */
export type CallerAnswer = {
	readonly id: string;
	/** 0 without an answer. */
	readonly status: number;
	readonly isComplete: boolean;
	readonly error: string | undefined;
	readonly retryAfter: string | undefined;
	readonly isClosing: boolean;
};

export type RequestOptions = {
	readonly service: 'pay' | 'slow';
	/** How long the answer to a `slow` request takes, in milliseconds. */
	readonly streamMs?: number;
	/** Resolves when the second half of the body may be sent; without it, the body is sent at once. */
	readonly bodyEnds?: Promise<unknown>;
};

/** One caller with one connection, which it keeps for as long as the entry allows it. */
export type Caller = {
	ask(entry: SiteProcess, options: RequestOptions): Promise<CallerAnswer>;
	stop(): void;
};

/** A site with two more services, whose requests may not be repeated: `pay` answers at once, `slow` streams for as long as a request says. */
export type StoppingSite = {
	readonly site: Site;
	/** The ids of the requests that a target received. */
	readonly arrivals: ReadonlySet<string>;
	openCaller(name: string): Caller;
	stop(): Promise<void>;
};

/** Starts such a site with one entry. */
export async function startStoppingSite(): Promise<StoppingSite> {
	const arrivals = new Set<string>();
	const answer = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const id = String(req.headers['x-request-id']);
		arrivals.add(id);
		req.resume();
		await once(req, 'end');
		const headers = {'x-request-id': id, 'x-replica-seal': 's'};
		const events = Math.ceil(Number(new URL(req.url!, 'http://t').searchParams.get('ms')) / eventMs);
		if (events === 0) {
			await sleep(paymentMs);
			res.writeHead(200, {...headers, 'content-length': 4});
			res.end('paid');
			return;
		}

		res.writeHead(200, {...headers, 'content-type': 'text/event-stream'});
		for (let event = 1; event <= events; event++) {
			res.write(`id: ${event}\ndata: x\n\n`);
			await sleep(eventMs);
		}

		res.end(`id: ${events + 1}\ndata: last\n\n`);
	};

	const targets: Server[] = [];
	const site = await startSite({entries: 1, ranks: 1, plains: 1});
	const routeOf = (service: string, kind: string, timeoutMs: number): unknown => ({
		name: service, host: 'h.example', prefix: `/${service}/`, route_kind: kind, timeout_ms: timeoutMs, target_latency_ms: 300, service, max_attempts: 1, public: true, resumable: false,
	});
	const configuration = JSON.parse(site.store.get('op/config')!) as {routes: unknown[]; services: unknown[]};
	configuration.routes.push(routeOf('pay', 'non_idempotent', 600), routeOf('slow', 'streaming', 3000));
	configuration.services.push({name: 'pay', max_connections: 100}, {name: 'slow', max_connections: 100});
	for (const service of ['pay', 'slow']) {
		const target = createServer(answer);
		target.listen(0, '127.0.0.1');
		await once(target, 'listening');
		targets.push(target);
		const address = `127.0.0.1:${(target.address() as AddressInfo).port}`;
		site.store.put(`servers/${service}-0`, JSON.stringify({
			service, address, zone: 'z', version: '1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq: 1, born: 1,
		}));
	}

	site.store.put('op/config', JSON.stringify({...configuration, version: 2}));
	return {
		site, arrivals, openCaller,
		async stop() {
			await site.stop();
			for (const target of targets) {
				target.closeAllConnections();
				target.close();
			}
		},
	};
}

/** Waits until an entry serves both services. */
export async function waitUntilServing(entry: SiteProcess): Promise<void> {
	const caller = openCaller(`probe-${entry.name}`);
	await waitFor(async () => {
		const answers = [await caller.ask(entry, {service: 'pay'}), await caller.ask(entry, {service: 'slow', streamMs: 1})];
		return answers.every(({status}) => status === 200) ? true : undefined;
	});
	caller.stop();
}

/** Waits until an entry accepts no more connections. */
export async function waitUntilDeaf({port, child}: SiteProcess): Promise<void> {
	while (child.exitCode === null) {
		const socket = connect({host: '127.0.0.1', port});
		const isOpen = await new Promise<boolean>(resolve => {
			socket.once('connect', () => {
				resolve(true);
			});
			socket.once('error', () => {
				resolve(false);
			});
		});
		socket.destroy();
		if (!isOpen) {
			return;
		}

		await sleep(5);
	}
}

/** The answers that a caller did not get, although the entry had read the request or a target had received it. */
export function lostAnswers(answers: readonly CallerAnswer[], {lines}: SiteProcess, arrivals: ReadonlySet<string>): readonly CallerAnswer[] {
	return answers.filter(({id, isComplete}) => !isComplete && (arrivals.has(id) || lines.some(line => line.includes(`"requestId":"${id}"`))));
}

function openCaller(name: string): Caller {
	const agent = new Agent({keepAlive: true, maxSockets: 1});
	let count = 0;
	return {
		async ask(entry, {service, streamMs = 0, bodyEnds}) {
			const id = `${name}-${count++}`;
			return new Promise(resolve => {
				const req = request({
					agent, host: '127.0.0.1', port: entry.port, method: 'POST', path: `/${service}/x?ms=${streamMs}`,
					headers: {host: 'h.example', 'x-request-id': id, 'x-deadline-ms': service === 'pay' ? '600' : '3000'},
				}, res => {
					const resultOf = (isComplete: boolean, error?: string): CallerAnswer => ({
						id, status: res.statusCode!, isComplete, error, retryAfter: res.headers['retry-after'], isClosing: res.headers.connection === 'close',
					});
					res.resume();
					res.once('end', () => {
						resolve(resultOf(res.complete));
					});
					res.once('error', error => {
						resolve(resultOf(false, error.message));
					});
				});
				req.once('error', (error: NodeJS.ErrnoException) => {
					resolve({
						id, status: 0, isComplete: false, error: error.code ?? error.message, retryAfter: undefined, isClosing: true,
					});
				});
				void sendBody(bodyEnds, part => {
					req.write(part);
				}, () => {
					req.end();
				});
			});
		},
		stop() {
			agent.destroy();
		},
	};
}

async function sendBody(bodyEnds: Promise<unknown> | undefined, write: (part: string) => void, end: () => void): Promise<void> {
	write('first half, ');
	await bodyEnds;
	write('second half');
	end();
}

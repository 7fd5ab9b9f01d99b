import {createServer, type IncomingMessage, type Server} from 'node:http';
import {superviseServer} from '@papayaflow/inbound';
import {reportClosedConnections} from './closed-connections.js';
import {type Containment} from './containment.js';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** The most connections to one admin address. The platform and operators use a few. */
const maxConnections = 64;

/** The most bytes that clients of one admin address may have sent ahead of their turn. */
const maxAheadBytes = 1_048_576;

/** The most bytes that the heads of their requests may take. */
const maxHeadBytes = 1_048_576;

/** The most bytes of a body that are read and dropped. No admin request needs one. */
const maxDroppedBytes = 65_536;

/** The response to an admin request. A string body is sent as plain text, any other as JSON. */
export type AdminReply = {readonly status: number; readonly body: unknown};

/** The data and actions that the admin server of a program exposes. */
export type AdminSources = {
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	/** Receives the exceptions of handlers; their requests get status 500. */
	readonly containment: Containment;
	/** Returns whether the program accepts new requests, and if not, the reason. */
	ready(): {readonly ready: boolean; readonly reason?: string};
	/** Returns the body of `GET /status`. */
	status(): unknown;
	/** Handlers of further endpoints, by `METHOD /path`; each gets the query of the request. */
	readonly actions?: Readonly<Record<string, (query: URLSearchParams) => Promise<AdminReply> | AdminReply>>;
};

/**
Creates an HTTP server for `/metrics`, `/healthz`, `/readyz`, `/status` and the
program's own actions. Other paths get status 404.

@example
const server = serveAdmin({metrics, log, containment, monotonicMs: () => performance.now(), ready: () => ({ready: true}), status: () => ({})});
server.listen(9101, '127.0.0.1');
*/
export function serveAdmin(sources: AdminSources): Server {
	const server = createServer(async (request, res) => {
		const reply = await answerSafely(request, sources);
		const isText = typeof reply.body === 'string';
		res.writeHead(reply.status, {'content-type': isText ? 'text/plain; version=0.0.4' : 'application/json'});
		res.end(isText ? reply.body : JSON.stringify(reply.body));
	});
	superviseServer(server, {
		maxConnections, maxAheadBytes, maxHeadBytes, maxDroppedBytes: () => maxDroppedBytes, monotonicMs: sources.monotonicMs, onClosed: reportClosedConnections('admin', sources),
	});
	return server;
}

async function answerSafely(request: IncomingMessage, sources: AdminSources): Promise<AdminReply> {
	try {
		return await answer(request, sources);
	} catch (error) {
		sources.containment.report('admin', error);
		return {status: 500, body: {reason: 'internalError'}};
	}
}

async function answer(request: IncomingMessage, sources: AdminSources): Promise<AdminReply> {
	const [path, query = ''] = (request.url ?? '/').split('?', 2);
	switch (`${request.method} ${path}`) {
		case 'GET /metrics': {
			return {status: 200, body: await sources.metrics.text()};
		}

		case 'GET /healthz': {
			return {status: 200, body: {healthy: true}};
		}

		case 'GET /readyz': {
			const state = sources.ready();
			return {status: state.ready ? 200 : 503, body: state};
		}

		case 'GET /status': {
			return {status: 200, body: sources.status()};
		}

		default: {
			const action = sources.actions?.[`${request.method} ${path}`];
			return action ? action(new URLSearchParams(query)) : {status: 404, body: {reason: 'noSuchEndpoint'}};
		}
	}
}

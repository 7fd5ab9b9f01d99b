import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {readBody} from '@papayaflow/caller';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {drawService, identify, type RouteTable} from '@papayaflow/routing';
import {openCallerAnswer, type CallerAnswer} from './answer.js';
import {type Call} from './call.js';
import {forward, type ForwardDeps, type Forwarded} from './forward.js';

/** When to come back to an entry that knows no configuration yet, in milliseconds: one is learned within about a second. */
const noConfigRetryMs = 300;

/** What Node reads of a head before it gives up, in bytes; the operators' limit is held after that. */
const maxHeadBytes = 131_072;

/** How often connections are looked at for heads that do not come, in milliseconds. */
const checkMs = 500;

/** How long a resting connection is kept beyond what its caller was told, in milliseconds, so that a last request still finds it. */
const idleMarginMs = 1000;

/** Bytes that a slow caller may leave unread before its call is cancelled. */
const maxUnreadBytes = 4_194_304;

export type FrontDeps = ForwardDeps & {
	/** The configuration in force; `undefined` before the first. */
	readonly table: () => RouteTable | undefined;
	readonly random: () => number;
	/** Whether the entry leaves, so that callers are sent elsewhere. */
	readonly isLeaving: () => boolean;
};

/** The HTTP front of an entry. */
export type Front = {
	readonly server: Server;
	/** Requests that have not got their final answer. */
	inFlight(): number;
	/** Tells each request that is left its true outcome and ends it. */
	giveUpAll(): void;
	/** Takes the callers' limits of a new configuration. */
	useLimits(limits: {readonly headerTimeoutMs: number; readonly idleTimeoutMs: number}): void;
};

type Refusal = {readonly reason: RefusalReason; readonly status?: number; readonly retryAfterMs?: number; readonly detail: string};

/**
Makes the front that callers speak to. Each request is one task: find its route and
organisation in one version of the configuration, read it, forward it, answer it, log it.

@example
const front = createFront(deps);
front.server.listen(8080, '127.0.0.1');
*/
export function createFront(deps: FrontDeps): Front {
	const {metrics, log, monotonicMs, dialect} = deps;
	const open = new Set<AbortController>();

	const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const arrivedMs = monotonicMs();
		const caller = dialect.readCaller(req.headers);
		const requestId = caller.requestId ?? randomUUID();
		const answer = openCallerAnswer(res, {requestId, isLast: deps.isLeaving});
		const refuse = ({reason, status, retryAfterMs = noConfigRetryMs, detail}: Refusal): void => {
			metrics.count('refusals', {reason});
			log.info({
				requestId, outcome: 'notRun', reason, detail, host: req.headers.host ?? null, path: pathStart(req), version: deps.table()?.configuration.version ?? null,
			}, 'request refused');
			if (status === undefined) {
				answer.fail({
					kind: 'notRun', reason, retryAfterMs, detail,
				});
			} else {
				res.writeHead(status, {'content-length': 0, ...(status === 413 && {connection: 'close'})});
				res.end();
			}
		};

		const table = deps.table();
		if (!table) {
			refuse({reason: 'configurationStale', detail: 'no configuration yet'});
			return;
		}

		const {configuration} = table;
		if (headBytes(req) > configuration.limits.maxHeaderBytes) {
			refuse({reason: 'badRequest', status: 431, detail: 'the head is too long'});
			return;
		}

		const route = table.routeOf(req.headers.host ?? '', req.url ?? '/');
		const service = route && drawService(route, deps.random);
		if (!route || service === undefined) {
			refuse({reason: 'noRoute', status: 404, detail: 'no route'});
			return;
		}

		const identified = identify(configuration, route, caller.key);
		if (identified.kind === 'unknownKey') {
			refuse({reason: 'unknownKey', status: 401, detail: 'no organisation has this key'});
			return;
		}

		const body = await readBody(req, configuration.limits.maxBodyBytes);
		if (body.kind === 'tooLarge') {
			refuse({reason: 'badRequest', status: 413, detail: 'the body is too long'});
			return;
		}

		if (body.kind === 'broken') {
			// The caller has gone; there is nobody to answer.
			metrics.count('refusals', {reason: 'badRequest'});
			return;
		}

		const organisation = identified.kind === 'organisation' ? identified.organisation : undefined;
		const call: Call = {
			requestId, route, service, version: configuration.version, organisation: organisation?.name, priority: organisation?.priority ?? route.priority,
			method: req.method ?? 'GET', path: req.url ?? '/', rawHeaders: req.rawHeaders, body: body.bytes, generation: caller.generation,
			deadlineMs: Math.min(caller.deadlineMs ?? route.timeoutMs, route.timeoutMs), arrivedMs,
		};
		const ended = await run(call, answer, res);
		finish(call, ended, answer, res);
	};

	const run = async (call: Call, answer: CallerAnswer, res: ServerResponse): Promise<Forwarded> => {
		const controller = new AbortController();
		const giveUp = (reason: LossReason): void => {
			controller.abort(reason);
		};

		const timer = setTimeout(giveUp, Math.max(0, call.deadlineMs - (monotonicMs() - call.arrivedMs)), 'timeout');
		res.once('close', () => {
			giveUp('callerGone');
		});
		open.add(controller);
		const watched: CallerAnswer = {
			...answer,
			head(status, rawHeaders) {
				metrics.latency('first_event', monotonicMs() - call.arrivedMs);
				answer.head(status, rawHeaders);
			},
			data(bytes) {
				answer.data(bytes);
				if (answer.unreadBytes > maxUnreadBytes) {
					metrics.count('slow_callers');
					giveUp('callerGone');
				}
			},
			get begun() {
				return answer.begun;
			},
			get unreadBytes() {
				return answer.unreadBytes;
			},
		};
		const ended = await forward({call, answer: watched, signal: controller.signal}, deps);
		clearTimeout(timer);
		open.delete(controller);
		return ended;
	};

	const finish = (call: Call, {outcome, status, attempts}: Forwarded, answer: CallerAnswer, res: ServerResponse): void => {
		if (outcome.kind !== 'answered' && !res.destroyed) {
			answer.fail(outcome);
		}

		const ms = monotonicMs() - call.arrivedMs;
		metrics.count('requests', {outcome: outcome.kind});
		metrics.latency('request', ms);
		if (outcome.kind === 'notRun') {
			metrics.count('refusals', {reason: outcome.reason});
		} else if (outcome.kind === 'unknown') {
			metrics.count('losses', {reason: outcome.reason});
		}

		log.info({
			requestId: call.requestId, route: call.route.name, service: call.service, organisation: call.organisation ?? null, version: call.version,
			outcome: outcome.kind, reason: outcome.kind === 'answered' ? null : outcome.reason, detail: outcome.kind === 'answered' ? null : outcome.detail ?? null,
			status: status ?? null, attempts, ms: Math.round(ms), deadlineMs: call.deadlineMs,
		}, 'request ended');
	};

	const server = createServer({maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: checkMs, requestTimeout: 0}, async (req, res) => {
		res.on('error', () => undefined);
		await serve(req, res);
	});
	server.on('clientError', (error: NodeJS.ErrnoException, socket) => {
		metrics.count('caller_faults', {code: error.code ?? 'unknown'});
		if (socket.writable && error.code !== 'ECONNRESET') {
			socket.end(`HTTP/1.1 ${error.code === 'ERR_HTTP_REQUEST_TIMEOUT' ? '408 Request Timeout' : '400 Bad Request'}\r\nconnection: close\r\ncontent-length: 0\r\n\r\n`);
		} else {
			socket.destroy();
		}
	});

	return {
		server,
		inFlight: () => open.size,
		giveUpAll() {
			for (const controller of open) {
				controller.abort('shutdown' satisfies LossReason);
			}
		},
		useLimits({headerTimeoutMs, idleTimeoutMs}) {
			server.headersTimeout = headerTimeoutMs;
			server.keepAliveTimeout = idleTimeoutMs + idleMarginMs;
		},
	};
}

function headBytes(req: IncomingMessage): number {
	let bytes = (req.url ?? '').length;
	for (const part of req.rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
}

function pathStart(req: IncomingMessage): string {
	return (req.url ?? '').slice(0, 64);
}

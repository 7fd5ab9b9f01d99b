import {randomUUID} from 'node:crypto';
import {setImmediate} from 'node:timers/promises';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	readBody, trackConnections, type Body, type BodyBuffers, type BodyBytes, type CallerConnections,
} from '@papayaflow/caller';
import {superviseServer, type SupervisionLimits} from '@papayaflow/inbound';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {requestSubject} from '@papayaflow/quarantine';
import {
	allowedZonesOf, drawService, identifyCaller, type Organisation, type Route, type RouteTable,
} from '@papayaflow/routing';
import {reportClosedConnections, type Containment} from '@papayaflow/telemetry';
import {createCallerAnswer, type CallerAnswer} from './answer.js';
import {maxLoggedParts, type Call} from './call.js';
import {forward, type ForwardDeps, type ForwardResult} from './forward.js';

/** The retry delay suggested to callers before the first configuration is known, in milliseconds. An entry receives it within about a second. */
const noConfigurationRetryAfterMs = 300;

/** The size of a request head beyond which Node.js rejects it, in bytes. The configured limit is checked afterwards. */
const maxHeadBytes = 131_072;

/** How often Node.js checks connections against the header timeout, in milliseconds. */
const headTimeoutCheckMs = 500;

/** How much longer than the configured idle timeout a connection is kept open, in milliseconds, so that a request sent just before the timeout still arrives. */
const keepAliveMarginMs = 1000;

/** The unread bytes of a response beyond which the call of a slow caller is cancelled. */
const maxUnreadBytes = 4_194_304;

/** How long a caller may take none of the bytes that wait for it, in milliseconds. Callers abandon a stream after two seconds without an event. */
const defaultUnreadTimeoutMs = 5000;

/** How many turns of the event loop it takes to read the end of a connection that arrived together with a request, and to act on it. */
const closeTurns = 3;

/** The retry delay suggested to callers while the entry is stopping, in milliseconds. Other entries can take the request at once. */
const shutdownRetryAfterMs = 10;

/** The retry delay suggested to callers whose bodies find no room in memory, in milliseconds. Room comes with each call that ends. */
const noRoomRetryAfterMs = 200;

/** When a stopping entry takes no more requests, on the monotonic clock. */
export type StopPlan = {
	/** Until then every request is taken, since the platform still sends new connections here, in milliseconds. */
	readonly lingerEndsAtMs: number;
	/** When the requests that are still running are aborted, in milliseconds. Between the two, only requests are taken whose deadline is earlier. */
	readonly endsAtMs: number;
};

export type FrontDeps = ForwardDeps & {
	/** Receives the exceptions that no code has foreseen; each ends one request. */
	readonly containment: Containment;
	/** Returns the current configuration; `undefined` before the first one is known. */
	readonly table: () => RouteTable | undefined;
	readonly random: () => number;
	/** The region of each availability zone; none is known by default. */
	readonly regionByZone?: ReadonlyMap<string, string>;
	readonly bodyBuffers: BodyBuffers;
	/** What all callers together may hold beside bodies and answers. */
	readonly callerLimits: SupervisionLimits;
	/** How long a caller may take none of the bytes that wait for it before it is disconnected, in milliseconds; five seconds by default. */
	readonly unreadTimeoutMs?: number;
	/** The plan of a stop; `undefined` while the entry is not stopping. A stopping entry closes callers' connections after their responses. */
	readonly stopPlan: () => StopPlan | undefined;
};

/** The HTTP server of an entry. */
export type Front = {
	readonly server: Server;
	readonly connections: CallerConnections;
	/** Returns the bytes of requests that callers have sent ahead of their turn. */
	aheadBytes(): number;
	/** What the heads of requests take in memory beyond what most heads do. */
	headBytes(): number;
	/** The number of calls that are being forwarded. */
	inFlight(): number;
	/** Aborts the remaining calls and refuses the requests that are still being read; each caller still receives the outcome of its call. Returns the number of calls. */
	abortAll(): number;
	/** Applies the connection timeouts of a new configuration. */
	applyTimeouts(limits: {readonly headerTimeoutMs: number; readonly idleTimeoutMs: number}): void;
};

/** Why a request is refused whose body was not read to its end. */
const bodyRefusals: Readonly<Record<CancelReason | 'tooLarge' | 'noRoom', Refusal>> = {
	late: {reason: 'deadlinePassed', detail: 'the body had not arrived at the deadline', closes: true},
	abandoned: {reason: 'shuttingDown', retryAfterMs: shutdownRetryAfterMs, detail: 'the entry stopped before the body had arrived'},
	noRoom: {reason: 'overloaded', retryAfterMs: noRoomRetryAfterMs, detail: 'the entry holds as many bytes of bodies as it may'},
	evicted: {
		reason: 'overloaded', retryAfterMs: noRoomRetryAfterMs, detail: 'the body arrived slowly, and the entry needed the memory for others', closes: true,
	},
	tooLarge: {reason: 'badRequest', status: 413, detail: 'the body is too long'},
};

type Refusal = {readonly reason: RefusalReason; readonly status?: number; readonly retryAfterMs?: number; readonly detail: string; readonly closes?: boolean};

/** Why a body is no longer read: the entry is stopping, the deadline has passed, or others need its memory. */
type CancelReason = 'abandoned' | 'late' | 'evicted';

type BodyLimits = {readonly maxBytes: number; readonly timeoutMs: number};

/**
Creates the HTTP server that callers connect to. It looks up the route and the
organisation of each request in a single version of the configuration, reads the body,
forwards the call and logs the outcome.

@example
const front = createFront(deps);
front.server.listen(8080, '127.0.0.1');
*/
export function createFront(deps: FrontDeps): Front {
	const {metrics, log, monotonicMs, dialect} = deps;
	const openCalls = new Set<AbortController>();
	/** Ends the reading of each request whose body is still arriving. */
	const unreadRequests = new Set<() => void>();

	const readWholeBody = async (req: IncomingMessage, held: BodyBytes, {maxBytes, timeoutMs}: BodyLimits): Promise<Exclude<Body, {kind: 'cancelled'}> | {readonly kind: CancelReason}> => {
		const reading = readBody(req, maxBytes, held.add);
		let cancelReason: CancelReason = 'abandoned';
		const cancel = (reason: CancelReason): void => {
			cancelReason = reason;
			reading.cancel();
		};

		const abandon = (): void => {
			cancel('abandoned');
		};

		// A caller that sends its body slowly, or stops, would hold its bytes for as long as it stays connected.
		const timer = setTimeout(cancel, timeoutMs, 'late');
		unreadRequests.add(abandon);
		held.beginArrival(() => {
			cancel('evicted');
		});
		const body = await reading.body;
		clearTimeout(timer);
		held.endArrival();
		unreadRequests.delete(abandon);
		return body.kind === 'cancelled' ? {kind: cancelReason} : body;
	};

	const zonesFor = (route: Route, organisation: Organisation | undefined): ReadonlySet<string> | undefined => allowedZonesOf(deps.regionByZone ?? new Map(), [route.allowedRegions, organisation?.allowedRegions]);

	/** Returns why a stopping entry does not take a request that has this long left; `undefined` if it takes it. */
	const reasonNotToTake = (deadlineMs: number): string | undefined => {
		const plan = deps.stopPlan();
		const now = monotonicMs();
		if (!plan || now < plan.lingerEndsAtMs || now + deadlineMs <= plan.endsAtMs) {
			return undefined;
		}

		return `the entry stops in ${Math.max(0, Math.round(plan.endsAtMs - now))} ms, before the deadline of ${deadlineMs} ms`;
	};

	const handleRequest = async (req: IncomingMessage, res: ServerResponse, held: BodyBytes): Promise<void> => {
		const arrivedMs = monotonicMs();
		const caller = dialect.readCaller(req.headers);
		const requestId = caller.requestId ?? randomUUID();
		const answer = createCallerAnswer(res, {requestId, shouldClose: () => deps.stopPlan() !== undefined});
		const refuse = ({reason, status, retryAfterMs = noConfigurationRetryAfterMs, detail, closes}: Refusal): void => {
			res.shouldKeepAlive &&= !closes;
			metrics.count('refusals', {reason});
			log.info({
				requestId, outcome: 'notRun', reason, detail, host: req.headers.host ?? null, path: truncatedPath(req), version: deps.table()?.configuration.version ?? null,
			}, 'request refused');
			if (status === undefined) {
				answer.fail({
					kind: 'notRun', reason, retryAfterMs, detail,
				});
			} else {
				res.writeHead(status, {'content-length': 0, ...((status === 413 || deps.stopPlan()) && {connection: 'close'})});
				res.end();
			}
		};

		const table = deps.table();
		if (!table) {
			refuse({reason: 'configurationStale', detail: 'no configuration yet'});
			return;
		}

		const {configuration} = table;
		if (countHeadBytes(req) > configuration.limits.maxHeaderBytes) {
			refuse({reason: 'badRequest', status: 431, detail: 'the head is too long'});
			return;
		}

		const route = table.routeOf(req.headers.host ?? '', req.url ?? '/');
		const service = route && drawService(route, deps.random);
		if (!route || service === undefined) {
			refuse({reason: 'noRoute', status: 404, detail: 'no route'});
			return;
		}

		const identified = identifyCaller(configuration, route, caller.key);
		if (identified.kind === 'unknownKey') {
			refuse({reason: 'unknownKey', status: 401, detail: 'no organisation has this key'});
			return;
		}

		const deadlineMs = Math.min(caller.deadlineMs ?? route.timeoutMs, route.timeoutMs);
		const body = await readWholeBody(req, held, {maxBytes: configuration.limits.maxBodyBytes, timeoutMs: deadlineMs});
		if (body.kind === 'broken') {
			// The caller has disconnected, so no response can be sent.
			metrics.count('refusals', {reason: 'badRequest'});
			return;
		}

		if (body.kind !== 'read') {
			refuse(bodyRefusals[body.kind]);
			return;
		}

		if (await hasLeft(req)) {
			refuse({reason: 'withdrawn', detail: 'the caller had closed the connection before the request was read'});
			return;
		}

		const notTaken = reasonNotToTake(deadlineMs - (monotonicMs() - arrivedMs));
		if (notTaken !== undefined) {
			refuse({reason: 'shuttingDown', retryAfterMs: shutdownRetryAfterMs, detail: notTaken});
			return;
		}

		const organisation = identified.kind === 'organisation' ? identified.organisation : undefined;
		let subject: string | undefined;
		const call: Call = {
			requestId, route, service, version: configuration.version, organisation: organisation?.name, priority: organisation?.priority ?? route.priority,
			method: req.method ?? 'GET', path: req.url ?? '/', rawHeaders: req.rawHeaders, body: body.bytes, generation: caller.generation, sharedParts: caller.sharedParts,
			deadlineMs, arrivedMs, allowedZones: zonesFor(route, organisation),
			subject() {
				subject ??= requestSubject({
					method: call.method, path: call.path, organisation: call.organisation, body: call.body,
				});
				return subject;
			},
		};
		const result = await forwardCall(call, answer, res);
		finishCall(call, result, answer, res);
	};

	const forwardCall = async (call: Call, answer: CallerAnswer, res: ServerResponse): Promise<ForwardResult> => {
		const controller = new AbortController();
		const giveUp = (reason: LossReason): void => {
			controller.abort(reason);
		};

		const timer = setTimeout(giveUp, Math.max(0, call.deadlineMs - (monotonicMs() - call.arrivedMs)), 'timeout');
		const dropSlowCaller = (): void => {
			metrics.count('slow_callers');
			giveUp('callerGone');
			res.destroy();
		};

		const unread = deps.answerBuffers.open(dropSlowCaller, 'unread');
		// The timer of the socket starts anew with each byte that the caller takes, also after the call has ended.
		res.setTimeout(deps.unreadTimeoutMs ?? defaultUnreadTimeoutMs, () => {
			if (answer.unreadBytes > 0) {
				dropSlowCaller();
			}
		});
		res.on('drain', () => {
			unread.set(answer.unreadBytes);
		});
		const limitUnread = (): void => {
			if (!unread.set(answer.unreadBytes) || answer.unreadBytes > maxUnreadBytes) {
				dropSlowCaller();
			}
		};

		res.once('close', () => {
			unread.release();
			giveUp('callerGone');
		});
		openCalls.add(controller);
		const monitoredAnswer: CallerAnswer = {
			...answer,
			head(status, rawHeaders) {
				metrics.latency('first_event', monotonicMs() - call.arrivedMs);
				answer.head(status, rawHeaders);
			},
			data(bytes) {
				answer.data(bytes);
				limitUnread();
			},
			sendWhole(status, rawHeaders, body) {
				answer.sendWhole(status, rawHeaders, body);
				if (!unread.set(answer.unreadBytes)) {
					dropSlowCaller();
				}
			},
			get headersSent() {
				return answer.headersSent;
			},
			get unreadBytes() {
				return answer.unreadBytes;
			},
		};
		try {
			return await forward({call, answer: monitoredAnswer, signal: controller.signal}, deps);
		} finally {
			clearTimeout(timer);
			openCalls.delete(controller);
		}
	};

	const finishCall = (call: Call, {outcome, status, attempts}: ForwardResult, answer: CallerAnswer, res: ServerResponse): void => {
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
			status: status ?? null, parts: outcome.kind === 'answered' ? null : call.sharedParts.slice(0, maxLoggedParts), attempts, ms: Math.round(ms), deadlineMs: call.deadlineMs,
		}, 'request ended');
	};

	const server = createServer({maxHeaderSize: maxHeadBytes, connectionsCheckingInterval: headTimeoutCheckMs, requestTimeout: 0}, async (req, res) => {
		res.on('error', () => undefined);
		// Without a listener, a time-out of the socket that an earlier response has set would close the connection.
		res.on('timeout', () => undefined);
		const held = deps.bodyBuffers.open();
		try {
			await handleRequest(req, res, held);
		} catch (error) {
			deps.containment.report('request', error);
			metrics.count('losses', {reason: 'internalError'});
			endUnforeseen(req, res);
		} finally {
			held.release();
		}
	});
	const supervision = superviseServer(server, {
		...deps.callerLimits, monotonicMs, maxDroppedBytes: () => deps.table()?.configuration.limits.maxBodyBytes, onClosed: reportClosedConnections('caller', deps),
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
		connections: trackConnections(server, monotonicMs),
		aheadBytes: supervision.aheadBytes,
		headBytes: supervision.headBytes,
		inFlight: () => openCalls.size,
		abortAll() {
			const aborted = [...openCalls];
			for (const abandon of unreadRequests) {
				abandon();
			}

			for (const controller of aborted) {
				controller.abort('shutdown' satisfies LossReason);
			}

			return aborted.length;
		},
		applyTimeouts({headerTimeoutMs, idleTimeoutMs}) {
			server.headersTimeout = headerTimeoutMs;
			server.keepAliveTimeout = idleTimeoutMs + keepAliveMarginMs;
		},
	};
}

/** Answers a request whose handling has thrown; a target may have run it. */
function endUnforeseen({headers}: IncomingMessage, res: ServerResponse): void {
	if (res.headersSent) {
		res.destroy();
		return;
	}

	const requestId = String(headers['x-request-id'] ?? '');
	createCallerAnswer(res, {requestId, shouldClose: () => true}).fail({kind: 'unknown', reason: 'internalError', retryAfterMs: 0});
}

/**
Whether the caller has already closed the connection. After a delay of the event loop, a
request and the end of its connection are both waiting to be read, the request first.
*/
async function hasLeft({socket}: IncomingMessage): Promise<boolean> {
	for (let turn = 0; turn < closeTurns; turn++) {
		await setImmediate();
	}

	return socket.readableEnded || socket.destroyed;
}

function countHeadBytes(req: IncomingMessage): number {
	let bytes = (req.url ?? '').length;
	for (const part of req.rawHeaders) {
		bytes += part.length + 2;
	}

	return bytes;
}

function truncatedPath(req: IncomingMessage): string {
	return (req.url ?? '').slice(0, 64);
}

import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	openAnswer, readCall, trackConnections, type Answer, type BodyBuffers, type BodyBytes, type Call, type CallerConnections, type CallResult,
} from '@papayaflow/caller';
import {findOrganisation, type Follower, type Preset} from '@papayaflow/config';
import {superviseServer, type SupervisionLimits} from '@papayaflow/inbound';
import {type LossReason, type Outcome} from '@papayaflow/outcome';
import {consumeQuota, type Bucket} from '@papayaflow/policy';
import {reportClosedConnections, type Containment, type Log} from '@papayaflow/telemetry';
import {LRUCache} from 'lru-cache';
import {forward, isKeyed, type ForwardDeps} from './forward.js';

const noConfigRetryAfterMs = 1000;

/** The retry delay suggested to a caller whose body there was no room for, in milliseconds. Bodies that arrive slowly give way after this time. */
const noRoomRetryAfterMs = 1000;
const defaultKeyHeader = 'idempotency-key';
const maxTrackedOrganisations = 20_000;
const headersTimeoutMs = 10_000;
const maxHeaderBytes = 65_536;

type Refusal = Extract<Outcome, {kind: 'notRun'}>;

export type FrontDeps = ForwardDeps & {
	readonly follower: Follower;
	readonly log: Log;
	readonly containment: Containment;
	/** Counts the bytes of all bodies, from their arrival until their calls have ended. */
	readonly bodyBuffers: BodyBuffers;
	/** What all callers together may hold beside bodies and answers. */
	readonly callerLimits: SupervisionLimits;
};

/** The HTTP front end of an entry. */
export type Front = {
	readonly server: Server;
	readonly connections: CallerConnections;
	/** The number of requests being forwarded. */
	inFlight(): number;
	/** Aborts all requests in flight with the reason `shutdown`; each caller receives the outcome of its request. */
	abortAll(): void;
};

/**
Creates the HTTP server that callers connect to. Each request is handled by one task
that reads, checks, forwards and answers it and records its outcome.

@example
const front = createFront(deps);
front.server.listen(8080, '127.0.0.1');
*/
export function createFront(deps: FrontDeps): Front {
	const {follower, metrics, log} = deps;
	// Callers choose the organisation name themselves, so the number of buckets is bounded.
	const buckets = new LRUCache<string, Bucket>({max: maxTrackedOrganisations});
	const inFlightControllers = new Set<AbortController>();

	const handleRequest = async (req: IncomingMessage, res: ServerResponse, held: BodyBytes): Promise<void> => {
		const startedMs = deps.monotonicMs();
		const preset = follower.applied()?.preset;
		if (!preset) {
			metrics.count('refusals', {reason: 'configurationStale'});
			openAnswer(res, randomUUID()).fail(outcomeWithoutConfig(req));
			return;
		}

		const read = await readCall(req, preset, held);
		if (read.kind === 'bad') {
			sendBadRequest(res, read, req.headers[preset.idempotency.keyHeader] !== undefined);
			metrics.count('refusals', {reason: read.reason});
			return;
		}

		if (read.kind === 'noRoom') {
			openAnswer(res, read.requestId).fail(outcomeOfRefusal(read.key !== undefined, {
				kind: 'notRun', reason: 'overloaded', retryAfterMs: noRoomRetryAfterMs, detail: 'the entry holds as many bytes of bodies as it may',
			}));
			metrics.count('refusals', {reason: 'overloaded'});
			return;
		}

		const {call} = read;
		const answer = openAnswer(res, call.requestId);
		const refusal = checkLimits(call, preset);
		const result = refusal ? {outcome: outcomeOfRefusal(isKeyed(call), refusal), attempts: 0, target: undefined} : await forwardCall(call, answer, preset, res);
		finish(answer, result.outcome, res);
		countOutcome(result.outcome, deps.monotonicMs() - startedMs);
		log.info({
			requestId: call.requestId, organisation: call.organisation, service: call.service, target: result.target ?? null, attempts: result.attempts,
			outcome: result.outcome.kind, reason: result.outcome.kind === 'answered' ? null : result.outcome.reason,
			ms: Math.round(deps.monotonicMs() - startedMs),
		}, 'request ended');
	};

	const forwardCall = async (call: Call, answer: Answer, preset: Preset, res: ServerResponse): ReturnType<typeof forward> => {
		const controller = new AbortController();
		const abortWith = (reason: LossReason) => (): void => {
			controller.abort(reason);
		};

		const timer = setTimeout(abortWith('timeout'), call.deadlineMs);
		res.once('close', abortWith('callerGone'));
		inFlightControllers.add(controller);
		const startedMs = deps.monotonicMs();
		const meteredAnswer: Answer = {
			...answer,
			head(status, headers) {
				metrics.latency('first_byte', deps.monotonicMs() - startedMs);
				answer.head(status, headers);
			},
			data(bytes) {
				answer.data(bytes);
				if (answer.unreadBytes > preset.limits.maxUnreadBytes) {
					metrics.count('slow_callers');
					controller.abort('callerGone' satisfies LossReason);
				}
			},
			get begun() {
				return answer.begun;
			},
		};
		const result = await forward({
			call, answer: meteredAnswer, signal: controller.signal, preset,
		}, deps);
		clearTimeout(timer);
		inFlightControllers.delete(controller);
		return result;
	};

	const checkLimits = (call: Call, preset: Preset): Refusal | undefined => {
		const isStale = preset.whenStale === 'refuse' && deps.monotonicMs() - follower.confirmedAtMs() > preset.staleAfterMs;
		if (isStale) {
			return {
				kind: 'notRun', reason: 'configurationStale', retryAfterMs: noConfigRetryAfterMs, detail: 'it is not known here whether this preset is in force',
			};
		}

		const {requestsPerSecond, burst} = findOrganisation(preset, call.organisation);
		const quota = consumeQuota(buckets.get(call.organisation), {requestsPerSecond, burst, entries: deps.links.entries()}, deps.monotonicMs());
		buckets.set(call.organisation, quota.bucket);
		return quota.kind === 'over' ? {kind: 'notRun', reason: 'quotaExceeded', retryAfterMs: quota.retryAfterMs} : undefined;
	};

	const countOutcome = (outcome: Outcome, ms: number): void => {
		metrics.count('requests', {outcome: outcome.kind});
		metrics.latency('request', ms);
		if (outcome.kind === 'notRun') {
			metrics.count('refusals', {reason: outcome.reason});
		} else if (outcome.kind === 'unknown') {
			metrics.count('losses', {reason: outcome.reason});
		}
	};

	const server = createServer({maxHeaderSize: maxHeaderBytes, headersTimeout: headersTimeoutMs}, async (req, res) => {
		res.on('error', () => undefined);
		const held = deps.bodyBuffers.open();
		try {
			await handleRequest(req, res, held);
		} catch (error) {
			deps.containment.report('request', error);
			res.destroy();
		} finally {
			held.release();
		}
	});
	superviseServer(server, {
		...deps.callerLimits, monotonicMs: deps.monotonicMs, maxDroppedBytes: () => follower.applied()?.preset.limits.maxBodyBytes, onClosed: reportClosedConnections('caller', deps),
	});
	server.on('clientError', (_error, socket) => {
		metrics.count('refusals', {reason: 'badRequest'});
		if (socket.writable) {
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
		}
	});

	return {
		server,
		connections: trackConnections(server, deps.monotonicMs),
		inFlight: () => inFlightControllers.size,
		abortAll() {
			for (const controller of inFlightControllers) {
				controller.abort('shutdown' satisfies LossReason);
			}
		},
	};
}

// For a keyed call `notRun` means that no call with the key has run, and only the owner of the key's shard knows that.
function outcomeOfRefusal(hasKey: boolean, refusal: Refusal): Exclude<Outcome, {kind: 'answered'}> {
	return hasKey
		? {
			kind: 'unknown', reason: 'notAsked', retryAfterMs: refusal.retryAfterMs, detail: `refused without asking the owner of the key: ${refusal.reason}`,
		}
		: refusal;
}

function finish(answer: Answer, outcome: Outcome, res: ServerResponse): void {
	if (outcome.kind === 'answered') {
		answer.end();
	} else if (!res.destroyed) {
		answer.fail(outcome);
	}
}

// Without a configuration the name of the key header is unknown, so the default name is checked.
function outcomeWithoutConfig(req: IncomingMessage): Exclude<Outcome, {kind: 'answered'}> {
	const common = {retryAfterMs: noConfigRetryAfterMs, detail: 'no configuration yet'};
	return req.headers[defaultKeyHeader] === undefined
		? {kind: 'notRun', reason: 'configurationStale', ...common}
		: {kind: 'unknown', reason: 'notAsked', ...common};
}

type BadRequest = Extract<CallResult, {kind: 'bad'}>;

// A malformed request did not run, but an earlier well-formed request with the same key may have run.
function sendBadRequest(res: ServerResponse, {requestId, reason, status, detail}: BadRequest, hasKey: boolean): void {
	res.writeHead(status, {'content-type': 'application/problem+json', 'x-request-id': requestId, connection: status === 413 ? 'close' : 'keep-alive'});
	res.end(JSON.stringify({
		type: `urn:papayaflow:${reason}`, title: 'The request is malformed and was not run.', status, outcome: hasKey ? 'unknown' : 'notRun', reason, detail, requestId,
	}));
}

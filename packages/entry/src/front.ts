import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	openAnswer, readCall, type Answer, type Call, type CallResult,
} from '@papayaflow/caller';
import {organisationOf, type Follower, type Preset} from '@papayaflow/config';
import {type LossReason, type Outcome} from '@papayaflow/outcome';
import {takeQuota, type Bucket} from '@papayaflow/policy';
import {type Log} from '@papayaflow/telemetry';
import {LRUCache} from 'lru-cache';
import {forward, isKeyed, type ForwardDeps} from './forward.js';

const noConfigRetryMs = 1000;
const usualKeyHeader = 'idempotency-key';
const mostOrganisations = 20_000;
const headersTimeoutMs = 10_000;
const maxHeaderBytes = 65_536;

type Refusal = Extract<Outcome, {kind: 'notRun'}>;

export type FrontDeps = ForwardDeps & {readonly follower: Follower; readonly log: Log};

/** The HTTP front of an entry. */
export type Front = {
	readonly server: Server;
	/** Requests that have not got their final answer. */
	inFlight(): number;
	/** Tells each request that is left its true outcome and ends it. */
	giveUpAll(): void;
};

/**
Makes the front that callers speak to. Each request is one task: read, check,
forward, answer, count.

@example
const front = createFront(deps);
front.server.listen(8080, '127.0.0.1');
*/
export function createFront(deps: FrontDeps): Front {
	const {follower, metrics, log} = deps;
	// Callers name their organisation, so what is kept for each is bounded.
	const buckets = new LRUCache<string, Bucket>({max: mostOrganisations});
	const open = new Set<AbortController>();

	const serve = async (req: IncomingMessage, res: ServerResponse): Promise<void> => {
		const startedMs = deps.monotonicMs();
		const preset = follower.applied()?.preset;
		if (!preset) {
			metrics.count('refusals', {reason: 'configurationStale'});
			openAnswer(res, randomUUID()).fail(unconfigured(req));
			return;
		}

		const read = await readCall(req, preset);
		if (read.kind === 'bad') {
			refuseBad(res, read, req.headers[preset.idempotency.keyHeader] !== undefined);
			metrics.count('refusals', {reason: read.reason});
			return;
		}

		const {call} = read;
		const answer = openAnswer(res, call.requestId);
		const refusal = refuse(call, preset);
		const ended = refusal ? {outcome: refusedHere(call, refusal), attempts: 0, target: undefined} : await run(call, answer, preset, res);
		finish(answer, ended.outcome, res);
		countOutcome(ended.outcome, deps.monotonicMs() - startedMs);
		log.info({
			requestId: call.requestId, organisation: call.organisation, service: call.service, target: ended.target ?? null, attempts: ended.attempts,
			outcome: ended.outcome.kind, reason: ended.outcome.kind === 'answered' ? null : ended.outcome.reason,
			ms: Math.round(deps.monotonicMs() - startedMs),
		}, 'request ended');
	};

	const run = async (call: Call, answer: Answer, preset: Preset, res: ServerResponse): ReturnType<typeof forward> => {
		const controller = new AbortController();
		const giveUp = (reason: LossReason) => (): void => {
			controller.abort(reason);
		};

		const timer = setTimeout(giveUp('timeout'), call.deadlineMs);
		res.once('close', giveUp('callerGone'));
		open.add(controller);
		const startedMs = deps.monotonicMs();
		const watched: Answer = {
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
		const ended = await forward({
			call, answer: watched, signal: controller.signal, preset,
		}, deps);
		clearTimeout(timer);
		open.delete(controller);
		return ended;
	};

	const refuse = (call: Call, preset: Preset): Refusal | undefined => {
		const isStale = preset.whenStale === 'refuse' && deps.monotonicMs() - follower.confirmedAtMs() > preset.staleAfterMs;
		if (isStale) {
			return {
				kind: 'notRun', reason: 'configurationStale', retryAfterMs: noConfigRetryMs, detail: 'it is not known here whether this preset is in force',
			};
		}

		const {requestsPerSecond, burst} = organisationOf(preset, call.organisation);
		const taken = takeQuota(buckets.get(call.organisation), {requestsPerSecond, burst, entries: deps.links.entries()}, deps.monotonicMs());
		buckets.set(call.organisation, taken.bucket);
		return taken.kind === 'over' ? {kind: 'notRun', reason: 'quotaExceeded', retryAfterMs: taken.retryAfterMs} : undefined;
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
		await serve(req, res);
	});
	server.on('clientError', (_error, socket) => {
		metrics.count('refusals', {reason: 'badRequest'});
		if (socket.writable) {
			socket.end('HTTP/1.1 400 Bad Request\r\nconnection: close\r\ncontent-length: 0\r\n\r\n');
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
	};
}

// "Not run" speaks of the key, and only the owner of the key's shard can say it.
function refusedHere(call: Call, refusal: Refusal): Outcome {
	return isKeyed(call)
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

// Without a configuration the header's name is not known either; the usual one is looked for.
function unconfigured(req: IncomingMessage): Exclude<Outcome, {kind: 'answered'}> {
	const rest = {retryAfterMs: noConfigRetryMs, detail: 'no configuration yet'};
	return req.headers[usualKeyHeader] === undefined
		? {kind: 'notRun', reason: 'configurationStale', ...rest}
		: {kind: 'unknown', reason: 'notAsked', ...rest};
}

type BadRequest = Extract<CallResult, {kind: 'bad'}>;

// A malformed request did not run, but its key may have, under a sound one.
function refuseBad(res: ServerResponse, {requestId, reason, status, detail}: BadRequest, hasKey: boolean): void {
	res.writeHead(status, {'content-type': 'application/problem+json', 'x-request-id': requestId, connection: status === 413 ? 'close' : 'keep-alive'});
	res.end(JSON.stringify({
		type: `urn:papayaflow:${reason}`, title: 'The request is malformed and was not run.', status, outcome: hasKey ? 'unknown' : 'notRun', reason, detail, requestId,
	}));
}

import {Buffer} from 'node:buffer';
import {type LossReason, type Outcome} from '@papayaflow/outcome';
import {type ResendBudget} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type CallerAnswer} from './answer.js';
import {isRepeatable, type Call} from './call.js';
import {type Dialect} from './dialect.js';
import {createEventSplitter} from './events.js';
import {exchange, type Exchanged, type Head} from './exchange.js';
import {type Place, type Placer} from './place.js';

/** How long a connection may have rested and still be used for work that may be sent again, in milliseconds: a target closes one after some seconds. */
const repeatableRestMs = 3000;

/** When to come back after a refusal that every target gave, in milliseconds: some service times of a small call. */
const refusedRetryMs = 100;

/** Sendings that targets refused as not run, beyond which a request is given back: each costs the target and the caller time. */
const maxRefusals = 3;

/** The least that is left for a sending to be worth it, in milliseconds: a round trip and a little work. */
const leastUsefulMs = 15;

export type ForwardDeps = {
	readonly dialect: Dialect;
	readonly place: Placer;
	readonly resends: ResendBudget;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	/** How long a stream that may be resumed may be silent before it goes on elsewhere, in milliseconds. */
	readonly silenceMs: (call: Call) => number;
};

/** A call that has been let in, with where its answer goes. */
export type Arrival = {
	readonly call: Call;
	readonly answer: CallerAnswer;
	/** Fires with a `LossReason` when the call is given up. */
	readonly signal: AbortSignal;
};

/** How a call ended, with what the log tells of it. */
export type Forwarded = {readonly outcome: Outcome; readonly status: number | undefined; readonly attempts: readonly AttemptRecord[]};

/** One sending, for the log. */
export type AttemptRecord = {readonly target: string; readonly ended: string; readonly ms: number};

/** An answer of a target that is kept while another target is asked. */
type Kept = {readonly head: Head; readonly body: Uint8Array};

/** What one sending brought. */
type Sending
	/** The caller has its whole answer. */
	= | {readonly kind: 'done'; readonly status: number}
		/** The target ran the request and failed; its answer can still be passed on. */
		| {readonly kind: 'failed'; readonly kept: Kept}
		| {readonly kind: 'lost'; readonly reason: LossReason; readonly detail: string}
		| {readonly kind: 'notRun'; readonly detail: string; readonly isMisdirected: boolean};

/** What a call has come to so far. */
type Progress = {
	/** The last event that the caller has; 0 for none. */
	lastEvent: number;
	hasEvents: boolean;
	hasLoss: boolean;
	lastLoss: LossReason;
	kept: Kept | undefined;
	refusals: number;
	readonly attempts: AttemptRecord[];
};

/**
Brings a call to a target and its answer back. What may have run is sent again only
if it is repeatable; what a target did not run may go to another one. A stream that
breaks goes on at another target within the same answer, after its last whole event.

@example
const {outcome} = await forward({call, answer, signal}, deps);
*/
export async function forward(arrival: Arrival, deps: ForwardDeps): Promise<Forwarded> {
	const {call, answer, signal} = arrival;
	const tried = new Set<string>();
	const progress: Progress = {
		lastEvent: 0, hasEvents: false, hasLoss: false, lastLoss: 'targetLost', kept: undefined, refusals: 0, attempts: [],
	};
	deps.resends.onRequest(call.service);

	const ended = (outcome: Outcome, status?: number): Forwarded => ({outcome, status, attempts: progress.attempts});
	const giveUp = (reason: Extract<Outcome, {kind: 'notRun'}>): Forwarded => {
		if (progress.kept && !answer.begun) {
			answer.whole(progress.kept.head.status, progress.kept.head.rawHeaders, progress.kept.body);
			return ended({kind: 'answered'}, progress.kept.head.status);
		}

		return ended(progress.hasLoss
			? {
				kind: 'unknown', reason: progress.lastLoss, retryAfterMs: reason.retryAfterMs, detail: `then ${reason.reason}`,
			}
			: reason);
	};

	for (let runs = 0; ;) {
		const placed = await deps.place({
			call, tried, signal, hasBegun: progress.hasEvents,
		});
		if (signal.aborted) {
			if (placed.kind === 'placed') {
				placed.place.ended('neutral');
			}

			return giveUp({
				kind: 'notRun', reason: 'withdrawn', retryAfterMs: refusedRetryMs, detail: String(signal.reason),
			});
		}

		if (placed.kind === 'refused') {
			const {reason, retryAfterMs, detail} = placed;
			return giveUp({
				kind: 'notRun', reason, retryAfterMs, detail,
			});
		}

		const {place} = placed;
		const {id} = place.target.record;
		if (progress.attempts.length > 0 && !deps.resends.tryTake(call.service)) {
			place.ended('neutral');
			deps.metrics.count('retries_denied', {reason: 'resendBudgetSpent'});
			return giveUp({kind: 'notRun', reason: 'resendBudgetSpent', retryAfterMs: refusedRetryMs});
		}

		tried.add(id);
		const startedMs = deps.monotonicMs();
		const sending = await send(arrival, place, progress, deps);
		progress.attempts.push({target: id, ended: describe(sending), ms: Math.round(deps.monotonicMs() - startedMs)});
		if (sending.kind === 'done') {
			return ended({kind: 'answered'}, sending.status);
		}

		note(sending, progress, signal);
		runs += sending.kind === 'notRun' ? 0 : 1;
		if (sending.kind === 'notRun' && sending.isMisdirected) {
			place.target.markGone();
		}

		const leftMs = call.deadlineMs - (deps.monotonicMs() - call.arrivedMs);
		const mayGoOn = (sending.kind === 'notRun' || isRepeatable(call)) && !signal.aborted && leftMs > leastUsefulMs;
		if (!mayGoOn || runs >= call.route.maxAttempts || progress.refusals > maxRefusals) {
			return giveUp({
				kind: 'notRun', reason: leftMs > leastUsefulMs ? 'targetUnreachable' : 'deadlinePassed', retryAfterMs: refusedRetryMs, detail: describe(sending),
			});
		}

		deps.metrics.count('retries', {reason: sending.kind === 'lost' ? sending.reason : sending.kind});
	}
}

function note(sending: Exclude<Sending, {kind: 'done'}>, progress: Progress, signal: AbortSignal): void {
	switch (sending.kind) {
		case 'failed': {
			progress.kept = sending.kept;
			break;
		}

		case 'lost': {
			progress.hasLoss = true;
			progress.lastLoss = signal.aborted ? signal.reason as LossReason : sending.reason;
			break;
		}

		case 'notRun': {
			progress.refusals++;
		}
	}
}

async function send(arrival: Arrival, place: Place, progress: Progress, deps: ForwardDeps): Promise<Sending> {
	const {call, answer, signal} = arrival;
	const silence = new AbortController();
	const limitMs = silenceLimit(call, deps);
	let timer: NodeJS.Timeout | undefined;
	const listen = (): void => {
		clearTimeout(timer);
		timer = limitMs === undefined
			? undefined
			: setTimeout(() => {
				silence.abort('silent');
			}, limitMs);
	};

	const receiver = createReceiver(arrival, place, progress, listen);
	const leftMs = Math.max(1, Math.floor(call.deadlineMs - (deps.monotonicMs() - call.arrivedMs)));
	listen();
	const ended = await exchange(place.target.pool, {
		requestId: call.requestId,
		method: call.method,
		path: call.path,
		body: call.body,
		headers: deps.dialect.targetHeaders(call.rawHeaders, {
			deadlineMs: leftMs, targetId: place.target.record.id, organisation: call.organisation, lastEventId: progress.hasEvents ? String(progress.lastEvent) : undefined,
		}),
	}, receiver, {
		dialect: deps.dialect, maxRestMs: isRepeatable(call) ? repeatableRestMs : 0, signal: AbortSignal.any([signal, silence.signal]),
	});
	clearTimeout(timer);
	const sending = receiver.result(ended, signal.aborted ? String(signal.reason) : undefined);
	if (silence.signal.aborted && !signal.aborted) {
		// A connection that went silent is seldom alone.
		place.target.pool.dropResting();
	}

	place.ended(healthOf(sending, signal));
	if (sending.kind === 'done' && answer.begun) {
		answer.end();
	}

	return sending;
}

// Only what may be sent again is given up for its silence; all else may still be running.
function silenceLimit(call: Call, {silenceMs}: ForwardDeps): number | undefined {
	return isRepeatable(call) ? silenceMs(call) : undefined;
}

function healthOf(sending: Sending, signal: AbortSignal): 'served' | 'failed' | 'rejected' | 'neutral' {
	if (signal.aborted) {
		return 'neutral';
	}

	switch (sending.kind) {
		case 'done': {
			return sending.status >= 500 ? 'failed' : 'served';
		}

		case 'notRun': {
			return 'rejected';
		}

		case 'failed':
		case 'lost': {
			return 'failed';
		}
	}
}

type Receiver = {
	head(head: Head): void;
	data(bytes: Uint8Array): void;
	result(ended: Exchanged, givenUp: string | undefined): Sending;
};

function createReceiver({call, answer}: Arrival, place: Place, progress: Progress, heard: () => void): Receiver {
	const splitter = createEventSplitter();
	const chunks: Uint8Array[] = [];
	let head: Head | undefined;
	const isRelayed = (): boolean => call.route.kind === 'stream' && head !== undefined && head.status < 300;

	const relay = (bytes: Uint8Array): void => {
		for (const event of splitter.push(bytes)) {
			heard();
			// A target that resumes may repeat what the caller already has.
			if (event.id !== undefined && event.id <= progress.lastEvent) {
				continue;
			}

			if (!progress.hasEvents) {
				place.began();
			}

			if (!answer.begun) {
				answer.head(head!.status, head!.rawHeaders);
			}

			progress.hasEvents = true;
			progress.lastEvent = event.id ?? progress.lastEvent;
			answer.data(event.bytes);
		}
	};

	return {
		head(given) {
			head = given;
		},
		data(bytes) {
			if (isRelayed()) {
				relay(bytes);
			} else {
				chunks.push(bytes);
			}
		},
		result(ended, givenUp) {
			switch (ended.kind) {
				case 'notSent': {
					return {kind: 'notRun', detail: ended.detail, isMisdirected: false};
				}

				case 'notRun': {
					return {kind: 'notRun', detail: `status ${ended.status}`, isMisdirected: ended.isMisdirected};
				}

				case 'broken': {
					return {kind: 'lost', reason: givenUp as LossReason ?? (ended.reason === 'cancelled' ? 'timeout' : ended.reason), detail: ended.detail};
				}

				case 'complete': {
					return complete();
				}
			}
		},
	};

	function complete(): Sending {
		if (!head) {
			return {kind: 'lost', reason: 'truncated', detail: 'no head'};
		}

		if (isRelayed()) {
			if (splitter.isTorn) {
				return {kind: 'lost', reason: 'truncated', detail: 'ends within an event'};
			}

			if (!answer.begun) {
				answer.head(head.status, head.rawHeaders);
			}

			return {kind: 'done', status: head.status};
		}

		const kept: Kept = {head, body: Buffer.concat(chunks)};
		// Once events have gone out, the failure of a resumption is not an answer to the caller.
		if (head.status >= 500 && (isRepeatable(call) || answer.begun)) {
			return {kind: 'failed', kept};
		}

		if (answer.begun) {
			return {kind: 'lost', reason: 'wrongAnswer', detail: `status ${head.status} to a resumption`};
		}

		answer.whole(head.status, head.rawHeaders, kept.body);
		return {kind: 'done', status: head.status};
	}
}

function describe(sending: Sending): string {
	switch (sending.kind) {
		case 'done': {
			return `status ${sending.status}`;
		}

		case 'failed': {
			return `status ${sending.kept.head.status}`;
		}

		case 'lost': {
			return `${sending.reason}: ${sending.detail}`;
		}

		case 'notRun': {
			return `not run: ${sending.detail}`;
		}
	}
}

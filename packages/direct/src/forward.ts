import {type LossReason, type Outcome} from '@papayaflow/outcome';
import {type ResendBudget} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {
	createAnswerReceiver, type AttemptResult, type BufferedAnswer, type StreamProgress,
} from './answer-receiver.js';
import {type CallerAnswer} from './answer.js';
import {type AnswerBuffers} from './buffers.js';
import {isRetryable, type Call} from './call.js';
import {type CrashDetector} from './crash.js';
import {type AnswerHead, type Dialect} from './dialect.js';
import {exchange} from './exchange.js';
import {type Place, type Placer} from './place.js';
import {type Target} from './targets.js';

/** The longest idle time of a connection that is reused for a retryable call, in milliseconds. Targets close idle connections after some seconds. */
const retryableMaxIdleMs = 3000;

/** The retry delay suggested to the caller when no target ran its call, in milliseconds. It spans several service times of a small call. */
const refusalRetryAfterMs = 100;

/** The largest number of targets that accept no connection after which a call is still sent to another one. These cost no target anything, but each may take as long as the connection's time-out. */
const maxUnreachable = 8;

/** The largest number of refusals by targets after which a call is still retried. Each refusal costs the target and the caller time. */
const maxRefusals = 3;

const noTargets: ReadonlySet<string> = new Set();

/** The number of events after which a target has begun to answer. A target may crash as it sends the first one. */
const begunEvents = 2;

/** The least remaining deadline for another attempt, in milliseconds. It covers a round trip and a little work of the target. */
const minAttemptMs = 15;

export type ForwardDeps = {
	readonly dialect: Dialect;
	readonly place: Placer;
	readonly resendBudget: ResendBudget;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	/** Counts the bytes of all answers that are not whole yet or not read by their callers. */
	readonly answerBuffers: AnswerBuffers;
	readonly crashes: CrashDetector;
	/** Called when a target has begun to answer a call. */
	readonly onBegun: (call: Call) => void;
	/** How long a retryable call may go without a whole event or response before it is retried, or its stream resumed, at another target, in milliseconds. */
	readonly silenceTimeoutMs: (call: Call) => number;
	/** Called with the head of each answer of a target; `sentMs` is when the answered request was sent, in milliseconds of the monotonic clock. */
	readonly onAnswer: (target: Target, head: AnswerHead, sentMs: number) => void;
};

/** A call that was admitted, with the writer of its response. */
export type AdmittedCall = {
	readonly call: Call;
	readonly answer: CallerAnswer;
	/** Aborted with a `LossReason` when the call times out, its caller disconnects or reads too slowly, or the entry shuts down. */
	readonly signal: AbortSignal;
};

/** How a call ended, with the details for its log line. */
export type ForwardResult = {readonly outcome: Outcome; readonly status: number | undefined; readonly attempts: readonly AttemptRecord[]};

/** One attempt, as it is logged. */
export type AttemptRecord = {
	readonly target: string;
	readonly ended: string;
	/** When the target was chosen, in milliseconds since the request was read. */
	readonly placedMs: number;
	/** How long after that the request was written to the connection, in milliseconds; `undefined` if it never was. */
	readonly sentAfterMs: number | undefined;
	/** The whole events of a stream that arrived. */
	readonly events: number;
	/** How long the attempt took, in milliseconds. */
	readonly ms: number;
};

/** The state of a call across its attempts. */
type Progress = StreamProgress & {
	hasLostAttempt: boolean;
	lastLossReason: LossReason;
	failedAnswer: BufferedAnswer | undefined;
	/** Ends the accounting of `failedAnswer`. */
	releaseFailedAnswer: () => void;
	refusals: number;
	/** The attempts that no target accepted a connection for. */
	unreachable: number;
	readonly attempts: AttemptRecord[];
};

/**
Forwards a call to a target and passes the response on to the caller. After an attempt
that may have run, only a retryable call is sent again. After an attempt that was not
sent, or that the target states it did not run, any call may go to another target. A
resumable stream that breaks is resumed at another target within the same response,
after its last whole event.

@example
const {outcome} = await forward({call, answer, signal}, deps);
*/
export async function forward(admitted: AdmittedCall, deps: ForwardDeps): Promise<ForwardResult> {
	const progress: Progress = {
		lastEventId: 0, hasSentEvents: false, hasLostAttempt: false, lastLossReason: 'targetLost', failedAnswer: undefined, releaseFailedAnswer: () => undefined, refusals: 0, unreachable: 0,
		attempts: [],
	};
	try {
		return await forwardUntilEnded(admitted, progress, deps);
	} finally {
		progress.releaseFailedAnswer();
	}
}

async function forwardUntilEnded(admitted: AdmittedCall, progress: Progress, deps: ForwardDeps): Promise<ForwardResult> {
	const {call, answer, signal} = admitted;
	const tried = new Set<string>();
	deps.resendBudget.onRequest(call.service);

	const toForwardResult = (outcome: Outcome, status?: number): ForwardResult => ({outcome, status, attempts: progress.attempts});
	const giveUp = (refusal: Extract<Outcome, {kind: 'notRun'}>): ForwardResult => {
		if (progress.failedAnswer && !answer.headersSent) {
			answer.sendWhole(progress.failedAnswer.head.status, progress.failedAnswer.head.rawHeaders, progress.failedAnswer.body);
			return toForwardResult({kind: 'answered'}, progress.failedAnswer.head.status);
		}

		return toForwardResult(progress.hasLostAttempt
			? {
				kind: 'unknown', reason: progress.lastLossReason, retryAfterMs: refusal.retryAfterMs, detail: `then ${refusal.reason}`,
			}
			: refusal);
	};

	for (let possibleRuns = 0; ;) {
		const placed = await deps.place({
			call, tried, signal, hasBegun: progress.hasSentEvents, excluded: noTargets,
		});
		if (signal.aborted) {
			if (placed.kind === 'placed') {
				placed.place.ended('neutral');
			}

			return giveUp({
				kind: 'notRun', reason: 'withdrawn', retryAfterMs: refusalRetryAfterMs, detail: String(signal.reason),
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
		// The budget limits arrivals at targets; an attempt without a connection was none.
		if (progress.attempts.length > progress.unreachable && !deps.resendBudget.tryTake(call.service)) {
			place.ended('neutral');
			deps.metrics.count('retries_denied', {reason: 'resendBudgetSpent'});
			return giveUp({kind: 'notRun', reason: 'resendBudgetSpent', retryAfterMs: refusalRetryAfterMs});
		}

		const isSentAgain = tried.has(id);
		tried.add(id);
		const placedMs = deps.monotonicMs();
		let attempt: Awaited<ReturnType<typeof sendAttempt>>;
		try {
			attempt = await sendAttempt(admitted, {place, isSentAgain}, progress, deps);
		} catch (error) {
			place.ended('neutral');
			throw error;
		}

		const {result, events} = attempt;
		if (result.kind === 'done') {
			return toForwardResult({kind: 'answered'}, result.status);
		}

		recordFailure(result, progress, signal, deps);
		await checkForCrash(admitted, place.target, {result, events}, deps);
		possibleRuns += result.kind === 'notRun' ? 0 : 1;
		if (result.kind === 'notRun' && result.isMisdirected) {
			place.target.markGone(placedMs);
		} else if (result.kind === 'notRun' && result.isUnreachable) {
			place.target.markUnreachable();
			deps.metrics.count('unreachable_targets');
		} else if (result.kind === 'notRun' && result.isRefused) {
			place.refused?.();
		}

		const leftMs = call.deadlineMs - (deps.monotonicMs() - call.arrivedMs);
		const canRetry = (result.kind === 'notRun' || isRetryable(call)) && !signal.aborted && leftMs > minAttemptMs;
		if (!canRetry || possibleRuns >= call.route.maxAttempts || progress.refusals > maxRefusals || progress.unreachable > maxUnreachable) {
			return giveUp({
				kind: 'notRun', reason: leftMs > minAttemptMs ? 'targetUnreachable' : 'deadlinePassed', retryAfterMs: refusalRetryAfterMs, detail: describeResult(result),
			});
		}

		deps.metrics.count('retries', {reason: result.kind === 'lost' ? result.reason : result.kind});
	}
}

function recordFailure(result: Exclude<AttemptResult, {kind: 'done'}>, progress: Progress, signal: AbortSignal, {answerBuffers}: ForwardDeps): void {
	switch (result.kind) {
		case 'failed': {
			holdFailedAnswer(result.bufferedAnswer, progress, answerBuffers);
			break;
		}

		case 'lost': {
			progress.hasLostAttempt = true;
			progress.lastLossReason = signal.aborted ? signal.reason as LossReason : result.reason;
			break;
		}

		case 'notRun': {
			progress.refusals += result.isUnreachable ? 0 : 1;
			progress.unreachable += result.isUnreachable ? 1 : 0;
		}
	}
}

/** Keeps the answer of a target that failed, for the case that no other target answers. It counts as held, and is given up as a lost answer if the memory is needed. */
function holdFailedAnswer(bufferedAnswer: BufferedAnswer, progress: Progress, answerBuffers: AnswerBuffers): void {
	const giveUp = (): void => {
		progress.failedAnswer = undefined;
		progress.hasLostAttempt = true;
		progress.lastLossReason = 'answerTooLong';
	};

	progress.releaseFailedAnswer();
	const held = answerBuffers.open(giveUp);
	progress.releaseFailedAnswer = held.release;
	progress.failedAnswer = bufferedAnswer;
	if (!held.set(bufferedAnswer.body.length)) {
		giveUp();
	}
}

/** Waits until it is known whether a target that closed the connection before its answer had begun has crashed. */
async function checkForCrash({call, signal}: AdmittedCall, target: Target, {result, events}: {readonly result: AttemptResult; readonly events: number}, {crashes}: ForwardDeps): Promise<void> {
	const isClosed = result.kind === 'lost' && (result.reason === 'targetLost' || result.reason === 'truncated');
	if (isClosed && events < begunEvents && !signal.aborted) {
		await crashes.onLost(target, {requestId: call.requestId, parts: [...call.sharedParts, call.subject()]});
	}
}

async function sendAttempt(admitted: AdmittedCall, {place, isSentAgain}: {readonly place: Place; readonly isSentAgain: boolean}, progress: Progress, deps: ForwardDeps): Promise<{readonly result: AttemptResult; readonly events: number}> {
	const {call, answer, signal} = admitted;
	const startedMs = deps.monotonicMs();
	let sentAfterMs: number | undefined;
	const silenceController = new AbortController();
	const silenceLimitMs = silenceLimit(call, deps);
	let silenceTimer: NodeJS.Timeout | undefined;
	const restartSilenceTimer = (): void => {
		clearTimeout(silenceTimer);
		silenceTimer = silenceLimitMs === undefined
			? undefined
			: setTimeout(() => {
				silenceController.abort('silent');
			}, silenceLimitMs);
	};

	let events = 0;
	let hasBegun = false;
	const recordBegun = (isBegun: boolean): void => {
		if (isBegun && !hasBegun) {
			hasBegun = true;
			deps.onBegun(call);
		}
	};

	const receiver = createAnswerReceiver(admitted, {
		place, progress,
		held: deps.answerBuffers.open(() => {
			silenceController.abort('the answers held exceed the limit of the entry');
		}),
		onEvent() {
			events++;
			restartSilenceTimer();
			recordBegun(events === begunEvents);
		},
	});
	const leftMs = Math.max(1, Math.floor(call.deadlineMs - (startedMs - call.arrivedMs)));
	restartSilenceTimer();
	const exchangeResult = await exchange(place.target.pool, {
		requestId: call.requestId,
		method: call.method,
		path: call.path,
		body: call.body,
		headers: deps.dialect.targetHeaders(call.rawHeaders, {
			deadlineMs: leftMs, targetId: place.target.record.id, organisation: call.organisation, lastEventId: progress.hasSentEvents ? String(progress.lastEventId) : undefined,
		}),
	}, receiver, {
		dialect: deps.dialect,
		// On a connection that has carried the call before, a copy of the earlier answer would bear its id.
		maxIdleMs: isRetryable(call) && !isSentAgain ? retryableMaxIdleMs : 0,
		signal: AbortSignal.any([signal, silenceController.signal]),
		mayStart: place.mayStart,
		onSent() {
			sentAfterMs = Math.round(deps.monotonicMs() - startedMs);
			deps.metrics.latency('send_delay', sentAfterMs);
		},
		onAnswer(head) {
			deps.onAnswer(place.target, head, startedMs + (sentAfterMs ?? 0));
		},
	});
	clearTimeout(silenceTimer);
	const result = receiver.result(exchangeResult, signal.aborted ? String(signal.reason) : undefined);
	receiver.release();
	if (silenceController.signal.aborted && !signal.aborted) {
		// The idle connections to a target that stopped sending are probably dead too.
		place.target.pool.dropIdle();
	}

	place.ended(targetOutcomeOf(result, signal));
	if (result.kind === 'done') {
		recordBegun(result.status < 300);
		if (answer.headersSent) {
			answer.end();
		}
	}

	progress.attempts.push({
		target: place.target.record.id, ended: describeResult(result), placedMs: Math.round(startedMs - call.arrivedMs), sentAfterMs, events, ms: Math.round(deps.monotonicMs() - startedMs),
	});
	return {result, events};
}

// A call that isn't retryable gets no limit, since the silent target may still be running it.
function silenceLimit(call: Call, {silenceTimeoutMs}: ForwardDeps): number | undefined {
	return isRetryable(call) ? silenceTimeoutMs(call) : undefined;
}

function targetOutcomeOf(result: AttemptResult, signal: AbortSignal): 'served' | 'failed' | 'rejected' | 'neutral' {
	if (signal.aborted) {
		return 'neutral';
	}

	switch (result.kind) {
		case 'done': {
			return result.status >= 500 ? 'failed' : 'served';
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

function describeResult(result: AttemptResult): string {
	switch (result.kind) {
		case 'done': {
			return `status ${result.status}`;
		}

		case 'failed': {
			return `status ${result.bufferedAnswer.head.status}`;
		}

		case 'lost': {
			return `${result.reason}: ${result.detail}`;
		}

		case 'notRun': {
			return `not run: ${result.detail}`;
		}
	}
}

import {Buffer} from 'node:buffer';
import {type LossReason} from '@papayaflow/outcome';
import {type CallerAnswer} from './answer.js';
import {type HeldBytes} from './buffers.js';
import {isRetryable, type Call} from './call.js';
import {createEventSplitter, partOverheadBytes} from './events.js';
import {type ExchangeResult, type TargetAnswerHead} from './exchange.js';
import {type Place} from './place.js';

/** The longest answer that is held until it is whole, in bytes. */
const maxAnswerBytes = 4_194_304;

/** The longest event of a stream, in bytes. */
const maxEventBytes = 1_048_576;

/** A whole response of a target that is held back while the call is retried at another target. */
export type BufferedAnswer = {readonly head: TargetAnswerHead; readonly body: Uint8Array};

/** The result of one attempt. */
export type AttemptResult
	/** The caller has its whole response. */
	= | {readonly kind: 'done'; readonly status: number}
		/** The target ran the request and failed; its response can still be passed on. */
		| {readonly kind: 'failed'; readonly bufferedAnswer: BufferedAnswer}
		| {readonly kind: 'lost'; readonly reason: LossReason; readonly detail: string}
		| {readonly kind: 'notRun'; readonly detail: string; readonly isMisdirected: boolean; readonly isUnreachable: boolean; readonly isRefused: boolean};

/** How far a caller has received its stream, across the attempts of the call. */
export type StreamProgress = {
	/** The id of the last event sent to the caller; 0 before the first. */
	lastEventId: number;
	hasSentEvents: boolean;
};

/** Receives the answer to one attempt and decides how the attempt ended. */
export type AnswerReceiver = {
	head(head: TargetAnswerHead): void;
	data(bytes: Uint8Array): boolean;
	/** Ends the accounting of the buffered bytes; to be called when the attempt has ended. */
	release(): void;
	result(exchangeResult: ExchangeResult, cancelReason: string | undefined): AttemptResult;
};

/**
Creates the receiver of one attempt. Events are passed on to the caller as they become
whole; any other answer is held until it is whole, so that a call may be retried instead.

@example
const receiver = createAnswerReceiver({call, answer}, {place, progress, held, onEvent});
const ended = await exchange(pool, request, receiver, options);
const result = receiver.result(ended, undefined);
*/
export function createAnswerReceiver({call, answer}: {readonly call: Call; readonly answer: CallerAnswer}, {place, progress, held, onEvent}: {
	readonly place: Place; readonly progress: StreamProgress; readonly held: HeldBytes; readonly onEvent: () => void;
}): AnswerReceiver {
	const splitter = createEventSplitter();
	const chunks: Uint8Array[] = [];
	let bufferedBytes = 0;
	let head: TargetAnswerHead | undefined;
	let events = 0;
	const isStreaming = (): boolean => call.route.kind === 'stream' && head !== undefined && head.status < 300;

	const relayEvents = (bytes: Uint8Array): void => {
		for (const event of splitter.push(bytes)) {
			events++;
			onEvent();
			// A target that resumes a stream may repeat events that the caller already has.
			if (event.id !== undefined && event.id <= progress.lastEventId) {
				continue;
			}

			if (!progress.hasSentEvents) {
				place.began();
			}

			if (!answer.headersSent) {
				answer.head(head!.status, head!.rawHeaders);
			}

			progress.hasSentEvents = true;
			progress.lastEventId = event.id ?? progress.lastEventId;
			answer.data(event.bytes);
		}
	};

	return {
		head(targetHead) {
			head = targetHead;
		},
		data(bytes) {
			if (isStreaming()) {
				relayEvents(bytes);
				return held.set(splitter.partialBytes) && splitter.partialBytes <= maxEventBytes;
			}

			bufferedBytes += bytes.length + partOverheadBytes;
			chunks.push(bytes);
			return held.set(bufferedBytes) && bufferedBytes <= maxAnswerBytes;
		},
		release() {
			held.release();
			chunks.length = 0;
			splitter.clear();
		},
		result(exchangeResult, cancelReason) {
			switch (exchangeResult.kind) {
				case 'notSent':
				case 'unreachable': {
					return {
						kind: 'notRun', detail: exchangeResult.detail, isMisdirected: false, isUnreachable: exchangeResult.kind === 'unreachable', isRefused: false,
					};
				}

				case 'notRun': {
					return {
						kind: 'notRun', detail: `status ${exchangeResult.status}`, isMisdirected: exchangeResult.isMisdirected, isUnreachable: false, isRefused: !exchangeResult.isMisdirected,
					};
				}

				case 'broken': {
					return {kind: 'lost', reason: cancelReason as LossReason ?? (exchangeResult.reason === 'cancelled' ? 'timeout' : exchangeResult.reason), detail: exchangeResult.detail};
				}

				case 'complete': {
					return finishComplete(exchangeResult.isFramed);
				}
			}
		},
	};

	function finishComplete(isFramed: boolean): AttemptResult {
		if (!head) {
			return {kind: 'lost', reason: 'truncated', detail: 'no head'};
		}

		if (isStreaming()) {
			if (splitter.partialBytes > 0) {
				return {kind: 'lost', reason: 'truncated', detail: 'ends within an event'};
			}

			// A target that stops after its head looks the same as one that has nothing to send.
			if (!isFramed && events === 0) {
				return {kind: 'lost', reason: 'truncated', detail: 'ends after its head'};
			}

			if (!answer.headersSent) {
				answer.head(head.status, head.rawHeaders);
			}

			return {kind: 'done', status: head.status};
		}

		const bufferedAnswer: BufferedAnswer = {head, body: Buffer.concat(chunks)};
		// After the first event was sent to the caller, the error response to a resumption can't be passed on.
		if (head.status >= 500 && (isRetryable(call) || answer.headersSent)) {
			return {kind: 'failed', bufferedAnswer};
		}

		if (answer.headersSent) {
			return {kind: 'lost', reason: 'wrongAnswer', detail: `status ${head.status} to a resumption`};
		}

		answer.sendWhole(head.status, head.rawHeaders, bufferedAnswer.body);
		return {kind: 'done', status: head.status};
	}
}

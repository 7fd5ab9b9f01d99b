import {onBuffersAllocated} from '@papayaflow/inbound';
import {type Dispatcher} from 'undici';
import {type AnswerHead, type Dialect} from './dialect.js';
import {type Pool, type TargetConnection} from './pool.js';

/** One request as it is sent to a target. */
export type TargetRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** A flat list: name, value, name, value. */
	readonly headers: string[];
	readonly body: Uint8Array;
};

/** The status and headers of a response that belongs to the request. */
export type TargetAnswerHead = AnswerHead & {
	readonly status: number;
	/** A flat list of names and values, as the target sent them. */
	readonly rawHeaders: readonly string[];
};

/** Receives a response as it arrives. */
export type AnswerSink = {
	head(head: TargetAnswerHead): void;
	/** Takes a part of the body; returns `false` if the answer is longer than this sink accepts. */
	data(bytes: Uint8Array): boolean;
};

/**
How one exchange ended.

- `complete`: the sink has the whole response. Unless it was framed, by a length or in chunks, only the end of the connection says so.
- `notSent`: no byte of the request was sent.
- `unreachable`: neither was it, since the target accepted no new connection, or closed it at once.
- `notRun`: the target states that it did not run the request.
- `broken`: the request was sent, but no whole response to it arrived.
*/
export type ExchangeResult
	= | {readonly kind: 'complete'; readonly isFramed: boolean}
		| {readonly kind: 'notSent' | 'unreachable'; readonly detail: string}
		| {readonly kind: 'notRun'; readonly status: number; readonly isMisdirected: boolean; readonly culprit: string | undefined}
		| {readonly kind: 'broken'; readonly reason: BrokenReason; readonly detail: string};

export type BrokenReason = 'targetLost' | 'truncated' | 'wrongAnswer' | 'answerTooLong' | 'cancelled';

/** The most bytes of an answer that belong to no body: its head, informational answers, the framing of its body and a body that is not used. */
const maxOverheadBytes = 262_144;

/** How many bytes of framing may come with each byte of a body. A body in chunks of one byte has five. */
const maxFramingRatio = 8;

/** How often the bytes of an answer are allocated: when they are read, and when its parts are joined. */
const copiesOfBytes = 2;

/** The lowest and the highest status that HTTP allows. */
const minStatus = 100;
const maxStatus = 599;

export type ExchangeOptions = {
	readonly dialect: Dialect;
	/** The longest idle time of a connection that may be reused, in milliseconds; 0 opens a new connection. */
	readonly maxIdleMs: number;
	/** Cancels the exchange and resets its connection to the target, so that a request still on its way does not arrive after it was cancelled. */
	readonly signal: AbortSignal;
	/** Whether the request may still be sent, asked when the connection is open; if not, the exchange ends as `notSent`. */
	readonly mayStart: () => boolean;
	/** Called when the connection is open and the request is written to it. */
	readonly onSent: () => void;
	/** Called with the head of the target's answer to the request, also if the target did not run it. */
	readonly onAnswer: (head: AnswerHead) => void;
};

/**
Sends a request to a target at most once. A response counts only if it echoes the id
of the request. A late or duplicate response to an earlier request on the connection
ends the exchange as `broken` and closes the connection, and so does an answer that is
longer than the sink accepts or whose head or framing does not end.

@example
const ended = await exchange(pool, request, sink, {dialect, maxIdleMs: 4000, signal, mayStart: () => true, onSent, onAnswer});
*/
export async function exchange(pool: Pool, request: TargetRequest, sink: AnswerSink, {dialect, maxIdleMs, signal, mayStart, onSent, onAnswer}: ExchangeOptions): Promise<ExchangeResult> {
	if (signal.aborted) {
		return {kind: 'notSent', detail: 'cancelled'};
	}

	let connection: TargetConnection;
	try {
		connection = pool.take(maxIdleMs);
	} catch (error) {
		return {kind: 'notSent', detail: String(error)};
	}

	return new Promise(resolve => {
		let isSent = false;
		let isEnded = false;
		let hasHead = false;
		let hasFraming = false;
		let notRun: ExchangeResult | undefined;
		let bodyBytes = 0;
		const isNew = !connection.wasOpened();
		const bytesBefore = connection.bytesRead();
		let controller: Dispatcher.DispatchController | undefined;

		const settle = (result: ExchangeResult, canReuse: boolean): void => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			signal.removeEventListener('abort', cancel);
			// A function of this scope would keep the request in memory for as long as the connection is idle.
			connection.onReadable(ignore);
			if (canReuse) {
				pool.release(connection);
			} else if (signal.aborted) {
				pool.reset(connection);
			} else {
				pool.drop(connection);
			}

			resolve(result);
		};

		const cancel = (): void => {
			settle(isSent ? {kind: 'broken', reason: 'cancelled', detail: String(signal.reason)} : {kind: 'notSent', detail: 'cancelled'}, false);
			controller?.abort(new Error('cancelled'));
		};

		const cutOff = (): void => {
			settle(notRun ?? {kind: 'broken', reason: 'answerTooLong', detail: `${connection.bytesRead() - bytesBefore} bytes, ${bodyBytes} of them in the body`}, false);
			controller?.abort(new Error('answer too long'));
		};

		signal.addEventListener('abort', cancel, {once: true});
		let bytesCounted = bytesBefore;
		connection.onReadable(() => {
			const bytesNow = connection.bytesRead();
			onBuffersAllocated(copiesOfBytes * (bytesNow - bytesCounted));
			bytesCounted = bytesNow;
			if (bytesNow - bytesBefore > maxOverheadBytes + (maxFramingRatio * bodyBytes)) {
				cutOff();
			}
		});
		connection.client.dispatch({
			method: request.method, path: request.path, headers: request.headers, body: request.body.length > 0 ? request.body : null,
		}, {
			onRequestStart(newController) {
				// The HTTP client may send a request again after its connection failed. Only the caller of `exchange` decides on retries.
				if (isSent || isEnded) {
					newController.abort(new Error('sent once already'));
					return;
				}

				if (!mayStart()) {
					settle({kind: 'notSent', detail: 'the permission to send has expired'}, false);
					newController.abort(new Error('permission expired'));
					return;
				}

				controller = newController;
				isSent = true;
				onSent();
			},
			onResponseStart(currentController, status, headers) {
				if (status < minStatus || status > maxStatus) {
					settle({kind: 'broken', reason: 'wrongAnswer', detail: `status ${status}`}, false);
					currentController.abort(new Error('status that HTTP does not allow'));
					return;
				}

				// Skips informational (1xx) responses.
				if (status < 200) {
					return;
				}

				hasHead = true;
				hasFraming = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
				const head = dialect.readAnswer(status, headers);
				if (head.requestId !== undefined && head.requestId !== request.requestId) {
					settle({kind: 'broken', reason: 'wrongAnswer', detail: 'the answer belongs to another request'}, false);
					currentController.abort(new Error('response to another request'));
					return;
				}

				if (!head.isMisdirected && (head.requestId !== undefined || head.isNotRun)) {
					onAnswer(head);
				}

				if (head.isNotRun || head.isMisdirected) {
					notRun = {
						kind: 'notRun', status, isMisdirected: head.isMisdirected, culprit: head.culprit,
					};
					return;
				}

				if (head.isEncoded || head.requestId === undefined || (status < 300 && !head.isSealed)) {
					settle({kind: 'broken', reason: 'wrongAnswer', detail: head.isEncoded ? 'encoded body' : (head.requestId === undefined ? 'no request id' : 'no seal')}, false);
					currentController.abort(new Error('response is encoded, unsealed or without a request id'));
					return;
				}

				sink.head({...head, status, rawHeaders: decodeHeaders(currentController.rawHeaders)});
			},
			onResponseData(_current, chunk) {
				if (notRun !== undefined || isEnded) {
					return;
				}

				bodyBytes += chunk.length;
				if (!sink.data(chunk)) {
					cutOff();
				}
			},
			onResponseEnd() {
				const isTruncated = connection.remoteState === 'failed' || (connection.remoteState === 'ended' && hasFraming);
				if (isTruncated && !notRun) {
					settle({kind: 'broken', reason: 'truncated', detail: `the connection ${connection.remoteState} before the answer was whole`}, false);
				} else {
					settle(notRun ?? {kind: 'complete', isFramed: hasFraming}, !isTruncated);
				}
			},
			onResponseError(_current, error) {
				if (notRun) {
					settle(notRun, false);
				} else {
					settle(isSent ? {kind: 'broken', reason: hasHead ? 'truncated' : 'targetLost', detail: error.message} : {kind: isNew ? 'unreachable' : 'notSent', detail: error.message}, false);
				}
			},
		});
	});
}

function ignore(): void {
	// Nothing to do.
}

const latin1 = new TextDecoder('latin1');

function decodeHeaders(rawHeaders: unknown): readonly string[] {
	return (rawHeaders as ReadonlyArray<Uint8Array | string> | undefined ?? []).map(part => typeof part === 'string' ? part : latin1.decode(part));
}

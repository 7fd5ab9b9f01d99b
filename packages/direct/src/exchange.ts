import {type Dispatcher} from 'undici';
import {type AnswerHead, type Dialect} from './dialect.js';
import {type Pool} from './pool.js';

/** One request as it leaves for a target. */
export type TargetRequest = {
	readonly requestId: string;
	readonly method: string;
	readonly path: string;
	/** Flat: name, value, name, value. */
	readonly headers: string[];
	readonly body: Uint8Array;
};

/** The head of an answer that belongs to the request. */
export type Head = AnswerHead & {
	readonly status: number;
	/** Flat, as the target sent them. */
	readonly rawHeaders: readonly string[];
};

/** Where an answer goes while it arrives. */
export type AnswerSink = {
	head(head: Head): void;
	data(bytes: Uint8Array): void;
};

/**
How one exchange ends. `complete`: the sink has the whole answer. `notSent`: no byte
of the request left. `notRun`: the target states that it did not run it. `broken`:
the request left, and there is no whole answer that belongs to it.
*/
export type Exchanged
	= | {readonly kind: 'complete'}
		| {readonly kind: 'notSent'; readonly detail: string}
		| {readonly kind: 'notRun'; readonly status: number; readonly isMisdirected: boolean; readonly culprit: string | undefined}
		| {readonly kind: 'broken'; readonly reason: BrokenReason; readonly detail: string};

export type BrokenReason = 'targetLost' | 'truncated' | 'wrongAnswer' | 'cancelled';

export type ExchangeOptions = {
	readonly dialect: Dialect;
	/** How long the connection may have rested, in milliseconds; 0 asks for a new one. */
	readonly maxRestMs: number;
	/** Ends the exchange; the target sees its connection closed. */
	readonly signal: AbortSignal;
};

/**
Sends one request to one target, once. An answer counts only if it echoes the
request's id: another one that arrives in its place, a late or doubled answer to an
earlier request, ends the exchange and its connection.

@example
const ended = await exchange(pool, request, sink, {dialect, maxRestMs: 4000, signal});
*/
export async function exchange(pool: Pool, request: TargetRequest, sink: AnswerSink, {dialect, maxRestMs, signal}: ExchangeOptions): Promise<Exchanged> {
	if (signal.aborted) {
		return {kind: 'notSent', detail: 'cancelled'};
	}

	const connection = pool.take(maxRestMs);
	return new Promise(resolve => {
		let isSent = false;
		let isEnded = false;
		let hasHead = false;
		let isFramed = false;
		let notRun: Exchanged | undefined;
		let controller: Dispatcher.DispatchController | undefined;

		const end = (result: Exchanged, isClean: boolean): void => {
			if (isEnded) {
				return;
			}

			isEnded = true;
			signal.removeEventListener('abort', cancel);
			if (isClean) {
				pool.release(connection);
			} else {
				pool.drop(connection);
			}

			resolve(result);
		};

		const cancel = (): void => {
			end(isSent ? {kind: 'broken', reason: 'cancelled', detail: String(signal.reason)} : {kind: 'notSent', detail: 'cancelled'}, false);
			controller?.abort(new Error('cancelled'));
		};

		signal.addEventListener('abort', cancel, {once: true});
		connection.client.dispatch({
			method: request.method, path: request.path, headers: request.headers, body: request.body.length > 0 ? request.body : null,
		}, {
			onRequestStart(started) {
				// The library may begin again with a request whose connection failed; this project never does so unasked.
				if (isSent || isEnded) {
					started.abort(new Error('sent once already'));
					return;
				}

				controller = started;
				isSent = true;
			},
			onResponseStart(current, status, headers) {
				// Interim answers come before the one that counts.
				if (status < 200) {
					return;
				}

				hasHead = true;
				isFramed = headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
				const head = dialect.readAnswer(status, headers);
				if (head.requestId !== undefined && head.requestId !== request.requestId) {
					end({kind: 'broken', reason: 'wrongAnswer', detail: 'the answer belongs to another request'}, false);
					current.abort(new Error('answer of another request'));
					return;
				}

				if (head.isNotRun || head.isMisdirected) {
					notRun = {
						kind: 'notRun', status, isMisdirected: head.isMisdirected, culprit: head.culprit,
					};
					return;
				}

				if (head.isEncoded || head.requestId === undefined || (status < 300 && !head.isSealed)) {
					end({kind: 'broken', reason: 'wrongAnswer', detail: head.isEncoded ? 'encoded body' : (head.requestId === undefined ? 'no request id' : 'no seal')}, false);
					current.abort(new Error('answer without proof'));
					return;
				}

				sink.head({...head, status, rawHeaders: toStrings(current.rawHeaders)});
			},
			onResponseData(_current, chunk) {
				if (!notRun && !isEnded) {
					sink.data(chunk);
				}
			},
			onResponseEnd() {
				const isCut = connection.far === 'failed' || (connection.far === 'ended' && isFramed);
				if (isCut && !notRun) {
					end({kind: 'broken', reason: 'truncated', detail: `the connection ${connection.far} before the answer was whole`}, false);
				} else {
					end(notRun ?? {kind: 'complete'}, !isCut);
				}
			},
			onResponseError(_current, error) {
				if (notRun) {
					end(notRun, false);
				} else {
					end(isSent ? {kind: 'broken', reason: hasHead ? 'truncated' : 'targetLost', detail: error.message} : {kind: 'notSent', detail: error.message}, false);
				}
			},
		});
	});
}

const latin1 = new TextDecoder('latin1');

function toStrings(rawHeaders: unknown): readonly string[] {
	return (rawHeaders as ReadonlyArray<Uint8Array | string> | undefined ?? []).map(part => typeof part === 'string' ? part : latin1.decode(part));
}

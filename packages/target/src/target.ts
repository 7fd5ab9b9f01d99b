import {Agent, errors, request} from 'undici';

const endMark = 'data: [DONE]';

/** A call to a back end, as it leaves the sidecar. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Where an answer goes while it arrives. */
export type AnswerSink = {
	head(status: number, headers: Readonly<Record<string, string>>): void;
	data(bytes: Uint8Array): void;
};

/**
How a call to a target ends. `answered` says that the whole answer went to the
sink. `notRun` says that no byte of the call reached the target. `unknown` says
that the target may have run it; `bytes` is what the sink was given.
*/
export type TargetOutcome
	= | {readonly kind: 'answered'; readonly bytes: number}
		| {readonly kind: 'notRun'; readonly detail: string}
		| {readonly kind: 'unknown'; readonly reason: 'targetLost' | 'truncated' | 'timeout' | 'cancelled'; readonly bytes: number; readonly detail: string};

export type TargetOptions = {
	/** Where the target listens, such as `http://10.0.0.4:8000`. */
	readonly url: string;
	readonly connectMs: () => number;
	/** Time without a byte after which an answer is given up, in milliseconds. */
	readonly idleMs: () => number;
};

export type Target = {
	/** Makes one call and never repeats it. */
	call(req: TargetRequest, sink: AnswerSink, signal: AbortSignal): Promise<TargetOutcome>;
	/** Asks a small question of the target's own interface; `undefined` when it gives no JSON answer with status 200. */
	ask(method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown>;
	close(): Promise<void>;
};

/** Headers that concern one connection and are not passed on. */
const hopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'proxy-authorization', 'proxy-authenticate', 'host', 'expect',
]);

/** Drops the headers that belong to one connection. */
export function endToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopHeaders.has(name)) {
			kept[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return kept;
}

/**
Connects to one back end, a model engine or a plain service, over HTTP.

@example
const target = connectTarget({url: 'http://127.0.0.1:8000', connectMs: () => 1000, idleMs: () => 15_000});
const outcome = await target.call(req, sink, signal);
*/
export function connectTarget({url, connectMs, idleMs}: TargetOptions): Target {
	const dispatcher = new Agent({pipelining: 1, connect: {timeout: connectMs()}, keepAliveTimeout: 4000});
	return {
		async call(req, sink, signal) {
			let bytes = 0;
			let tail = '';
			let isStream = false;
			try {
				const res = await request(url + req.path, {
					method: req.method as 'GET', dispatcher, signal,
					headers: {...req.headers},
					body: req.body.length > 0 ? req.body : undefined,
					headersTimeout: idleMs(), bodyTimeout: idleMs(),
				});
				isStream = String(res.headers['content-type'] ?? '').startsWith('text/event-stream');
				sink.head(res.statusCode, endToEndHeaders(res.headers));
				for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
					bytes += chunk.length;
					tail = isStream ? lastText(tail, chunk) : tail;
					sink.data(chunk);
				}
			} catch (error) {
				return failure(error, bytes, signal);
			}

			// A stream that ends without its mark is cut, even where the connection ended in order.
			return isStream && !tail.includes(endMark)
				? {
					kind: 'unknown', reason: 'truncated', bytes, detail: 'no end mark',
				}
				: {kind: 'answered', bytes};
		},
		async ask(method, path, body) {
			try {
				const res = await request(url + path, {
					method, dispatcher, signal: AbortSignal.timeout(idleMs()),
					headers: {'content-type': 'application/json'},
					body: body === undefined ? undefined : JSON.stringify(body),
				});
				const answer = await res.body.json();
				return res.statusCode === 200 ? answer : undefined;
			} catch {
				return undefined;
			}
		},
		async close() {
			await dispatcher.close();
		},
	};
}

function lastText(tail: string, chunk: Uint8Array): string {
	return (tail + new TextDecoder().decode(chunk)).slice(-64);
}

function failure(error: unknown, bytes: number, signal: AbortSignal): TargetOutcome {
	const detail = error instanceof Error ? error.message : String(error);
	if (signal.aborted) {
		return {
			kind: 'unknown', reason: 'cancelled', bytes, detail,
		};
	}

	if (error instanceof errors.ConnectTimeoutError || isRefusedConnection(error)) {
		return {kind: 'notRun', detail};
	}

	if (error instanceof errors.HeadersTimeoutError || error instanceof errors.BodyTimeoutError) {
		return {
			kind: 'unknown', reason: 'timeout', bytes, detail,
		};
	}

	return {
		kind: 'unknown', reason: bytes > 0 ? 'truncated' : 'targetLost', bytes, detail,
	};
}

// Only these say that no connection stood, so that no byte can have arrived.
function isRefusedConnection(error: unknown): boolean {
	const {code} = error as {code?: unknown};
	return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH';
}

import {Agent, errors, request} from 'undici';

const streamEndMarker = 'data: [DONE]';

/** A call to a target, as the sidecar sends it. */
export type TargetRequest = {
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
};

/** Receives an answer while it arrives. */
export type AnswerSink = {
	head(status: number, headers: Readonly<Record<string, string>>): void;
	data(bytes: Uint8Array): void;
};

/**
The outcome of a call to a target. `answered`: the sink received the whole answer.
`notRun`: no byte of the call reached the target. `unknown`: the target may have
run the call. `bytes` counts the body bytes that the sink received.
*/
export type TargetOutcome
	= | {readonly kind: 'answered'; readonly bytes: number}
		| {readonly kind: 'notRun'; readonly detail: string}
		| {readonly kind: 'unknown'; readonly reason: 'targetLost' | 'truncated' | 'timeout' | 'cancelled'; readonly bytes: number; readonly detail: string};

export type TargetOptions = {
	/** The base URL of the target, such as `http://10.0.0.4:8000`. */
	readonly url: string;
	readonly connectMs: () => number;
	/** Time without a byte after which a call is aborted, in milliseconds. */
	readonly idleMs: () => number;
};

export type Target = {
	/** Makes one call and never retries it. */
	call(req: TargetRequest, sink: AnswerSink, signal: AbortSignal): Promise<TargetOutcome>;
	/** Sends a control request to the target. Returns the JSON answer, or `undefined` when there is none with status 200. */
	ask(method: 'GET' | 'POST', path: string, body?: unknown): Promise<unknown>;
	close(): Promise<void>;
};

/** The highest status that HTTP allows. The HTTP client rejects those below 100 itself. */
const maxStatus = 599;

/** Headers that are valid for one connection only and must not be forwarded. */
const hopByHopHeaders: ReadonlySet<string> = new Set([
	'connection', 'keep-alive', 'transfer-encoding', 'content-length', 'upgrade', 'te', 'trailer', 'proxy-authorization', 'proxy-authenticate', 'host', 'expect',
]);

/** Returns the headers without the hop-by-hop ones. */
export function endToEndHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string> {
	const kept: Record<string, string> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopByHopHeaders.has(name)) {
			kept[name] = Array.isArray(value) ? value.join(', ') : value;
		}
	}

	return kept;
}

/**
Creates the HTTP client of one target, a model engine or a plain service.

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
				if (res.statusCode > maxStatus) {
					res.body.on('error', () => undefined).destroy();
					return {
						kind: 'unknown', reason: 'targetLost', bytes, detail: `status ${res.statusCode}`,
					};
				}

				isStream = String(res.headers['content-type'] ?? '').startsWith('text/event-stream');
				sink.head(res.statusCode, endToEndHeaders(res.headers));
				for await (const chunk of res.body as AsyncIterable<Uint8Array>) {
					bytes += chunk.length;
					tail = isStream ? appendTail(tail, chunk) : tail;
					sink.data(chunk);
				}
			} catch (error) {
				return outcomeOfError(error, bytes, signal);
			}

			// An event stream without its end marker is truncated, even if the connection was closed cleanly.
			return isStream && !tail.includes(streamEndMarker)
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

function appendTail(tail: string, chunk: Uint8Array): string {
	return (tail + new TextDecoder().decode(chunk)).slice(-64);
}

function outcomeOfError(error: unknown, bytes: number, signal: AbortSignal): TargetOutcome {
	const detail = error instanceof Error ? error.message : String(error);
	if (signal.aborted) {
		return {
			kind: 'unknown', reason: 'cancelled', bytes, detail,
		};
	}

	if (error instanceof errors.ConnectTimeoutError || isConnectFailure(error)) {
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

// Only these codes prove that no connection was established, so that no byte can have arrived.
function isConnectFailure(error: unknown): boolean {
	const {code} = error as {code?: unknown};
	return code === 'ECONNREFUSED' || code === 'EHOSTUNREACH' || code === 'ENETUNREACH';
}

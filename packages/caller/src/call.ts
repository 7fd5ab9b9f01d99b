import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {lowestPriority, findRoute, type Preset} from '@papayaflow/config';
import {type BodyBytes} from './body-buffers.js';
import {readBody, type Body} from './body.js';

const defaultPriority = 5;

/** The characters of a prompt, or the bytes of another body, that count as one token in an estimate. */
const charactersPerToken = 4;

/** The `max_tokens` of a chat request without one. */
const defaultMaxTokens = 16;
const maxTokens = 1_000_000;
const maxDeadlineMs = 86_400_000;
const chatPath = '/v1/chat/completions';
const namePattern = /^[\w.\-]{1,64}$/v;
const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const requestIdPattern = /^[\w.\-]{1,128}$/v;

/** The names of this project's request headers. */
export const headerNames = {
	organisation: 'x-organisation',
	priority: 'x-priority',
	deadline: 'x-deadline-ms',
	requestId: 'x-request-id',
} as const;

/** A validated request of a caller. */
export type Call = {
	readonly requestId: string;
	readonly organisation: string;
	readonly priority: number;
	/** How long the caller waits, in milliseconds from the arrival of the request. */
	readonly deadlineMs: number;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly service: string;
	readonly idempotent: boolean;
	readonly key: string | undefined;
	/** Calls with the same affinity key prefer the same target, which may have their prompt prefix cached. */
	readonly affinityKey: string | undefined;
	/** The expected work, in tokens. */
	readonly tokens: number;
};

export type CallResult
	= | {readonly kind: 'call'; readonly call: Call}
		| {readonly kind: 'noRoom'; readonly requestId: string; readonly key: string | undefined}
		| {readonly kind: 'bad'; readonly requestId: string; readonly reason: 'badRequest' | 'noRoute'; readonly status: number; readonly detail: string};

type Classification = Pick<Call, 'service' | 'idempotent' | 'affinityKey' | 'tokens'>;

/**
Reads a request and validates it against the preset in force. A malformed request
results in `bad` with its HTTP status, and one whose body `held` has no room for in `noRoom`; nothing is thrown.

@example
const result = await readCall(req, preset, bodyBuffers.open());
*/
export async function readCall(req: IncomingMessage, preset: Preset, held: BodyBytes): Promise<CallResult> {
	const callerRequestId = headerOf(req, headerNames.requestId);
	const requestId = callerRequestId !== undefined && requestIdPattern.test(callerRequestId) ? callerRequestId : randomUUID();
	const bad = (detail: string, status = 400): CallResult => ({
		kind: 'bad', requestId, reason: status === 404 ? 'noRoute' : 'badRequest', status, detail,
	});

	const organisation = headerOf(req, headerNames.organisation);
	if (organisation === undefined || !namePattern.test(organisation)) {
		return bad(`${headerNames.organisation} must be 1 to 64 letters, digits, ".", "_" or "-"`);
	}

	const priority = parseWholeNumber(headerOf(req, headerNames.priority), defaultPriority, 0, lowestPriority);
	if (priority === undefined) {
		return bad(`${headerNames.priority} must be a whole number from 0 to ${lowestPriority}`);
	}

	const requestedDeadlineMs = parseWholeNumber(headerOf(req, headerNames.deadline), preset.timeouts.requestMs, 1, maxDeadlineMs);
	if (requestedDeadlineMs === undefined) {
		return bad(`${headerNames.deadline} must be a whole number from 1 to ${maxDeadlineMs}`);
	}

	const key = headerOf(req, preset.idempotency.keyHeader);
	if (key !== undefined && !keyPattern.test(key)) {
		return bad(`${preset.idempotency.keyHeader} must be 1 to 255 visible ASCII characters`);
	}

	const body = await readCountedBody(req, preset.limits.maxBodyBytes, held);
	if (body.kind === 'tooLarge') {
		return bad(`the body is over ${preset.limits.maxBodyBytes} bytes`, 413);
	}

	if (body.kind === 'noRoom' || body.kind === 'cancelled') {
		return {kind: 'noRoom', requestId, key};
	}

	if (body.kind !== 'read') {
		return bad('the body did not arrive whole');
	}

	const method = req.method ?? 'GET';
	const path = req.url ?? '/';
	const classification = path.split('?', 1)[0] === chatPath && method === 'POST'
		? classifyChat(body.bytes, organisation, preset)
		: classifyByRoute(method, path, body.bytes, preset);
	if (typeof classification === 'string') {
		return bad(classification, classification.startsWith('no ') ? 404 : 400);
	}

	return {
		kind: 'call',
		call: {
			requestId, organisation, priority, deadlineMs: Math.min(requestedDeadlineMs, preset.timeouts.requestMs), method, path, body: body.bytes,
			headers: forwardedHeaders(req, requestId), key, ...classification,
		},
	};
}

/** Reads a body that gives way to others if it arrives slowly. */
async function readCountedBody(req: IncomingMessage, maxBytes: number, held: BodyBytes): Promise<Body> {
	const reading = readBody(req, maxBytes, held.add);
	held.beginArrival(reading.cancel);
	const body = await reading.body;
	held.endArrival();
	return body;
}

function classifyChat(bytes: Uint8Array, organisation: string, preset: Preset): Classification | string {
	let document: unknown;
	try {
		document = JSON.parse(Buffer.from(bytes).toString());
	} catch {
		return 'the body is not JSON';
	}

	const {model, messages, max_tokens: requestedTokens = defaultMaxTokens} = (document ?? {}) as {model?: unknown; messages?: unknown; max_tokens?: unknown};
	if (typeof model !== 'string') {
		return '"model" must be a string';
	}

	if (!Object.hasOwn(preset.services, model) || preset.services[model].kind !== 'model') {
		return `no model "${model.slice(0, 64)}"`;
	}

	if (!Array.isArray(messages) || messages.length === 0) {
		return '"messages" must be an array that is not empty';
	}

	if (typeof requestedTokens !== 'number' || !Number.isInteger(requestedTokens) || requestedTokens < 1 || requestedTokens > maxTokens) {
		return `"max_tokens" must be a whole number from 1 to ${maxTokens}`;
	}

	const prompt = textOf(messages);
	if (prompt === undefined) {
		return '"messages" must not be nested as deeply';
	}

	const prefix = prompt.slice(0, preset.routing.affinityBytes);
	return {
		service: model,
		idempotent: true,
		affinityKey: preset.routing.affinityBytes > 0 ? `${organisation}\n${prefix}` : undefined,
		tokens: requestedTokens + Math.ceil(prompt.length / charactersPerToken),
	};
}

/** Returns a value as JSON; `undefined` if it is nested too deeply, as a text that can be parsed may be. */
function textOf(value: unknown): string | undefined {
	try {
		return JSON.stringify(value);
	} catch {
		return undefined;
	}
}

function classifyByRoute(method: string, path: string, body: Uint8Array, preset: Preset): Classification | string {
	const route = findRoute(preset, method, path);
	return route
		? {
			service: route.service, idempotent: route.idempotent, affinityKey: undefined, tokens: 1 + Math.ceil(body.length / charactersPerToken),
		}
		: `no route for ${method} ${path.slice(0, 128)}`;
}

// Forwards the caller's headers to the target, except those that belong to the connection between caller and entry.
function forwardedHeaders(req: IncomingMessage, requestId: string): Record<string, string> {
	const headers: Record<string, string> = {[headerNames.requestId]: requestId};
	for (const [name, value] of Object.entries(req.headers)) {
		const isTransportHeader = name === 'host' || name === 'connection' || name === 'content-length' || name === 'transfer-encoding' || name === 'expect' || name === 'keep-alive';
		if (typeof value === 'string' && !isTransportHeader) {
			headers[name] = value;
		}
	}

	headers[headerNames.requestId] = requestId;
	return headers;
}

function headerOf(req: IncomingMessage, name: string): string | undefined {
	const value = req.headers[name];
	return Array.isArray(value) ? value[0] : value;
}

function parseWholeNumber(text: string | undefined, fallback: number, minimum: number, maximum: number): number | undefined {
	if (text === undefined) {
		return fallback;
	}

	const value = /^\d{1,9}$/v.test(text) ? Number(text) : Number.NaN;
	return value >= minimum && value <= maximum ? value : undefined;
}

import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import {type IncomingMessage} from 'node:http';
import {lowestPriority, routeOf, type Preset} from '@papayaflow/config';
import {readBody} from './body.js';

const defaultPriority = 5;
const charactersPerToken = 4;
const defaultMaxTokens = 16;
const maxTokens = 1_000_000;
const maxDeadlineMs = 86_400_000;
const chatPath = '/v1/chat/completions';
const namePattern = /^[\w.\-]{1,64}$/v;
const keyPattern = /^[\u0021-\u007E]{1,255}$/v;
const requestIdPattern = /^[\w.\-]{1,128}$/v;

/** The headers by which a caller says more than HTTP does. */
export const headerNames = {
	organisation: 'x-organisation',
	priority: 'x-priority',
	deadline: 'x-deadline-ms',
	requestId: 'x-request-id',
} as const;

/** A caller's request, checked. */
export type Call = {
	readonly requestId: string;
	readonly organisation: string;
	readonly priority: number;
	/** How long the caller waits, in milliseconds from its arrival. */
	readonly deadlineMs: number;
	readonly method: string;
	readonly path: string;
	readonly headers: Readonly<Record<string, string>>;
	readonly body: Uint8Array;
	readonly service: string;
	readonly idempotent: boolean;
	readonly key: string | undefined;
	/** What decides which target has the prompt cached. */
	readonly affinityKey: string | undefined;
	/** The work it is expected to bring, in tokens. */
	readonly tokens: number;
};

export type CallResult
	= | {readonly kind: 'call'; readonly call: Call}
		| {readonly kind: 'bad'; readonly requestId: string; readonly reason: 'badRequest' | 'noRoute'; readonly status: number; readonly detail: string};

type Shape = Pick<Call, 'service' | 'idempotent' | 'affinityKey' | 'tokens'>;

/**
Reads and checks a request against the preset in force. A malformed one comes
back as `bad` with the status that it deserves; nothing is thrown.

@example
const result = await readCall(req, preset);
*/
export async function readCall(req: IncomingMessage, preset: Preset): Promise<CallResult> {
	const given = headerOf(req, headerNames.requestId);
	const requestId = given !== undefined && requestIdPattern.test(given) ? given : randomUUID();
	const bad = (detail: string, status = 400): CallResult => ({
		kind: 'bad', requestId, reason: status === 404 ? 'noRoute' : 'badRequest', status, detail,
	});

	const organisation = headerOf(req, headerNames.organisation);
	if (organisation === undefined || !namePattern.test(organisation)) {
		return bad(`${headerNames.organisation} must be 1 to 64 letters, digits, ".", "_" or "-"`);
	}

	const priority = wholeNumber(headerOf(req, headerNames.priority), defaultPriority, 0, lowestPriority);
	if (priority === undefined) {
		return bad(`${headerNames.priority} must be a whole number from 0 to ${lowestPriority}`);
	}

	const patienceMs = wholeNumber(headerOf(req, headerNames.deadline), preset.timeouts.requestMs, 1, maxDeadlineMs);
	if (patienceMs === undefined) {
		return bad(`${headerNames.deadline} must be a whole number from 1 to ${maxDeadlineMs}`);
	}

	const key = headerOf(req, preset.idempotency.keyHeader);
	if (key !== undefined && !keyPattern.test(key)) {
		return bad(`${preset.idempotency.keyHeader} must be 1 to 255 visible ASCII characters`);
	}

	const body = await readBody(req, preset.limits.maxBodyBytes);
	if (body.kind === 'tooLarge') {
		return bad(`the body is over ${preset.limits.maxBodyBytes} bytes`, 413);
	}

	if (body.kind === 'broken') {
		return bad('the body did not arrive whole');
	}

	const method = req.method ?? 'GET';
	const path = req.url ?? '/';
	const shape = path.split('?', 1)[0] === chatPath && method === 'POST'
		? chatShape(body.bytes, organisation, preset)
		: plainShape(method, path, body.bytes, preset);
	if (typeof shape === 'string') {
		return bad(shape, shape.startsWith('no ') ? 404 : 400);
	}

	return {
		kind: 'call',
		call: {
			requestId, organisation, priority, deadlineMs: Math.min(patienceMs, preset.timeouts.requestMs), method, path, body: body.bytes, headers: passedHeaders(req, requestId), key, ...shape,
		},
	};
}

function chatShape(bytes: Uint8Array, organisation: string, preset: Preset): Shape | string {
	let document: unknown;
	try {
		document = JSON.parse(Buffer.from(bytes).toString());
	} catch {
		return 'the body is not JSON';
	}

	const {model, messages, max_tokens: wanted = defaultMaxTokens} = (document ?? {}) as {model?: unknown; messages?: unknown; max_tokens?: unknown};
	if (typeof model !== 'string') {
		return '"model" must be a string';
	}

	if (!Object.hasOwn(preset.services, model) || preset.services[model].kind !== 'model') {
		return `no model "${model.slice(0, 64)}"`;
	}

	if (!Array.isArray(messages) || messages.length === 0) {
		return '"messages" must be an array that is not empty';
	}

	if (typeof wanted !== 'number' || !Number.isInteger(wanted) || wanted < 1 || wanted > maxTokens) {
		return `"max_tokens" must be a whole number from 1 to ${maxTokens}`;
	}

	const prompt = JSON.stringify(messages);
	const prefix = prompt.slice(0, preset.routing.affinityBytes);
	return {
		service: model,
		idempotent: true,
		affinityKey: preset.routing.affinityBytes > 0 ? `${organisation}\n${prefix}` : undefined,
		tokens: wanted + Math.ceil(prompt.length / charactersPerToken),
	};
}

function plainShape(method: string, path: string, body: Uint8Array, preset: Preset): Shape | string {
	const route = routeOf(preset, method, path);
	return route
		? {
			service: route.service, idempotent: route.idempotent, affinityKey: undefined, tokens: 1 + Math.ceil(body.length / charactersPerToken),
		}
		: `no route for ${method} ${path.slice(0, 128)}`;
}

// What the target sees of the caller's headers: its content and its name, and not how it reached the entry.
function passedHeaders(req: IncomingMessage, requestId: string): Record<string, string> {
	const headers: Record<string, string> = {[headerNames.requestId]: requestId};
	for (const [name, value] of Object.entries(req.headers)) {
		const isOurs = name === 'host' || name === 'connection' || name === 'content-length' || name === 'transfer-encoding' || name === 'expect' || name === 'keep-alive';
		if (typeof value === 'string' && !isOurs) {
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

function wholeNumber(text: string | undefined, fallback: number, least: number, most: number): number | undefined {
	if (text === undefined) {
		return fallback;
	}

	const value = /^\d{1,9}$/v.test(text) ? Number(text) : Number.NaN;
	return value >= least && value <= most ? value : undefined;
}

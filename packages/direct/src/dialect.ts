import {type IncomingHttpHeaders} from 'node:http';

/** What a generation asks for, as its caller states it. */
export type Generation = {
	readonly promptTokens: number;
	/** The most tokens that the answer may have. */
	readonly maxAnswerTokens: number;
	/** The caller's guess of the answer's tokens, often far off. */
	readonly hintedAnswerTokens: number | undefined;
	/** The parts of the prompt in their order; requests share the first ones. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
};

/** What the headers of a caller's request say. */
export type CallerHead = {
	readonly requestId: string | undefined;
	/** How long the caller waits, in milliseconds from the request's arrival. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	readonly generation: Generation | undefined;
	/** The last event that the caller has of a stream that it resumes. */
	readonly lastEventId: string | undefined;
};

/** What an entry tells a target beside what the caller sent. */
export type TargetHeadOptions = {
	/** What is left of the deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** Any other target must refuse the request. */
	readonly targetId: string;
	readonly organisation: string | undefined;
	/** Where a resumed stream goes on; `undefined` leaves the caller's own word. */
	readonly lastEventId: string | undefined;
};

/** What the head of a target's answer says. */
export type AnswerHead = {
	readonly requestId: string | undefined;
	/** Whether it carries the target's seal, without which a success is not one. */
	readonly isSealed: boolean;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether another target has the address by now. */
	readonly isMisdirected: boolean;
	/** The target at fault where this one could not serve for the sake of another. */
	readonly culprit: string | undefined;
	/** Whether the body was encoded on the way, so that it is not the target's own. */
	readonly isEncoded: boolean;
};

/**
How the platform writes in headers what this project has to know or say. Header
lists are flat: name, value, name, value.
*/
export type Dialect = {
	readCaller(headers: IncomingHttpHeaders): CallerHead;
	/** The caller's headers as the target is to get them. */
	targetHeaders(rawHeaders: readonly string[], options: TargetHeadOptions): string[];
	readAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
};

const hopHeaders: ReadonlySet<string> = new Set([
	'connection',
	'keep-alive',
	'transfer-encoding',
	'content-length',
	'upgrade',
	'te',
	'trailer',
	'proxy-authorization',
	'proxy-authenticate',
	'proxy-connection',
	'expect',
]);

/**
Drops the headers that belong to one connection, among them those that its
`Connection` header names, and those of `dropped` (lower case).

@example
endToEnd(['Connection', 'close', 'X-A', '1'], new Set()); // ['X-A', '1']
*/
export function endToEnd(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
	const named = new Set<string>();
	for (let i = 0; i < rawHeaders.length; i += 2) {
		if (rawHeaders[i].toLowerCase() === 'connection') {
			for (const name of rawHeaders[i + 1].split(',')) {
				named.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i].toLowerCase();
		if (!hopHeaders.has(name) && !named.has(name) && !dropped.has(name)) {
			kept.push(rawHeaders[i], rawHeaders[i + 1]);
		}
	}

	return kept;
}

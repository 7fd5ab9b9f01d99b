import {type IncomingHttpHeaders} from 'node:http';
import {type NamedLimit, type NamedPause} from '@papayaflow/limit';

/** The size of a generation, as stated by its caller. */
export type Generation = {
	readonly promptTokens: number;
	/** The largest number of tokens in the answer. */
	readonly maxAnswerTokens: number;
	/** The caller's estimate of the tokens in the answer, which is often far off. */
	readonly hintedAnswerTokens: number | undefined;
	/** The parts of the prompt in order; many requests begin with the same parts. */
	readonly parts: ReadonlyArray<{readonly id: string; readonly tokens: number}>;
};

/** The information in the headers of a caller's request. */
export type CallerHead = {
	readonly requestId: string | undefined;
	/** How long the caller waits, in milliseconds from the arrival of the request. */
	readonly deadlineMs: number | undefined;
	readonly key: string | undefined;
	readonly generation: Generation | undefined;
	/** The ids of the parts of the prompt that other requests may have too, each once: all but the last part. */
	readonly sharedParts: readonly string[];
	/** The id of the last event that the caller has of a stream that it resumes. */
	readonly lastEventId: string | undefined;
};

/** The information that an entry adds to the headers of the caller. */
export type TargetHeaderOptions = {
	/** The remaining deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** The id of the intended target; any other target must refuse the request. */
	readonly targetId: string;
	readonly organisation: string | undefined;
	/** The id of the event to resume the stream after; `undefined` keeps the value sent by the caller. */
	readonly lastEventId: string | undefined;
};

/** Whether the head of an answer says that its target leaves; `malformed` for an unknown value, of which `text` is the beginning. */
export type NamedLeaving = {readonly kind: 'no' | 'yes'} | {readonly kind: 'malformed'; readonly text: string};

/** The information in the headers of a target's response. */
export type AnswerHead = {
	readonly requestId: string | undefined;
	/** Whether the response carries the target's seal; a successful response without it is rejected. */
	readonly isSealed: boolean;
	/** Whether the target states that it did not run the request. */
	readonly isNotRun: boolean;
	/** Whether the request reached a different target, which now has the address of the intended one. */
	readonly isMisdirected: boolean;
	/** The target that caused the failure, if it is not the one that sent the response. */
	readonly culprit: string | undefined;
	/** Whether an intermediary encoded the body, so that its bytes differ from those that the target sent. */
	readonly isEncoded: boolean;
	/** The rate at which the target says that it takes requests. */
	readonly limit: NamedLimit;
	/** When the target says that it takes requests again. */
	readonly pause: NamedPause;
	/** Whether the target says that it leaves. */
	readonly leaving: NamedLeaving;
	/** How much longer the target says that it is cold, in milliseconds; absent if it says nothing. */
	readonly coldMs?: number;
};

/**
Reads and writes the headers of a platform. Header lists are flat: name, value, name,
value.
*/
export type Dialect = {
	readCaller(headers: IncomingHttpHeaders): CallerHead;
	/** Returns the headers of the request to the target, made from those of the caller. */
	targetHeaders(rawHeaders: readonly string[], options: TargetHeaderOptions): string[];
	readAnswer(status: number, headers: Readonly<Record<string, string | string[] | undefined>>): AnswerHead;
};

const hopByHopHeaders: ReadonlySet<string> = new Set([
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
Removes the hop-by-hop headers, including those that the `Connection` header names, and
the headers in `dropped` (lower-case names).

@example
endToEndHeaders(['Connection', 'close', 'X-A', '1'], new Set()); // ['X-A', '1']
*/
export function endToEndHeaders(rawHeaders: readonly string[], dropped: ReadonlySet<string>): string[] {
	const connectionOptions = new Set<string>();
	for (let i = 0; i < rawHeaders.length; i += 2) {
		if (rawHeaders[i].toLowerCase() === 'connection') {
			for (const name of rawHeaders[i + 1].split(',')) {
				connectionOptions.add(name.trim().toLowerCase());
			}
		}
	}

	const kept: string[] = [];
	for (let i = 0; i < rawHeaders.length; i += 2) {
		const name = rawHeaders[i].toLowerCase();
		if (!hopByHopHeaders.has(name) && !connectionOptions.has(name) && !dropped.has(name)) {
			kept.push(rawHeaders[i], rawHeaders[i + 1]);
		}
	}

	return kept;
}

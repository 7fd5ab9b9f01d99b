import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {problemOf} from '@papayaflow/caller';
import {type Outcome} from '@papayaflow/outcome';
import {endToEndHeaders} from './dialect.js';

const msPerSecond = 1000;
const noHeaders: ReadonlySet<string> = new Set();

/** Writes the response to one caller. */
export type CallerAnswer = {
	/** Sends a whole response of a target. */
	sendWhole(status: number, rawHeaders: readonly string[], body: Uint8Array): void;
	/** Starts a streamed response with the status and headers of the target. */
	head(status: number, rawHeaders: readonly string[]): void;
	data(bytes: Uint8Array): void;
	/** Ends a streamed response that is complete. */
	end(): void;
	/** Sends a problem document, or closes the connection if the response has already started. */
	fail(outcome: Exclude<Outcome, {kind: 'answered'}>): void;
	/** Whether the headers were sent, after which no other response can be given. */
	readonly headersSent: boolean;
	/** Bytes of the response that the caller's connection has not accepted yet. */
	readonly unreadBytes: number;
};

export type CallerAnswerOptions = {
	readonly requestId: string;
	/** Whether to close the connection after the response, as when the entry is leaving. */
	readonly shouldClose: () => boolean;
};

/**
Wraps the response to a caller. Only `end` and `sendWhole` complete the response of a
target. If the response has already started, `fail` closes the connection, so that the
caller can tell that the response is truncated.

@example
const answer = createCallerAnswer(res, {requestId: 'r-1', shouldClose: () => false});
answer.fail({kind: 'notRun', reason: 'noTarget', retryAfterMs: 250});
*/
export function createCallerAnswer(res: ServerResponse, {requestId, shouldClose}: CallerAnswerOptions): CallerAnswer {
	const connectionHeaders = (): string[] => shouldClose() ? ['connection', 'close'] : [];
	return {
		sendWhole(status, rawHeaders, body) {
			res.writeHead(status, [...endToEndHeaders(rawHeaders, noHeaders), 'content-length', String(body.length), ...connectionHeaders()]);
			res.end(body);
		},
		head(status, rawHeaders) {
			res.writeHead(status, [...endToEndHeaders(rawHeaders, noHeaders), ...connectionHeaders()]);
			res.flushHeaders();
		},
		data(bytes) {
			res.write(bytes);
		},
		end() {
			res.end();
		},
		fail(outcome) {
			if (res.headersSent) {
				res.destroy();
				return;
			}

			const problem = problemOf(outcome, requestId);
			const body = Buffer.from(JSON.stringify(problem));
			res.writeHead(problem.status, [
				'content-type',
				'application/problem+json',
				'content-length',
				String(body.length),
				'x-request-id',
				requestId,
				...(outcome.kind === 'notRun' ? ['retry-after', (outcome.retryAfterMs / msPerSecond).toFixed(3)] : []),
				...connectionHeaders(),
			]);
			res.end(body);
		},
		get headersSent() {
			return res.headersSent;
		},
		get unreadBytes() {
			return res.writableLength;
		},
	};
}

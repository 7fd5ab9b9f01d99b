import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {type Outcome} from '@papayaflow/outcome';
import {problemOf, retryAfterSeconds} from './problem.js';

/** Writes the answer of one request. */
export type Answer = {
	head(status: number, headers: Readonly<Record<string, string>>): void;
	data(bytes: Uint8Array): void;
	/** Ends a complete answer. */
	end(): void;
	/** Ends a request without a complete answer: with a problem document, or with a truncated response once the head has been sent. */
	fail(outcome: Exclude<Outcome, {kind: 'answered'}>): void;
	/** Whether the head has been sent, after which the answer can't be replaced. */
	readonly begun: boolean;
	/** Bytes written that are still buffered for the caller. */
	readonly unreadBytes: number;
};

/**
Wraps a response. An answer that fails after its head never looks complete: the
connection is destroyed, and an event stream first gets an error event, without its
end marker.

@example
const answer = openAnswer(res, 'r-1');
answer.fail({kind: 'notRun', reason: 'noTarget', retryAfterMs: 1000});
*/
export function openAnswer(res: ServerResponse, requestId: string): Answer {
	let isStream = false;
	return {
		head(status, headers) {
			isStream = (headers['content-type'] ?? '').startsWith('text/event-stream');
			res.writeHead(status, {...headers, 'x-request-id': requestId});
			res.flushHeaders();
		},
		data(bytes) {
			res.write(bytes);
		},
		end() {
			res.end();
		},
		fail(outcome) {
			const problem = problemOf(outcome, requestId);
			if (!res.headersSent) {
				const body = Buffer.from(JSON.stringify(problem));
				res.writeHead(problem.status, {
					'content-type': 'application/problem+json',
					'content-length': body.length,
					'retry-after': String(retryAfterSeconds(outcome.retryAfterMs)),
					'x-request-id': requestId,
				});
				res.end(body);
				return;
			}

			if (isStream) {
				res.write(`event: error\ndata: ${JSON.stringify(problem)}\n\n`, () => {
					res.destroy();
				});
				return;
			}

			res.destroy();
		},
		get begun() {
			return res.headersSent;
		},
		get unreadBytes() {
			return res.writableLength;
		},
	};
}

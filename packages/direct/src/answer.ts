import {Buffer} from 'node:buffer';
import {type ServerResponse} from 'node:http';
import {problemOf} from '@papayaflow/caller';
import {type Outcome} from '@papayaflow/outcome';
import {endToEnd} from './dialect.js';

const msPerSecond = 1000;
const nothing: ReadonlySet<string> = new Set();

/** Writes one answer to one caller. */
export type CallerAnswer = {
	/** Passes a whole answer on as the target gave it. */
	whole(status: number, rawHeaders: readonly string[], body: Uint8Array): void;
	/** Begins a streamed answer with the head that the target gave. */
	head(status: number, rawHeaders: readonly string[]): void;
	data(bytes: Uint8Array): void;
	/** Ends a stream that is whole. */
	end(): void;
	/** Ends a request without an answer: with a problem document, or, once bytes have gone out, by breaking the connection off. */
	fail(outcome: Exclude<Outcome, {kind: 'answered'}>): void;
	/** Whether the head has gone out, after which no other answer can be given. */
	readonly begun: boolean;
	/** Bytes that the caller has not taken yet. */
	readonly unreadBytes: number;
};

export type CallerAnswerOptions = {
	readonly requestId: string;
	/** Whether this connection is to end with the answer, as when the entry leaves. */
	readonly isLast: () => boolean;
};

/**
Wraps the response to a caller. An answer that ends without `end` or `whole` never
looks whole.

@example
const answer = openCallerAnswer(res, {requestId: 'r-1', isLast: () => false});
answer.fail({kind: 'notRun', reason: 'noTarget', retryAfterMs: 250});
*/
export function openCallerAnswer(res: ServerResponse, {requestId, isLast}: CallerAnswerOptions): CallerAnswer {
	const closing = (): string[] => isLast() ? ['connection', 'close'] : [];
	return {
		whole(status, rawHeaders, body) {
			res.writeHead(status, [...endToEnd(rawHeaders, nothing), 'content-length', String(body.length), ...closing()]);
			res.end(body);
		},
		head(status, rawHeaders) {
			res.writeHead(status, [...endToEnd(rawHeaders, nothing), ...closing()]);
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
				...closing(),
			]);
			res.end(body);
		},
		get begun() {
			return res.headersSent;
		},
		get unreadBytes() {
			return res.writableLength;
		},
	};
}

import {createHash} from 'node:crypto';
import {Agent, request} from 'undici';

const dispatcher = new Agent({connections: 64, keepAliveTimeout: 1000});

/** The result of one request. */
export type RequestResult = {
	/** `keyed` is a non-idempotent call with an idempotency key; the other two are model requests without and with streaming. */
	readonly kind: 'ordinary' | 'streamed' | 'keyed';
	/**
	`answered` is the complete expected answer. `notRun` is a problem document with
	that outcome, `unknown` any other problem document. `cut` is a connection error, a
	stream with an error event, or an answer with status 200 that can't be parsed.
	`wrong` is anything else.
	*/
	readonly outcome: 'answered' | 'notRun' | 'unknown' | 'wrong' | 'cut';
	/** The reason in the error answer. */
	readonly reason?: string;
	/** The time to the end of the answer, in milliseconds. */
	readonly ms: number;
	/** The idempotency key of a keyed call. */
	readonly order?: string;
};

/** Returns the text with which a stand-in engine answers a prompt: `tokens` words that are derived from the prompt alone. */
function expectedText(messages: unknown, tokens: number): string {
	const prompt = JSON.stringify(messages);
	return Array.from({length: tokens}, (_, index) => `${createHash('sha256').update(`${prompt}/${index}`).digest('hex').slice(0, 6)} `).join('');
}

/**
Sends a chat completion request through an entry and checks that the answer is
complete and belongs to this request.

@example
const result = await requestCompletion(port, 'notice-drafting', 'r-1', {isStream: true});
*/
export async function requestCompletion(port: number, model: string, id: string, {isStream = false, tokens = 8, organisation = 'ayamoni'} = {}): Promise<RequestResult> {
	const startedMs = performance.now();
	const messages = [{role: 'user', content: `Draft notice ${id}`}];
	const kind = isStream ? 'streamed' : 'ordinary';
	try {
		const res = await request(`http://127.0.0.1:${port}/v1/chat/completions`, {
			method: 'POST', dispatcher, headers: {'content-type': 'application/json', 'x-organisation': organisation, 'x-request-id': id},
			body: JSON.stringify({
				model, messages, max_tokens: tokens, stream: isStream,
			}),
		});
		const text = await res.body.text();
		const ms = performance.now() - startedMs;
		if (res.statusCode !== 200) {
			return {kind, ms, ...parseProblem(text)};
		}

		const answered = isStream ? joinStreamedText(text) : (JSON.parse(text) as {choices: Array<{message: {content: string}}>}).choices[0].message.content;
		return {kind, ms, outcome: answered === expectedText(messages, tokens) ? 'answered' : (text.includes('event: error') ? 'cut' : 'wrong')};
	} catch {
		return {kind, ms: performance.now() - startedMs, outcome: 'cut'};
	}
}

/** Sends a non-idempotent call through an entry, with `order` as its idempotency key. */
export async function sendOrder(port: number, order: string, {organisation = 'tisza', deadlineMs = 20_000} = {}): Promise<RequestResult> {
	const startedMs = performance.now();
	try {
		const res = await request(`http://127.0.0.1:${port}/ledger/payments`, {
			method: 'POST', dispatcher, body: JSON.stringify({order}),
			headers: {
				'content-type': 'application/json', 'x-organisation': organisation, 'idempotency-key': order, 'x-deadline-ms': String(deadlineMs),
			},
		});
		const text = await res.body.text();
		const ms = performance.now() - startedMs;
		if (res.statusCode !== 200) {
			return {
				kind: 'keyed', ms, order, ...parseProblem(text),
			};
		}

		const isOwnAnswer = (JSON.parse(text) as {order: string}).order === order;
		return {
			kind: 'keyed', ms, order, outcome: isOwnAnswer ? 'answered' : 'wrong',
		};
	} catch {
		return {
			kind: 'keyed', ms: performance.now() - startedMs, outcome: 'cut', order,
		};
	}
}

function parseProblem(text: string): Pick<RequestResult, 'outcome' | 'reason'> {
	try {
		const problem = JSON.parse(text) as {outcome?: string; reason?: string};
		return {outcome: problem.outcome === 'notRun' ? 'notRun' : 'unknown', reason: problem.reason};
	} catch {
		return {outcome: 'wrong', reason: 'body is no problem document'};
	}
}

function joinStreamedText(text: string): string {
	return text.split('\n\n')
		.filter(event => event.startsWith('data: {'))
		.map(event => (JSON.parse(event.slice(6)) as {choices?: Array<{delta: {content: string}}>}).choices?.[0].delta.content ?? '')
		.join('') + (text.endsWith('data: [DONE]\n\n') ? '' : '(cut)');
}

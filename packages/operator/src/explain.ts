import {request} from 'undici';

const requestTimeoutMs = 2000;

/** The answer of an entry to the question where it would send a request; `unreachable` if there is none. */
export type ExplanationResult = {readonly kind: 'answered'; readonly status: number; readonly body: unknown} | {readonly kind: 'unreachable'; readonly detail: string};

/**
Asks the admin server of an entry where it would send a request now.

@example
const result = await fetchExplanation('http://10.0.0.7:9101', {host: 'h.example', path: '/model/x'});
*/
export async function fetchExplanation(entryUrl: string, query: Readonly<Record<string, string>>): Promise<ExplanationResult> {
	try {
		const res = await request(`${entryUrl}/explain?${new URLSearchParams(query).toString()}`, {signal: AbortSignal.timeout(requestTimeoutMs)});
		return {kind: 'answered', status: res.statusCode, body: await res.body.json()};
	} catch (error) {
		return {kind: 'unreachable', detail: error instanceof Error ? error.message : String(error)};
	}
}

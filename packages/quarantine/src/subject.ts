import {createHash} from 'node:crypto';

/** What tells one request from another: targets get the path, the organisation and the body of a request, and nothing else that stays the same when it comes again. */
export type RequestContent = {
	readonly method: string;
	/** The path with the query. */
	readonly path: string;
	readonly organisation: string | undefined;
	readonly body: Uint8Array;
};

/** Distinguishes the id of a request from those of parts of prompts, which contain no colon. */
const requestPrefix = 'request:';

/**
Returns the id under which a request is suspected of crashing targets. A request that comes
again, at whichever instance, has the same id; two others have different ones. It costs
microseconds for a small body and milliseconds for one of several megabytes.

@example
const id = requestSubject({method: 'POST', path: '/pay', organisation: 'acme', body});
*/
export function requestSubject({method, path, organisation = '', body}: RequestContent): string {
	const hash = createHash('sha256');
	for (const text of [method, path, organisation]) {
		// The lengths keep the end of one text from counting as the beginning of the next.
		hash.update(`${text.length}:${text}`);
	}

	return `${requestPrefix}${hash.update(body).digest('base64url').slice(0, 22)}`;
}

/** Whether a subject is a request and not a part of prompts. */
export function isRequestSubject(subject: string): boolean {
	return subject.startsWith(requestPrefix);
}

import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** The result of reading a body; `noRoom` means that `reserve` refused a part of it, and `broken` that the caller closed the connection before the body was complete. */
export type Body = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'tooLarge' | 'noRoom' | 'broken'};

/**
Reads a request's body into memory, up to `maxBytes`. Returns `tooLarge` as soon
as the body or its `content-length` exceeds `maxBytes`. Calls `reserve` with the length of
each part before it is kept. The rest of a body that is not kept is dropped as it arrives,
so that the caller reads the response.

@example
const body = await readBody(req, 1_048_576);
*/
export async function readBody(req: IncomingMessage, maxBytes: number, reserve: (bytes: number) => boolean = () => true): Promise<Body> {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return {kind: 'tooLarge'};
	}

	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of req.iterator({destroyOnReturn: false}) as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			const isTooLarge = length > maxBytes;
			if (isTooLarge || !reserve(chunk.length)) {
				req.resume();
				return {kind: isTooLarge ? 'tooLarge' : 'noRoom'};
			}

			chunks.push(chunk);
		}
	} catch {
		return {kind: 'broken'};
	}

	return {kind: 'read', bytes: Buffer.concat(chunks)};
}

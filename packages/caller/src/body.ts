import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** The result of reading a body; `broken` means that the caller closed the connection before the body was complete. */
export type Body = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'tooLarge'} | {readonly kind: 'broken'};

/**
Reads a request's body into memory, up to `maxBytes`. Returns `tooLarge` as soon
as the body or its `content-length` exceeds `maxBytes`.

@example
const body = await readBody(req, 1_048_576);
*/
export async function readBody(req: IncomingMessage, maxBytes: number): Promise<Body> {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		return {kind: 'tooLarge'};
	}

	const chunks: Uint8Array[] = [];
	let length = 0;
	try {
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			length += chunk.length;
			if (length > maxBytes) {
				return {kind: 'tooLarge'};
			}

			chunks.push(chunk);
		}
	} catch {
		return {kind: 'broken'};
	}

	return {kind: 'read', bytes: Buffer.concat(chunks)};
}

import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** The result of reading a body; `noRoom` means that `reserve` refused a part of it, and `broken` that the caller closed the connection before the body was complete. */
export type Body = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'tooLarge' | 'noRoom' | 'broken'};

const nothing = new Uint8Array();

/** The first capacity of the buffer for a body that comes in parts, in bytes. */
const minCapacity = 16_384;

/** By how much the capacity grows. The rest of a large buffer takes no memory until it is written. */
const growth = 16;

/**
Reads a request's body into memory, up to `maxBytes`. Returns `tooLarge` as soon
as the body or its `content-length` exceeds `maxBytes`. Calls `reserve` with the length of
each part before it is kept. The rest of a body that is not kept is dropped as it arrives,
so that the caller reads the response.

The parts are copied into one buffer, so a body that comes a byte at a time takes no more
memory than another one.

@example
const body = await readBody(req, 1_048_576);
*/
export async function readBody(req: IncomingMessage, maxBytes: number, reserve: (bytes: number) => boolean = () => true): Promise<Body> {
	const stated = req.headers['content-length'];
	const expectedBytes = stated === undefined ? undefined : Number(stated);
	if (expectedBytes !== undefined && expectedBytes > maxBytes) {
		return {kind: 'tooLarge'};
	}

	const parts = joinParts(expectedBytes ?? maxBytes);
	return new Promise(resolve => {
		const end = (body: Body): void => {
			req.off('data', onPart);
			parts.clear();
			resolve(body);
		};

		const onPart = (part: Uint8Array): void => {
			const isTooLarge = parts.length() + part.length > maxBytes;
			if (isTooLarge || !reserve(part.length)) {
				end({kind: isTooLarge ? 'tooLarge' : 'noRoom'});
				req.resume();
				return;
			}

			parts.add(part);
		};

		req.on('data', onPart);
		req.once('end', () => {
			end({kind: 'read', bytes: parts.bytes()});
		});
		req.once('error', () => {
			end({kind: 'broken'});
		});
		req.once('close', () => {
			end({kind: 'broken'});
		});
	});
}

/** Joins the parts of a body of at most `maxBytes` bytes. A body that comes in one part is not copied. */
function joinParts(maxBytes: number): {length(): number; add(part: Uint8Array): void; bytes(): Uint8Array; clear(): void} {
	let buffer: Uint8Array = nothing;
	let length = 0;
	return {
		length: () => length,
		add(part) {
			const needed = length + part.length;
			if (length === 0 && needed === maxBytes) {
				buffer = part;
				length = needed;
				return;
			}

			if (needed > buffer.length) {
				const grown = Buffer.allocUnsafeSlow(Math.min(maxBytes, Math.max(minCapacity, growth * buffer.length, needed)));
				grown.set(buffer.subarray(0, length));
				buffer = grown;
			}

			buffer.set(part, length);
			length = needed;
		},
		bytes: () => buffer.subarray(0, length),
		// The request may stay open for some time after its body has been given up.
		clear() {
			buffer = nothing;
		},
	};
}

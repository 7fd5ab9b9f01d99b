import {Buffer} from 'node:buffer';
import {type IncomingMessage} from 'node:http';

/** The result of reading a body; `noRoom` means that `reserve` refused a part of it, `broken` that the caller closed the connection before the body was complete, and `cancelled` that `cancel` was called before. */
export type Body = {readonly kind: 'read'; readonly bytes: Uint8Array} | {readonly kind: 'tooLarge' | 'noRoom' | 'broken'} | {readonly kind: 'cancelled'};

/** A body that is arriving. */
export type BodyReading = {
	readonly body: Promise<Body>;
	/** Lets go of the parts that have arrived, and drops the others as they arrive. A body that has been read is not affected. */
	cancel(): void;
};

const nothing = new Uint8Array();
const ignore = (): void => undefined;

/** The first capacity of the buffer for a body that comes in parts, in bytes. */
const minCapacity = 16_384;

/** By how much the capacity grows. The rest of a buffer counts for nobody, and may be memory that has been written to before. */
const growth = 2;

/**
Reads a request's body into memory, up to `maxBytes`. Results in `tooLarge` as soon
as the body or its `content-length` exceeds `maxBytes`. Calls `reserve` with the length of
each part before it is kept. The rest of a body that is not kept is dropped as it arrives,
so that the caller reads the response.

The parts are copied into one buffer, so a body that comes a byte at a time takes no more
memory than another one. A request that is answered before its body is whole has to be
cancelled: Node.js reports neither its end nor that its connection is closed.

@example
const reading = readBody(req, 1_048_576);
const timer = setTimeout(reading.cancel, 1000);
const body = await reading.body;
*/
export function readBody(req: IncomingMessage, maxBytes: number, reserve: (bytes: number) => boolean = () => true): BodyReading {
	const stated = req.headers['content-length'];
	const expectedBytes = stated === undefined ? undefined : Number(stated);
	if (expectedBytes !== undefined && expectedBytes > maxBytes) {
		return {body: Promise.resolve({kind: 'tooLarge'}), cancel: () => undefined};
	}

	const parts = joinParts(expectedBytes ?? maxBytes);
	let settle: (body: Body) => void;
	const body = new Promise<Body>(resolve => {
		settle = resolve;
	});
	const end = (result: Body): void => {
		// The listeners refer to the result, and the request may stay in memory for longer than its body is used.
		req.off('data', onPart).off('end', onEnd).off('error', onBroken).off('close', onBroken).on('error', ignore);
		parts.clear();
		settle(result);
	};

	const dropRest = (kind: 'tooLarge' | 'noRoom' | 'cancelled'): void => {
		end({kind});
		req.resume();
	};

	const onPart = (part: Uint8Array): void => {
		const isTooLarge = parts.length() + part.length > maxBytes;
		if (isTooLarge || !reserve(part.length)) {
			dropRest(isTooLarge ? 'tooLarge' : 'noRoom');
			return;
		}

		parts.add(part);
	};

	const onEnd = (): void => {
		end({kind: 'read', bytes: parts.bytes()});
	};

	const onBroken = (): void => {
		end({kind: 'broken'});
	};

	req.on('data', onPart).on('end', onEnd).on('error', onBroken).on('close', onBroken);
	return {
		body,
		cancel() {
			dropRest('cancelled');
		},
	};
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

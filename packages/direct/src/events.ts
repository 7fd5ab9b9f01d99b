import {Buffer} from 'node:buffer';

/** One whole event of a stream; `bytes` includes the blank line that ends it. */
export type StreamEvent = {readonly bytes: Uint8Array; readonly id: number | undefined};

/** The memory that one part of an answer needs beside its bytes. */
export const partOverheadBytes = 128;

/** Splits the bytes of a stream into whole events. */
export type EventSplitter = {
	/** Adds bytes of the stream and returns the events that are now whole. */
	push(bytes: Uint8Array): readonly StreamEvent[];
	/** The memory used by the event that is not whole yet, in bytes; 0 if the bytes so far end with a whole event. */
	readonly partialBytes: number;
	/** Drops the event that is not whole yet. */
	clear(): void;
};

const blankLine = Buffer.from('\n\n');
const newline = 0x0A;
const idLine = /^id:\s*(\d+)\s*$/mv;

/**
Creates a splitter for `text/event-stream`. It returns whole events only, so that
another target can send an interrupted event again from its start.

@example
const splitter = createEventSplitter();
splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); // one event
*/
export function createEventSplitter(): EventSplitter {
	let parts: Uint8Array[] = [];
	let partialBytes = 0;

	/** Whether an event ends in these bytes, or at the border between them and the last part. */
	const endsEvent = (bytes: Uint8Array): boolean => findEventEnd(bytes) !== -1 || (bytes.at(0) === newline && parts.at(-1)?.at(-1) === newline);

	return {
		push(bytes) {
			if (bytes.length === 0) {
				return [];
			}

			// Joins the parts only when an event is whole, so that the work does not grow with the square of its parts.
			const isWhole = endsEvent(bytes);
			parts.push(bytes);
			partialBytes += bytes.length;
			if (!isWhole) {
				return [];
			}

			let buffered = Buffer.concat(parts);
			const events: StreamEvent[] = [];
			for (let end = findEventEnd(buffered); end !== -1; end = findEventEnd(buffered)) {
				const event = buffered.subarray(0, end);
				buffered = buffered.subarray(end);
				const id = idLine.exec(event.toString('latin1'))?.[1];
				events.push({bytes: event, id: id === undefined ? undefined : Number(id)});
			}

			parts = buffered.length > 0 ? [buffered] : [];
			partialBytes = buffered.length;
			return events;
		},
		get partialBytes() {
			return partialBytes + (parts.length * partOverheadBytes);
		},
		clear() {
			parts = [];
			partialBytes = 0;
		},
	};
}

function findEventEnd(bytes: Uint8Array): number {
	const index = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).indexOf(blankLine);
	return index === -1 ? -1 : index + blankLine.length;
}

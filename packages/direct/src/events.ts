import {Buffer} from 'node:buffer';

/** One whole event of a stream; `bytes` includes the blank line that ends it. */
export type StreamEvent = {readonly bytes: Uint8Array; readonly id: number | undefined};

/** Splits the bytes of a stream into whole events. */
export type EventSplitter = {
	/** Adds bytes of the stream and returns the events that are now whole. */
	push(bytes: Uint8Array): readonly StreamEvent[];
	/** Whether the bytes so far end within an event. */
	readonly hasPartialEvent: boolean;
};

const blankLine = Buffer.from('\n\n');
const idLine = /^id:\s*(\d+)\s*$/mv;

/**
Creates a splitter for `text/event-stream`. It returns whole events only, so that
another target can send an interrupted event again from its start.

@example
const splitter = createEventSplitter();
splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); // one event
*/
export function createEventSplitter(): EventSplitter {
	let buffered = Buffer.alloc(0);
	return {
		push(bytes) {
			buffered = Buffer.concat([buffered, bytes]);
			const events: StreamEvent[] = [];
			for (let end = findEventEnd(buffered); end !== -1; end = findEventEnd(buffered)) {
				const event = buffered.subarray(0, end);
				buffered = buffered.subarray(end);
				const id = idLine.exec(event.toString('latin1'))?.[1];
				events.push({bytes: event, id: id === undefined ? undefined : Number(id)});
			}

			return events;
		},
		get hasPartialEvent() {
			return buffered.length > 0;
		},
	};
}

function findEventEnd(bytes: Uint8Array): number {
	const index = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).indexOf(blankLine);
	return index === -1 ? -1 : index + blankLine.length;
}

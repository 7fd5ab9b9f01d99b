import {Buffer} from 'node:buffer';

/** One whole event of a stream, with the blank line that ends it. */
export type StreamEvent = {readonly bytes: Uint8Array; readonly id: number | undefined};

/** Cuts the bytes of a stream into whole events. */
export type EventSplitter = {
	/** Takes bytes as they come; gives the events that have become whole. */
	push(bytes: Uint8Array): readonly StreamEvent[];
	/** Whether the bytes end within an event. */
	readonly isTorn: boolean;
};

const blankLine = Buffer.from('\n\n');
const idLine = /^id:\s*(\d+)\s*$/mv;

/**
Makes a splitter for `text/event-stream`. Only whole events leave it, so that one
that was cut in its middle can be sent whole by another target.

@example
const splitter = createEventSplitter();
splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2')); // one event
*/
export function createEventSplitter(): EventSplitter {
	let rest = Buffer.alloc(0);
	return {
		push(bytes) {
			rest = Buffer.concat([rest, bytes]);
			const events: StreamEvent[] = [];
			for (let end = endOfEvent(rest); end !== -1; end = endOfEvent(rest)) {
				const event = rest.subarray(0, end);
				rest = rest.subarray(end);
				const id = idLine.exec(event.toString('latin1'))?.[1];
				events.push({bytes: event, id: id === undefined ? undefined : Number(id)});
			}

			return events;
		},
		get isTorn() {
			return rest.length > 0;
		},
	};
}

function endOfEvent(bytes: Uint8Array): number {
	const at = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length).indexOf(blankLine);
	return at === -1 ? -1 : at + blankLine.length;
}

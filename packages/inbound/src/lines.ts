const newline = 0x0A;
const carriageReturn = 0x0D;

/** What the line that bytes end in holds so far: nothing, a carriage return only, or something else. */
export type OpenLine = 'nothing' | 'carriageReturn' | 'text';

/**
Returns the index after the first empty line of `bytes` or after their `maxLines`th line,
whichever comes first, or their length if they have neither; and how many lines end before
it. `openLine` is what the bytes before them hold of the first line. A line ends with a line
feed; one that holds a carriage return only is empty too.

@example
findLinesEnd(Buffer.from('host: a\r\n\r\nbody'), 'text', 10); // {end: 11, lines: 2}
*/
export function findLinesEnd(bytes: Uint8Array, openLine: OpenLine, maxLines: number): {readonly end: number; readonly lines: number} {
	let end = 0;
	for (let lines = 1; lines <= maxLines; lines++) {
		const index = bytes.indexOf(newline, end);
		if (index === -1) {
			return {end: bytes.length, lines: lines - 1};
		}

		const line = openLineOf(bytes.subarray(end, index), lines === 1 ? openLine : 'nothing');
		end = index + 1;
		if (line !== 'text') {
			return {end, lines};
		}
	}

	return {end, lines: maxLines};
}

/**
Returns what the line that `bytes` end in holds, where `before` is what it held before them.

@example
openLineOf(Buffer.from('a: b\r\n\r'), 'text'); // 'carriageReturn'
*/
export function openLineOf(bytes: Uint8Array, before: OpenLine): OpenLine {
	const start = bytes.lastIndexOf(newline) + 1;
	const length = bytes.length - start;
	const held = start > 0 ? 'nothing' : before;
	if (length === 0) {
		return held;
	}

	return held === 'nothing' && length === 1 && bytes[start] === carriageReturn ? 'carriageReturn' : 'text';
}

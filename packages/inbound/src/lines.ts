import {Buffer} from 'node:buffer';

const newline = 0x0A;
const carriageReturn = 0x0D;

/** The end of a line and an empty line after it, as HTTP writes it and as some clients do. */
const lineEnds = ['\n\r\n', '\n\n'] as const;

/**
Returns the index after the first empty line in `bytes`; -1 if there is none. `before`
are the last two bytes that came before them, since the empty line may begin there.

@example
findBlankLineEnd(Buffer.from('host: a\r\n\r\nbody'), {last: 0, beforeLast: 0}); // 11
*/
export function findBlankLineEnd(bytes: Uint8Array, before: {readonly last: number; readonly beforeLast: number}): number {
	const isAfterLine = before.last === newline;
	if ((isAfterLine && bytes[0] === newline) || (before.last === carriageReturn && before.beforeLast === newline && bytes[0] === newline)) {
		return 1;
	}

	if (isAfterLine && bytes[0] === carriageReturn && bytes[1] === newline) {
		return 2;
	}

	const buffer = Buffer.from(bytes.buffer, bytes.byteOffset, bytes.length);
	const ends = lineEnds.map(text => {
		const index = buffer.indexOf(text, 0, 'latin1');
		return index === -1 ? Number.POSITIVE_INFINITY : index + text.length;
	});
	const end = Math.min(...ends);
	return end === Number.POSITIVE_INFINITY ? -1 : end;
}

/**
Returns the index after the `maxLines`th line of `bytes`, or their length if they have fewer
lines, and how many lines end before it.

@example
findLinesEnd(Buffer.from('a\nb\nc'), 1); // {end: 2, lines: 1}
*/
export function findLinesEnd(bytes: Uint8Array, maxLines: number): {readonly end: number; readonly lines: number} {
	let end = 0;
	for (let lines = 0; lines < maxLines; lines++) {
		const index = bytes.indexOf(newline, end);
		if (index === -1) {
			return {end: bytes.length, lines};
		}

		end = index + 1;
	}

	return {end, lines: maxLines};
}

import {performance} from 'node:perf_hooks';
import {SonicBoom} from 'sonic-boom';

/** Lines that one process may log in a second: some times the requests that a thin entry takes. */
const linesPerSecond = 400;

/** Lines that may come at once, such as those of a start or of a release. */
const burstLines = 1200;

/** Bytes that may wait for a reader that is slow; lines beyond them are dropped. */
const maxWaitingBytes = 1_048_576;

const msPerSecond = 1000;
const standardOutput = 1;

/** Takes lines and never makes its caller wait. */
export type LineSink = {
	/** Writes a line, or drops it where too many have come; an urgent one is dropped only if the reader is stuck. */
	write(line: string, isUrgent: boolean): void;
};

/** What the sink needs of the one who writes, so that tests can look on. */
export type LineWriter = {write(text: string): unknown};

export type LineSinkOptions = {readonly writer?: LineWriter; readonly nowMs?: () => number};

/**
Makes a bounded sink on standard output. It writes without blocking the process,
and says how many lines it has dropped as soon as there is room again.

@example
const sink = createLineSink();
sink.write('{"message":"started"}', false);
*/
export function createLineSink({writer = new SonicBoom({fd: standardOutput, sync: false, maxLength: maxWaitingBytes}), nowMs = () => performance.now()}: LineSinkOptions = {}): LineSink {
	let room = burstLines;
	let atMs = nowMs();
	let dropped = 0;
	return {
		write(line, isUrgent) {
			const now = nowMs();
			room = Math.min(burstLines, room + ((now - atMs) * linesPerSecond / msPerSecond));
			atMs = now;
			if (room < 1 && !isUrgent) {
				dropped++;
				return;
			}

			room -= 1;
			if (dropped > 0) {
				writer.write(`${JSON.stringify({message: 'log lines dropped', dropped})}\n`);
				dropped = 0;
			}

			writer.write(`${line}\n`);
		},
	};
}

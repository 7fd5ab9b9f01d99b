import {performance} from 'node:perf_hooks';
import {SonicBoom} from 'sonic-boom';

/** The sustained rate limit of one process, several times the request rate of a small entry. */
const maxLinesPerSecond = 400;

/** The number of lines that may be written at once, such as at startup or during a rollout. */
const maxBurstLines = 1200;

/** The most bytes that are buffered while the reader of standard output is slow. Lines beyond them are dropped. */
const maxBufferedBytes = 1_048_576;

const msPerSecond = 1000;
const standardOutputFd = 1;

/** A destination for log lines that never blocks its caller. */
export type LineSink = {
	/** Writes a line, or drops it if the rate limit is exceeded. The rate limit does not apply to an urgent line, which is dropped only if the buffer of the writer is full. */
	write(line: string, isUrgent: boolean): void;
};

/** The method of a stream that the sink calls. Tests pass their own writer. */
export type LineWriter = {write(text: string): unknown};

export type LineSinkOptions = {readonly writer?: LineWriter; readonly nowMs?: () => number};

/**
Creates a rate-limited sink on standard output. It writes without blocking the process.
Before the next line that it writes after dropping some, it logs how many lines the
rate limit dropped.

@example
const sink = createLineSink();
sink.write('{"message":"started"}', false);
*/
export function createLineSink({writer = openStandardOutput(), nowMs = () => performance.now()}: LineSinkOptions = {}): LineSink {
	let availableLines = maxBurstLines;
	let lastRefillMs = nowMs();
	let dropped = 0;
	return {
		write(line, isUrgent) {
			const now = nowMs();
			availableLines = Math.min(maxBurstLines, availableLines + ((now - lastRefillMs) * maxLinesPerSecond / msPerSecond));
			lastRefillMs = now;
			if (availableLines < 1 && !isUrgent) {
				dropped++;
				return;
			}

			availableLines -= 1;
			if (dropped > 0) {
				writer.write(`${JSON.stringify({message: 'log lines dropped', dropped})}\n`);
				dropped = 0;
			}

			writer.write(`${line}\n`);
		},
	};
}

function openStandardOutput(): LineWriter {
	const writer = new SonicBoom({fd: standardOutputFd, sync: false, maxLength: maxBufferedBytes});
	// Without a listener, the process would end when the reader of its log has closed the pipe. There is no other place to report it.
	writer.on('error', () => undefined);
	return writer;
}

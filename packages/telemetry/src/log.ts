// eslint-disable-next-line import-x/no-unassigned-import
import './enable-roarr.js';
// eslint-disable-next-line import-x/order
import {Roarr, type Logger} from 'roarr';
import {createLineSink} from './sink.js';

export type Log = Logger;

/** The log levels, from the most to the least verbose. */
export const logLevels = ['debug', 'info', 'warn', 'error'] as const;

export type LogLevel = typeof logLevels[number];

const roarrLevel: Readonly<Record<LogLevel, number>> = {
	debug: 20, info: 30, warn: 40, error: 50,
};

/**
Creates the log of a program. Each line is one JSON object on standard output. Lines
below `level` and lines beyond the rate limit of the sink are dropped. `level` applies
to the whole process, because Roarr has a single output function.

@example
const log = createLog({program: 'papayaflow-entry', instance: 'entry-1'}, 'info');
log.info({requestId: 'r-1', outcome: 'answered'}, 'request ended');
*/
export function createLog(context: Readonly<Record<string, string>>, level: LogLevel): Log {
	const minLevel = roarrLevel[level];
	const sink = createLineSink();
	(globalThis as unknown as {ROARR: {write: (line: string) => void}}).ROARR.write = line => {
		const parsed = JSON.parse(line) as {context: {logLevel?: number}};
		if ((parsed.context.logLevel ?? minLevel) >= minLevel) {
			sink.write(line, parsed.context.logLevel === roarrLevel.error);
		}
	};

	return Roarr.child(context);
}

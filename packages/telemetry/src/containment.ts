import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** Where an unforeseen exception was caught, as it stands in the log and in the label of the counter. */
export const containmentPlaces = ['request', 'admin', 'frame', 'directory', 'tick', 'store', 'accept', 'process'] as const;

export type ContainmentPlace = typeof containmentPlaces[number];

/**
Keeps an exception that no code has foreseen from ending the process: it costs only the
work in which it was thrown. Each one is a fault of this project, so it is counted and
logged with its stack.
*/
export type Containment = {
	/** Logs and counts an exception that was caught elsewhere. */
	report(place: ContainmentPlace, error: unknown): void;
	/** Calls `work` and returns what it returns, or `undefined` if it threw. */
	run<T>(place: ContainmentPlace, work: () => T): T | undefined;
};

/**
Creates the containment of one process.

@example
const containment = createContainment({metrics, log});
containment.run('frame', () => onFrame(frame));
*/
export function createContainment({metrics, log}: {readonly metrics: Metrics; readonly log: Log}): Containment {
	metrics.declare('unforeseen_errors', 'place', containmentPlaces);
	const report = (place: ContainmentPlace, error: unknown): void => {
		metrics.count('unforeseen_errors', {place});
		log.error({place, stack: error instanceof Error ? error.stack ?? error.message : String(error)}, 'unforeseen error; the work in which it was thrown ends');
	};

	return {
		report,
		run(place, work) {
			try {
				return work();
			} catch (error) {
				report(place, error);
				return undefined;
			}
		},
	};
}

import {type AgedSuspicion} from './suspicion.js';
import {createSuspicions} from './suspicions.js';

/** Passes suspicions on between the instances that are connected to this process. */
export type SuspicionRelay = {
	/** Merges what an instance has sent and returns what was news, to be sent to all other instances. */
	onReceived(received: readonly AgedSuspicion[]): readonly AgedSuspicion[];
	/** Everything known, to be sent to an instance that has connected. */
	all(): readonly AgedSuspicion[];
};

/**
Creates the relay of a process that takes no requests itself. Each suspicion is passed on
once, however many instances send it.

@example
const news = relay.onReceived(frame.suspicions);
*/
export function createSuspicionRelay(nowMs: () => number): SuspicionRelay {
	const suspicions = createSuspicions(nowMs);
	return {
		onReceived: received => suspicions.aged(suspicions.mergeAged(received).map(({suspicion}) => suspicion)),
		all: () => suspicions.aged(suspicions.all()),
	};
}

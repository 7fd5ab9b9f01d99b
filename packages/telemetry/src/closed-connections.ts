import {closeReasons, type CloseReason} from '@papayaflow/inbound';
import {type Log} from './log.js';
import {type Metrics} from './metrics.js';

/** The shortest time between two log lines about closed connections, in milliseconds. */
const logIntervalMs = 1000;

/**
Counts the connections that a server closes because of what their clients do, as
`NAME_connections_closed{reason}`, and logs at most one line a second with how many they were.

@example
const onClosed = reportClosedConnections('caller', {metrics, log, monotonicMs: () => performance.now()});
superviseServer(server, {...limits, onClosed});
*/
export function reportClosedConnections(name: 'caller' | 'admin' | 'peer', {metrics, log, monotonicMs}: {readonly metrics: Metrics; readonly log: Log; readonly monotonicMs: () => number}): (reason: CloseReason) => void {
	const counter = `${name}_connections_closed`;
	metrics.declare(counter, 'reason', closeReasons);
	const unlogged = new Map<CloseReason, number>();
	let lastLogMs = Number.NEGATIVE_INFINITY;
	return reason => {
		metrics.count(counter, {reason});
		unlogged.set(reason, (unlogged.get(reason) ?? 0) + 1);
		const now = monotonicMs();
		if (now - lastLogMs >= logIntervalMs) {
			lastLogMs = now;
			log.warn({server: name, closed: Object.fromEntries(unlogged)}, 'closed connections of clients that hold what others need');
			unlogged.clear();
		}
	};
}

/** The heartbeat interval where at least one end must detect the loss of the other quickly, in milliseconds. */
export const shortHeartbeatIntervalMs = 250;

/** Calls the heartbeat checks of all connections of a process. */
export type HeartbeatTicker = {
	/** Adds a check; call the returned function to remove it. */
	add(check: () => void): () => void;
};

/**
Creates the ticker of one process. All connections share one timer, because with many
peers a timer for each connection would wake the process hundreds of times a second.

@example
const heartbeats = createHeartbeatTicker();
const remove = heartbeats.add(() => connection.send({kind: 'alive', isNear: true, everyMs: 250}));
*/
export function createHeartbeatTicker(): HeartbeatTicker {
	const checks = new Set<() => void>();
	let timer: NodeJS.Timeout | undefined;
	return {
		add(check) {
			checks.add(check);
			timer ??= setInterval(() => {
				for (const other of checks) {
					other();
				}
			}, shortHeartbeatIntervalMs).unref();
			return () => {
				checks.delete(check);
				if (checks.size === 0) {
					clearInterval(timer);
					timer = undefined;
				}
			};
		},
	};
}

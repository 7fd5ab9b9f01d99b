/** The interval of a ticker, which is also the heartbeat interval where at least one end must detect the loss of the other quickly, in milliseconds. */
export const tickIntervalMs = 250;

/** Calls what a process checks several times a second. */
export type Ticker = {
	/** Adds a check; call the returned function to remove it. */
	add(check: () => void): () => void;
};

/**
Creates the ticker of one process, which calls all checks each 250 ms. They share one timer,
because a timer for each of them, such as for each connection, would wake the process hundreds of times a second.
What a check throws goes to `onError`, and the others are called all the same.

@example
const ticker = createTicker(error => containment.report('tick', error));
const remove = ticker.add(() => connection.send({kind: 'alive', isNear: true, everyMs: 250}));
*/
export function createTicker(onError: (error: unknown) => void): Ticker {
	const checks = new Set<() => void>();
	let timer: NodeJS.Timeout | undefined;
	return {
		add(check) {
			checks.add(check);
			timer ??= setInterval(() => {
				for (const other of checks) {
					try {
						other();
					} catch (error) {
						onError(error);
					}
				}
			}, tickIntervalMs).unref();
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

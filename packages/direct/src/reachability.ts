import {setTimeout as sleep} from 'node:timers/promises';

/** The delay before the first trial of a target that accepted no connection, in milliseconds. It doubles with each trial that fails. */
const firstTrialMs = 50;

/** The longest delay between two trials, in milliseconds, so that a target is in use again within a second of accepting connections. */
const maxTrialMs = 800;

/** Whether a target accepts connections, as one entry has found. */
export type Reachability = {
	/** `false` from a connection that was not accepted until a trial is. */
	isReachable(): boolean;
	/** Records that the target accepted no connection, and begins to try others, one at a time. While the trials are suspended, only the former. */
	onUnreachable(): void;
	/** Ends the trials until `resume`. What is known stays. */
	suspend(): void;
	/** Begins the trials again if the target is not reachable. */
	resume(): void;
};

export type ReachabilityOptions = {
	/** Opens a connection to the target and closes it again; resolves to whether the target accepted it. */
	readonly tryConnect: () => Promise<boolean>;
	/** Called when the target becomes unreachable, and when it is reachable again. */
	readonly onChange: (isReachable: boolean) => void;
	readonly sleep?: (ms: number) => Promise<unknown>;
};

/**
Creates the belief about a target that has accepted all connections so far. Calls don't
take part in the trials, so that none waits for a connection that times out.

@example
const reachability = createReachability({tryConnect: async () => await tryConnect('10.0.0.4', 8000, 300) === 'accepted', onChange});
*/
export function createReachability({tryConnect, onChange, sleep: pause = async ms => sleep(ms, undefined, {ref: false})}: ReachabilityOptions): Reachability {
	let isReachable = true;
	/** The number of suspensions so far; trials that began before the last one end. */
	let suspensions = 0;
	let isSuspended = false;

	const tryUntilReachable = async (): Promise<void> => {
		const startedAt = suspensions;
		for (let delayMs = firstTrialMs; suspensions === startedAt; delayMs = Math.min(maxTrialMs, 2 * delayMs)) {
			await pause(delayMs);
			if (suspensions === startedAt && await tryConnect() && suspensions === startedAt) {
				isReachable = true;
				onChange(true);
				return;
			}
		}
	};

	return {
		isReachable: () => isReachable,
		onUnreachable() {
			if (!isReachable) {
				return;
			}

			isReachable = false;
			onChange(false);
			if (!isSuspended) {
				void tryUntilReachable();
			}
		},
		suspend() {
			suspensions++;
			isSuspended = true;
		},
		resume() {
			isSuspended = false;
			if (!isReachable) {
				void tryUntilReachable();
			}
		},
	};
}

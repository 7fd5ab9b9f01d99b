import {setTimeout as sleep} from 'node:timers/promises';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {maxLoggedParts} from './call.js';
import {tryConnect} from './connection-trial.js';
import {type Target} from './targets.js';

/** How long to wait for other requests that the same crash has cut off, in milliseconds. Their connections close together. */
const settleMs = 10;

/** A request that a target had not begun to answer when its connection closed, with what it may be suspected for: the shared parts of its prompt and its own id. */
export type LostRequest = {readonly requestId: string; readonly parts: readonly string[]};

export type CrashDetectorOptions = {
	/** The timeout for opening a connection to a target, in milliseconds. */
	readonly connectMs: number;
	readonly log: Log;
	readonly metrics: Metrics;
	/** Called once for each crash, with all requests that it has cut off before their answers began. */
	readonly onCrash: (target: Target, requests: readonly LostRequest[]) => void;
	/** Whether a target refuses connections; opens one by default. */
	readonly isRefusing?: (host: string, port: number, timeoutMs: number) => Promise<boolean>;
};

/** Finds out whether a target that closed the connection of a request has crashed. */
export type CrashDetector = {
	/** Resolves when it is known whether the target has crashed, and `onCrash` has been called if so. */
	onLost(target: Target, request: LostRequest): Promise<void>;
};

/**
Creates the crash detector of an entry. A target that closes a connection may have lost
just this one; it has crashed if it also refuses the next one. A target that is leaving,
or does not answer at all, does not count.

@example
await detector.onLost(target, {requestId: 'r-1', parts: ['5c1e07a2']});
*/
export function createCrashDetector({connectMs, log, metrics, onCrash, isRefusing = async (host, port, timeoutMs) => await tryConnect(host, port, timeoutMs) === 'refused'}: CrashDetectorOptions): CrashDetector {
	const pending = new Map<Target, {readonly requests: LostRequest[]; readonly isKnown: Promise<void>}>();

	const check = async (target: Target, requests: readonly LostRequest[]): Promise<void> => {
		await sleep(settleMs);
		const {record: {id, host, port, service}} = target;
		const isCrashed = await isRefusing(host, port, connectMs) && target.isServing;
		pending.delete(target);
		if (!isCrashed) {
			return;
		}

		metrics.count('target_crashes');
		log.warn({
			target: id, service, requests: requests.map(({requestId, parts}) => ({requestId, parts: parts.slice(-maxLoggedParts)})),
		}, 'target crashed before it began to answer these requests');
		onCrash(target, requests);
	};

	return {
		async onLost(target, request) {
			const running = pending.get(target);
			if (running) {
				running.requests.push(request);
				return running.isKnown;
			}

			const requests = [request];
			const isKnown = check(target, requests);
			pending.set(target, {requests, isKnown});
			return isKnown;
		},
	};
}

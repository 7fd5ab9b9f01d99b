import {type RankNotices} from '@papayaflow/peer';
import {type Log, type Metrics} from '@papayaflow/telemetry';

/** The shortest time for which a closed group is expected to stay closed, in milliseconds. */
const minRemainingMs = 200;

/** How much longer a group is expected to stay closed once it has been closed for longer than it takes to form, as a ratio of that time. */
const overdueRatio = 0.5;

/** The weight of a new sample in the moving average of the time for which groups are closed. */
const outageWeight = 0.3;

/** The time between two requests that are sent to a service without a coordinator after one of its ranks has refused a request, in milliseconds. All ranks of a group refuse while it forms. */
const probeIntervalMs = 250;

/** How long a refusal by a rank counts, in milliseconds. */
const refusalValidMs = 2000;

/** How long after it has formed a group counts as having just formed, in milliseconds. */
const justFormedMs = 1500;

/** How often the conditions of held requests are checked between two notices, in milliseconds. */
const pollMs = 25;

/** A group that takes no requests, as this entry knows it. */
type ClosedGroup = {readonly sinceMs: number};

export type GroupAvailabilityOptions = {
	readonly notices: Pick<RankNotices, 'ofGroup'>;
	readonly monotonicMs: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** What an entry knows of which groups take requests. */
export type GroupAvailability = {
	/** To be called when a notice of a group has arrived, or a sidecar of it was lost. */
	update(group: string): void;
	isClosed(group: string): boolean;
	/** How much longer the first of some closed groups is expected to be closed, in milliseconds. `formationMs` is the time that a group takes to form after its ranks are back. */
	remainingMs(groups: readonly string[], formationMs: number): number;
	/** Whether a group was found to have formed anew a moment ago, so that its coordinator may still be starting. */
	hasJustFormed(group: string): boolean;
	/** Whether no group is closed or has just formed. */
	isSettled(): boolean;
	/** Resolves when a condition has become true, at the latest after `maxMs` milliseconds or when the signal is aborted. */
	until(isMet: () => boolean, maxMs: number, signal: AbortSignal): Promise<void>;
	/** Records that a rank of a service has refused a request without running it, while no coordinator of the service is known. */
	onRefusal(service: string): void;
	/** Whether a rank of a service has refused a request lately. */
	hasRefused(service: string): boolean;
	/** Takes the permission to send one request to such a service; the next one can be taken a quarter of a second later. */
	tryProbe(service: string): boolean;
	status(): unknown;
};

/**
Creates the record of the groups that take no requests. All ranks of a group refuse
requests from the loss of a rank until the group has formed anew, and a formation that
is closed does not open again. So the connected sidecars' notices with the highest
formation decide, and one that says closed outweighs others that may be older.

Load pattern: all machines lose power; callers and the requests that were cut off arrive
at entries that have just started, while every rank refuses requests for a second or more.

@example
const availability = createGroupAvailability({notices, monotonicMs, metrics, log});
availability.update('g0');
availability.isClosed('g0');
*/
export function createGroupAvailability({notices, monotonicMs, metrics, log}: GroupAvailabilityOptions): GroupAvailability {
	const closed = new Map<string, ClosedGroup>();
	/** For each service of which a rank has refused a request, until when that counts, and when the next request may be sent. */
	const refusals = new Map<string, {readonly untilMs: number; nextProbeMs: number}>();
	const openedAtMs = new Map<string, number>();
	/** Checks the condition of each caller of `until`. */
	const waiting = new Set<() => void>();
	/** The moving average of the time for which groups were closed, in milliseconds; `undefined` before the first one has opened. */
	let meanOutageMs: number | undefined;

	const hasJustFormed = (group: string): boolean => monotonicMs() - (openedAtMs.get(group) ?? Number.NEGATIVE_INFINITY) < justFormedMs;

	const setClosed = (group: string, formation: number): void => {
		closed.set(group, {sinceMs: monotonicMs()});
		metrics.gauge('closed_groups', closed.size);
		log.info({group, formation, meanOutageMs: meanOutageMs === undefined ? null : Math.round(meanOutageMs)}, 'group closed');
	};

	const setOpen = (group: string, formation: number | undefined): void => {
		const {sinceMs} = closed.get(group)!;
		const outageMs = monotonicMs() - sinceMs;
		closed.delete(group);
		metrics.gauge('closed_groups', closed.size);
		if (formation !== undefined) {
			meanOutageMs = meanOutageMs === undefined ? outageMs : meanOutageMs + ((outageMs - meanOutageMs) * outageWeight);
			openedAtMs.set(group, monotonicMs());
		}

		log.info({group, formation: formation ?? null, closedMs: Math.round(outageMs)}, formation === undefined ? 'state of a closed group unknown' : 'group open');
	};

	const refresh = (group: string): void => {
		const latest = notices.ofGroup(group).map(([, notice]) => notice);
		const before = closed.get(group);
		if (latest.length === 0) {
			if (before) {
				setOpen(group, undefined);
			}

			return;
		}

		const formation = Math.max(...latest.map(notice => notice.formation));
		const isClosed = latest.some(notice => notice.formation === formation && !notice.isOpen);
		if (isClosed && !before) {
			setClosed(group, formation);
		} else if (!isClosed && before) {
			setOpen(group, formation);
		}
	};

	const remainingOf = ({sinceMs}: ClosedGroup, formationMs: number): number => {
		const elapsedMs = monotonicMs() - sinceMs;
		const expectedMs = meanOutageMs ?? formationMs;
		return Math.max(minRemainingMs, elapsedMs < expectedMs ? expectedMs - elapsedMs : elapsedMs * overdueRatio);
	};

	return {
		update(group) {
			refresh(group);
			for (const check of waiting) {
				check();
			}
		},
		isClosed: group => closed.has(group),
		remainingMs: (groups, formationMs) => Math.min(...groups.map(group => {
			const state = closed.get(group);
			return state ? remainingOf(state, formationMs) : 0;
		})),
		hasJustFormed,
		isSettled: () => closed.size === 0 && [...openedAtMs.keys()].every(group => !hasJustFormed(group)),
		async until(isMet, maxMs, signal) {
			return new Promise(resolve => {
				const settle = (): void => {
					clearTimeout(timer);
					clearInterval(poll);
					signal.removeEventListener('abort', settle);
					waiting.delete(check);
					resolve();
				};

				const check = (): void => {
					if (isMet()) {
						settle();
					}
				};

				const timer = setTimeout(settle, maxMs);
				const poll = setInterval(check, pollMs);
				signal.addEventListener('abort', settle, {once: true});
				waiting.add(check);
				check();
			});
		},
		onRefusal(service) {
			refusals.set(service, {untilMs: monotonicMs() + refusalValidMs, nextProbeMs: monotonicMs() + probeIntervalMs});
		},
		hasRefused: service => monotonicMs() < (refusals.get(service)?.untilMs ?? 0),
		tryProbe(service) {
			const refusal = refusals.get(service);
			if (refusal && monotonicMs() < refusal.nextProbeMs) {
				return false;
			}

			if (refusal) {
				refusal.nextProbeMs = monotonicMs() + probeIntervalMs;
			}

			return true;
		},
		status: () => ({closed: [...closed.keys()], meanOutageMs: meanOutageMs === undefined ? null : Math.round(meanOutageMs)}),
	};
}

import {LRUCache} from 'lru-cache';
import {
	ageOf, fromAged, isBlocked, isSameCrash, isSameTrial, mergeSuspicions, trialFromMs, type AgedSuspicion, type Suspicion,
} from './suspicion.js';
import {isRequestSubject} from './subject.js';

/** How many parts, and how many requests, are kept. Those whose suspicion has not changed for the longest time are dropped first. Each crash adds all requests that the target had not begun to answer. */
const maxParts = 256;
const maxRequests = 1024;

/** How long a suspicion is kept without a change, in milliseconds: longer than the longest pause before a trial. */
const forgetAfterMs = 7_200_000;

/** How the belief about a part changed. */
export type SuspicionChange = 'suspected' | 'blocked' | 'cleared';

/** All suspicions that a process knows of. */
export type Suspicions = {
	get(part: string): Suspicion | undefined;
	/** The suspicions, including those of parts that were cleared. */
	all(): readonly Suspicion[];
	/** Whether any request is suspected and was not cleared, so that the ids of requests matter. */
	hasRequests(): boolean;
	/** From when a request with the part may be sent as a trial, in milliseconds of the monotonic clock; `undefined` if nothing speaks against the part. */
	trialFromMs(part: string): number | undefined;
	/** Merges a suspicion into the table. Returns whether that changed it, and how the belief about the part changed. */
	merge(next: Suspicion): {readonly isNews: boolean; readonly change: SuspicionChange | undefined};
	/** The suspicions to send to another process. */
	aged(suspicions: readonly Suspicion[]): readonly AgedSuspicion[];
	/** Merges what another process has sent and returns what was news, each with how the belief changed. */
	mergeAged(received: readonly AgedSuspicion[]): ReadonlyArray<{readonly suspicion: Suspicion; readonly change: SuspicionChange | undefined}>;
};

/**
Creates an empty table. It keeps 256 parts and 1,024 requests at most, and each for two hours at most.

@example
const suspicions = createSuspicions(() => performance.now());
suspicions.merge({part: '91bd3f06', round: 0, crashes: [{target: 'i-1', atMs: 5, isTrial: false}], changedAtMs: 5});
*/
export function createSuspicions(nowMs: () => number): Suspicions {
	const parts = new LRUCache<string, Suspicion>({max: maxParts});
	const requests = new LRUCache<string, Suspicion>({
		max: maxRequests,
		dispose(_suspicion, id, reason) {
			if (reason === 'evict') {
				suspectedRequests.delete(id);
			}
		},
	});
	/** The requests that were not cleared, and when one of them last became suspected. */
	const suspectedRequests = new Set<string>();
	let lastSuspectedMs = Number.NEGATIVE_INFINITY;
	const tableOf = (subject: string): LRUCache<string, Suspicion> => isRequestSubject(subject) ? requests : parts;
	const get = (subject: string): Suspicion | undefined => tableOf(subject).peek(subject);

	const merge = (next: Suspicion): {readonly isNews: boolean; readonly change: SuspicionChange | undefined} => {
		const held = get(next.part);
		const merged = held ? mergeSuspicions(held, next) : next;
		if (nowMs() - merged.changedAtMs > forgetAfterMs || (held && isSame(held, merged))) {
			return {isNews: false, change: undefined};
		}

		tableOf(next.part).set(next.part, merged);
		if (isRequestSubject(next.part) && merged.crashes.length > 0) {
			suspectedRequests.add(next.part);
			lastSuspectedMs = Math.max(lastSuspectedMs, merged.changedAtMs);
		} else {
			suspectedRequests.delete(next.part);
		}

		return {isNews: true, change: changeBetween(held, merged)};
	};

	const all = (): readonly Suspicion[] => [...parts.values(), ...requests.values()].filter(({changedAtMs}) => nowMs() - changedAtMs <= forgetAfterMs);

	return {
		get,
		all,
		hasRequests: () => suspectedRequests.size > 0 && nowMs() - lastSuspectedMs <= forgetAfterMs,
		trialFromMs(part) {
			const suspicion = get(part);
			return suspicion && trialFromMs(suspicion, all().filter(other => other.part !== part));
		},
		merge,
		aged: suspicions => suspicions.map(suspicion => ageOf(suspicion, nowMs())),
		mergeAged: received => received.flatMap(aged => {
			const {isNews, change} = merge(fromAged(aged, nowMs()));
			return isNews ? [{suspicion: get(aged.part)!, change}] : [];
		}),
	};
}

/** Whether two states of a suspicion differ in no more than the time at which reports arrived. */
function isSame(a: Suspicion, b: Suspicion): boolean {
	const areTrialsSame = a.trial && b.trial ? isSameTrial(a.trial, b.trial) && a.trial.isOver === b.trial.isOver : a.trial === b.trial;
	return areTrialsSame && a.round === b.round && a.crashes.length === b.crashes.length
		&& a.crashes.every(crash => b.crashes.some(other => isSameCrash(crash, other) && crash.isTrial === other.isTrial && crash.stopsGroup === other.stopsGroup));
}

function changeBetween(before: Suspicion | undefined, after: Suspicion): SuspicionChange | undefined {
	const [stateBefore, stateAfter] = [stateOf(before), stateOf(after)];
	return stateBefore === stateAfter ? undefined : stateAfter;
}

function stateOf(suspicion: Suspicion | undefined): SuspicionChange {
	if (!suspicion || suspicion.crashes.length === 0) {
		return 'cleared';
	}

	return isBlocked(suspicion) ? 'blocked' : 'suspected';
}

import {type Log, type Metrics} from '@papayaflow/telemetry';
import {LRUCache} from 'lru-cache';
import {
	isBlocked, mayHaveCaused, type AgedSuspicion, type Suspicion,
} from './suspicion.js';
import {isRequestSubject} from './subject.js';
import {createSuspicions, type SuspicionChange} from './suspicions.js';

/** How long the effect of a trial is waited for, in milliseconds: a queue at the target and the prefill of a long prompt. */
const trialMs = 3000;

/** How many parts with a begun answer are remembered. */
const maxBegunParts = 20_000;

/** How long a begun answer speaks against a part as the cause of a crash, in milliseconds. Targets with new software may crash on parts that they took before. */
const begunValidMs = 60_000;

/** The shortest delay suggested to a caller whose request waits for a trial, in milliseconds. */
const minRetryAfterMs = 500;

export const suspicionChanges = ['suspected', 'blocked', 'cleared'] as const satisfies readonly SuspicionChange[];

export type QuarantineOptions = {
	readonly instance: string;
	/** Sends suspicions to the other instances, through processes that pass them on. */
	readonly announce: (suspicions: readonly AgedSuspicion[]) => void;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** Whether a request may be sent to a target. */
export type Admission
	= | {readonly kind: 'admitted'}
		/** The request would be a trial of this part. */
		| {readonly kind: 'trial'; readonly part: string}
		| {readonly kind: 'refused'; readonly part: string; readonly retryAfterMs: number};

/** What one instance knows of subjects that crash targets. The subjects of a request are the parts of its prompt that it shares with others, and its own id by `requestSubject`. */
export type Quarantine = {
	/** Whether any request is suspected; only then do the ids of requests matter to `check`, `admit` and `onBegun`. */
	knowsRequests(): boolean;
	/** Decides on a request with these subjects. */
	check(parts: readonly string[]): Admission;
	/** Decides as `check` does when the request is about to be sent to a target; a trial is announced to the other instances. */
	admit(parts: readonly string[], target: string): Admission;
	/** Ends the trial of a part that has neither begun nor crashed its target. */
	endTrial(part: string): void;
	/** Records that a target has begun to answer a request with these parts. */
	onBegun(parts: readonly string[]): void;
	/** Records that a target crashed before it had begun to answer these requests, and whether a group stands still after it. */
	onCrash(target: string, requests: ReadonlyArray<{readonly parts: readonly string[]}>, effect?: {readonly stopsGroup: boolean}): void;
	/** Takes in what another process knows. */
	onReceived(source: string, received: readonly AgedSuspicion[]): void;
	/** Clears a part, or all parts, on behalf of an operator. Returns how many were suspected. */
	clear(part?: string): number;
	/** Everything known, to be sent to a process that has connected. */
	all(): readonly AgedSuspicion[];
	status(): unknown;
};

/**
Creates the quarantine of one instance. A target that crashes before it begins to answer
a request makes each part suspected that the request shares with others and with which no
answer was begun lately. Requests with a suspected part are refused, except for one at a
time over all instances that is sent as a trial: after a second if several parts may have
caused the crash, after half a minute if only one can. An answer that begins clears the
part; a crash blocks it for five minutes, and for longer after each further trial. Requests
without a suspected part are not affected.

The request itself is suspected too, since it may come again. Most requests that fall with a
target are sound, so the first crash has no effect on them, unless one of them alone can explain why a
group stands still; after the second one the request is kept back like a part. An answer that begins
clears it.

Load pattern: requests that crash each target that begins to answer them come at all
instances, mixed with sound ones of the same organisations, routes and first parts; no two of them
alike, or the same one again and again.

@example
const admission = quarantine.admit(['5c1e07a2', '91bd3f06'], 'i-7f3a91c2');
*/
export function createQuarantine({instance, announce, monotonicMs, random, metrics, log}: QuarantineOptions): Quarantine {
	const suspicions = createSuspicions(monotonicMs);
	/** When an answer with a part was last begun. */
	const begunAtMs = new LRUCache<string, number>({max: maxBegunParts});

	const logChange = ({part, round, crashes}: Suspicion, change: SuspicionChange, source: string): void => {
		metrics.count('suspicion_changes', {change});
		log.warn({
			part, round, source, crashes: crashes.map(({target, atMs, isTrial}) => ({target, ageMs: Math.round(monotonicMs() - atMs), isTrial})),
		}, `${isRequestSubject(part) ? 'request' : 'prompt part'} ${change}`);
	};

	/** Merges what this instance has found out, and tells the others. */
	const publish = (found: readonly Suspicion[], source: string): void => {
		const news: Suspicion[] = [];
		for (const suspicion of found) {
			const {isNews, change} = suspicions.merge(suspicion);
			if (isNews) {
				news.push(suspicions.get(suspicion.part)!);
			}

			if (change) {
				logChange(suspicions.get(suspicion.part)!, change, source);
			}
		}

		if (news.length > 0) {
			announce(suspicions.aged(news));
		}
	};

	const cleared = ({part, round}: Suspicion): Suspicion => ({
		part, round: round + 1, crashes: [], changedAtMs: monotonicMs(),
	});

	/** Whether an answer with the part was begun after its last crash, or shortly before a crash that was no trial of it. */
	const isDisproved = (suspicion: Suspicion): boolean => {
		const begun = begunAtMs.get(suspicion.part);
		if (begun === undefined || suspicion.crashes.length === 0) {
			return false;
		}

		const lastCrashMs = Math.max(...suspicion.crashes.map(({atMs}) => atMs));
		return begun > lastCrashMs || (begun > lastCrashMs - begunValidMs && !suspicion.crashes.some(({isTrial}) => isTrial));
	};

	const isTrialUnderWay = ({crashes, trial}: Suspicion): boolean => trial !== undefined && !trial.isOver
		&& monotonicMs() - trial.atMs < trialMs && crashes.every(({target, atMs}) => target !== trial.target || atMs < trial.atMs);

	/** Whether the request itself may have caused a crash for which its part is suspected. A trial of the part with that request could not tell which of them it was. */
	const isRivalOf = (part: string, subjects: readonly string[]): boolean => {
		const suspicion = suspicions.get(part);
		if (!suspicion || isRequestSubject(part)) {
			return false;
		}

		const requests = subjects.filter(subject => isRequestSubject(subject)).flatMap(subject => suspicions.get(subject) ?? []);
		return requests.some(({crashes}) => crashes.some(crash => mayHaveCaused(suspicion, crash)));
	};

	const refusalOf = (part: string, waitMs = 0): Admission => ({kind: 'refused', part, retryAfterMs: Math.max(minRetryAfterMs, waitMs) * (1 + (random() / 2))});

	const check = (parts: readonly string[]): Admission => {
		let trialPart: string | undefined;
		for (const part of parts) {
			const fromMs = suspicions.trialFromMs(part);
			if (fromMs === undefined) {
				continue;
			}

			const waitMs = fromMs - monotonicMs();
			if (waitMs > 0 || suspicions.all().some(other => isTrialUnderWay(other))) {
				return refusalOf(part, waitMs);
			}

			trialPart ??= part;
		}

		if (trialPart !== undefined && isRivalOf(trialPart, parts)) {
			return refusalOf(trialPart);
		}

		return trialPart === undefined ? {kind: 'admitted'} : {kind: 'trial', part: trialPart};
	};

	return {
		knowsRequests: () => suspicions.hasRequests(),
		check,
		admit(parts, target) {
			const admission = check(parts);
			if (admission.kind === 'trial') {
				const now = monotonicMs();
				log.info({part: admission.part, target}, `trial of a ${isRequestSubject(admission.part) ? 'suspected request' : 'prompt part'} began`);
				metrics.count('part_trials');
				publish([{
					...suspicions.get(admission.part)!, changedAtMs: now, trial: {
						instance, target, atMs: now, isOver: false,
					},
				}], instance);
			}

			return admission;
		},
		endTrial(part) {
			const suspicion = suspicions.get(part);
			if (suspicion?.trial?.instance === instance && isTrialUnderWay(suspicion)) {
				publish([{...suspicion, changedAtMs: monotonicMs(), trial: {...suspicion.trial, isOver: true}}], instance);
			}
		},
		onBegun(parts) {
			const now = monotonicMs();
			for (const part of parts) {
				// Two crashes in a row outweigh the earlier answers to a request, so only those that clear it count.
				if (!isRequestSubject(part)) {
					begunAtMs.set(part, now);
				}

				const suspicion = suspicions.get(part);
				if (suspicion && suspicion.crashes.length > 0) {
					publish([cleared(suspicion)], instance);
				}
			}
		},
		onCrash(target, requests, effect) {
			const now = monotonicMs();
			const trials = suspicions.all().filter(suspicion => suspicion.trial?.target === target && isTrialUnderWay(suspicion)).map(({part}) => part);
			const candidates = [...new Set(requests.flatMap(({parts}) => parts))].filter(part => {
				const begun = begunAtMs.get(part);
				return begun === undefined || now - begun > begunValidMs;
			});
			// A trial explains the crash; the other requests at the target fell with it.
			const suspected = trials.length > 0 ? trials : candidates;
			publish(suspected.map(part => {
				const held = suspicions.get(part);
				return {
					part, round: held?.round ?? 0, changedAtMs: now, crashes: [...held?.crashes ?? [], {
						target, atMs: now, isTrial: trials.includes(part), ...(effect?.stopsGroup && {stopsGroup: true}),
					}], ...(held?.trial && {trial: held.trial}),
				};
			}), instance);
		},
		onReceived(source, received) {
			const disproved: Suspicion[] = [];
			for (const {suspicion, change} of suspicions.mergeAged(received)) {
				if (change) {
					logChange(suspicion, change, source);
				}

				if (isDisproved(suspicion)) {
					disproved.push(cleared(suspicion));
				}
			}

			publish(disproved, instance);
		},
		clear(part) {
			const suspected = suspicions.all().filter(suspicion => suspicion.crashes.length > 0 && (part === undefined || suspicion.part === part));
			publish(suspected.map(suspicion => cleared(suspicion)), 'operator');
			return suspected.length;
		},
		all: () => suspicions.aged(suspicions.all()),
		status: () => suspicions.all().filter(({crashes}) => crashes.length > 0).map(suspicion => ({
			...suspicions.aged([suspicion])[0], isBlocked: isBlocked(suspicion), trialInMs: Math.max(0, Math.round((suspicions.trialFromMs(suspicion.part) ?? 0) - monotonicMs())),
		})),
	};
}

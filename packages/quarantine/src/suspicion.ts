import {isRequestSubject} from './subject.js';

/** How far apart two reports of one crash of a target can be, in milliseconds. A target takes longer than this to crash again. */
const sameCrashMs = 2000;

/** The most crashes that are kept for one part; the earliest are dropped. */
const maxCrashes = 8;

/** The pause before a part is tried that shares its crashes with other suspected parts, in milliseconds: long enough for all instances to know of it. */
const sharedPauseMs = 1000;

/** The crashes after which a request is kept back that may have caused each of them. Most requests that fall with a target are sound and may be sent again at once. */
const requestCrashes = 2;

/** The same for a request that alone can explain the crash of a whole group, which costs dozens of other requests. */
const groupRequestCrashes = 1;

/** The pause before a part is tried that alone explains a crash, in milliseconds. A crash costs all requests of a group for some seconds, which is more than the requests with one part do in this time. */
const solePauseMs = 30_000;

/** The pause after the first trial that crashed its target, in milliseconds. It is multiplied with each further one. */
const blockedPauseMs = 300_000;
const blockedPauseFactor = 5;
const maxBlockedPauseMs = 3_600_000;

/** A crash of a target that a subject, a part of a prompt or a request, may have caused. */
export type SuspectedCrash = {
	readonly target: string;
	/** When the crash was noticed, in milliseconds of the monotonic clock of this process. */
	readonly atMs: number;
	/** Whether the target was running the trial of this subject. */
	readonly isTrial: boolean;
	/** Whether the other targets of a group stood still after the crash. */
	readonly stopsGroup?: boolean;
};

/** One request that an instance sends to find out whether a subject crashes targets. */
export type Trial = {
	readonly instance: string;
	readonly target: string;
	/** When it was sent, in milliseconds of the monotonic clock of this process. */
	readonly atMs: number;
	/** Whether it ended without an effect on the suspicion. */
	readonly isOver: boolean;
};

/**
What is known against one subject: a part of prompts, or one request that may come again. Every answer
that was begun with it clears it, which starts a new round without crashes.
*/
export type Suspicion = {
	/** The id of a part, or that of a request by `requestSubject`. */
	readonly part: string;
	readonly round: number;
	readonly crashes: readonly SuspectedCrash[];
	readonly trial?: Trial;
	/** When it last changed, in milliseconds of the monotonic clock of this process. */
	readonly changedAtMs: number;
};

/** A suspicion as it is sent to other processes: times are ages in milliseconds. */
export type AgedSuspicion = {
	readonly part: string;
	readonly round: number;
	readonly ageMs: number;
	readonly crashes: ReadonlyArray<Omit<SuspectedCrash, 'atMs'> & {readonly ageMs: number}>;
	readonly trial?: {readonly instance: string; readonly target: string; readonly ageMs: number; readonly isOver: boolean};
};

/**
Whether a subject counts as the cause of crashes: a trial of it crashed a target, or it is a
request that may have caused two crashes. Several crashes without a trial do not suffice
for a part, since targets that fail together may all have had requests with a sound part.
*/
export function isBlocked(suspicion: Suspicion): boolean {
	return hasFailedTrial(suspicion) || isRepeated(suspicion);
}

function hasFailedTrial({crashes}: Suspicion): boolean {
	return crashes.some(({isTrial}) => isTrial);
}

function isRepeated({part, crashes}: Suspicion): boolean {
	return isRequestSubject(part) && crashes.length >= requestCrashes;
}

/** Whether a subject is suspected of having caused a crash. */
export function mayHaveCaused({crashes}: Suspicion, crash: SuspectedCrash): boolean {
	return crashes.some(other => isSameCrash(crash, other));
}

/**
Whether a crash that `suspicion` may have caused is put down to `other`: after a failed trial of that, and for a part
if `other` is a request that came again and had another crash without the part.
*/
function isExplainedBy(crash: SuspectedCrash, suspicion: Suspicion, other: Suspicion): boolean {
	if (!mayHaveCaused(other, crash)) {
		return false;
	}

	return hasFailedTrial(other) || (isRepeated(other) && !isRequestSubject(suspicion.part) && other.crashes.some(one => !mayHaveCaused(suspicion, one)));
}

/** Whether two crashes are one, as reported by two instances or for two parts. */
export function isSameCrash(a: SuspectedCrash, b: SuspectedCrash): boolean {
	return a.target === b.target && Math.abs(a.atMs - b.atMs) < sameCrashMs;
}

/**
Returns from when a request with the subject may be sent as a trial, in milliseconds of the
monotonic clock; `undefined` if too little speaks against it to keep it back: no crash, or a
single one if it is a request, unless that alone can explain why a group stands still. Crashes
that one of `others` explains do not count. The pause is short while other subjects of the same
kind may have caused the same crashes, and grows with each trial that crashed its target, up to
an hour.

@example
trialFromMs({part: '5c1e07a2', round: 0, crashes: [], changedAtMs: 0}, []); // undefined
*/
export function trialFromMs(suspicion: Suspicion, others: readonly Suspicion[]): number | undefined {
	const trialCrashes = suspicion.crashes.filter(({isTrial}) => isTrial).length;
	const isRequest = isRequestSubject(suspicion.part);
	const unexplained = suspicion.crashes.filter(crash => crash.isTrial || !others.some(other => isExplainedBy(crash, suspicion, other)));
	if (unexplained.length === 0 || (isRequest && suspicion.crashes.length < crashesToKeepBack(suspicion, others))) {
		return undefined;
	}

	const lastCrashMs = Math.max(...unexplained.map(({atMs}) => atMs));
	if (trialCrashes > 0) {
		return lastCrashMs + Math.min(maxBlockedPauseMs, blockedPauseMs * (blockedPauseFactor ** (trialCrashes - 1)));
	}

	const rivals = others.filter(other => isRequest ? isRepeated(other) : !isRequestSubject(other.part));
	const isSole = unexplained.some(crash => !rivals.some(rival => mayHaveCaused(rival, crash)));
	return lastCrashMs + (isSole ? solePauseMs : sharedPauseMs);
}

function crashesToKeepBack({crashes}: Suspicion, others: readonly Suspicion[]): number {
	const stopsGroupAlone = crashes.some(crash => crash.stopsGroup && !others.some(other => isRequestSubject(other.part) && mayHaveCaused(other, crash)));
	return stopsGroupAlone ? groupRequestCrashes : requestCrashes;
}

/**
Merges what two instances know of one part. The higher round wins; in one round the
crashes are united, and the later trial counts. The order of merges does not matter.
*/
export function mergeSuspicions(a: Suspicion, b: Suspicion): Suspicion {
	if (a.round !== b.round) {
		return a.round > b.round ? a : b;
	}

	const trial = mergeTrials(a.trial, b.trial);
	return {
		part: a.part, round: a.round, crashes: uniteCrashes(a.crashes, b.crashes), ...(trial && {trial}), changedAtMs: Math.max(a.changedAtMs, b.changedAtMs),
	};
}

function uniteCrashes(a: readonly SuspectedCrash[], b: readonly SuspectedCrash[]): readonly SuspectedCrash[] {
	const united: SuspectedCrash[] = [];
	for (const crash of [...a, ...b].toSorted((first, second) => first.atMs - second.atMs || first.target.localeCompare(second.target))) {
		const index = united.findIndex(known => isSameCrash(known, crash));
		if (index === -1) {
			united.push(crash);
		} else {
			const known = united[index];
			const stopsGroup = known.stopsGroup ?? crash.stopsGroup;
			united[index] = {...known, isTrial: known.isTrial || crash.isTrial, ...(stopsGroup && {stopsGroup})};
		}
	}

	return united.slice(-maxCrashes);
}

/** Whether two trials are one, as known to two instances. */
export function isSameTrial(a: Trial, b: Trial): boolean {
	return a.instance === b.instance && a.target === b.target && Math.abs(a.atMs - b.atMs) < sameCrashMs;
}

function mergeTrials(a: Trial | undefined, b: Trial | undefined): Trial | undefined {
	if (!a || !b) {
		return a ?? b;
	}

	const [later] = [a, b].toSorted((first, second) => second.atMs - first.atMs || second.instance.localeCompare(first.instance) || second.target.localeCompare(first.target));
	return isSameTrial(a, b) ? {...later, isOver: a.isOver || b.isOver} : later;
}

/** Converts a suspicion to be sent to another process. */
export function ageOf({part, round, crashes, trial, changedAtMs}: Suspicion, nowMs: number): AgedSuspicion {
	return {
		part, round, ageMs: nowMs - changedAtMs,
		crashes: crashes.map(({atMs, ...crash}) => ({...crash, ageMs: nowMs - atMs})),
		...(trial && {
			trial: {
				instance: trial.instance, target: trial.target, ageMs: nowMs - trial.atMs, isOver: trial.isOver,
			},
		}),
	};
}

/** Converts a suspicion that another process has sent. */
export function fromAged({part, round, ageMs, crashes, trial}: AgedSuspicion, nowMs: number): Suspicion {
	return {
		part, round, changedAtMs: nowMs - ageMs,
		crashes: crashes.map(({ageMs: crashAgeMs, ...crash}) => ({...crash, atMs: nowMs - crashAgeMs})),
		...(trial && {
			trial: {
				instance: trial.instance, target: trial.target, atMs: nowMs - trial.ageMs, isOver: trial.isOver,
			},
		}),
	};
}

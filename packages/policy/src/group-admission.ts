import {predictPassMs, type PassModel, type RankWork} from './pass-time.js';
import {returnAfterMs} from './retry.js';

/** A request that asks for a place in a group. */
export type GroupNeed = {
	readonly id: string;
	readonly promptTokens: number;
	/** The tokens that its answer is expected to have. */
	readonly answerTokens: number;
	/** How long ago its caller first asked, in milliseconds. */
	readonly waitedMs: number;
	/** Within which the first token should come, from its caller's first asking, in milliseconds. */
	readonly objectiveMs: number;
	/** The longest pause between events that counts as on time, in milliseconds. */
	readonly gapMs: number;
	/** How much longer it can be served at all, in milliseconds. */
	readonly deadlineMs: number;
	/** 0 is served first. */
	readonly priority: number;
	/** Whether its caller was refused before, and has come back. */
	readonly hasReturned: boolean;
	/** Whether it is a stream that broke elsewhere and goes on here: its caller waits in the middle of an answer. */
	readonly isResumed: boolean;
	/** Ranks that have failed it. */
	readonly excluded: ReadonlySet<number>;
};

export type GroupDecision
	= | {readonly kind: 'placed'; readonly rank: number}
		| {readonly kind: 'refused'; readonly reason: 'overloaded' | 'noTarget'; readonly retryAfterMs: number};

/** A request that runs, or is about to, in the group. */
type Running = {
	readonly rank: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	readonly sinceMs: number;
	hasBegun: boolean;
};

type Waiting = {readonly need: GroupNeed; readonly sinceMs: number; readonly untilMs: number; readonly answer: (decision: GroupDecision) => void};

/** The figures of an engine that decide what a group can take. */
export type GroupModel = PassModel & {readonly slots: number; readonly memoryTokens: number; readonly usualAnswerTokens: number};

/** How the demand for experts shifts: how uneven the load is until the map follows, and how often that happens. */
export type Shifts = {readonly skew: number; readonly intervalMs: number};

export type GroupAdmissionOptions = {
	/** The engine's figures; `undefined` while no configuration is known. */
	readonly model: () => GroupModel | undefined;
	/** Which ranks take new work, by rank; its length is the size of the group. */
	readonly open: () => readonly boolean[];
	readonly skew: () => number;
	/** What is known of shifts; `undefined` before some have been seen. */
	readonly shifts: () => Shifts | undefined;
	/** How much longer passes take than predicted, as measured lately; 1 where they take as long. */
	readonly slowdown: () => number;
	readonly nowMs: () => number;
	readonly random: () => number;
};

/** The work of one group, and who may add to it. */
export type GroupAdmission = {
	/** Decides, at once or as soon as there is room, or no later than the need can wait. */
	ask(need: GroupNeed, answer: (decision: GroupDecision) => void): void;
	/** Forgets a need that still waits. */
	withdraw(id: string): void;
	/** Notes a request that runs without having been placed here, or was placed by another coordinator. */
	note(id: string, running: {readonly rank: number; readonly promptTokens: number; readonly answerTokens: number; readonly hasBegun: boolean}): void;
	began(id: string): void;
	ended(id: string): void;
	/** Looks again at what waits. */
	tick(): void;
	state(): GroupState;
	/** The requests that the group could write for at once, spread evenly, by the present prediction. */
	room(): number;
};

export type GroupState = {
	readonly running: number;
	readonly waiting: number;
	/** The predicted time of the next pass, in milliseconds. */
	readonly passMs: number;
};

/** The part of the allowed pause that a pass may take: the rest is for the way of an event and for what the prediction misses. */
const passShare = 0.82;

/** The part of the objective that a first request may wait for room; one that waits longer had better come back. */
const firstWaitShare = 0.12;

/** The part of the objective that the first token needs once a request has its place: a pass that ends, and one that reads. */
const startShare = 0.3;

/** How long one that is late anyway may wait for room that the others leave, as a multiple of the objective: another refusal is its last. */
const lateWait = 2;

/** What a stream loses of its worth when a pause makes it late, about. */
const lateLoss = 0.5;

/** How often it is weighed anew which skew a request has to fit, in milliseconds. */
const guardMs = 150;

/** The part of the memory that may be promised, since answers can be longer than expected. */
const memoryShare = 0.92;

/** How long a request may be known without any word of it, in milliseconds, before it is forgotten. */
const forgetMs = 30_000;

/**
Makes the admission of one group. All ranks make their passes together, so one
request more slows every stream of the group: what counts is the time of the next
pass with it, predicted from all that runs. A request that finds no room waits a
little, then is told to come back. Whoever can still be served in time goes before
those who are late anyway, so that a queue never makes everybody late; a stream that
broke goes on before all of them.

Pattern: more callers than the group can write for at once, through several entries,
for many seconds.

@example
admission.ask(need, decision => reply(decision));
*/
export function createGroupAdmission(options: GroupAdmissionOptions): GroupAdmission {
	const {nowMs} = options;
	const running = new Map<string, Running>();
	const waiting = new Map<string, Waiting>();
	let lastGapMs = Number.POSITIVE_INFINITY;
	let guarded = {skew: 1, atMs: Number.NEGATIVE_INFINITY};

	/** Requests that write at once, spread evenly, with passes within the allowed pause. */
	const roomAt = (model: GroupModel, skew: number): number => {
		const ranks = options.open().length;
		const most = ranks * model.slots;
		for (let count = ranks; count <= most; count += ranks) {
			if (evenPassMs(model, count, skew) > passShare * lastGapMs) {
				return Math.max(ranks, count - ranks);
			}
		}

		return most;
	};

	const evenPassMs = (model: GroupModel, count: number, skew: number): number => {
		const ranks = options.open().length;
		const work = Array.from({length: ranks}, () => ({
			writers: count / ranks, contextTokens: count / ranks * (model.usualAnswerTokens / 2), prefillTokens: 0,
		}));
		return options.slowdown() * predictPassMs(model, work, skew);
	};

	/**
	The skew that a new request has to fit: the present one, or that of a shift where
	shifts come so often that making many streams late costs more than serving fewer.
	*/
	const skewAhead = (): number => {
		const now = nowMs();
		if (now - guarded.atMs >= guardMs) {
			guarded = {skew: findSkewAhead(), atMs: now};
		}

		return guarded.skew;
	};

	const findSkewAhead = (): number => {
		const model = options.model();
		const shifts = options.shifts();
		const present = options.skew();
		if (!model || !shifts || shifts.skew <= present) {
			return present;
		}

		const free = roomAt(model, present);
		const careful = roomAt(model, shifts.skew);
		const freePassMs = evenPassMs(model, free, present);
		const streamMs = freePassMs * model.usualAnswerTokens / model.stepsPerPass;
		const hit = Math.min(1, streamMs / shifts.intervalMs);
		const fewer = 1 - ((careful / evenPassMs(model, careful, present)) / (free / freePassMs));
		return hit * lateLoss > fewer ? shifts.skew : present;
	};

	const works = (): RankWork[] => {
		const work = options.open().map(() => ({writers: 0, contextTokens: 0, prefillTokens: 0}));
		for (const request of running.values()) {
			const rank = work.at(request.rank);
			if (!rank) {
				continue;
			}

			if (request.hasBegun) {
				rank.writers++;
				rank.contextTokens += request.promptTokens + (request.answerTokens / 2);
			} else {
				rank.prefillTokens += request.promptTokens;
			}
		}

		return work;
	};

	/** The rank where a request does least harm; `undefined` where none can take it. */
	const bestRank = ({promptTokens, answerTokens, excluded}: GroupNeed): number | undefined => {
		const model = options.model();
		if (!model) {
			return undefined;
		}

		const counts = options.open().map(() => ({requests: 0, tokens: 0, prefillTokens: 0}));
		for (const request of running.values()) {
			const count = counts.at(request.rank);
			if (count) {
				count.requests++;
				count.tokens += request.promptTokens + request.answerTokens;
				count.prefillTokens += request.hasBegun ? 0 : request.promptTokens;
			}
		}

		let best: number | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		for (const [rank, isOpen] of options.open().entries()) {
			const {requests, tokens, prefillTokens} = counts[rank];
			if (!isOpen || excluded.has(rank) || requests >= model.slots || tokens + promptTokens + answerTokens > memoryShare * model.memoryTokens) {
				continue;
			}

			const writing = model.stepsPerPass * model.sequenceMs * requests;
			const cost = writing + ((prefillTokens + promptTokens) / model.prefillTokensPerMs) + (options.random() / tieBreak);
			if (cost < bestCost) {
				best = rank;
				bestCost = cost;
			}
		}

		return best;
	};

	/** The pass time with a request that is read in this pass, and, once it is read, with it among the writers. */
	const passWith = (need: GroupNeed, rank: number): number => {
		const model = options.model()!;
		const reading = works();
		const before = reading[rank];
		reading[rank] = {...before, prefillTokens: before.prefillTokens + need.promptTokens};
		const writing = works().map(({writers, contextTokens, prefillTokens}) => ({
			writers: writers + (prefillTokens > 0 ? 1 : 0), contextTokens: contextTokens + prefillTokens, prefillTokens: 0,
		}));
		writing[rank] = {...writing[rank], writers: writing[rank].writers + 1, contextTokens: writing[rank].contextTokens + need.promptTokens};
		return options.slowdown() * Math.max(predictPassMs(model, reading, options.skew()), predictPassMs(model, writing, skewAhead()));
	};

	const tryPlace = (need: GroupNeed): GroupDecision | undefined => {
		if (!options.open().some(Boolean)) {
			return {kind: 'refused', reason: 'noTarget', retryAfterMs: retryAfter(need)};
		}

		const rank = bestRank(need);
		// A stream that goes on takes the room that it had before it broke.
		if (rank === undefined || (!need.isResumed && passWith(need, rank) > passShare * need.gapMs)) {
			return undefined;
		}

		running.set(need.id, {
			rank, promptTokens: need.promptTokens, answerTokens: need.answerTokens, sinceMs: nowMs(), hasBegun: false,
		});
		return {kind: 'placed', rank};
	};

	const retryAfter = ({objectiveMs}: GroupNeed): number => returnAfterMs(objectiveMs, options.random);

	/** What is left for waiting if the first token is to come in time; negative where it can't. */
	const slackMs = ({objectiveMs, waitedMs}: GroupNeed, sinceMs: number, now: number): number => (objectiveMs * (1 - startShare)) - waitedMs - (now - sinceMs);

	const waitMs = (need: GroupNeed): number => {
		const {objectiveMs, hasReturned, deadlineMs} = need;
		return Math.min(deadlineMs, objectiveMs * (hasReturned ? lateWait : firstWaitShare));
	};

	// Whoever can still be served in time goes first, the most pressed before the others; who is late takes what is left.
	const compare = (a: Waiting, b: Waiting, now: number): number => {
		const [slackA, slackB] = [slackMs(a.need, a.sinceMs, now), slackMs(b.need, b.sinceMs, now)];
		return Number(b.need.isResumed) - Number(a.need.isResumed) || Number(slackB >= 0) - Number(slackA >= 0) || a.need.priority - b.need.priority || slackA - slackB;
	};

	const tick = (): void => {
		const now = nowMs();
		const order = [...waiting.values()].toSorted((a, b) => compare(a, b, now));
		let isFull = false;
		for (const {need, untilMs, answer} of order) {
			const decision: GroupDecision | undefined = isFull ? undefined : tryPlace(need);
			isFull ||= decision === undefined;
			if (decision) {
				waiting.delete(need.id);
				answer(decision);
			} else if (now >= untilMs) {
				waiting.delete(need.id);
				answer({kind: 'refused', reason: 'overloaded', retryAfterMs: retryAfter(need)});
			}
		}

		for (const [id, request] of running) {
			if (now - request.sinceMs > forgetMs) {
				running.delete(id);
			}
		}
	};

	return {
		ask(need, answer) {
			const now = nowMs();
			lastGapMs = need.gapMs;
			waiting.set(need.id, {
				need, sinceMs: now, untilMs: now + waitMs(need), answer,
			});
			tick();
		},
		withdraw(id) {
			waiting.delete(id);
		},
		note(id, request) {
			running.set(id, {...request, sinceMs: nowMs()});
		},
		began(id) {
			const request = running.get(id);
			if (request) {
				request.hasBegun = true;
			}
		},
		ended(id) {
			waiting.delete(id);
			running.delete(id);
		},
		tick,
		state() {
			const model = options.model();
			return {
				running: running.size, waiting: waiting.size, passMs: model ? options.slowdown() * predictPassMs(model, works(), options.skew()) : 0,
			};
		},
		room() {
			const model = options.model();
			return model ? roomAt(model, skewAhead()) : 0;
		},
	};
}

/** How much chance decides between ranks that are alike. */
const tieBreak = 1000;

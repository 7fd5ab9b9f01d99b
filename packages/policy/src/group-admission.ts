import {predictPassMs, type PassModel, type RankWork} from './pass-time.js';
import {refusalRetryDelayMs} from './retry.js';

/** A request to be placed on a rank of a group. */
export type PlacementRequest = {
	readonly id: string;
	readonly promptTokens: number;
	/** The expected number of tokens of the answer. */
	readonly answerTokens: number;
	/** The time since the caller first sent the request, in milliseconds. */
	readonly waitedMs: number;
	/** The time allowed for the first token, counted from when the caller first sent the request, in milliseconds. */
	readonly objectiveMs: number;
	/** The longest pause between two events of the stream that still counts as on time, in milliseconds. */
	readonly gapMs: number;
	/** The time left until the caller's deadline, in milliseconds. */
	readonly deadlineMs: number;
	/** Lower values are served first; 0 is the most urgent. */
	readonly priority: number;
	/** Whether this request was refused before, so that its caller takes another refusal as final. */
	readonly hasReturned: boolean;
	/** Whether the request resumes a stream that was interrupted, so that its caller waits in the middle of an answer. */
	readonly isResumed: boolean;
	/** The availability zone of the entry that forwards the request. */
	readonly zone: string;
	/** The ranks on which this request has already failed. */
	readonly excluded: ReadonlySet<number>;
};

export type GroupDecision
	= | {readonly kind: 'placed'; readonly rank: number}
		| {readonly kind: 'refused'; readonly reason: 'overloaded' | 'noTarget'; readonly retryAfterMs: number};

/** A request that has been placed on a rank and has not ended. */
type RunningRequest = {
	readonly rank: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** The time of the placement or of the latest `recordRunning`. */
	readonly recordedAtMs: number;
	/** Whether its prefill has finished. */
	hasBegun: boolean;
};

/** A request without a decision yet; it is refused at `expiresAtMs` unless it is placed before. */
type WaitingRequest = {readonly request: PlacementRequest; readonly enqueuedAtMs: number; readonly expiresAtMs: number; readonly answer: (decision: GroupDecision) => void};

/** The engine figures that determine the capacity of a group. */
export type GroupModel = PassModel & {readonly slots: number; readonly memoryTokens: number; readonly usualAnswerTokens: number};

/** Shifts in the demand for experts: the skew after a shift, until the expert map is adapted, and the mean interval between shifts in milliseconds. */
export type DemandShifts = {readonly skew: number; readonly intervalMs: number};

export type GroupAdmissionOptions = {
	/** The engine figures; `undefined` before a configuration has been received. */
	readonly model: () => GroupModel | undefined;
	/** For each rank, whether it accepts new requests. The length is the size of the group. */
	readonly openRanks: () => readonly boolean[];
	/** For each rank, its availability zone; `undefined` if it is not known. */
	readonly zones: () => ReadonlyArray<string | undefined>;
	/** Whether a rank is cold: others are preferred unless they have much more work; none is by default. */
	readonly isCold?: (rank: number) => boolean;
	/** Whether a rank that accepts requests may get another one now; all may by default. */
	readonly mayPlace?: (rank: number) => boolean;
	/** The current skew of the load, as defined for `predictPassMs`. */
	readonly skew: () => number;
	/** The observed shifts of demand; `undefined` before enough of them have been observed. */
	readonly demandShifts: () => DemandShifts | undefined;
	/** The ratio of the measured to the predicted pass time over recent passes; 1 if the prediction is exact. */
	readonly slowdown: () => number;
	/** Whether the group has made no pass for so long that it is not known when a placed request would be served. */
	readonly isStalled: () => boolean;
	readonly nowMs: () => number;
	readonly random: () => number;
};

/** Admission control for one group: tracks running requests, queues waiting ones and places them on ranks. */
export type GroupAdmission = {
	/** Places or refuses a request and passes the decision to `answer`: at once, when capacity becomes free, or at the latest when the request's waiting time ends. */
	ask(request: PlacementRequest, answer: (decision: GroupDecision) => void): void;
	/** Removes a waiting request without a decision. */
	withdraw(id: string): void;
	/** Records a running request that its entry placed itself or that a previous coordinator placed. */
	recordRunning(id: string, running: {readonly rank: number; readonly promptTokens: number; readonly answerTokens: number; readonly hasBegun: boolean}): void;
	/** Records that a request has finished its prefill and decodes. */
	began(id: string): void;
	/** Removes a request, whether it runs or waits. */
	ended(id: string): void;
	/** Tries again to place the waiting requests and refuses those whose waiting time has ended; to be called regularly. */
	tick(): void;
	state(): GroupState;
	/** The predicted time of the next pass as a ratio of the longest one that keeps streams on time; `undefined` before the first request. */
	passRatio(): number | undefined;
	/** The predicted number of requests that the group can decode at once if they are spread evenly over its ranks; 0 without engine figures. */
	room(): number;
};

export type GroupState = {
	readonly running: number;
	readonly waiting: number;
	/** The predicted time of the next pass, in milliseconds. */
	readonly passMs: number;
};

/** The limit on the predicted pass time, as a ratio of the longest allowed pause between two events of a stream. The rest covers the delivery of an event and the prediction error; a higher value makes streams late. */
const maxPassToGapRatio = 0.82;

/** The longest wait for capacity on the first attempt, as a ratio of the objective. After that it is better to refuse the request, so that the caller retries. */
const firstWaitRatio = 0.12;

/** The part of the objective reserved for the first token of a placed request, as a ratio: the rest of the current pass and the prefill pass. */
const firstTokenReserveRatio = 0.3;

/** The longest wait for capacity of a retried request, as a ratio of the objective. It exceeds 1 because a second refusal is final. Unless it resumes a stream, a retried request that can no longer meet its objective is placed only after those that can. */
const retryWaitRatio = 2;

/** The approximate part of a stream's value that is lost when a pause makes it late, as a ratio. */
const lateStreamLossRatio = 0.5;

/** The number of further requests that a cold rank counts as having when a rank is chosen: more than the usual difference between two ranks, but not so many that the others get slow. */
const coldRankRequests = 2;

/** The interval at which the planning skew is recomputed, in milliseconds. */
const skewRefreshIntervalMs = 150;

/** The part of a rank's memory that may be reserved for requests, as a ratio. The rest covers answers that are longer than expected. */
const maxMemoryRatio = 0.92;

/** The age at which the record of a running request is dropped, in milliseconds, so that a request whose end is never reported does not hold capacity for good. */
const runningRecordMaxAgeMs = 30_000;

/**
Creates the admission control of one group. All ranks run their passes in lockstep,
so each additional request slows every stream of the group. A request is therefore
admitted only if the predicted time of the next pass, with all running requests and
this one, stays within the allowed pause. A request for which there is no capacity
waits for a short time and is then refused with a retry delay. Resumed streams are
placed first, then requests that can still meet their objective, then late ones, so
that a queue does not make every request late. While the group is stalled, new
requests are refused at once.

Load patterns: for many seconds, several entries send more requests than the group
can decode at once; a group makes no pass for seconds, because a map switch holds it
and a rank does not answer, while requests keep arriving.

@example
admission.ask(request, decision => reply(decision));
*/
export function createGroupAdmission(options: GroupAdmissionOptions): GroupAdmission {
	const {nowMs} = options;
	const running = new Map<string, RunningRequest>();
	const waiting = new Map<string, WaitingRequest>();
	// The allowed pause of the latest request; unlimited before the first.
	let lastGapMs = Number.POSITIVE_INFINITY;
	// The planning skew and the time at which it was computed.
	let cachedSkew = {skew: 1, atMs: Number.NEGATIVE_INFINITY};

	/** Returns for each rank whether it counts for the capacity: those that accept requests, or all while none does, since a group that forms anew will accept them again. */
	const acceptingRanks = (): readonly boolean[] => {
		const openRanks = options.openRanks();
		return openRanks.some(Boolean) ? openRanks : openRanks.map(() => true);
	};

	/** Returns how many requests, spread evenly over the ranks that accept some, can decode at once with passes short enough for the allowed pause. */
	const capacityAt = (model: GroupModel, skew: number): number => {
		const ranks = acceptingRanks().filter(Boolean).length;
		const maxRequests = ranks * model.slots;
		for (let count = ranks; count <= maxRequests; count += ranks) {
			if (balancedPassMs(model, count, skew) > maxPassToGapRatio * lastGapMs) {
				return Math.max(ranks, count - ranks);
			}
		}

		return maxRequests;
	};

	/** Predicts the pass time for `count` decoding requests of average progress, spread evenly over the ranks that accept some. */
	const balancedPassMs = (model: GroupModel, count: number, skew: number): number => {
		const ranks = acceptingRanks();
		const perRank = count / ranks.filter(Boolean).length;
		const work = ranks.map(isAccepting => ({
			decodingRequests: isAccepting ? perRank : 0, contextTokens: isAccepting ? perRank * (model.usualAnswerTokens / 2) : 0, prefillTokens: 0,
		}));
		return options.slowdown() * predictPassMs(model, work, skew);
	};

	/**
	The skew at which passes must stay short enough after a request is admitted. It is
	the current skew, or the skew after a shift of demand if shifts are so frequent that
	the streams they make late cost more than admitting fewer requests.
	*/
	const planningSkew = (): number => {
		const now = nowMs();
		if (now - cachedSkew.atMs >= skewRefreshIntervalMs) {
			cachedSkew = {skew: computePlanningSkew(), atMs: now};
		}

		return cachedSkew.skew;
	};

	const computePlanningSkew = (): number => {
		const model = options.model();
		const shifts = options.demandShifts();
		const currentSkew = options.skew();
		if (!model || !shifts || shifts.skew <= currentSkew) {
			return currentSkew;
		}

		const currentCapacity = capacityAt(model, currentSkew);
		const shiftCapacity = capacityAt(model, shifts.skew);
		const currentPassMs = balancedPassMs(model, currentCapacity, currentSkew);
		const streamDurationMs = currentPassMs * model.usualAnswerTokens / model.stepsPerPass;
		// The part of the streams during which a shift is expected.
		const affectedRatio = Math.min(1, streamDurationMs / shifts.intervalMs);
		const throughputLossRatio = 1 - ((shiftCapacity / balancedPassMs(model, shiftCapacity, currentSkew)) / (currentCapacity / currentPassMs));
		return affectedRatio * lateStreamLossRatio > throughputLossRatio ? shifts.skew : currentSkew;
	};

	/** Sums up the work of the running requests for each rank. */
	const workByRank = (): RankWork[] => {
		const work = options.openRanks().map(() => ({decodingRequests: 0, contextTokens: 0, prefillTokens: 0}));
		for (const request of running.values()) {
			const rank = work.at(request.rank);
			if (!rank) {
				continue;
			}

			if (request.hasBegun) {
				rank.decodingRequests++;
				rank.contextTokens += request.promptTokens + (request.answerTokens / 2);
			} else {
				rank.prefillTokens += request.promptTokens;
			}
		}

		return work;
	};

	const nextPassMs = (): number => {
		const model = options.model();
		return model ? options.slowdown() * predictPassMs(model, workByRank(), options.skew()) : 0;
	};

	/** Returns the rank that would have the least work in a pass with the request, among equal ones one in the entry's zone; `undefined` if no rank can accept it. */
	const bestRank = ({promptTokens, answerTokens, zone, excluded}: PlacementRequest): number | undefined => {
		const model = options.model();
		if (!model) {
			return undefined;
		}

		const zones = options.zones();
		const counts = options.openRanks().map(() => ({requests: 0, tokens: 0, prefillTokens: 0}));
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
		for (const [rank, isOpen] of options.openRanks().entries()) {
			const {requests, tokens, prefillTokens} = counts[rank];
			if (!isOpen || excluded.has(rank) || !(options.mayPlace?.(rank) ?? true) || requests >= model.slots || tokens + promptTokens + answerTokens > maxMemoryRatio * model.memoryTokens) {
				continue;
			}

			const decodeMs = model.stepsPerPass * model.sequenceMs * (requests + (options.isCold?.(rank) ? coldRankRequests : 0));
			const zoneMs = zones[rank] === zone ? 0 : otherZoneMs;
			const cost = decodeMs + ((prefillTokens + promptTokens) / model.prefillTokensPerMs) + zoneMs + (options.random() / tieBreakDivisor);
			if (cost < bestCost) {
				best = rank;
				bestCost = cost;
			}
		}

		return best;
	};

	/** Predicts the longer of two pass times: the pass that prefills the request, and a later pass that decodes it after all pending prefills. */
	const passMsWith = (request: PlacementRequest, rank: number): number => {
		const model = options.model()!;
		const prefillWork = workByRank();
		const existing = prefillWork[rank];
		prefillWork[rank] = {...existing, prefillTokens: existing.prefillTokens + request.promptTokens};
		const decodeWork = workByRank().map(({decodingRequests, contextTokens, prefillTokens}) => ({
			decodingRequests: decodingRequests + (prefillTokens > 0 ? 1 : 0), contextTokens: contextTokens + prefillTokens, prefillTokens: 0,
		}));
		decodeWork[rank] = {...decodeWork[rank], decodingRequests: decodeWork[rank].decodingRequests + 1, contextTokens: decodeWork[rank].contextTokens + request.promptTokens};
		return options.slowdown() * Math.max(predictPassMs(model, prefillWork, options.skew()), predictPassMs(model, decodeWork, planningSkew()));
	};

	/** Places a request, refuses it if no rank accepts requests, or returns `undefined` if there is no capacity for it now. */
	const tryPlace = (request: PlacementRequest): GroupDecision | undefined => {
		if (!options.openRanks().some(Boolean)) {
			return {kind: 'refused', reason: 'noTarget', retryAfterMs: drawRetryAfterMs(request)};
		}

		if (options.isStalled() && !request.isResumed) {
			return {kind: 'refused', reason: 'overloaded', retryAfterMs: drawRetryAfterMs(request)};
		}

		const rank = bestRank(request);
		// A resumed stream needs no more capacity than it had before the interruption, so its pass time is not checked.
		if (rank === undefined || (!request.isResumed && passMsWith(request, rank) > maxPassToGapRatio * request.gapMs)) {
			return undefined;
		}

		running.set(request.id, {
			rank, promptTokens: request.promptTokens, answerTokens: request.answerTokens, recordedAtMs: nowMs(), hasBegun: false,
		});
		return {kind: 'placed', rank};
	};

	const drawRetryAfterMs = ({objectiveMs}: PlacementRequest): number => refusalRetryDelayMs(objectiveMs, options.random);

	/** Returns how long a request can still wait and meet its objective, in milliseconds; negative if it can't meet it. */
	const slackMs = ({objectiveMs, waitedMs}: PlacementRequest, enqueuedAtMs: number, now: number): number => (objectiveMs * (1 - firstTokenReserveRatio)) - waitedMs - (now - enqueuedAtMs);

	// Orders resumed streams first, then requests that can meet their objective, then late ones; within these by priority and then by least slack.
	const compareWaiting = (a: WaitingRequest, b: WaitingRequest, now: number): number => {
		const [slackA, slackB] = [slackMs(a.request, a.enqueuedAtMs, now), slackMs(b.request, b.enqueuedAtMs, now)];
		return Number(b.request.isResumed) - Number(a.request.isResumed) || Number(slackB >= 0) - Number(slackA >= 0) || a.request.priority - b.request.priority || slackA - slackB;
	};

	const tick = (): void => {
		const now = nowMs();
		const ordered = [...waiting.values()].toSorted((a, b) => compareWaiting(a, b, now));
		// Once a request does not fit, no later one is tried in this round, so that requests are placed in order.
		let isFull = false;
		for (const {request, expiresAtMs, answer} of ordered) {
			const decision: GroupDecision | undefined = isFull ? undefined : tryPlace(request);
			isFull ||= decision === undefined;
			if (decision) {
				waiting.delete(request.id);
				answer(decision);
			} else if (now >= expiresAtMs) {
				waiting.delete(request.id);
				answer({kind: 'refused', reason: 'overloaded', retryAfterMs: drawRetryAfterMs(request)});
			}
		}

		for (const [id, request] of running) {
			if (now - request.recordedAtMs > runningRecordMaxAgeMs) {
				running.delete(id);
			}
		}
	};

	return {
		ask(request, answer) {
			const now = nowMs();
			lastGapMs = request.gapMs;
			waiting.set(request.id, {
				request, enqueuedAtMs: now, expiresAtMs: now + maxPlacementWaitMs(request), answer,
			});
			tick();
		},
		withdraw(id) {
			waiting.delete(id);
		},
		recordRunning(id, request) {
			running.set(id, {...request, recordedAtMs: nowMs()});
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
		state: () => ({running: running.size, waiting: waiting.size, passMs: nextPassMs()}),
		passRatio: () => Number.isFinite(lastGapMs) ? nextPassMs() / (maxPassToGapRatio * lastGapMs) : undefined,
		room() {
			const model = options.model();
			return model ? capacityAt(model, planningSkew()) : 0;
		},
	};
}

/**
Returns how long a request may wait for capacity before it is refused, in milliseconds.

@example
maxPlacementWaitMs({objectiveMs: 500, hasReturned: false, deadlineMs: 8000}); // 60
*/
export function maxPlacementWaitMs({objectiveMs, hasReturned, deadlineMs}: Pick<PlacementRequest, 'objectiveMs' | 'hasReturned' | 'deadlineMs'>): number {
	return Math.min(deadlineMs, objectiveMs * (hasReturned ? retryWaitRatio : firstWaitRatio));
}

/** The cost of a rank in another availability zone than the entry, in milliseconds. Traffic between zones is charged, but not worth a longer pass. */
const otherZoneMs = 0.01;

/** Limits the random part of a rank's cost to 1/1000 ms, so that it only decides between ranks of practically equal cost. */
const tieBreakDivisor = 1000;

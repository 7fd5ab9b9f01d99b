import {createArrivalForecast} from './arrivals.js';
import {
	balancedPassMs, groupCapacity, onTimePassMs, passesOfStream, streamsPerSecond, type BalancedLoad,
} from './group-capacity.js';
import {predictPassMs, type PassModel, type RankWork} from './pass-time.js';
import {createLatenessChoice, lateStreamLossRatio} from './pass-limit.js';
import {refusalRetryDelayMs} from './retry.js';
import {createReturnSchedule, type ReturnSchedule} from './returns.js';

/** A request to be placed on a rank of a group. */
export type PlacementRequest = {
	readonly id: string;
	readonly promptTokens: number;
	/** The expected number of tokens of the answer. */
	readonly answerTokens: number;
	/** The time since the caller first sent the request, in milliseconds. */
	readonly waitedMs: number;
	/** The part of that time for which the entry has held the request since it arrived there, in milliseconds; absent if it was not held. */
	readonly heldMs?: number;
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
		| {readonly kind: 'refused'; readonly reason: 'overloaded' | 'noTarget'; readonly rule: RefusalRule; readonly retryAfterMs: number};

/** The rule that refused a request: no rank accepts requests, the group makes no pass, its wait has ended, or too many late requests wait already. */
export type RefusalRule = 'noOpenRank' | 'stalled' | 'waitEnded' | 'lateQueueFull';

/** A request that has been placed on a rank and has not ended. */
type RunningRequest = {
	readonly rank: number;
	readonly promptTokens: number;
	readonly answerTokens: number;
	/** When its entry last said that it runs, or when it was placed. */
	confirmedAtMs: number;
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
	/** Returns the running requests that may have ended unnoticed, since their entries have not confirmed them for long. */
	unconfirmed(): readonly string[];
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
	/** The part of the streams that the group makes late because far fewer could be served on time, from 0 to 1. */
	readonly lateness: number;
};

/** The longest wait for capacity on the first attempt, as a ratio of the objective. After that it is better to refuse the request, so that the caller retries. */
const firstWaitRatio = 0.12;

/** The part of the objective reserved for the first token of a placed request, as a ratio: the rest of the current pass and the prefill pass. */
const firstTokenReserveRatio = 0.3;

/** The longest wait for capacity of a retried request, in milliseconds, unless it can meet its objective after a longer one. A second refusal is final and a late answer has some value, but callers abandon a request after 2 s without an event; the rest covers the current pass and the prefill pass. */
const retryWaitMs = 1500;

/** The number of waiting requests up to which all are tried when another one arrives; beyond it, they are tried at the next tick. After an outage hundreds arrive within milliseconds, and trying all of them for each one kept a coordinator busy for a second, so that entries no longer waited for its replies. */
const maxTriedAtOnce = 32;

/** The longest delay before a refused request returns, as a ratio of its remaining time; callers do not accept a longer one. */
const maxReturnRatio = 1 / 3;

/** The least rate at which late requests are expected to be placed, as a ratio of the rate that the group serves. It covers the error of the rates. */
const minSpareRatio = 0.1;

/** The forecast rate below which no room is kept, per second. */
const minForecastPerSecond = 0.5;

/** How many standard deviations of the arrivals the reserve covers beyond their mean. */
const reserveDeviations = 1;

/** The part of the expected arrivals for which room is kept; the others wait until the end of the pass. With 1 the less urgent kinds earned up to a tenth less at 45 ranks, and the most urgent one no more. */
const reserveRatio = 0.4;

/** The largest part of the slots of a group that is reserved. */
const maxReserveRatio = 0.25;

/** The longest time that a stream which is served late is predicted to take, as a ratio of the time until its deadline. The rest covers the wait, the prediction error and passes that get slower. */
const maxLateStreamRatio = 0.5;

/** The longest pass of streams that are served late, in milliseconds. Callers abandon a request after 2 s without an event. */
const maxLatePassMs = 1000;

/** The weight of a new request in the moving average of the prompt length. */
const promptWeight = 0.1;

/** The number of further requests that a cold rank counts as having when a rank is chosen: more than the usual difference between two ranks, but not so many that the others get slow. */
const coldRankRequests = 2;

/** The interval at which the planning skew is recomputed, in milliseconds. */
const skewRefreshIntervalMs = 150;

/** The part of a rank's memory that may be reserved for requests, as a ratio. The rest covers answers that are longer than expected. */
const maxMemoryRatio = 0.92;

/** The time after which a request has to be confirmed, in milliseconds, before and after its prefill has finished. Its entry may have got the placement too late, or its end may have been lost with a connection. */
const placedConfirmMs = 1000;
const begunConfirmMs = 5000;

/** The time after which an unconfirmed request is dropped, in milliseconds, so that a request whose entry never answers does not hold capacity for good. */
const unconfirmedMaxMs = 30_000;

/**
Creates the admission control of one group. All ranks run their passes in lockstep,
so each additional request slows every stream of the group. A request is therefore
admitted only if the predicted time of the next pass, with all running requests and
this one, stays within the allowed pause, or if nothing runs. A group whose passes are so slow that
callers get more from late streams than from the few that would be on time admits as many as
can end before their deadline. A request for which there is no capacity
waits for a short time and is then refused with a retry delay. Resumed streams are
placed first, then requests that can still meet their objective, then late ones, so
that a queue does not make every request late; within these, more urgent ones are placed
first. While more urgent requests arrive, room is kept for those expected until the next
streams end. A priority of which far fewer requests than the mean have been placed comes
first until the difference is smaller. While the group is stalled, new requests are
refused at once.

Load patterns: for many seconds, several entries send more requests than the group
can decode at once; one priority exceeds the capacity alone; hundreds of callers return
after an outage, too late for their objective; a group makes no pass for seconds, because a map switch holds it
and a rank does not answer, while requests keep arriving; every pass takes longer than the model says, because the
machines of the group are busy.

@example
admission.ask(request, decision => reply(decision));
*/
export function createGroupAdmission(options: GroupAdmissionOptions): GroupAdmission {
	const {nowMs} = options;
	const running = new Map<string, RunningRequest>();
	const waiting = new Map<string, WaitingRequest>();
	// The allowed pause of the latest request; unlimited before the first.
	let lastGapMs = Number.POSITIVE_INFINITY;
	// The time until the deadline of the latest first attempt, and the mean length of their prompts.
	let lastDeadlineMs = 0;
	let meanPromptTokens: number | undefined;
	const latenessChoice = createLatenessChoice(nowMs);
	// The planning skew, the rate at which the group can serve requests, how late it makes streams, and the time at which they were computed.
	let cachedPlan = {
		skew: 1, perSecond: 0, lateness: 0, atMs: Number.NEGATIVE_INFINITY,
	};
	const forecast = createArrivalForecast(nowMs);
	/** The return times by priority: an urgent request that returns is placed before the others, so its time does not depend on theirs. */
	const returnsByPriority = new Map<number, ReturnSchedule>();

	/** Returns for each rank whether it counts for the capacity: those that accept requests, or all while none does, since a group that forms anew will accept them again. */
	const acceptingRanks = (): readonly boolean[] => {
		const openRanks = options.openRanks();
		return openRanks.some(Boolean) ? openRanks : openRanks.map(() => true);
	};

	const balancedLoad = (model: GroupModel, skew: number): BalancedLoad => ({
		ranks: acceptingRanks(), usualAnswerTokens: model.usualAnswerTokens, skew, slowdown: options.slowdown(),
	});

	const capacityAt = (model: GroupModel, skew: number, maxMs: number): number => groupCapacity(model, {...balancedLoad(model, skew), slots: model.slots, maxPassMs: maxMs});

	const passMsAt = (model: GroupModel, count: number, skew: number): number => balancedPassMs(model, count, balancedLoad(model, skew));

	/**
	The skew at which passes must stay short enough after a request is admitted. It is
	the current skew, or the skew after a shift of demand if shifts are so frequent that
	the streams they make late cost more than admitting fewer requests.
	*/
	const planningSkew = (): number => plan().skew;

	const plan = (): typeof cachedPlan => {
		const now = nowMs();
		if (now - cachedPlan.atMs >= skewRefreshIntervalMs) {
			const lateness = computeLateness();
			const skew = lateness > 0 ? options.skew() : computePlanningSkew();
			cachedPlan = {
				skew, perSecond: computeServiceRate(skew, lateness), lateness, atMs: now,
			};
		}

		return cachedPlan;
	};

	/** Returns the longest pass in which a stream that is served late still ends before its deadline, in milliseconds. */
	const latePassMs = (model: GroupModel, {answerTokens, deadlineMs}: Pick<PlacementRequest, 'answerTokens' | 'deadlineMs'>): number =>
		Math.min(maxLatePassMs, maxLateStreamRatio * deadlineMs / passesOfStream(model, answerTokens));

	const maxPassMs = (model: GroupModel, lateness: number, {gapMs, ...request}: Pick<PlacementRequest, 'gapMs' | 'answerTokens' | 'deadlineMs'>): number =>
		lateness < 1 ? onTimePassMs(gapMs) + (lateness * (gapMs - onTimePassMs(gapMs))) : Math.max(gapMs, latePassMs(model, request));

	const usualMaxPassMs = (model: GroupModel, lateness: number): number =>
		maxPassMs(model, lateness, {gapMs: lastGapMs, answerTokens: model.usualAnswerTokens, deadlineMs: lastDeadlineMs});

	const computeLateness = (): number => {
		const model = options.model();
		if (!model || meanPromptTokens === undefined) {
			return 0;
		}

		const load = {...balancedLoad(model, options.skew()), slots: model.slots, prefillTokens: meanPromptTokens};
		const askedPerSecond = forecast.meanPerSecond();
		return latenessChoice.choose(lateness => Math.min(askedPerSecond, streamsPerSecond(model, {...load, maxPassMs: usualMaxPassMs(model, lateness)})));
	};

	const computeServiceRate = (skew: number, lateness: number): number => {
		const model = options.model();
		if (!model || !Number.isFinite(lastGapMs)) {
			return 0;
		}

		const streams = capacityAt(model, skew, usualMaxPassMs(model, lateness));
		const streamMs = passMsAt(model, streams, options.skew()) * passesOfStream(model, model.usualAnswerTokens);
		return streams * 1000 / streamMs;
	};

	/** The rate at which late requests are expected to be placed beside the first attempts, per second. */
	const sparePerSecond = (): number => Math.max(minSpareRatio * plan().perSecond, plan().perSecond - forecast.perSecond(() => true));

	const computePlanningSkew = (): number => {
		const model = options.model();
		const shifts = options.demandShifts();
		const currentSkew = options.skew();
		if (!model || !shifts || shifts.skew <= currentSkew) {
			return currentSkew;
		}

		const currentCapacity = capacityAt(model, currentSkew, onTimePassMs(lastGapMs));
		const shiftCapacity = capacityAt(model, shifts.skew, onTimePassMs(lastGapMs));
		const currentPassMs = passMsAt(model, currentCapacity, currentSkew);
		const streamDurationMs = currentPassMs * model.usualAnswerTokens / model.stepsPerPass;
		// The part of the streams during which a shift is expected.
		const affectedRatio = Math.min(1, streamDurationMs / shifts.intervalMs);
		const throughputLossRatio = 1 - ((shiftCapacity / passMsAt(model, shiftCapacity, currentSkew)) / (currentCapacity / currentPassMs));
		return affectedRatio * lateStreamLossRatio > throughputLossRatio ? shifts.skew : currentSkew;
	};

	/** Sums up the work of the running requests for each rank, in the next pass or once all of them decode. */
	const workByRank = (pass: 'next' | 'decoding' = 'next'): RankWork[] => {
		const work = options.openRanks().map(() => ({decodingRequests: 0, contextTokens: 0, prefillTokens: 0}));
		for (const request of running.values()) {
			const rank = work.at(request.rank);
			if (!rank) {
				continue;
			}

			if (request.hasBegun || pass === 'decoding') {
				rank.decodingRequests++;
				rank.contextTokens += request.promptTokens + (request.hasBegun ? request.answerTokens / 2 : 0);
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
		const decodeWork = workByRank('decoding');
		decodeWork[rank] = {...decodeWork[rank], decodingRequests: decodeWork[rank].decodingRequests + 1, contextTokens: decodeWork[rank].contextTokens + request.promptTokens};
		return options.slowdown() * Math.max(predictPassMs(model, prefillWork, options.skew()), predictPassMs(model, decodeWork, planningSkew()));
	};

	/** Places a request, refuses it if no rank accepts requests, or returns `undefined` if there is no capacity for it now. */
	const tryPlace = (waitingRequest: WaitingRequest): GroupDecision | undefined => {
		const {request} = waitingRequest;
		if (!options.openRanks().some(Boolean)) {
			return refuse(waitingRequest, 'noOpenRank');
		}

		if (options.isStalled() && !request.isResumed) {
			return refuse(waitingRequest, 'stalled');
		}

		const rank = bestRank(request);
		// A resumed stream needs no more capacity than it had before the interruption, so its pass time is not checked.
		if (rank === undefined || (!request.isResumed && !fits(request, rank))) {
			return undefined;
		}

		running.set(request.id, {
			rank, promptTokens: request.promptTokens, answerTokens: request.answerTokens, confirmedAtMs: nowMs(), hasBegun: false,
		});
		forecast.placed(request.priority);
		return {kind: 'placed', rank};
	};

	const fits = (request: PlacementRequest, rank: number): boolean => {
		// An idle group makes no passes that could correct what is believed of them, and a request that runs alone slows no other one.
		if (running.size === 0) {
			return true;
		}

		const reserved = reservedStreams(request);
		const reservedMs = reserved > 0 ? reservedPassMs(options.model()!, reserved) : 0;
		return reservedMs !== undefined && passMsWith(request, rank) + reservedMs <= maxPassMs(options.model()!, plan().lateness, request);
	};

	/**
	The wait of a first attempt while less urgent requests arrive: a pass, so that it gets a
	slot that becomes free at the end of the pass. Without others to place after it, 0.
	*/
	const urgentWaitMs = ({priority, gapMs, objectiveMs, deadlineMs}: PlacementRequest): number =>
		forecast.perSecond(other => other > priority) < minForecastPerSecond ? 0 : Math.min(deadlineMs, onTimePassMs(gapMs), objectiveMs * (1 - firstTokenReserveRatio) / 2);

	/** Whether a late request fits on no rank although slots are free, because of its size or the ranks on which it failed. It waits for longer than others and must not hold them up. */
	const isUnplaceable = (waitingRequest: WaitingRequest): boolean => {
		const freeSlots = (options.openRanks().filter(Boolean).length * (options.model()?.slots ?? 0)) - running.size;
		return isLate(waitingRequest) && freeSlots > 0 && bestRank(waitingRequest.request) === undefined;
	};

	const refuse = ({request, enqueuedAtMs}: WaitingRequest, rule: RefusalRule): GroupDecision => ({
		kind: 'refused', reason: rule === 'noOpenRank' ? 'noTarget' : 'overloaded', rule, retryAfterMs: returnDelayMs(request, nowMs() - enqueuedAtMs, rule),
	});

	const returnDelayMs = ({objectiveMs, deadlineMs, priority, hasReturned}: PlacementRequest, queuedMs: number, rule: RefusalRule): number => {
		const earliestMs = refusalRetryDelayMs(objectiveMs, options.random);
		// Callers retry once, so one that has returned needs no time in the schedule.
		if (hasReturned) {
			return earliestMs;
		}

		const returns = returnsByPriority.get(priority) ?? createReturnSchedule({nowMs, random: options.random});
		returnsByPriority.set(priority, returns);
		// The end of an interruption is not known, so the returns are spread over the whole time that callers accept. In an overload they return at the rate at which streams
		// end: returned requests wait in the queue for longer than first attempts and use the slots that become free together at the end of a pass.
		const perSecond = rule === 'waitEnded' ? plan().perSecond : 0;
		return returns.next({earliestMs, latestMs: (deadlineMs - queuedMs) * maxReturnRatio, perSecond});
	};

	const isLate = ({request, enqueuedAtMs}: WaitingRequest): boolean => !request.isResumed && slackMs(request, enqueuedAtMs, nowMs()) < 0;

	/** Whether so many late requests are waiting that another one could not be placed during its wait. */
	const isLateQueueFull = (): boolean => {
		const lateCount = [...waiting.values()].filter(each => isLate(each)).length;
		return lateCount > Math.ceil(sparePerSecond() * retryWaitMs / 1000);
	};

	/**
	The number of streams for which room is kept when this request is placed: the forecast
	arrivals of more urgent requests until the next streams end. Streams end at the end of
	a pass, where requests that wait take the slots before less urgent ones do.
	*/
	const reservedStreams = (request: PlacementRequest): number => {
		const perSecond = forecast.perSecond(other => other < request.priority);
		if (perSecond < minForecastPerSecond || forecast.isStarved(request.priority)) {
			return 0;
		}

		const horizonMs = Math.max(0, onTimePassMs(request.gapMs) - (firstWaitRatio * request.objectiveMs));
		const expected = perSecond * horizonMs / 1000;
		return reserveRatio * (expected + (reserveDeviations * Math.sqrt(expected)));
	};

	/** Returns by how much the bound on the pass decreases for a reserve, in milliseconds; `undefined` if the free slots do not cover the reserve. */
	const reservedPassMs = (model: GroupModel, reserved: number): number | undefined => {
		const ranks = options.openRanks().length;
		const openSlots = options.openRanks().filter(Boolean).length * model.slots;
		// A small group keeps most of its slots in use.
		const streams = Math.min(reserved, openSlots * maxReserveRatio);
		if (running.size + 1 + streams > openSlots) {
			return undefined;
		}

		return passMsAt(model, ranks + streams, planningSkew()) - passMsAt(model, ranks, planningSkew());
	};

	/** Returns how long a request can still wait and meet its objective, in milliseconds; negative if it can't meet it. */
	const slackMs = ({objectiveMs, waitedMs}: PlacementRequest, enqueuedAtMs: number, now: number): number => (objectiveMs * (1 - firstTokenReserveRatio)) - waitedMs - (now - enqueuedAtMs);

	/** Orders resumed streams first, then requests that can meet their objective, then late ones; within these by priority, starved ones first, and then by least slack. */
	const inOrder = (): readonly WaitingRequest[] => {
		const now = nowMs();
		const starved = new Set([...new Set([...waiting.values()].map(({request}) => request.priority))].filter(priority => forecast.isStarved(priority)));
		const keyed = [...waiting.values()].map(each => ({
			each, slack: slackMs(each.request, each.enqueuedAtMs, now), isStarved: starved.has(each.request.priority),
		}));
		return keyed.toSorted((a, b) => Number(b.each.request.isResumed) - Number(a.each.request.isResumed) || Number(b.slack >= 0) - Number(a.slack >= 0)
			|| Number(b.isStarved) - Number(a.isStarved) || a.each.request.priority - b.each.request.priority || a.slack - b.slack).map(({each}) => each);
	};

	const tick = (): void => {
		const now = nowMs();
		// Once a request does not fit, no later one is tried in this round, so that requests are placed in order.
		let isFull = false;
		for (const waitingRequest of inOrder()) {
			const {request, expiresAtMs, answer} = waitingRequest;
			const decision: GroupDecision | undefined = isFull ? undefined : tryPlace(waitingRequest);
			isFull ||= decision === undefined && !isUnplaceable(waitingRequest);
			if (decision) {
				waiting.delete(request.id);
				answer(decision);
			} else if (now >= expiresAtMs) {
				waiting.delete(request.id);
				answer(refuse(waitingRequest, 'waitEnded'));
			}
		}

		for (const [id, request] of running) {
			if (now - request.confirmedAtMs > unconfirmedMaxMs) {
				running.delete(id);
			}
		}
	};

	return {
		ask(request, answer) {
			const now = nowMs();
			lastGapMs = request.gapMs;
			if (!request.hasReturned && !request.isResumed) {
				forecast.received(request.priority);
				lastDeadlineMs = request.deadlineMs;
				meanPromptTokens = meanPromptTokens === undefined ? request.promptTokens : meanPromptTokens + (promptWeight * (request.promptTokens - meanPromptTokens));
			}

			const waitingRequest = {
				request, enqueuedAtMs: now, expiresAtMs: now + Math.max(maxPlacementWaitMs(request), urgentWaitMs(request)), answer,
			};
			waiting.set(request.id, waitingRequest);
			if (waiting.size <= maxTriedAtOnce) {
				tick();
			}

			if (request.hasReturned && waiting.has(request.id) && isLate(waitingRequest) && isLateQueueFull()) {
				waiting.delete(request.id);
				answer(refuse(waitingRequest, 'lateQueueFull'));
			}
		},
		withdraw(id) {
			waiting.delete(id);
		},
		recordRunning(id, request) {
			running.set(id, {...request, confirmedAtMs: nowMs()});
		},
		began(id) {
			const request = running.get(id);
			if (request) {
				request.hasBegun = true;
				request.confirmedAtMs = nowMs();
			}
		},
		ended(id) {
			waiting.delete(id);
			running.delete(id);
		},
		unconfirmed() {
			const now = nowMs();
			return [...running].filter(([, {hasBegun, confirmedAtMs}]) => now - confirmedAtMs >= (hasBegun ? begunConfirmMs : placedConfirmMs)).map(([id]) => id);
		},
		tick,
		state: () => ({
			running: running.size, waiting: waiting.size, passMs: nextPassMs(), lateness: plan().lateness,
		}),
		passRatio: () => Number.isFinite(lastGapMs) ? nextPassMs() / onTimePassMs(lastGapMs) : undefined,
		room() {
			const model = options.model();
			return model ? capacityAt(model, planningSkew(), usualMaxPassMs(model, plan().lateness)) : 0;
		},
	};
}

/**
Returns how long a request may wait for capacity before it is refused, in milliseconds.

@example
maxPlacementWaitMs({objectiveMs: 500, hasReturned: false, deadlineMs: 8000}); // 60
*/
export function maxPlacementWaitMs({objectiveMs, hasReturned, deadlineMs, heldMs = 0}: Pick<PlacementRequest, 'objectiveMs' | 'hasReturned' | 'deadlineMs' | 'heldMs'>): number {
	const retryMs = Math.max(0, Math.max(retryWaitMs, objectiveMs * (1 - firstTokenReserveRatio)) - heldMs);
	// A request that was held by its entry can hardly be in time any more, and may itself be the last attempt of its caller.
	return Math.min(deadlineMs, hasReturned || heldMs > objectiveMs ? Math.max(retryMs, objectiveMs * firstWaitRatio) : objectiveMs * firstWaitRatio);
}

/** The cost of a rank in another availability zone than the entry, in milliseconds. Traffic between zones is charged, but not worth a longer pass. */
const otherZoneMs = 0.01;

/** Limits the random part of a rank's cost to 1/1000 ms, so that it only decides between ranks of practically equal cost. */
const tieBreakDivisor = 1000;

import {
	mapInTurn, type CommandReply, type GuardedCommand, type LayeredMap, type RankView,
} from '@papayaflow/experts';
import {
	balanceExperts, createDemandTracker, createPassMeter, createSkewMonitor,
} from '@papayaflow/group';
import {
	balancingNeed, createGroupAdmission, predictPassMs, skewOfLayers, type GroupAdmission, type GroupDecision, type GroupModel, type RankWork, type RefusalRule,
} from '@papayaflow/policy';
import {type ExpertModel} from '@papayaflow/routing';
import {
	createPassGroup, createSubjectDemand, exponential, normal, quantile, seededRandom,
} from '@papayaflow/standins';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {createEventQueue} from './events.js';

/** A group of ranks under load whose demand for experts shifts. */
export type GroupDay = {
	readonly name: string;
	readonly ranks: number;
	readonly model: GroupModel;
	readonly experts: ExpertModel;
	readonly requestsPerS: number;
	readonly objectiveMs: number;
	/** The longest pause between two events of a stream that is on time, in milliseconds. */
	readonly gapMs: number;
	/** The mean number of events of an answer. */
	readonly events: number;
	/** The time between two reports of counts by one rank, in milliseconds. */
	readonly reportMs: number;
	/** The time between two shifts of the demand, in milliseconds. */
	readonly shiftMs: number;
	readonly lengthMs: number;
	/** The kinds of requests; without them, all requests have the same priority and the day's objective. */
	readonly kinds?: readonly RequestKind[];
	/** A restart of the whole group; the time counts from the first request. */
	readonly restart?: {readonly atMs: number; readonly outageMs: number};
};

/** A kind of requests in a day of a group. */
export type RequestKind = {
	readonly name: string;
	readonly priority: number;
	/** The part of the day's rate that this kind has outside its burst. */
	readonly share: number;
	readonly objectiveMs: number;
	/** A period in which this kind arrives `factor` times as often; the times count from the first request. */
	readonly burst?: {readonly factor: number; readonly fromMs: number; readonly untilMs: number};
};

/** What became of one request; the time counts from the first request of the day. */
export type RequestOutcome = {
	readonly kind: string;
	readonly sentMs: number;
	readonly promptTokens: number;
	readonly subject: number;
	readonly outcome: 'inTime' | 'late' | 'refused' | 'abandoned';
	/** The rule of the last refusal of a refused request. */
	readonly rule?: RefusalRule;
};

export type GroupDayResult = {
	readonly asked: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
	/** The outcome of each request that ended before the end of the day. */
	readonly outcomes: readonly RequestOutcome[];
	readonly mapChanges: number;
	/** The experts that all ranks have copied for changes of the map. */
	readonly copies: number;
	/** The mean of the true skew over all passes, weighted by their time. */
	readonly meanSkew: number;
	/** The median time from a shift until the true skew has come down by half of its excess, in milliseconds; as long as the interval if it does not. */
	readonly adaptedMs: number;
};

type Request = {
	readonly id: string;
	readonly kind: RequestKind;
	readonly sentMs: number;
	/** Whether its caller has used its only retry. */
	readonly hasReturned: boolean;
	readonly subject: number;
	readonly promptTokens: number;
	readonly hintedEvents: number;
	readonly events: number;
	eventsLeft: number;
	rank: number;
	lastEventMs: number | undefined;
	isLate: boolean;
};

/** How long the counts of one report are gathered, in milliseconds. */
const countsMs = 170;

/** How many experts of a layer one token chooses, over all samples of a stream. */
const picksPerToken = 88;

/** The time of a command from the coordinator to a rank and back, in milliseconds. */
const commandMs = 6;

const admissionTickMs = 10;
const viewIntervalMs = 80;
const idlePollMs = 2;
const copySlowdown = 1.15;

const maxPromptTokens = 2800;
const meanExtraPromptTokens = 700;

/** How long callers wait for an event before they abandon a request, in milliseconds. */
const abandonMs = 2000;

/** The time within which the callers of a restarted group return after the end of the outage, in milliseconds. */
const returnAfterOutageMs = 200;

/** A group without requests has no passes, and its coordinator starts before the requests do. */
const leadMs = 1000;

/**
Plays a day of one group in virtual time with the parts of a real coordinator: admission,
demand tracker, skew monitor, pass meter and expert balancer. Passes take what the
published figures say under the true demand, ranks report counts from time to time, and
a refused caller returns once. Callers abandon a request after 2 s without an event.

Load patterns: requests arrive at a rate that the group can serve only with a map that
fits; the popular experts of all layers change every few seconds; one of several kinds of
requests exceeds the group's capacity for seconds; the group restarts, and the callers of
all its requests return within 200 ms.

@example
const {inTime, asked} = await playGroupDay(groupDays[3], 1);
*/
export async function playGroupDay(day: GroupDay, seed: number): Promise<GroupDayResult> {
	const random = seededRandom(seed);
	const events = createEventQueue();
	const nowMs = (): number => events.nowMs;
	const sleep = async (ms: number): Promise<void> => new Promise(resolve => {
		events.at(nowMs() + Math.max(0, ms), resolve);
	});
	const {ranks, model, experts} = day;
	const endMs = leadMs + day.lengthMs;
	const demand = createSubjectDemand({layers: experts.layers, experts: experts.expertsPerLayer}, random);
	const group = createPassGroup(ranks);
	const initialMap = mapInTurn({layers: experts.layers, ranks, expertsPerLayer: experts.expertsPerLayer});
	const maps = new Map<number, LayeredMap>([[0, initialMap]]);
	const copiedAtMs = Array.from({length: ranks}, () => 0);
	const streams = new Set<Request>();
	const picks = Array.from({length: ranks}, () => new Float64Array(demand.subjects));
	const totals = {
		asked: 0, inTime: 0, late: 0, refused: 0, mapChanges: -1, copies: 0, skewMs: 0, passMs: 0,
	};
	const adaptedMs: number[] = [];
	let shift: {readonly atMs: number; readonly skew: number} | undefined;
	let balancedMap: LayeredMap | undefined;

	const meter = createPassMeter();
	const tracker = createDemandTracker({layers: experts.layers, experts: experts.expertsPerLayer});
	const monitor = createSkewMonitor(tracker, () => balancedMap);
	let openRanks: readonly boolean[] = Array.from({length: ranks}, () => true);
	const zones = Array.from({length: ranks}, () => 'z');
	const startAdmission = (): GroupAdmission => createGroupAdmission({
		model: () => model, openRanks: () => openRanks, zones: () => zones, skew: monitor.skew, demandShifts: monitor.shifts, slowdown: meter.slowdown, isStalled: () => false, nowMs, random,
	});
	// A restart replaces the admission, as a new coordinator does.
	let admission = startAdmission();
	/** The requests without a decision. */
	const undecided = new Set<Request>();
	const outcomes: RequestOutcome[] = [];

	const viewOf = (rank: number): RankView => {
		const {map, prepared, armed} = group.ranks[rank];
		const isCopying = copiedAtMs[rank] > nowMs();
		return {
			group: 'g', formation: 1, isOpen: true, rank, size: ranks, pass: group.pass(), isCopying, mapVersion: map,
			prepared: isCopying ? undefined : prepared, armed, held: group.held(rank), pace: 1,
			queued: 0, active: streams.size, usedTokens: 0,
		};
	};

	const command = async (rank: number, guarded: GuardedCommand): Promise<CommandReply> => {
		await sleep(commandMs / 2);
		const {command} = guarded;
		const result = group.order(rank, command, guarded);
		if (result === 'obeyed' && command.kind === 'prepare') {
			maps.set(command.version, command.map);
			const held = maps.get(group.ranks[rank].map)!;
			const copies = command.map.reduce((sum, layer, index) => sum + layer[rank].filter(expert => !held[index][rank].includes(expert)).length, 0);
			copiedAtMs[rank] = nowMs() + (copies * experts.copyMs);
			await sleep(copies * experts.copyMs);
		}

		await sleep(commandMs / 2);
		return {result, view: viewOf(rank)};
	};

	const tokensBySubject = (): Float64Array => {
		const tokens = new Float64Array(demand.subjects);
		for (const {subject} of streams) {
			tokens[subject]++;
		}

		return tokens;
	};

	const trueSkew = (): number => {
		const shares = demand.shares(tokensBySubject());
		return skewOfLayers(maps.get(group.ranks[0].map)!.map((placement, layer) => ({placement, shares: shares[layer]})));
	};

	const noteSkew = (skew: number, beganMs: number): void => {
		totals.skewMs += skew * (nowMs() - beganMs);
		totals.passMs += nowMs() - beganMs;
		if (shift && beganMs >= shift.atMs && skew - 1 <= (shift.skew - 1) / 2) {
			adaptedMs.push(beganMs - shift.atMs);
			shift = undefined;
		}
	};

	const noteOutcome = ({kind, sentMs, promptTokens, subject}: Request, outcome: RequestOutcome['outcome'], rule?: RefusalRule): void => {
		outcomes.push({
			kind: kind.name, sentMs: sentMs - leadMs, promptTokens, subject, outcome, rule,
		});
		if (outcome !== 'abandoned') {
			totals[outcome]++;
		}
	};

	const endStream = (request: Request, outcome: 'inTime' | 'late' | 'abandoned'): void => {
		streams.delete(request);
		admission.ended(request.id);
		noteOutcome(request, outcome);
	};

	const runPass = async (): Promise<void> => {
		const inPass = [...streams];
		const work: RankWork[] = Array.from({length: ranks}, () => ({decodingRequests: 0, contextTokens: 0, prefillTokens: 0}));
		for (const {rank, promptTokens, lastEventMs, subject} of inPass) {
			const {decodingRequests, contextTokens, prefillTokens} = work[rank];
			work[rank] = lastEventMs === undefined
				? {decodingRequests, contextTokens, prefillTokens: prefillTokens + promptTokens}
				: {decodingRequests: decodingRequests + 1, contextTokens: contextTokens + promptTokens, prefillTokens};
			picks[rank][subject] += picksPerToken * (lastEventMs === undefined ? promptTokens : model.stepsPerPass);
		}

		const beganMs = nowMs();
		const skew = trueSkew();
		const passMs = predictPassMs(model, work, skew) * (copiedAtMs.some(atMs => atMs > nowMs()) ? copySlowdown : 1);
		await sleep(passMs);
		noteSkew(skew, beganMs);
		for (const request of inPass.filter(each => streams.has(each))) {
			const isFirst = request.lastEventMs === undefined;
			request.isLate ||= isFirst ? nowMs() - request.sentMs > request.kind.objectiveMs : nowMs() - request.lastEventMs! > day.gapMs;
			request.lastEventMs = nowMs();
			if (isFirst) {
				admission.began(request.id);
			}

			if (--request.eventsLeft <= 0) {
				endStream(request, request.isLate ? 'late' : 'inTime');
			}
		}
	};

	const runPasses = async (): Promise<void> => {
		while (nowMs() < endMs) {
			if (streams.size === 0 || !group.beginPass()) {
				await sleep(idlePollMs);
				continue;
			}

			await runPass();
		}
	};

	const ask = (request: Request): void => {
		const {id, kind, hasReturned, promptTokens, hintedEvents} = request;
		const waitedMs = nowMs() - request.sentMs;
		const askedAdmission = admission;
		undecided.add(request);
		admission.ask({
			id, promptTokens, answerTokens: hintedEvents * model.stepsPerPass, waitedMs, objectiveMs: kind.objectiveMs, gapMs: day.gapMs,
			deadlineMs: 8000 - waitedMs, priority: kind.priority, hasReturned, isResumed: false, zone: 'z', excluded: new Set(),
		}, decision => {
			undecided.delete(request);
			void onDecision(request, decision, askedAdmission);
		});
		events.at(nowMs() + abandonMs, () => {
			if (undecided.delete(request)) {
				askedAdmission.withdraw(id);
				noteOutcome(request, 'abandoned');
			} else if (streams.has(request) && request.lastEventMs === undefined) {
				endStream(request, 'abandoned');
			}
		});
	};

	const onDecision = async (request: Request, decision: GroupDecision, askedAdmission: GroupAdmission): Promise<void> => {
		if (decision.kind === 'refused') {
			await comeBack(request, decision.retryAfterMs, decision.rule);
			return;
		}

		await sleep(commandMs);
		if (askedAdmission !== admission) {
			await comeBackAfterOutage(request);
			return;
		}

		request.rank = decision.rank;
		streams.add(request);
	};

	const comeBack = async (request: Request, delayMs: number, rule?: RefusalRule): Promise<void> => {
		if (request.hasReturned) {
			noteOutcome(request, 'refused', rule);
			return;
		}

		await sleep(delayMs);
		ask({
			...request, id: `${request.id}-again`, hasReturned: true, eventsLeft: request.events, lastEventMs: undefined, isLate: false,
		});
	};

	const outageEndMs = leadMs + (day.restart ? day.restart.atMs + day.restart.outageMs : 0);

	const comeBackAfterOutage = async (request: Request): Promise<void> => comeBack(request, Math.max(0, outageEndMs - nowMs()) + (random() * returnAfterOutageMs));

	const restart = (): void => {
		const lost = [...streams, ...undecided];
		streams.clear();
		undecided.clear();
		openRanks = openRanks.map(() => false);
		admission = startAdmission();
		for (const request of lost) {
			void comeBackAfterOutage(request);
		}

		events.at(outageEndMs, () => {
			openRanks = openRanks.map(() => true);
		});
	};

	const ratePerS = ({share, burst}: RequestKind): number => {
		const isBurst = burst && nowMs() - leadMs >= burst.fromMs && nowMs() - leadMs < burst.untilMs;
		return day.requestsPerS * share * (isBurst ? burst.factor : 1);
	};

	const sendRequests = async (kind: RequestKind): Promise<void> => {
		await sleep(leadMs);
		for (let next = 0; nowMs() < endMs; next++) {
			const answerEvents = Math.max(1, Math.round(exponential(random) * day.events));
			totals.asked++;
			ask({
				id: `${kind.name}-${next}`, kind, sentMs: nowMs(), hasReturned: false, subject: demand.drawSubject(),
				promptTokens: Math.round(Math.min(maxPromptTokens, model.usualAnswerTokens + (exponential(random) * meanExtraPromptTokens))),
				hintedEvents: Math.max(1, Math.round(answerEvents * Math.exp(normal(random) / 2))), events: answerEvents, eventsLeft: answerEvents, rank: 0, lastEventMs: undefined, isLate: false,
			});
			await sleep(exponential(random) * 1000 / ratePerS(kind));
		}
	};

	const reportCounts = async (rank: number): Promise<void> => {
		while (nowMs() < endMs) {
			await sleep(Math.max(0, (day.reportMs * (0.5 + random())) - countsMs));
			picks[rank].fill(0);
			await sleep(countsMs);
			if (picks[rank].some(count => count > 0)) {
				tracker.addCounts(demand.sampleCounts(picks[rank]));
			}
		}
	};

	const shiftDemand = async (): Promise<void> => {
		await sleep(leadMs + (day.shiftMs / 2));
		while (nowMs() < endMs) {
			if (shift) {
				adaptedMs.push(day.shiftMs);
			}

			demand.shift();
			shift = {atMs: nowMs(), skew: trueSkew()};
			await sleep(day.shiftMs);
		}
	};

	const pollRegularly = async (intervalMs: number, poll: () => void): Promise<void> => {
		while (nowMs() < endMs) {
			poll();
			await sleep(intervalMs);
		}
	};

	void runPasses();
	for (const kind of day.kinds ?? [{
		name: 'all', priority: 1, share: 1, objectiveMs: day.objectiveMs,
	}]) {
		void sendRequests(kind);
	}

	if (day.restart) {
		events.at(leadMs + day.restart.atMs, restart);
	}

	void shiftDemand();
	void pollRegularly(admissionTickMs, () => {
		admission.tick();
	});
	void pollRegularly(viewIntervalMs, () => {
		meter.addSample(viewOf(0), admission.state().passMs / meter.slowdown(), nowMs());
	});
	for (let rank = 0; rank < ranks; rank++) {
		void reportCounts(rank);
	}

	const copyCounter = {
		...noMetrics,
		count(name: string, _labels: unknown, copies = 0) {
			totals.copies += name === 'experts_moved' ? copies : 0;
		},
	};
	void balanceExperts({
		ranks: {
			count: ranks, command, onFrame: () => false, readExperts: async () => undefined,
			async readView(rank) {
				await sleep(commandMs);
				return viewOf(rank);
			},
			async order(rank, guarded) {
				const {result} = await command(rank, guarded);
				return result;
			},
		},
		ownRank: 0, tracker, model: experts, formation: 1, weights: {goodSkew: 1.08, copyCost: 0.065, workShare: experts.workShare * 0.6},
		acquireToken: async () => 1, waitForMembers: async () => undefined, readMap: async () => ({version: 0, map: initialMap}), view: () => viewOf(0), log: noLog, metrics: copyCounter, nowMs, sleep,
		yieldTurn: async () => undefined, need: () => balancingNeed(admission.passRatio()), isStopped: () => nowMs() >= endMs,
		onMap(map) {
			balancedMap = map;
			totals.mapChanges++;
		},
	});
	await events.runUntilAsync(endMs);
	const {asked, inTime, late, refused, mapChanges, copies} = totals;
	return {
		asked, inTime, late, refused, outcomes, mapChanges, copies, meanSkew: totals.skewMs / totals.passMs, adaptedMs: quantile(adaptedMs, 0.5),
	};
}

/**
Returns the highest rate of requests at which the passes of a group stay within a ratio
of the allowed gap, for a given skew and evenly spread streams.

@example
const {perSecond} = groupCapacity(groupDays[0], 1.15);
*/
export function groupCapacity({ranks, model, gapMs, events}: GroupDay, skew: number): {readonly perSecond: number; readonly streams: number} {
	let best = {perSecond: 0, streams: 0};
	for (let streams = 1; streams <= ranks * model.slots; streams++) {
		const perRank = streams / ranks;
		const contextTokens = perRank * (model.usualAnswerTokens + meanExtraPromptTokens);
		const work = {decodingRequests: perRank, contextTokens, prefillTokens: contextTokens / (events + 1)};
		const passMs = predictPassMs(model, Array.from({length: ranks}, () => work), skew);
		if (passMs <= capacityPassRatio * gapMs) {
			best = {perSecond: streams * 1000 / (passMs * (events + 1)), streams};
		}
	}

	return best;
}

/** The ratio of the pass time to the allowed gap up to which a group's streams are on time. */
const capacityPassRatio = 0.82;

// Logging and counting are left out, so that the decisions alone are played.
const noMetrics = {count: () => undefined, latency: () => undefined} as unknown as Metrics;
const noLog = {info: () => undefined, warn: () => undefined} as unknown as Log;

const engine = {
	stepMs: 4.55, sequenceMs: 1.99, contextMsPerThousand: 0.0403, prefillTokensPerMs: 61.4, pairsMsPerMillion: 0.525, chunkTokens: 512, expertShare: 0.85,
};

const expertFigures = {
	workShare: 0.85, expertGigabytes: 0.21, copyMs: 38, formationMs: 600,
};

/** Groups of the sizes that the sites have, at rates that they can serve only while their maps fit the demand. */
export const groupDays: readonly GroupDay[] = [
	{
		name: '12 ranks, 3 layers of 96 experts', ranks: 12,
		model: {
			...engine, stepsPerPass: 4, slots: 8, memoryTokens: 186_666, usualAnswerTokens: 96,
		},
		experts: {
			...expertFigures, layers: 3, expertsPerLayer: 96, slotsPerRank: 11, maxNewPerLayer: 2,
		},
		requestsPerS: 39.2, objectiveMs: 501, gapMs: 120, events: 24, reportMs: 190, shiftMs: 3600, lengthMs: 34_000,
	},
	{
		name: '24 ranks, 16 layers of 96 experts', ranks: 24,
		model: {
			...engine, stepsPerPass: 5, slots: 7, memoryTokens: 163_333, usualAnswerTokens: 95,
		},
		experts: {
			...expertFigures, layers: 16, expertsPerLayer: 96, slotsPerRank: 5, maxNewPerLayer: 1,
		},
		requestsPerS: 68.9, objectiveMs: 503, gapMs: 150, events: 19, reportMs: 770, shiftMs: 3600, lengthMs: 34_000,
	},
	{
		name: '45 ranks, 12 layers of 256 experts', ranks: 45,
		model: {
			...engine, stepsPerPass: 6, slots: 4, memoryTokens: 84_848, usualAnswerTokens: 90,
		},
		experts: {
			...expertFigures, layers: 12, expertsPerLayer: 256, slotsPerRank: 7, maxNewPerLayer: 2,
		},
		requestsPerS: 122, objectiveMs: 604, gapMs: 200, events: 15, reportMs: 1540, shiftMs: 3600, lengthMs: 34_000,
	},
	{
		name: '64 ranks, 12 layers of 256 experts', ranks: 64,
		model: {
			...engine, stepsPerPass: 6, slots: 4, memoryTokens: 84_848, usualAnswerTokens: 90,
		},
		experts: {
			...expertFigures, layers: 12, expertsPerLayer: 256, slotsPerRank: 5, maxNewPerLayer: 2,
		},
		requestsPerS: 174, objectiveMs: 604, gapMs: 200, events: 15, reportMs: 1540, shiftMs: 3600, lengthMs: 34_000,
	},
];

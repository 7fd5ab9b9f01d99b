import {
	mapInTurn, type CommandReply, type GuardedCommand, type LayeredMap, type RankView,
} from '@papayaflow/experts';
import {
	balanceExperts, createDemandTracker, createPassMeter, createSkewMonitor,
} from '@papayaflow/group';
import {
	balancingNeed, createGroupAdmission, predictPassMs, skewOfLayers, type GroupDecision, type GroupModel, type RankWork,
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
};

export type GroupDayResult = {
	readonly asked: number;
	readonly inTime: number;
	readonly late: number;
	readonly refused: number;
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
	readonly sentMs: number;
	readonly subject: number;
	readonly promptTokens: number;
	readonly hintedEvents: number;
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

/** A group without requests has no passes, and its coordinator starts before the requests do. */
const leadMs = 1000;

/**
Plays a day of one group in virtual time with the parts of a real coordinator: admission,
demand tracker, skew monitor, pass meter and expert balancer. Passes take what the
published figures say under the true demand, ranks report counts from time to time, and
a refused caller returns once.

Load patterns: requests arrive at a rate that the group can serve only with a map that
fits; the popular experts of all layers change every few seconds.

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
	const openRanks = Array.from({length: ranks}, () => true);
	const zones = Array.from({length: ranks}, () => 'z');
	const admission = createGroupAdmission({
		model: () => model, openRanks: () => openRanks, zones: () => zones, skew: monitor.skew, demandShifts: monitor.shifts, slowdown: meter.slowdown, isStalled: () => false, nowMs, random,
	});

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

	const endStream = (request: Request): void => {
		streams.delete(request);
		admission.ended(request.id);
		totals[request.isLate ? 'late' : 'inTime']++;
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
		for (const request of inPass) {
			const isFirst = request.lastEventMs === undefined;
			request.isLate ||= isFirst ? nowMs() - request.sentMs > day.objectiveMs : nowMs() - request.lastEventMs! > day.gapMs;
			request.lastEventMs = nowMs();
			if (isFirst) {
				admission.began(request.id);
			}

			if (--request.eventsLeft <= 0) {
				endStream(request);
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

	const ask = (request: Request, hasReturned: boolean): void => {
		const waitedMs = nowMs() - request.sentMs;
		const id = hasReturned ? `${request.id}-again` : request.id;
		admission.ask({
			id, promptTokens: request.promptTokens, answerTokens: request.hintedEvents * model.stepsPerPass, waitedMs, objectiveMs: day.objectiveMs, gapMs: day.gapMs,
			deadlineMs: 8000 - waitedMs, priority: 1, hasReturned, isResumed: false, zone: 'z', excluded: new Set(),
		}, decision => {
			void onDecision({...request, id}, hasReturned, decision);
		});
	};

	const onDecision = async (request: Request, hasReturned: boolean, decision: GroupDecision): Promise<void> => {
		if (decision.kind === 'placed') {
			await sleep(commandMs);
			streams.add({...request, rank: decision.rank});
			return;
		}

		if (hasReturned) {
			totals.refused++;
			return;
		}

		await sleep(decision.retryAfterMs);
		ask(request, true);
	};

	const sendRequests = async (): Promise<void> => {
		await sleep(leadMs);
		for (let next = 0; nowMs() < endMs; next++) {
			const answerEvents = Math.max(1, Math.round(exponential(random) * day.events));
			totals.asked++;
			ask({
				id: `r-${next}`, sentMs: nowMs(), subject: demand.drawSubject(), promptTokens: Math.round(Math.min(2800, model.usualAnswerTokens + (exponential(random) * 700))),
				hintedEvents: Math.max(1, Math.round(answerEvents * Math.exp(normal(random) / 2))), eventsLeft: answerEvents, rank: 0, lastEventMs: undefined, isLate: false,
			}, false);
			await sleep(exponential(random) * 1000 / day.requestsPerS);
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
	void sendRequests();
	void shiftDemand();
	void pollRegularly(admissionTickMs, admission.tick);
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
		asked, inTime, late, refused, mapChanges, copies, meanSkew: totals.skewMs / totals.passMs, adaptedMs: quantile(adaptedMs, 0.5),
	};
}

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

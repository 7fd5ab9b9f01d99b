import {mapInTurn, type LayeredMap, type RankView} from '@papayaflow/experts';
import {type GroupLoad, type RefusedRequest} from '@papayaflow/peer';
import {
	balancingNeed, createGroupAdmission, type GroupAdmission, type GroupState,
} from '@papayaflow/policy';
import {type EngineModel} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type DemandMemory} from './demand-memory.js';
import {decodeDemand} from './demand-record.js';
import {type DemandTracker} from './demand-tracker.js';
import {createDemandWriter} from './demand-writer.js';
import {balanceExperts} from './expert-balancer.js';
import {type BalancingWeights} from './map-choice.js';
import {type OwnRank, type RankEngine} from './own-rank.js';
import {createHoldWatch} from './hold-watch.js';
import {createPassMeter} from './pass-meter.js';
import {
	createRemoteRanks, type Member, type RankChannel, type RemoteRanks,
} from './remote-ranks.js';
import {createSkewMonitor} from './skew-monitor.js';

/** How often the group's load is sent to the entries, in milliseconds, unless requests have been refused. */
const loadIntervalMs = 200;

/** How often the entries are told which requests have been refused, in milliseconds: before the callers return, who are told to wait for at least a fifth of their objective. */
const refusedIntervalMs = 100;

/** How often the load is logged, in milliseconds. */
const loadLogIntervalMs = 1000;

/** How often the admission tries to place waiting requests, in milliseconds: several times per pass. */
const admissionTickMs = 10;

/** How long a group may make no pass before it counts as stalled, in milliseconds. With slow ranks a pass can take a second, and such a group still serves requests, if late. */
const stallTimeoutMs = 1500;

/** The share of the pass time that depends on the tokens under typical load; the rest is the fixed time of its steps. */
const typicalTokenWorkShare = 0.6;

/** How long a coordinator waits until the sidecar of each rank has been connected before it reads the map, in milliseconds. */
const maxMembersWaitMs = 1500;

/** How often it checks whether they are, in milliseconds. */
const membersCheckMs = 20;

/** The assumed skew of the round-robin map of a new formation while the demand is not known yet. It keeps a group that is asked for hundreds of placements at once from running more than it can. */
const unknownDemandSkew = 2;

export type CoordinationDeps = {
	readonly view: RankView;
	readonly own: OwnRank;
	readonly engine: RankEngine;
	readonly connect: (target: string) => RankEngine;
	readonly channel: RankChannel;
	/** The member of the group that has a rank; `undefined` if none was ever known. */
	readonly member: (rank: number) => Member | undefined;
	readonly model: () => EngineModel | undefined;
	/** The demand that earlier terms of this process have estimated. */
	readonly demandMemory: DemandMemory;
	/** The record of the group's demand in the store. */
	readonly demandStore: {
		/** `undefined` if there is none or it can't be read. */
		readonly read: () => Promise<Uint8Array | undefined>;
		readonly write: (record: Uint8Array) => Promise<void>;
	};
	/** The number of groups of the service. */
	readonly groups: () => number;
	/** The wall time, in milliseconds. */
	readonly wallMs: () => number;
	/** Whether each rank accepts new requests, indexed by rank. */
	readonly openByRank: () => readonly boolean[];
	/** The availability zone of each rank, indexed by rank. */
	readonly zones: () => ReadonlyArray<string | undefined>;
	/** Whether each rank is cold, and whether it may get another request now. */
	readonly isCold?: (rank: number) => boolean;
	readonly mayPlace?: (rank: number) => boolean;
	/** Acquires a new fencing token for this group; `undefined` if it could not be acquired. */
	readonly acquireToken: () => Promise<number | undefined>;
	readonly weights: Pick<BalancingWeights, 'goodSkew' | 'copyCost'>;
	/** The number of connected entries. */
	readonly entries: () => number;
	/** Sends the group's load to all entries. */
	readonly sendLoad: (load: GroupLoad) => void;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Lets other work of the process run, in the midst of a plan. */
	readonly yieldTurn: () => Promise<void>;
	readonly signal: AbortSignal;
};

/** The figures that a coordinator bases its decisions on. */
export type CoordinationStatus = GroupState & {
	/** The ratio of the measured to the predicted pass time. */
	readonly slowdown: number;
	readonly skew: number;
	/** How long the group has made no pass although the own rank has requests, in milliseconds. */
	readonly stalledMs: number;
};

/** The coordination of one formation of a group, which exists while a sidecar is its coordinator. */
export type Coordination = {
	readonly formation: number;
	readonly tracker: DemandTracker;
	readonly admission: GroupAdmission;
	readonly ranks: RemoteRanks;
	/** Handles a new view of the own rank, from which the pass time is measured. */
	onView(view: RankView): void;
	/** Notes that a request has been placed. */
	onPlaced(): void;
	/** Records a refused request, so that the entries recognise its retry. */
	onRefused(request: RefusedRequest): void;
	/** Starts no further map switch; resolves when a switch in progress has ended and no longer holds the group. */
	stop(): Promise<void>;
	status(): CoordinationStatus;
};

/**
Starts to coordinate one formation of a group: places its requests, sends its load to
the entries and balances its experts. Returns `undefined` if no engine model is known
or the model has no experts.

@example
const coordination = startCoordination(deps);
*/
export function startCoordination(deps: CoordinationDeps): Coordination | undefined {
	const {view, log, metrics, monotonicMs} = deps;
	const experts = deps.model()?.experts;
	if (!experts) {
		return undefined;
	}

	/** Logs a step of the start. The clock begins with the process. */
	const logStep = (step: string, context: Readonly<Record<string, string | number>> = {}): void => {
		log.info({
			group: view.group, formation: view.formation, ...context, sinceStartMs: Math.round(monotonicMs()),
		}, step);
	};

	logStep('started coordinating the group', {rank: view.rank});
	// Map version 0 is the one that ranks start with. Without it, the skew under a known demand would count as 1 until the map is read, and too many requests would be placed.
	let currentMap = view.mapVersion === 0 ? mapInTurn({layers: experts.layers, ranks: view.size, expertsPerLayer: experts.expertsPerLayer}) : undefined;
	const stopController = new AbortController();
	const meter = createPassMeter();
	const holdWatch = createHoldWatch({nowMs: monotonicMs, log, metrics});
	const sizes = {layers: experts.layers, experts: experts.expertsPerLayer};
	const tracker = deps.demandMemory.trackerOf(view.group, sizes);
	let isMapPlanned = currentMap === undefined;
	const skewMonitor = createSkewMonitor(tracker, () => currentMap, () => isMapPlanned);
	const hasDemand = (): boolean => tracker.demands().some(({reports}) => reports > 0);
	const admission = createGroupAdmission({
		model() {
			const model = deps.model();
			return model && {...model, expertShare: model.experts?.workShare ?? 0};
		},
		openRanks: deps.openByRank, zones: deps.zones, isCold: deps.isCold, mayPlace: deps.mayPlace,
		skew: () => isMapPlanned || hasDemand() ? skewMonitor.skew() : unknownDemandSkew, demandShifts: () => skewMonitor.shifts(), slowdown: () => meter.slowdown(), isStalled: () => meter.stalledMs() > stallTimeoutMs,
		nowMs: monotonicMs, random: deps.random,
	});
	const ranks = createRemoteRanks({
		own: deps.own, engine: deps.engine, ownRank: view.rank, size: view.size, member: deps.member, connect: deps.connect, reportLagMs: () => deps.model()?.reportLagMs ?? 0, sleep: deps.sleep,
		nowMs: monotonicMs, metrics, channel: deps.channel,
	});
	const admissionTimer = setInterval(() => {
		admission.tick();
	}, admissionTickMs).unref();
	let sentMs = Number.NEGATIVE_INFINITY;
	let loggedMs = monotonicMs();
	let refused: Array<{readonly identity: string; readonly firstSentMs: number}> = [];
	const loadTimer = setInterval(() => {
		const now = monotonicMs();
		if (refused.length === 0 && now - sentMs < loadIntervalMs - (refusedIntervalMs / 2)) {
			return;
		}

		sentMs = now;
		const {running, waiting, passMs, lateness} = admission.state();
		const room = admission.room();
		if (now - loggedMs >= loadLogIntervalMs) {
			loggedMs = now;
			// Before the map has been read, this process may not hold the highest token.
			if (hasReadMap) {
				void writeDemand();
			}

			const shifts = skewMonitor.shifts();
			log.info({
				group: view.group, running, waiting, room, lateness, passMs: Math.round(meter.passMs()), predictedMs: Math.round(passMs), slowdown: round(meter.slowdown()),
				skew: round(skewMonitor.skew()), shiftSkew: round(shifts?.skew ?? 0), shiftMs: Math.round(shifts?.intervalMs ?? 0),
			}, 'group load');
		}

		metrics.gauge('group_running', running);
		metrics.gauge('group_pass_ms', Math.round(meter.passMs()));
		deps.sendLoad({
			running, room, entries: deps.entries(), passMs: Math.round(passMs),
			...(refused.length > 0 && {refused: refused.map(({identity, firstSentMs}) => [identity, Math.round(now - firstSentMs)] as const)}),
		});
		refused = [];
	}, refusedIntervalMs).unref();

	const isStopped = (): boolean => stopController.signal.aborted || deps.signal.aborted;

	const restoreDemand = async (): Promise<void> => {
		const record = await deps.demandStore.read();
		const known = record && decodeDemand(record, sizes, deps.wallMs());
		if (known && !isStopped()) {
			tracker.restore(known);
			logStep('demand read from the store', {ageMs: Math.round(known.ageMs)});
		}
	};

	if (tracker.updatedMs() === Number.NEGATIVE_INFINITY) {
		void restoreDemand();
	}

	const writeDemand = createDemandWriter({
		tracker, groups: deps.groups, write: deps.demandStore.write, nowMs: monotonicMs, wallMs: deps.wallMs,
	});
	let hasReadMap = false;
	let hasPlaced = false;
	const startedMs = monotonicMs();
	// A sidecar that has been connected and is gone isn't waited for, because the group may be held meanwhile; its rank is read directly.
	const areMembersKnown = (): boolean => Array.from({length: view.size}, (_, rank) => deps.member(rank)).every(member => member !== undefined);

	const waitForMembers = async (): Promise<void> => {
		while (!areMembersKnown() && monotonicMs() - startedMs < maxMembersWaitMs && !isStopped()) {
			await deps.sleep(membersCheckMs);
		}

		const known = Array.from({length: view.size}, (_, rank) => deps.member(rank)).filter(member => member !== undefined).length;
		logStep('members connected', {known, size: view.size, waitedMs: Math.round(monotonicMs() - startedMs)});
	};

	const readMap = async (): Promise<{readonly version: number; readonly map: LayeredMap} | undefined> => {
		const parts = await Promise.all(Array.from({length: view.size}, async (_, rank) => ranks.readExperts(rank)));
		if (!parts.every(part => part !== undefined) || parts.some(part => part.version !== parts[0].version || part.formation !== view.formation)) {
			return undefined;
		}

		return {version: parts[0].version, map: Array.from({length: experts.layers}, (_, layer) => parts.map(part => part.experts[layer]))};
	};

	const balancing = balanceExperts({
		ranks, ownRank: view.rank, tracker, model: experts, formation: view.formation, weights: {...deps.weights, workShare: experts.workShare * typicalTokenWorkShare},
		acquireToken: deps.acquireToken, waitForMembers, readMap, view: deps.own.view, log, metrics, nowMs: monotonicMs, sleep: deps.sleep, yieldTurn: deps.yieldTurn,
		need: () => balancingNeed(admission.passRatio()),
		isStopped,
		onMap(map) {
			// The first map is the one that the ranks had when this coordinator took them over.
			isMapPlanned ||= hasReadMap;
			currentMap = map;
			if (!hasReadMap) {
				hasReadMap = true;
				logStep('map read');
			}
		},
	});

	return {
		formation: view.formation, tracker, admission, ranks,
		onView(ownView) {
			holdWatch.onView(ownView);
			meter.addSample(ownView, admission.state().passMs / meter.slowdown(), monotonicMs());
		},
		onPlaced() {
			if (!hasPlaced) {
				hasPlaced = true;
				logStep('first request placed');
			}
		},
		onRefused([identity, waitedMs]) {
			refused.push({identity, firstSentMs: monotonicMs() - waitedMs});
		},
		async stop() {
			clearInterval(admissionTimer);
			clearInterval(loadTimer);
			stopController.abort();
			await balancing;
		},
		status() {
			const {running, waiting, passMs, lateness} = admission.state();
			return {
				running, waiting, lateness, passMs: Math.round(passMs), slowdown: round(meter.slowdown()), skew: round(skewMonitor.skew()), stalledMs: Math.round(meter.stalledMs()),
			};
		},
	};
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

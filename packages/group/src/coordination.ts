import {type LayeredMap, type RankView} from '@papayaflow/experts';
import {type GroupLoad} from '@papayaflow/peer';
import {createGroupAdmission, type GroupAdmission, type GroupState} from '@papayaflow/policy';
import {type EngineModel} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {createDemandBoard, type DemandBoard} from './demand-board.js';
import {createPassMeter} from './load.js';
import {keepMap, type MapWeights} from './map-keeper.js';
import {type OwnRank, type RankEngine} from './own-rank.js';
import {createRemoteRanks, type Member, type RemoteRanks} from './remote-ranks.js';
import {watchSkew} from './skew-watch.js';

/** How often the load is told to entries, in milliseconds. */
const loadMs = 200;

/** Every how many tellings the load is logged too: once a second. */
const summaryEvery = 5;

/** How often waiting requests are looked at again, in milliseconds: several times a pass. */
const tickMs = 10;

/** The part of a pass that the work for tokens is under usual load; the rest is the steps' own time. */
const usualWorkPart = 0.6;

export type CoordinationDeps = {
	readonly view: RankView;
	readonly own: OwnRank;
	readonly engine: RankEngine;
	readonly connect: (target: string) => RankEngine;
	readonly member: (rank: number) => Member | undefined;
	readonly model: () => EngineModel | undefined;
	/** Which ranks take new work. */
	readonly open: () => readonly boolean[];
	readonly takeToken: () => Promise<number | undefined>;
	readonly weights: Pick<MapWeights, 'goodSkew' | 'copyCost'>;
	/** The entries that ask. */
	readonly entries: () => number;
	readonly tellLoad: (load: GroupLoad) => void;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
};

/** What a coordinator's decisions rest on. */
export type CoordinationStatus = GroupState & {
	/** How much longer passes take than predicted. */
	readonly slowdown: number;
	readonly skew: number;
};

/** What a sidecar has while it coordinates, for one formation of its group. */
export type Coordination = {
	readonly formation: number;
	readonly board: DemandBoard;
	readonly admission: GroupAdmission;
	readonly ranks: RemoteRanks;
	/** Takes a look at the own rank, by which passes are measured. */
	onView(view: RankView): void;
	/** Begins nothing more; resolves when what holds the group has ended. */
	stop(): Promise<void>;
	/** What its decisions rest on now. */
	status(): CoordinationStatus;
};

/**
Coordinates one formation of a group: places its requests, tells its load and keeps
its experts spread. `undefined` where the engine has no expert maps to coordinate.

@example
const coordination = coordinate(deps);
*/
export function coordinate(deps: CoordinationDeps): Coordination | undefined {
	const {view, log, metrics, monotonicMs} = deps;
	const experts = deps.model()?.experts;
	if (!experts) {
		return undefined;
	}

	log.info({group: view.group, formation: view.formation, rank: view.rank}, 'coordination begins');
	let map: LayeredMap | undefined;
	const ending = new AbortController();
	const meter = createPassMeter();
	const board = createDemandBoard({layers: experts.layers, experts: experts.expertsPerLayer});
	const watch = watchSkew(board, () => map);
	const admission = createGroupAdmission({
		model() {
			const model = deps.model();
			return model && {...model, expertShare: model.experts?.workShare ?? 0};
		},
		open: deps.open, skew: () => watch.skew(), shifts: () => watch.shifts(), slowdown: () => meter.slowdown(), nowMs: monotonicMs, random: deps.random,
	});
	const ranks = createRemoteRanks({
		own: deps.own, ownRank: view.rank, size: view.size, member: deps.member, connect: deps.connect, lagMs: () => deps.model()?.reportLagMs ?? 0, sleep: deps.sleep,
	});
	const ticker = setInterval(() => {
		admission.tick();
	}, tickMs).unref();
	let told = 0;
	const teller = setInterval(() => {
		const {running, waiting, passMs} = admission.state();
		const room = admission.room();
		if (++told % summaryEvery === 0) {
			const shifts = watch.shifts();
			log.info({
				group: view.group, running, waiting, room, passMs: Math.round(meter.passMs()), predictedMs: Math.round(passMs), slowdown: round(meter.slowdown()),
				skew: round(watch.skew()), shiftSkew: round(shifts?.skew ?? 0), shiftMs: Math.round(shifts?.intervalMs ?? 0),
			}, 'group load');
		}

		metrics.gauge('group_running', running);
		metrics.gauge('group_pass_ms', Math.round(meter.passMs()));
		deps.tellLoad({
			running, room, entries: deps.entries(), passMs: Math.round(passMs),
		});
	}, loadMs).unref();

	const readMap = async (): Promise<{readonly version: number; readonly map: LayeredMap} | undefined> => {
		const parts = await Promise.all(Array.from({length: view.size}, async (_, rank) => {
			const target = deps.member(rank)?.target;
			return rank === view.rank ? deps.engine.experts() : (target === undefined ? undefined : deps.connect(target).experts());
		}));
		if (!parts.every(part => part !== undefined) || parts.some(part => part.version !== parts[0].version || part.formation !== view.formation)) {
			return undefined;
		}

		return {version: parts[0].version, map: Array.from({length: experts.layers}, (_, layer) => parts.map(part => part.experts[layer]))};
	};

	const done = keepMap({
		ranks, ownRank: view.rank, board, model: experts, formation: view.formation, weights: {...deps.weights, workShare: experts.workShare * usualWorkPart},
		takeToken: deps.takeToken, readMap, view: deps.own.view, log, metrics, nowMs: monotonicMs, sleep: deps.sleep,
		isStopped: () => ending.signal.aborted || deps.signal.aborted,
		onMap(next) {
			map = next;
		},
	});

	return {
		formation: view.formation, board, admission, ranks,
		onView(seen) {
			meter.take(seen, admission.state().passMs / meter.slowdown(), monotonicMs());
		},
		async stop() {
			clearInterval(ticker);
			clearInterval(teller);
			ending.abort();
			await done;
		},
		status() {
			const {running, waiting, passMs} = admission.state();
			return {
				running, waiting, passMs: Math.round(passMs), slowdown: round(meter.slowdown()), skew: round(watch.skew()),
			};
		},
	};
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

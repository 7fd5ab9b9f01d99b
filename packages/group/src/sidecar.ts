import {type GuardedCommand, type LayeredMap, type RankView} from '@papayaflow/experts';
import {
	handleFrame, type Frame, type FrameHandlers, type Peer, type RankNotice, type StreamNotice,
} from '@papayaflow/peer';
import {
	createGroupAdmission, layeredSkew, type GroupAdmission, type GroupNeed, type Shifts,
} from '@papayaflow/policy';
import {type EngineModel, type TargetRecord} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {createDemandBoard, type DemandBoard} from './demand-board.js';
import {createPassMeter} from './load.js';
import {keepMap, type MapWeights} from './map-keeper.js';
import {followOwnRank, type RankEngine} from './own-rank.js';
import {createRemoteRanks, type Member, type RemoteRanks} from './remote-ranks.js';

/** The lowest ranks whose sidecars may coordinate: three, so that two may be down. */
const candidates = 3;

/** How long a candidate waits for each lower rank's sidecar before it coordinates itself, in milliseconds: some times the silence after which a peer counts as gone. */
const successionMs = 1500;

/** How often the load is told to entries, in milliseconds. */
const loadMs = 200;

/** How long an entry that lost its connection may take to come back before its streams count as ended, in milliseconds. */
const returnMs = 1200;

/** How often waiting requests are looked at again, in milliseconds: several times a pass. */
const tickMs = 10;

/** Every how many tellings the load is logged too: once a second. */
const summaryEvery = 5;

/** The weight of one more shift in the mean of the skew that shifts bring. */
const shiftWeight = 0.3;

const bytesPerCount = 4;

export type GroupSidecarDeps = {
	/** The engine beside this sidecar, as `IP:PORT`. */
	readonly target: string;
	readonly engine: RankEngine;
	readonly connect: (target: string) => RankEngine;
	/** The figures of this engine's service; `undefined` before a configuration names them. */
	readonly model: () => EngineModel | undefined;
	/** The registered targets of this engine's service. */
	readonly records: () => readonly TargetRecord[];
	readonly takeToken: (group: string) => Promise<number | undefined>;
	readonly weights: Pick<MapWeights, 'goodSkew' | 'copyCost' | 'copyMs'>;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
};

/** A sidecar's part in its group. */
export type GroupSidecar = {
	onUp(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Takes a frame of a peer; `false` when it is not for the group. */
	onFrame(peer: Peer, frame: Frame): boolean;
	/** Whether this sidecar's rank is among those whose sidecars connect to all others of the group. */
	isCandidate(): boolean;
	/** Gives the group up to the next candidate; nothing is held afterwards. */
	leave(): Promise<void>;
	status(): unknown;
};

/** What a coordinator has while it is one, for one formation of the group. */
type Coordination = {
	readonly formation: number;
	readonly board: DemandBoard;
	readonly admission: GroupAdmission;
	readonly ranks: RemoteRanks;
	readonly ending: AbortController;
	readonly done: Promise<void>;
};

/**
Takes part in a group of ranks. Each sidecar follows its own rank and obeys the
commands that a coordinator passes to it; the sidecar of the lowest rank that lives
coordinates: it places requests and keeps the experts spread.

@example
const sidecar = createGroupSidecar(deps);
*/
export function createGroupSidecar(deps: GroupSidecarDeps): GroupSidecar {
	const {log, metrics, monotonicMs} = deps;
	const startedMs = monotonicMs();
	const entries = new Set<Peer>();
	const notices = new Map<Peer, RankNotice>();
	/** The entries, by instance, whose requests run in the group. */
	const placed = new Map<string, string>();
	const meter = createPassMeter();
	let coordination: Coordination | undefined;
	let map: LayeredMap | undefined;
	let lastNotice: RankNotice | undefined;
	let lowerSeenMs = startedMs;
	let isLeaving = false;

	const own = followOwnRank({
		engine: deps.engine, sleep: deps.sleep, signal: deps.signal, isClose: () => coordination !== undefined,
		onView(view) {
			onView(view);
		},
		onCounts({formation, pass, counts}) {
			const view = own.view();
			if (!view) {
				return;
			}

			coordination?.board.take(view.rank, formation, counts);
			for (const [peer, notice] of notices) {
				if (notice.isCoordinator && notice.group === view.group) {
					peer.send({
						kind: 'counts', formation, pass, counts: encodeCounts(counts),
					});
				}
			}
		},
	});

	let skewNow = 1;
	let skewOf: readonly unknown[] = [];
	let shiftSkew: number | undefined;
	let shiftSeenMs = 0;
	/** The skew of the map in use under the demand as it is known; worked out anew when either changes. */
	const skew = (): number => {
		const demands = coordination?.board.demands();
		if (!map || !demands) {
			return 1;
		}

		if (skewOf[0] !== map || skewOf[1] !== demands) {
			skewOf = [map, demands];
			skewNow = layeredSkew(map.map((placement, layer) => ({placement, shares: demands[layer].shares})));
			const shiftedMs = coordination?.board.shiftedMs();
			if (shiftedMs !== undefined && shiftedMs > shiftSeenMs) {
				shiftSeenMs = shiftedMs;
				shiftSkew = shiftSkew === undefined ? skewNow : shiftSkew + ((skewNow - shiftSkew) * shiftWeight);
			}
		}

		return skewNow;
	};

	const shifts = (): Shifts | undefined => {
		const intervalMs = coordination?.board.meanShiftMs();
		return shiftSkew === undefined || intervalMs === undefined ? undefined : {skew: shiftSkew, intervalMs};
	};

	let open: readonly boolean[] = [];
	/** Which ranks take work; worked out once for each look at the own rank. */
	const findOpen = (view: RankView): readonly boolean[] => {
		const serving = new Set(deps.records().filter(({state}) => state === 'serving').map(({host, port}) => `${host}:${port}`));
		return Array.from({length: view.size}, (_, rank) => {
			const target = targetOf(rank);
			return view.isOpen && target !== undefined && serving.has(target);
		});
	};

	const targetOf = (rank: number): string | undefined => rank === own.view()?.rank
		? deps.target
		: [...notices.values()].find(notice => notice.group === lastNotice?.group && notice.rank === rank)?.target;

	const member = (rank: number): Member | undefined => {
		for (const [peer, notice] of notices) {
			if (notice.group === lastNotice?.group && notice.rank === rank) {
				return {rank, target: notice.target, peer};
			}
		}

		return undefined;
	};

	const onView = (view: RankView | undefined): void => {
		if (view) {
			open = findOpen(view);
			updateRole(view);
			tellNotice(view);
			if (coordination) {
				const model = deps.model();
				const {passMs} = coordination.admission.state();
				meter.take(view, model ? passMs / meter.slowdown() : 0, monotonicMs());
			}
		} else if (coordination) {
			stepDown('own rank lost');
		}
	};

	const tellNotice = (view: RankView): void => {
		const notice: RankNotice = {
			group: view.group, formation: view.formation, rank: view.rank, size: view.size, isOpen: view.isOpen, target: deps.target,
			isCoordinator: coordination !== undefined,
		};
		if (lastNotice && JSON.stringify(lastNotice) === JSON.stringify(notice)) {
			return;
		}

		if (lastNotice?.formation !== notice.formation || lastNotice.isOpen !== notice.isOpen) {
			log.info({
				group: notice.group, formation: notice.formation, rank: notice.rank, isOpen: notice.isOpen, pass: view.pass,
			}, 'group state');
		}

		lastNotice = notice;
		for (const peer of [...entries, ...notices.keys()]) {
			peer.send({kind: 'rank', notice});
		}
	};

	const updateRole = (view: RankView): void => {
		const now = monotonicMs();
		const hasLower = [...notices.values()].some(notice => notice.group === view.group && notice.rank < view.rank && notice.rank < candidates);
		if (hasLower) {
			lowerSeenMs = now;
		}

		const mayCoordinate = !isLeaving && view.rank < candidates && !hasLower && now - lowerSeenMs >= successionMs * view.rank;
		if (coordination && (!mayCoordinate || coordination.formation !== view.formation)) {
			stepDown(mayCoordinate ? 'the group formed anew' : 'a lower rank coordinates');
		}

		if (!coordination && mayCoordinate && view.isOpen) {
			const model = deps.model();
			if (model?.experts) {
				coordination = coordinate(view, model);
			}
		}
	};

	const stepDown = (because: string): void => {
		log.info({because, formation: coordination?.formation}, 'coordination ends');
		coordination?.ending.abort();
		coordination = undefined;
		map = undefined;
	};

	const coordinate = (view: RankView, model: EngineModel): Coordination => {
		log.info({group: view.group, formation: view.formation, rank: view.rank}, 'coordination begins');
		const experts = model.experts!;
		const ending = new AbortController();
		const board = createDemandBoard({layers: experts.layers, experts: experts.expertsPerLayer});
		const admission = createGroupAdmission({
			model() {
				const now = deps.model();
				return now && {...now, expertShare: now.experts?.workShare ?? 0};
			},
			open: () => open, skew, shifts, slowdown: () => meter.slowdown(), nowMs: monotonicMs, random: deps.random,
		});
		const ranks = createRemoteRanks({
			own, ownRank: view.rank, size: view.size, member, connect: deps.connect, lagMs: () => deps.model()?.reportLagMs ?? 0, sleep: deps.sleep,
		});
		const isStopped = (): boolean => ending.signal.aborted || deps.signal.aborted;
		const ticker = setInterval(() => {
			admission.tick();
		}, tickMs).unref();
		let told = 0;
		const teller = setInterval(() => {
			const {running, waiting, passMs} = admission.state();
			const room = admission.room();
			if (++told % summaryEvery === 0) {
				log.info({
					group: view.group, running, waiting, room, passMs: Math.round(meter.passMs()), predictedMs: Math.round(passMs), slowdown: round(meter.slowdown()),
					skew: round(skew()), shiftSkew: round(shiftSkew ?? 0), shiftMs: Math.round(coordination?.board.meanShiftMs() ?? 0),
				}, 'group load');
			}

			metrics.gauge('group_running', running);
			metrics.gauge('group_pass_ms', Math.round(meter.passMs()));
			for (const peer of entries) {
				peer.send({
					kind: 'groupLoad', group: view.group, load: {
						running, room, entries: entries.size, passMs: Math.round(passMs),
					},
				});
			}
		}, loadMs).unref();
		ending.signal.addEventListener('abort', () => {
			clearInterval(ticker);
			clearInterval(teller);
		}, {once: true});
		const done = keepMap({
			ranks, ownRank: view.rank, board, model: experts, formation: view.formation,
			weights: {...deps.weights, workShare: experts.workShare * usualWorkPart},
			takeToken: async () => deps.takeToken(view.group),
			readMap: async () => readMap(view, experts.layers),
			view: own.view, log, metrics, nowMs: monotonicMs, sleep: deps.sleep, isStopped,
			onMap(next) {
				map = next;
			},
		});
		return {
			formation: view.formation, board, admission, ranks, ending, done,
		};
	};

	const readMap = async (view: RankView, layers: number): Promise<{readonly version: number; readonly map: LayeredMap} | undefined> => {
		const parts = await Promise.all(Array.from({length: view.size}, async (_, rank) => {
			const target = targetOf(rank);
			return target === undefined ? undefined : (target === deps.target ? deps.engine : deps.connect(target)).experts();
		}));
		if (!parts.every(part => part !== undefined) || parts.some(part => part.version !== parts[0].version || part.formation !== view.formation)) {
			return undefined;
		}

		return {version: parts[0].version, map: Array.from({length: layers}, (_, layer) => parts.map(part => part.experts[layer]))};
	};

	const needOf = (frame: Extract<Frame, {kind: 'place'}>): GroupNeed => {
		const {excluded, ...need} = frame.ask;
		const ranks = Array.from({length: own.view()?.size ?? 0}, (_, rank) => rank);
		return {...need, excluded: new Set(ranks.filter(rank => excluded.includes(targetOf(rank) ?? '')))};
	};

	const onPlace = (peer: Peer, frame: Extract<Frame, {kind: 'place'}>): void => {
		const {id} = frame.ask;
		if (!coordination) {
			peer.send({
				kind: 'turnedAway', id, reason: 'wrongOwner', retryAfterMs: 0,
			});
			return;
		}

		coordination.admission.ask(needOf(frame), decision => {
			metrics.count('group_decisions', {kind: decision.kind});
			const target = decision.kind === 'placed' ? targetOf(decision.rank) : undefined;
			if (decision.kind === 'refused' || target === undefined) {
				peer.send({
					kind: 'turnedAway', id, reason: decision.kind === 'refused' ? decision.reason : 'noTarget', retryAfterMs: decision.kind === 'refused' ? decision.retryAfterMs : 0,
				});
				return;
			}

			placed.set(id, peer.hello.instance);
			peer.send({kind: 'placed', id, target});
		});
	};

	const rankOf = (target: string): number | undefined => {
		const size = own.view()?.size ?? 0;
		const rank = Array.from({length: size}, (_, index) => index).find(index => targetOf(index) === target);
		return rank;
	};

	const note = (peer: Peer, {id, target, promptTokens, answerTokens, hasBegun}: StreamNotice): void => {
		const rank = rankOf(target);
		if (rank !== undefined) {
			placed.set(id, peer.hello.instance);
			coordination?.admission.note(id, {
				rank, promptTokens, answerTokens, hasBegun,
			});
		}
	};

	const forget = (instance: string, except: ReadonlySet<string>): void => {
		for (const [id, entry] of placed) {
			if (entry === instance && !except.has(id)) {
				placed.delete(id);
				coordination?.admission.ended(id);
			}
		}
	};

	// An entry whose connection broke comes back and names its streams; one that does not is gone, and they with it.
	const forgetIfGone = async (instance: string): Promise<void> => {
		await deps.sleep(returnMs);
		if (![...entries].some(({hello}) => hello.instance === instance)) {
			forget(instance, new Set());
		}
	};

	const handlers: FrameHandlers = {
		rank(peer, {notice}) {
			notices.set(peer, notice);
		},
		place: onPlace,
		running(peer, {stream}) {
			note(peer, stream);
		},
		streams(peer, {streams}) {
			forget(peer.hello.instance, new Set(streams.map(({id}) => id)));
			for (const stream of streams) {
				note(peer, stream);
			}
		},
		began(_peer, {id}) {
			coordination?.admission.began(id);
		},
		ended(_peer, {id}) {
			placed.delete(id);
			coordination?.admission.ended(id);
		},
		counts(peer, {formation, counts}) {
			const notice = notices.get(peer);
			if (notice) {
				coordination?.board.take(notice.rank, formation, decodeCounts(counts));
			}
		},
		command(peer, {id, guarded}) {
			void obey(peer, id, guarded);
		},
		look(peer, {id}) {
			void show(peer, id);
		},
	};

	const obey = async (peer: Peer, id: number, guarded: GuardedCommand): Promise<void> => {
		const {result, view} = await own.command(guarded);
		metrics.count('rank_commands', {kind: guarded.command.kind, result});
		peer.send({
			kind: 'viewed', id, result, view,
		});
	};

	const show = async (peer: Peer, id: number): Promise<void> => {
		peer.send({
			kind: 'viewed', id, result: 'obeyed', view: await own.look(),
		});
	};

	return {
		onUp(peer) {
			if (peer.hello.role === 'entry') {
				entries.add(peer);
			}

			if (lastNotice) {
				peer.send({kind: 'rank', notice: lastNotice});
			}
		},
		onDown(peer) {
			entries.delete(peer);
			notices.delete(peer);
			if (peer.hello.role === 'entry') {
				void forgetIfGone(peer.hello.instance);
			}
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame) || (coordination?.ranks.onFrame(frame) ?? false),
		isCandidate: () => (own.view()?.rank ?? candidates) < candidates,
		async leave() {
			isLeaving = true;
			const {done} = coordination ?? {};
			if (coordination) {
				stepDown('this process stops');
			}

			await done;
		},
		status: () => ({
			view: own.view(), isCoordinator: coordination !== undefined, entries: entries.size, members: notices.size,
			load: coordination?.admission.state(), slowdown: meter.slowdown(), skew: skew(),
		}),
	};
}

/** The part of a pass that the work for tokens is under usual load; the rest is the steps' own time. */
const usualWorkPart = 0.6;

function encodeCounts(counts: readonly number[]): Uint8Array {
	const bytes = new Uint8Array(counts.length * bytesPerCount);
	const view = new DataView(bytes.buffer);
	for (const [i, count] of counts.entries()) {
		view.setUint32(i * bytesPerCount, count);
	}

	return bytes;
}

function decodeCounts(bytes: Uint8Array): number[] {
	const view = new DataView(bytes.buffer, bytes.byteOffset, bytes.byteLength);
	return Array.from({length: bytes.length / bytesPerCount}, (_, i) => view.getUint32(i * bytesPerCount));
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

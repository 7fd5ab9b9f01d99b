import {type GuardedCommand, type RankView} from '@papayaflow/experts';
import {
	handleFrame, type Frame, type FrameHandlers, type Peer, type RankNotice, type StreamNotice,
} from '@papayaflow/peer';
import {type GroupNeed} from '@papayaflow/policy';
import {addressOf, type TargetRecord} from '@papayaflow/routing';
import {coordinate, type Coordination, type CoordinationDeps} from './coordination.js';
import {packCounts, unpackCounts} from './counts.js';
import {followOwnRank} from './own-rank.js';
import {type Member} from './remote-ranks.js';
import {candidates, createRoster} from './roster.js';

/** How long a candidate waits for each lower rank's sidecar before it coordinates itself, in milliseconds: time to connect again, as the group may be held meanwhile. */
const successionMs = 300;

/** How much longer it waits after its own start, in milliseconds, until the others have been reached. */
const startMs = 2000;

/** How long the own rank may be out of reach before its sidecar gives the coordination up, in milliseconds: some looks that time out. */
const rankLostMs = 1000;

/** How long an entry that lost its connection may take to come back before its streams count as ended, in milliseconds. */
const returnMs = 1200;

export type GroupSidecarDeps = Pick<CoordinationDeps, 'engine' | 'connect' | 'model' | 'weights' | 'metrics' | 'log' | 'monotonicMs' | 'random' | 'sleep' | 'signal'> & {
	/** The engine beside this sidecar, as `IP:PORT`. */
	readonly target: string;
	/** The registered targets of this engine's service. */
	readonly records: () => readonly TargetRecord[];
	readonly takeToken: (group: string) => Promise<number | undefined>;
};

/** A sidecar's part in its group. */
export type GroupSidecar = {
	onUp(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Takes a frame of a peer; `false` when it is not for the group. */
	onFrame(peer: Peer, frame: Frame): boolean;
	/** Whether it has to be known soon that a peer is gone: it may coordinate this group, or this sidecar others' work. */
	isNear(peer: Peer): boolean;
	/** Whether this sidecar's rank is among those whose sidecars connect to all others of the group. */
	isCandidate(): boolean;
	/** Gives the group up to the next candidate; nothing is held afterwards. */
	leave(): Promise<void>;
	status(): unknown;
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
	const entries = new Set<Peer>();
	const sidecars = new Set<Peer>();
	const roster = createRoster();
	/** The entries, by instance, whose requests run in the group. */
	const placed = new Map<string, string>();
	let coordination: Coordination | undefined;
	let terms = 0;
	let notice: RankNotice | undefined;
	let open: readonly boolean[] = [];
	let lowerSeenMs = monotonicMs() + startMs;
	let viewedMs = monotonicMs();
	let isLeaving = false;

	const own = followOwnRank({
		engine: deps.engine, sleep: deps.sleep, signal: deps.signal, isClose: () => coordination !== undefined,
		onView(view) {
			if (view) {
				viewedMs = monotonicMs();
				onView(view);
			} else if (coordination && monotonicMs() - viewedMs > rankLostMs) {
				stepDown('own rank lost');
			}
		},
		onCounts({formation, pass, counts}) {
			if (!notice) {
				return;
			}

			takeCounts(formation, counts);
			for (const peer of roster.coordinators(notice.group)) {
				peer.send({
					kind: 'counts', formation, pass, ...packCounts(counts),
				});
			}
		},
		random: deps.random,
	});

	const takeCounts = (formation: number, counts: readonly number[]): void => {
		if (coordination?.formation === formation) {
			coordination.board.take(counts);
		}
	};

	const member = (rank: number): Member | undefined => {
		if (!notice) {
			return undefined;
		}

		return rank === notice.rank ? {rank, target: deps.target, peer: undefined} : roster.member(notice.group, rank);
	};

	const targetOf = (rank: number): string | undefined => member(rank)?.target;

	const onView = (view: RankView): void => {
		const serving = new Set(deps.records().filter(({state}) => state === 'serving').map(record => addressOf(record)));
		open = Array.from({length: view.size}, (_, rank) => {
			const target = targetOf(rank);
			return view.isOpen && target !== undefined && serving.has(target);
		});
		updateRole(view);
		tellNotice(view);
		coordination?.onView(view);
	};

	const updateRole = (view: RankView): void => {
		const now = monotonicMs();
		const hasLower = roster.hasLower(view.group, view.rank);
		if (hasLower) {
			lowerSeenMs = now;
		}

		if (coordination && roster.lowerCoordinates(view.group, view.rank)) {
			stepDown('a lower rank coordinates');
		} else if (coordination && coordination.formation !== view.formation) {
			stepDown('the group formed anew');
		}

		// The lowest rank waits for nobody, so that a group is coordinated as soon as its processes are back.
		const isDue = view.rank === 0 || (view.rank < candidates && !hasLower && now - lowerSeenMs >= successionMs * view.rank);
		if (!coordination && isDue && !isLeaving && view.isOpen) {
			coordination = coordinate({
				...deps, view, own, member, open: () => open, entries: () => entries.size,
				takeToken: async () => deps.takeToken(view.group),
				tellLoad(load) {
					for (const peer of entries) {
						peer.send({kind: 'groupLoad', group: view.group, load});
					}
				},
			});
			terms += coordination ? 1 : 0;
		}
	};

	const stepDown = (because: string): void => {
		log.info({because, formation: coordination?.formation}, 'coordination ends');
		void coordination?.stop();
		coordination = undefined;
	};

	const tellNotice = (view: RankView): void => {
		const next: RankNotice = {
			group: view.group, formation: view.formation, rank: view.rank, size: view.size, isOpen: view.isOpen, target: deps.target,
			isCoordinator: coordination !== undefined, term: terms,
		};
		if (notice && JSON.stringify(notice) === JSON.stringify(next)) {
			return;
		}

		if (notice?.formation !== next.formation || notice.isOpen !== next.isOpen) {
			log.info({
				group: next.group, formation: next.formation, rank: next.rank, isOpen: next.isOpen, pass: view.pass,
			}, 'group state');
		}

		notice = next;
		for (const peer of [...entries, ...sidecars]) {
			peer.send({kind: 'rank', notice: next});
		}
	};

	const needOf = (frame: Extract<Frame, {kind: 'place'}>): GroupNeed => {
		const {excluded, ...need} = frame.ask;
		const ranks = Array.from({length: notice?.size ?? 0}, (_, rank) => rank);
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
			log.info({
				requestId: id, entry: peer.hello.instance, outcome: decision.kind, reason: decision.kind === 'refused' ? decision.reason : undefined, target,
				waitedMs: Math.round(frame.ask.waitedMs), hasReturned: frame.ask.hasReturned, isResumed: frame.ask.isResumed, viewAgeMs: Math.round(monotonicMs() - viewedMs),
				...coordination?.status(),
			}, 'place decided');
			if (target !== undefined) {
				placed.set(id, peer.hello.instance);
				peer.send({kind: 'placed', id, target});
				return;
			}

			coordination?.admission.ended(id);
			peer.send({
				kind: 'turnedAway', id, reason: decision.kind === 'refused' ? decision.reason : 'noTarget', retryAfterMs: decision.kind === 'refused' ? decision.retryAfterMs : 0,
			});
		});
	};

	const note = (peer: Peer, {id, target, promptTokens, answerTokens, hasBegun}: StreamNotice): void => {
		const rank = open.findIndex((_, index) => targetOf(index) === target);
		if (rank !== -1) {
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

	const handlers: FrameHandlers = {
		rank(peer, {notice: told}) {
			roster.set(peer, told);
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
		counts(_peer, frame) {
			takeCounts(frame.formation, unpackCounts(frame));
		},
		command(peer, {id, guarded}) {
			void obey(peer, id, guarded);
		},
		look(peer, {id}) {
			void show(peer, id);
		},
	};

	return {
		onUp(peer) {
			const role = peer.hello.role === 'entry' ? entries : sidecars;
			role.add(peer);

			if (notice) {
				peer.send({kind: 'rank', notice});
			}
		},
		onDown(peer) {
			entries.delete(peer);
			sidecars.delete(peer);
			roster.remove(peer);
			if (peer.hello.role === 'entry') {
				void forgetIfGone(peer.hello.instance);
			}
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame) || (coordination?.ranks.onFrame(frame) ?? false),
		isNear(peer) {
			const isCandidate = (notice?.rank ?? 0) < candidates;
			return isCandidate && (peer.hello.role === 'entry' || roster.isCandidate(peer, notice?.group));
		},
		isCandidate: () => (own.view()?.rank ?? candidates) < candidates,
		async leave() {
			isLeaving = true;
			const ending = coordination;
			if (coordination) {
				stepDown('this process stops');
			}

			await ending?.stop();
		},
		status: () => ({
			view: own.view(), isCoordinator: coordination !== undefined, entries: entries.size, members: sidecars.size, load: coordination?.status(),
		}),
	};
}

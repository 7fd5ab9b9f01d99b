import {type CommandReply, type RankView} from '@papayaflow/experts';
import {
	handleFrame, type DownCause, type Frame, type FrameHandlers, type Peer, type PeerCommand, type RankNotice, type StreamNotice,
} from '@papayaflow/peer';
import {type PlacementRequest} from '@papayaflow/policy';
import {latestByAddress, type TargetRecord} from '@papayaflow/routing';
import {startCoordination, type Coordination, type CoordinationDeps} from './coordination.js';
import {packCounts, unpackCounts} from './counts.js';
import {createDemandMemory} from './demand-memory.js';
import {createLinkChoice} from './link-choice.js';
import {createMapReceiver} from './map-transfer.js';
import {candidateCount, createMembership} from './membership.js';
import {
	candidatePollMs, coordinatorPollMs, memberPollMs, pollOwnRank,
} from './own-rank.js';
import {createRankChannel, type Member} from './remote-ranks.js';

/** The delay per lower rank before a candidate takes over, in milliseconds, counted from when it last saw a lower candidate connected. A shorter delay leaves the lower candidate no time to reconnect; a longer one prolongs the outage of a group that is held meanwhile. */
const takeoverDelayMs = 300;

/** How much longer a candidate waits after its own start, in milliseconds, so that it can first connect to the other sidecars. */
const startupDelayMs = 2000;

/** How long the own rank may be unreachable before its sidecar stops coordinating, in milliseconds: several polls that time out. */
const rankTimeoutMs = 1000;

/** How long a sidecar waits for its rank to copy the experts of a map before it replies to the command, in milliseconds: less than the coordinator waits for a reply. */
const prepareReplyMs = 320;

/** How often a sidecar polls its rank while that copies experts, in milliseconds. */
const preparePollMs = 25;

/** How long a disconnected entry may take to reconnect before its streams count as ended, in milliseconds. */
const entryReconnectTimeoutMs = 1200;

/** The shortest interval between two questions to an entry whether its streams still run, in milliseconds. */
const confirmIntervalMs = 1000;

/** The frames by which entries and the coordinator agree on requests. (placement.pml: latest) */
const placementKinds: ReadonlySet<string> = new Set<Frame['kind']>(['place', 'running', 'streams', 'began', 'ended']);

/** Which ranks are cold, and how often they get requests, by their registrations. */
export type ColdRanks = {
	isCold(record: TargetRecord): boolean;
	/** How long a rank may get no request, in milliseconds; 0 if it may get one now. */
	waitMs(record: TargetRecord): number;
	/** Records that a request is placed on a rank. */
	onPlaced(record: TargetRecord): void;
};

export type GroupSidecarDeps = Pick<CoordinationDeps, 'engine' | 'connect' | 'wallMs' | 'model' | 'weights' | 'metrics' | 'log' | 'monotonicMs' | 'random' | 'sleep' | 'yieldTurn' | 'signal'> & {
	/** The engine beside this sidecar, as `IP:PORT`. */
	readonly target: string;
	/** The registered targets of this engine's service. */
	readonly records: () => readonly TargetRecord[];
	/** Whether the ranks of an availability zone accept no new requests, by order of the operator; they still take part in passes, commands and maps. */
	readonly isEvacuated?: (zone: string) => boolean;
	/** The limits of cold ranks; none by default. */
	readonly cold?: ColdRanks;
	/** Acquires a new fencing token for a group; `undefined` if it could not be acquired. */
	readonly acquireToken: (group: string) => Promise<number | undefined>;
	/** The records of the groups' demand in the store. */
	readonly demandStore: {
		readonly read: (group: string) => Promise<Uint8Array | undefined>;
		readonly write: (group: string, record: Uint8Array) => Promise<void>;
	};
	/** Called when the state of the own rank has changed, and with it perhaps the links that are needed. */
	readonly onStateChange: () => void;
};

/** The component of a sidecar that connects its rank with the rest of its group. */
export type GroupSidecar = {
	onUp(peer: Peer): void;
	onDown(peer: Peer, cause: DownCause): void;
	/** Handles a frame of a peer; returns `false` for a frame that doesn't concern the group. */
	onFrame(peer: Peer, frame: Frame): boolean;
	/** Whether the loss of a peer must be detected quickly: true for the entries of a coordinator, and between the sidecars that may coordinate the group. */
	isNear(peer: Peer): boolean;
	/**
	Returns to the sidecars of which targets this one keeps links, out of all targets of the
	service: none unless it may coordinate the group, and otherwise the members of the group.
	Targets whose group is not known are tried in the given order, a few at a time.
	*/
	linkedTargets(targets: readonly string[]): readonly string[];
	/** Stops coordinating, so that the next candidate takes over; resolves when this sidecar no longer holds the group. */
	leave(): Promise<void>;
	/** The group's part of the status page. */
	status(): unknown;
};

/**
Creates the component of a sidecar that connects its rank with the rest of its group.
Each sidecar polls its own rank and executes the commands that a coordinator sends to
it. The sidecar of the lowest available rank coordinates the group: it places requests
and balances the experts.

@example
const sidecar = createGroupSidecar(deps);
*/
export function createGroupSidecar(deps: GroupSidecarDeps): GroupSidecar {
	const {log, metrics, monotonicMs} = deps;
	const entries = new Set<Peer>();
	/** The newest connection of each entry, by instance. */
	const latestEntries = new Map<string, Peer>();
	const sidecars = new Set<Peer>();
	const membership = createMembership();
	const linkChoice = createLinkChoice({groupOf: membership.groupOf, nowMs: monotonicMs});
	const demandMemory = createDemandMemory(monotonicMs);
	/** The instance of the entry that each placed request came from, by request id. */
	const entryByRequest = new Map<string, string>();
	/** The connections on which the requests without a decision have come, by request id. */
	const waitingAsks = new Map<string, Peer>();
	/** When each entry was last asked for its streams, by instance. */
	const confirmAskedMs = new Map<string, number>();
	let listing = 0;
	const channel = createRankChannel(monotonicMs);
	let coordination: Coordination | undefined;
	/** The coordinations that still complete or abort a switch after this process has stopped coordinating their formations. */
	const stopping = new Set<Coordination>();
	let term = 0;
	let notice: RankNotice | undefined;
	let openByRank: readonly boolean[] = [];
	let zones: ReadonlyArray<string | undefined> = [];
	let recordByRank: ReadonlyArray<TargetRecord | undefined> = [];
	let lowerCandidateSeenMs = monotonicMs() + startupDelayMs;
	let lastViewMs = monotonicMs();
	let isLeaving = false;

	const own = pollOwnRank({
		engine: deps.engine, sleep: deps.sleep, signal: deps.signal, pollIntervalMs: () => pollIntervalMs(),
		onView(view) {
			if (view) {
				lastViewMs = monotonicMs();
				onView(view);
			} else if (coordination && monotonicMs() - lastViewMs > rankTimeoutMs) {
				stepDown('own rank lost');
			}
		},
		onCounts({formation, pass, counts}) {
			if (!notice) {
				return;
			}

			addCounts(formation, counts);
			for (const peer of membership.coordinators(notice.group)) {
				peer.send({
					kind: 'counts', formation, pass, ...packCounts(counts),
				});
			}
		},
		random: deps.random,
	});

	const pollIntervalMs = (): number => {
		if (coordination) {
			return coordinatorPollMs;
		}

		const isInformed = notice !== undefined && notice.rank >= candidateCount && own.view() !== undefined && membership.agrees(notice);
		return isInformed ? memberPollMs : candidatePollMs;
	};

	const addCounts = (formation: number, counts: readonly number[]): void => {
		if (coordination?.formation === formation) {
			coordination.tracker.addCounts(counts);
		}
	};

	const member = (rank: number): Member | undefined => {
		if (!notice) {
			return undefined;
		}

		return rank === notice.rank ? {rank, target: deps.target, peer: undefined} : membership.member(notice.group, rank);
	};

	const areMembersConnected = ({group, size}: Pick<RankNotice, 'group' | 'size'>): boolean => membership.connectedCount(group, size) >= size - 1;

	const targetOf = (rank: number): string | undefined => member(rank)?.target;

	const onView = (view: RankView): void => {
		const records = latestByAddress(deps.records());
		openByRank = Array.from({length: view.size}, (_, rank) => {
			const target = targetOf(rank);
			const record = target === undefined ? undefined : records.get(target);
			// A sidecar that stopped responding may be on a frozen machine. A request sent there can't be cancelled: the engine would still run it after the caller has disconnected.
			return view.isOpen && record?.state === 'serving' && !deps.isEvacuated?.(record.zone) && !membership.isSilent(view.group, rank);
		});
		recordByRank = openByRank.map((_, rank) => records.get(targetOf(rank) ?? ''));
		zones = recordByRank.map(record => record?.zone);
		updateRole(view);
		updateNotice(view);
		coordination?.onView(view);
		confirmStreams();
	};

	/** Asks the entries for their streams if some of those that are counted may have ended unnoticed. */
	const confirmStreams = (): void => {
		const now = monotonicMs();
		const instances = new Set((coordination?.admission.unconfirmed() ?? []).flatMap(id => entryByRequest.get(id) ?? []));
		for (const instance of instances) {
			if (!notice || now - (confirmAskedMs.get(instance) ?? Number.NEGATIVE_INFINITY) < confirmIntervalMs) {
				continue;
			}

			confirmAskedMs.set(instance, now);
			listing++;
			metrics.count('stream_confirmations');
			const peers = [...entries].filter(({hello}) => hello.instance === instance);
			for (const peer of peers) {
				peer.send({kind: 'rank', notice: {...notice, listing}});
			}

			if (peers.length === 0) {
				void removeStreamsUnlessReconnected(instance);
			}
		}
	};

	const isCold = (rank: number): boolean => {
		const record = recordByRank[rank];
		return record !== undefined && (deps.cold?.isCold(record) ?? false);
	};

	const mayPlace = (rank: number): boolean => {
		const record = recordByRank[rank];
		return record === undefined || (deps.cold?.waitMs(record) ?? 0) === 0;
	};

	const updateRole = (view: RankView): void => {
		const now = monotonicMs();
		const hasLowerCandidate = membership.hasLowerCandidate(view.group, view.rank);
		if (hasLowerCandidate) {
			lowerCandidateSeenMs = now;
		}

		if (coordination && membership.hasLowerCoordinator(view.group, view.rank)) {
			stepDown('a lower rank coordinates');
		} else if (coordination && coordination.formation !== view.formation) {
			stepDown('the group formed anew');
		}

		// Rank 0 takes over without a delay, so that the group is coordinated as soon as its processes have restarted.
		const shouldCoordinate = view.rank === 0 || (view.rank < candidateCount && !hasLowerCandidate && now - lowerCandidateSeenMs >= takeoverDelayMs * view.rank);
		if (!coordination && shouldCoordinate && !isLeaving && view.isOpen) {
			coordination = startCoordination({
				...deps, channel, view, own, member, demandMemory, openByRank: () => openByRank, zones: () => zones, isCold, mayPlace, entries: () => entries.size,
				acquireToken: async () => deps.acquireToken(view.group), groups: () => Math.ceil(deps.records().length / view.size),
				demandStore: {read: async () => deps.demandStore.read(view.group), write: async record => deps.demandStore.write(view.group, record)},
				sendLoad(load) {
					for (const peer of entries) {
						peer.send({kind: 'groupLoad', group: view.group, load});
					}
				},
			});
			term += coordination ? 1 : 0;
		}
	};

	const stepDown = (reason: string): void => {
		log.info({because: reason, formation: coordination?.formation}, 'stopped coordinating the group');
		if (coordination) {
			void stopInBackground(coordination);
		}

		coordination = undefined;
		for (const [id, peer] of waitingAsks) {
			turnAway(peer, id);
		}

		waitingAsks.clear();
		// Entries tell their streams anew when this sidecar coordinates again.
		entryByRequest.clear();
	};

	/** Replies that this sidecar does not coordinate the group, so that the entry places the request without a coordinator. */
	const turnAway = (peer: Peer, id: string): void => {
		peer.send({
			kind: 'turnedAway', id, reason: 'wrongOwner', retryAfterMs: 0,
		});
	};

	const stopInBackground = async (ended: Coordination): Promise<void> => {
		stopping.add(ended);
		try {
			await ended.stop();
		} finally {
			stopping.delete(ended);
		}
	};

	const updateNotice = (view: RankView): void => {
		const next: RankNotice = {
			group: view.group, formation: view.formation, rank: view.rank, size: view.size, isOpen: view.isOpen, target: deps.target,
			isCoordinator: coordination !== undefined, term,
		};
		if (notice && JSON.stringify(notice) === JSON.stringify(next)) {
			return;
		}

		if (notice?.formation !== next.formation || notice.isOpen !== next.isOpen) {
			log.info({
				group: next.group, formation: next.formation, rank: next.rank, isOpen: next.isOpen, pass: view.pass, sinceStartMs: Math.round(monotonicMs()),
			}, 'group state changed');
		}

		notice = next;
		deps.onStateChange();
		for (const peer of [...entries, ...sidecars]) {
			peer.send({kind: 'rank', notice: next});
		}
	};

	const placementRequestOf = (peer: Peer, frame: Extract<Frame, {kind: 'place'}>): PlacementRequest => {
		const {excluded, excludedZones = [], identity: _, ...request} = frame.ask;
		const ranks = Array.from({length: notice?.size ?? 0}, (_, rank) => rank);
		return {...request, zone: peer.hello.zone, excluded: new Set(ranks.filter(rank => excluded.includes(targetOf(rank) ?? '') || excludedZones.includes(zones[rank] ?? '')))};
	};

	const onPlace = (peer: Peer, frame: Extract<Frame, {kind: 'place'}>): void => {
		const {id, identity} = frame.ask;
		const askedMs = monotonicMs();
		if (!coordination) {
			turnAway(peer, id);
			return;
		}

		waitingAsks.set(id, peer);
		coordination.admission.ask(placementRequestOf(peer, frame), decision => {
			const queuedMs = monotonicMs() - askedMs;
			waitingAsks.delete(id);
			metrics.count('group_decisions', {kind: decision.kind, priority: String(frame.ask.priority)});
			metrics.latency('group_wait', queuedMs);
			const target = decision.kind === 'placed' ? targetOf(decision.rank) : undefined;
			const record = decision.kind === 'placed' ? recordByRank[decision.rank] : undefined;
			if (record) {
				deps.cold?.onPlaced(record);
			}

			log.info({
				requestId: id, entry: peer.hello.instance, outcome: decision.kind, target,
				...(decision.kind === 'refused' && {reason: decision.reason, rule: decision.rule, retryAfterMs: Math.round(decision.retryAfterMs)}),
				priority: frame.ask.priority, queuedMs: Math.round(queuedMs), waitedMs: Math.round(frame.ask.waitedMs),
				hasReturned: frame.ask.hasReturned, isResumed: frame.ask.isResumed, viewAgeMs: Math.round(monotonicMs() - lastViewMs),
				...coordination?.status(),
			}, 'placement decided');
			if (target !== undefined) {
				entryByRequest.set(id, peer.hello.instance);
				coordination?.onPlaced();
				peer.send({kind: 'placed', id, target});
				return;
			}

			coordination?.admission.ended(id);
			if (identity !== undefined) {
				coordination?.onRefused([identity, frame.ask.waitedMs + queuedMs]);
			}

			peer.send({
				kind: 'turnedAway', id, reason: decision.kind === 'refused' ? decision.reason : 'noTarget', retryAfterMs: decision.kind === 'refused' ? decision.retryAfterMs : 0,
			});
		});
	};

	const removeRequest = (id: string): void => {
		entryByRequest.delete(id);
		waitingAsks.delete(id);
		coordination?.admission.ended(id);
	};

	const recordStream = (peer: Peer, {id, target, promptTokens, answerTokens, hasBegun}: StreamNotice): void => {
		if (!coordination) {
			return;
		}

		const rank = openByRank.findIndex((_, index) => targetOf(index) === target);
		if (rank !== -1) {
			entryByRequest.set(id, peer.hello.instance);
			coordination.admission.recordRunning(id, {
				rank, promptTokens, answerTokens, hasBegun,
			});
		}
	};

	const removeStreams = (instance: string, except: ReadonlySet<string>): void => {
		for (const [id, entry] of entryByRequest) {
			if (entry === instance && !except.has(id)) {
				removeRequest(id);
			}
		}
	};

	const removeWaiting = (instance: string, except: ReadonlySet<string>): void => {
		for (const [id, {hello}] of waitingAsks) {
			if (hello.instance === instance && !except.has(id)) {
				removeRequest(id);
			}
		}
	};

	/** Whether a request is another entry's; what this one says of it doesn't count. */
	const isOfOther = (peer: Peer, id: string): boolean => (entryByRequest.get(id) ?? peer.hello.instance) !== peer.hello.instance;

	// An entry that reconnects sends the list of its streams. If it doesn't reconnect in time, its requests are removed.
	const removeStreamsUnlessReconnected = async (instance: string): Promise<void> => {
		await deps.sleep(entryReconnectTimeoutMs);
		if (![...entries].some(({hello}) => hello.instance === instance)) {
			confirmAskedMs.delete(instance);
			removeStreams(instance, new Set());
			removeWaiting(instance, new Set());
		}
	};

	const readMap = createMapReceiver();

	const runCommand = async (peer: Peer, {command, ...guard}: PeerCommand): Promise<CommandReply> => {
		if (command.kind !== 'prepare') {
			return own.command({...guard, command});
		}

		const map = readMap(peer, command.map);
		if (map === undefined) {
			log.warn({peer: peer.hello.instance, version: command.version}, 'map from the coordinator does not fit the previous one; its command is ignored');
			return {result: 'unknown', view: await own.pollView()};
		}

		const reply = await own.command({...guard, command: {...command, map}});
		return {result: reply.result, view: await pollWhileCopying(reply.view)};
	};

	// The coordinator would otherwise ask dozens of sidecars every few milliseconds, while it also places requests.
	const pollWhileCopying = async (initialView: RankView | undefined): Promise<RankView | undefined> => {
		const deadlineMs = monotonicMs() + prepareReplyMs;
		let view = initialView;
		while (view?.isCopying && monotonicMs() < deadlineMs && !deps.signal.aborted) {
			await deps.sleep(preparePollMs);
			view = await own.pollView();
		}

		return view;
	};

	const executeCommand = async (peer: Peer, id: number, guarded: PeerCommand): Promise<void> => {
		const {result, view} = await runCommand(peer, guarded);
		metrics.count('rank_commands', {kind: guarded.command.kind, result});
		peer.send({
			kind: 'viewed', id, result, view,
		});
	};

	const replyWithView = async (peer: Peer, id: number): Promise<void> => {
		peer.send({
			kind: 'viewed', id, result: 'obeyed', view: await own.pollView(),
		});
	};

	const replyWithExperts = async (peer: Peer, id: number): Promise<void> => {
		const held = await deps.engine.experts();
		peer.send({kind: 'experts', id, ...(held && {held})});
	};

	/** Whether an entry has connected anew since; what was sent over the older connection may be read after newer frames. */
	const isReplaced = (peer: Peer): boolean => peer.hello.role === 'entry' && (latestEntries.get(peer.hello.instance) ?? peer) !== peer;

	const handlers: FrameHandlers = {
		rank(peer, {notice: peerNotice}) {
			membership.set(peer, peerNotice);
			if (notice && !membership.agrees(notice)) {
				own.pollSoon();
			}
		},
		place: onPlace,
		running(peer, {stream}) {
			recordStream(peer, stream);
		},
		streams(peer, {streams, pending}) {
			const {instance} = peer.hello;
			const known = new Set([...streams.map(({id}) => id), ...(pending ?? [])]);
			removeStreams(instance, known);
			if (pending) {
				removeWaiting(instance, known);
			}

			for (const stream of streams) {
				recordStream(peer, stream);
			}
		},
		began(peer, {id}) {
			if (!isOfOther(peer, id)) {
				coordination?.admission.began(id);
			}
		},
		ended(peer, {id}) {
			if (!isOfOther(peer, id)) {
				removeRequest(id);
			}
		},
		counts(_peer, frame) {
			addCounts(frame.formation, unpackCounts(frame));
		},
		command(peer, {id, guarded}) {
			void executeCommand(peer, id, guarded);
		},
		askExperts(peer, {id}) {
			void replyWithExperts(peer, id);
		},
		look(peer, {id}) {
			void replyWithView(peer, id);
		},
	};

	return {
		onUp(peer) {
			const peersOfRole = peer.hello.role === 'entry' ? entries : sidecars;
			peersOfRole.add(peer);
			if (peer.hello.role === 'entry') {
				latestEntries.set(peer.hello.instance, peer);
			}

			if (notice) {
				peer.send({kind: 'rank', notice});
			}
		},
		onDown(peer, cause) {
			entries.delete(peer);
			sidecars.delete(peer);
			membership.remove(peer, cause);
			if (peer.hello.role === 'entry') {
				if (!isReplaced(peer)) {
					latestEntries.delete(peer.hello.instance);
				}

				void removeStreamsUnlessReconnected(peer.hello.instance);
			}
		},
		onFrame(peer, frame) {
			channel.onHeard(peer);
			if (isReplaced(peer)) {
				return placementKinds.has(frame.kind);
			}

			const isHandled = handleFrame(handlers, peer, frame);
			const replies = isHandled ? [] : [coordination, ...stopping].map(each => each?.ranks.onFrame(frame) ?? false);
			return isHandled || replies.includes(true);
		},
		isNear(peer) {
			if (peer.hello.role === 'entry') {
				return coordination !== undefined;
			}

			const isCandidate = (notice?.rank ?? 0) < candidateCount;
			return isCandidate && membership.isCandidate(peer, notice?.group);
		},
		linkedTargets(targets) {
			const rank = own.view()?.rank ?? candidateCount;
			return notice && rank < candidateCount
				? linkChoice.choose(targets.filter(target => target !== deps.target), {group: notice.group, isComplete: areMembersConnected(notice)})
				: [];
		},
		async leave() {
			isLeaving = true;
			const last = coordination;
			if (coordination) {
				stepDown('this process stops');
			}

			await last?.stop();
		},
		status: () => ({
			view: own.view(), isCoordinator: coordination !== undefined, entries: entries.size, members: sidecars.size, load: coordination?.status(),
		}),
	};
}

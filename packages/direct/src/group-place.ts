import {
	createRankNotices, handleFrame, type DownCause, type Frame, type FrameHandlers, type GroupLoad, type Peer, type PeerPlacementRequest, type StreamNotice,
} from '@papayaflow/peer';
import {maxPlacementWaitMs, refusalRetryDelayMs} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type EngineModel} from '@papayaflow/routing';
import {type Call} from './call.js';
import {
	candidatesOf, type ChoiceRequest, type Place, type PlaceResult, type PlaceRequest, type Placer,
} from './place.js';
import {createRefusedRequests, generationIdentity} from './refused-requests.js';
import {type Target, type Targets} from './targets.js';

/** The time added to the longest wait for a coordinator's decision, in milliseconds. It covers a round trip between zones and a delayed event loop. */
const replyMarginMs = 80;

/** The assumed capacity of the groups without a recent load report, as a ratio of their slots. */
const defaultCapacityRatio = 0.4;

/** The assumed number of entries that share a group without a recent load report. */
const assumedEntryCount = 4;

/** The shortest time after which a coordinator that does not answer counts as silent, as a multiple of the latency objective. Its decision on a first attempt may be due much sooner, but its machine may be busy. */
const minReplyTimeoutRatio = 1;

/** The assumed length of an answer without a length hint, as a ratio of its maximum length. */
const defaultAnswerTokensRatio = 0.5;

/** The age beyond which the reported load of a group counts as unknown, in milliseconds. */
const loadMaxAgeMs = 2000;

/** A generation that this entry has placed in a group. */
type Stream = {readonly group: string | undefined; readonly target: string; readonly ask: PeerPlacementRequest; hasBegun: boolean};

export type GroupPlacerOptions = {
	readonly targets: Targets;
	readonly model: (service: string) => EngineModel | undefined;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** A decision without a coordinator: the target, or why there is none. */
type OwnChoice
	= | {readonly kind: 'target'; readonly target: Target; readonly group: string | undefined}
		| {readonly kind: 'refused'; readonly reason: 'noTarget' | 'overloaded'; readonly detail?: string};

/** Where a call would be placed: by a coordinator among the ranks of its group, or by this entry itself. */
export type GroupChoice = {readonly kind: 'coordinator'; readonly group: string | undefined; readonly coordinator: string} | OwnChoice;

/** What an entry knows of a group: its coordinator, and the load that this has reported last. */
export type KnownGroup = {readonly group: string; readonly coordinator: string | undefined; readonly load: Omit<GroupLoad, 'refused'> | undefined; readonly loadAgeMs: number | undefined};

/** Places generations through the coordinators of the groups. */
export type GroupPlacer = {
	readonly place: Placer;
	onDown(peer: Peer, cause: DownCause): void;
	/** Handles a frame from a sidecar; returns `false` if the frame does not concern placement. */
	onFrame(peer: Peer, frame: Frame): boolean;
	/** The largest number of entries that a coordinator has reported; `undefined` before the first report. */
	entries(): number | undefined;
	/** Returns the name of the group of a target as far as its sidecar has said. */
	groupOf(target: Target): string | undefined;
	/** Returns where a new call would be placed, without asking a coordinator or reserving anything. */
	preview(request: ChoiceRequest): GroupChoice;
	/** Returns what is known of the groups of a service. */
	groups(service: string): readonly KnownGroup[];
	status(): unknown;
};

/**
Creates the placer for engines. The coordinator of a group knows the requests of all
entries, so it decides on each generation. While it can't be reached, this entry admits
generations up to its share of the group's capacity, counting only its own.

@example
const placer = createGroupPlacer(options);
const placed = await placer.place({call, hasBegun: false, tried, signal});
*/
export function createGroupPlacer(options: GroupPlacerOptions): GroupPlacer {
	const {targets, monotonicMs, random, metrics, log} = options;
	const notices = createRankNotices();
	const loads = new Map<string, {readonly load: GroupLoad; readonly atMs: number}>();
	const pendingReplies = new Map<string, (frame: Extract<Frame, {kind: 'placed' | 'turnedAway'}>) => void>();
	const streams = new Map<string, Stream>();
	const refusedRequests = createRefusedRequests(monotonicMs);

	const groupOf = ({address}: Target): string | undefined => {
		const peer = notices.peerBeside(address);
		return peer && notices.of(peer)?.group;
	};

	const createPlacementRequest = ({call, tried, excluded, hasBegun}: PlaceRequest, identity: string | undefined): PeerPlacementRequest => {
		const {route, generation} = call;
		const elapsedMs = monotonicMs() - call.arrivedMs;
		const sinceFirstSentMs = identity === undefined ? undefined : refusedRequests.waitedMs(identity);
		return {
			id: call.requestId,
			...(identity !== undefined && {identity}),
			promptTokens: generation?.promptTokens ?? options.model(call.service)?.usualPromptTokens ?? 0,
			answerTokens: answerTokensOf(call),
			waitedMs: sinceFirstSentMs ?? elapsedMs,
			objectiveMs: route.objectiveMs,
			gapMs: route.gapObjectiveMs ?? route.objectiveMs,
			deadlineMs: call.deadlineMs - elapsedMs,
			priority: call.priority,
			hasReturned: sinceFirstSentMs !== undefined || tried.size > 0,
			isResumed: hasBegun,
			excluded: [...new Set([
				...[...tried, ...excluded].flatMap(id => targets.byId(id)?.address ?? []),
				// The coordinator learns only from the store that a target leaves.
				...targets.departingAddresses(call.service),
			])],
		};
	};

	const answerTokensOf = ({generation, service}: Call): number => {
		const usualAnswerTokens = options.model(service)?.usualAnswerTokens ?? 0;
		if (!generation) {
			return usualAnswerTokens;
		}

		return Math.min(generation.maxAnswerTokens, generation.hintedAnswerTokens ?? Math.max(usualAnswerTokens, generation.maxAnswerTokens * defaultAnswerTokensRatio));
	};

	const createStreamNotice = (id: string, {target, ask: {promptTokens, answerTokens}, hasBegun}: Stream): StreamNotice => ({
		id, target, promptTokens, answerTokens, hasBegun,
	});

	// Looks up the coordinator for each frame, since it may change during a stream. A new coordinator has already been sent the list of running streams.
	const reservePlace = (target: Target, placementRequest: PeerPlacementRequest): Place => {
		const endRequest = target.startRequest();
		const stream: Stream = {
			group: groupOf(target), target: target.address, ask: placementRequest, hasBegun: false,
		};
		const notifyCoordinator = (frame: Frame): void => {
			const coordinator = stream.group === undefined ? undefined : notices.coordinatorOf(stream.group);
			coordinator?.send(frame);
		};

		streams.set(placementRequest.id, stream);
		return {
			target,
			mayStart: () => target.isServing,
			began() {
				stream.hasBegun = true;
				notifyCoordinator({kind: 'began', id: placementRequest.id});
			},
			ended(outcome) {
				endRequest(outcome);
				streams.delete(placementRequest.id);
				notifyCoordinator({kind: 'ended', id: placementRequest.id});
			},
		};
	};

	/**
	Chooses the target of a call without a coordinator, up to this entry's share of the group's capacity.
	Uses a target whose sidecar does not respond only if there is no other target: its
	machine may be frozen, and a request sent to a frozen machine can't be cancelled.
	*/
	const chooseWithoutCoordinator = (service: string, servingTargets: readonly Target[], isResumed: boolean, silentCoordinator?: Peer): OwnChoice => {
		const remaining = servingTargets.filter(({isServing}) => isServing);
		if (remaining.length === 0) {
			return {kind: 'refused', reason: 'noTarget'};
		}

		const isSilent = (address: string): boolean => notices.isSilent(address) || (silentCoordinator !== undefined && notices.of(silentCoordinator)?.target === address);
		const responsive = remaining.filter(({address}) => !isSilent(address));
		const candidates = responsive.length > 0 ? responsive : remaining;
		const model = options.model(service);
		const group = candidates.flatMap(target => groupOf(target) ?? []).at(0);
		const lastLoad = group === undefined ? undefined : loads.get(group);
		const freshLoad = lastLoad && monotonicMs() - lastLoad.atMs < loadMaxAgeMs ? lastLoad.load : undefined;
		const all = targets.all().filter(({record}) => record.service === service);
		const capacity = freshLoad?.room ?? all.length * (model?.slots ?? 1) * defaultCapacityRatio;
		const share = Math.max(1, Math.floor(capacity / Math.max(1, freshLoad?.entries ?? assumedEntryCount)));
		const [{target: leastLoaded}] = candidates.map(target => ({target, load: target.inFlight + (random() / 2)})).toSorted((a, b) => a.load - b.load);
		const ownInFlight = all.reduce((sum, {inFlight}) => sum + inFlight, 0);
		return ownInFlight >= share && !isResumed
			? {kind: 'refused', reason: 'overloaded', detail: `own share ${share}`}
			: {kind: 'target', target: leastLoaded, group};
	};

	const placeWithoutCoordinator = ({service}: Call, servingTargets: readonly Target[], placementRequest: PeerPlacementRequest, silentCoordinator?: Peer): PlaceResult => {
		metrics.count('placed_alone');
		const choice = chooseWithoutCoordinator(service, servingTargets, placementRequest.isResumed, silentCoordinator);
		if (choice.kind === 'refused') {
			return {...choice, retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		const {target, group} = choice;
		const place = reservePlace(target, placementRequest);
		if (group !== undefined) {
			notices.coordinatorOf(group)?.send({kind: 'running', stream: createStreamNotice(placementRequest.id, streams.get(placementRequest.id)!)});
		}

		return {kind: 'placed', place};
	};

	const drawRetryAfterMs = ({objectiveMs}: PeerPlacementRequest): number => refusalRetryDelayMs(objectiveMs, random);

	const askCoordinator = async (coordinator: Peer, placementRequest: PeerPlacementRequest, signal: AbortSignal):
	Promise<Extract<Frame, {kind: 'placed' | 'turnedAway'}> | 'withdrawn' | 'silent'> => new Promise(resolve => {
		const settle = (reply: Extract<Frame, {kind: 'placed' | 'turnedAway'}> | 'withdrawn' | 'silent'): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', withdraw);
			pendingReplies.delete(placementRequest.id);
			resolve(reply);
			if (reply === 'withdrawn' || reply === 'silent') {
				coordinator.send({kind: 'ended', id: placementRequest.id});
			}
		};

		const withdraw = (): void => {
			settle('withdrawn');
		};

		const timer = setTimeout(settle, Math.max(placementRequest.objectiveMs * minReplyTimeoutRatio, maxPlacementWaitMs(placementRequest)) + replyMarginMs, 'silent');
		signal.addEventListener('abort', withdraw, {once: true});
		pendingReplies.set(placementRequest.id, settle);
		coordinator.send({kind: 'place', ask: placementRequest});
	});

	/** Returns the coordinator of the least utilized group among the candidates' groups. */
	const chooseCoordinator = (candidates: readonly Target[]): Peer | undefined => {
		const groups = [...new Set(candidates.flatMap(target => groupOf(target) ?? []))];
		let best: {peer: Peer; utilization: number} | undefined;
		for (const group of groups) {
			const peer = notices.coordinatorOf(group);
			const load = loads.get(group)?.load;
			const utilization = (load ? load.running / Math.max(1, load.room) : 0) + (random() / utilizationJitterDivisor);
			if (peer && (!best || utilization < best.utilization)) {
				best = {peer, utilization};
			}
		}

		return best?.peer;
	};

	const place: Placer = async request => {
		const identity = generationIdentity(request.call);
		const result = await placeOnce(request, identity);
		if (result.kind === 'refused' && identity !== undefined) {
			refusedRequests.add(identity, monotonicMs() - request.call.arrivedMs);
		}

		return result;
	};

	const placeOnce = async (request: PlaceRequest, identity: string | undefined): Promise<PlaceResult> => {
		const {call, tried, excluded, signal} = request;
		const candidates = candidatesOf(targets, {service: call.service, tried, excluded});
		const placementRequest = createPlacementRequest(request, identity);
		if (candidates.length === 0) {
			return {kind: 'refused', reason: 'noTarget', retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		const coordinator = chooseCoordinator(candidates);
		if (!coordinator) {
			return placeWithoutCoordinator(call, candidates, placementRequest);
		}

		const reply = await askCoordinator(coordinator, placementRequest, signal);
		if (reply === 'withdrawn') {
			return {kind: 'refused', reason: 'withdrawn', retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		if (reply === 'silent') {
			metrics.count('coordinator_silent');
			log.warn({requestId: call.requestId, coordinator: coordinator.hello.instance}, 'coordinator did not answer in time; placing the call without it');
			return placeWithoutCoordinator(call, candidates, placementRequest, coordinator);
		}

		if (reply.kind === 'turnedAway') {
			return reply.reason === 'wrongOwner'
				? placeWithoutCoordinator(call, candidates, placementRequest)
				: {kind: 'refused', reason: reply.reason, retryAfterMs: reply.retryAfterMs};
		}

		const target = candidates.find(({address, isServing}) => address === reply.target && isServing);
		if (!target) {
			// The target has left or said so since the coordinator was asked.
			coordinator.send({kind: 'ended', id: call.requestId});
			return placeWithoutCoordinator(call, candidates, placementRequest);
		}

		return {kind: 'placed', place: reservePlace(target, placementRequest)};
	};

	const handleReply = (_peer: Peer, frame: Extract<Frame, {kind: 'placed' | 'turnedAway'}>): void => {
		pendingReplies.get(frame.id)?.(frame);
	};

	const handlers: FrameHandlers = {
		rank(peer, {notice}) {
			const previous = notices.of(peer);
			notices.set(peer, notice);
			if (notice.isCoordinator && (!previous?.isCoordinator || previous.term !== notice.term)) {
				const ownStreams = [...streams].filter(([, {group}]) => group === notice.group);
				peer.send({kind: 'streams', streams: ownStreams.map(([id, stream]) => createStreamNotice(id, stream))});
			}
		},
		placed: handleReply,
		turnedAway: handleReply,
		groupLoad(_peer, {group, load}) {
			loads.set(group, {load, atMs: monotonicMs()});
			for (const [identity, waitedMs] of load.refused ?? []) {
				refusedRequests.add(identity, waitedMs);
			}
		},
	};

	return {
		place,
		onDown: notices.remove,
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame),
		entries: () => loads.size === 0 ? undefined : Math.max(...[...loads.values()].map(({load}) => load.entries)),
		groupOf,
		preview(request) {
			const candidates = candidatesOf(targets, request);
			const coordinator = chooseCoordinator(candidates);
			return coordinator
				? {kind: 'coordinator', group: notices.of(coordinator)?.group, coordinator: coordinator.hello.instance}
				: chooseWithoutCoordinator(request.service, candidates, false);
		},
		groups(service) {
			const names = new Set(targets.all().filter(({record}) => record.service === service).flatMap(target => groupOf(target) ?? []));
			return [...names].map(group => {
				const known = loads.get(group);
				const {refused: _, ...load} = known?.load ?? {refused: undefined};
				return {
					group, coordinator: notices.coordinatorOf(group)?.hello.instance, load: known && load as Omit<GroupLoad, 'refused'>, loadAgeMs: known && Math.round(monotonicMs() - known.atMs),
				};
			});
		},
		status: () => ({streams: streams.size, loads: Object.fromEntries([...loads].map(([group, {load}]) => [group, load]))}),
	};
}

/** Divides the random part of a group's utilization, which spreads the calls over groups of about equal utilization. A larger divisor spreads them less. */
const utilizationJitterDivisor = 20;

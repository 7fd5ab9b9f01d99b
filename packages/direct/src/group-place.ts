import {setImmediate} from 'node:timers/promises';
import {
	createRankNotices, handleFrame, type DownCause, type Frame, type FrameHandlers, type GroupLoad, type Peer, type PeerPlacementRequest, type StreamNotice,
} from '@papayaflow/peer';
import {
	createReturnSchedule, groupCapacity, maxPlacementWaitMs, onTimePassMs, refusalRetryDelayMs,
} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type EngineModel} from '@papayaflow/routing';
import {mayReach, type Call} from './call.js';
import {
	candidatesOf, type ChoiceRequest, type Place, type PlaceResult, type PlaceRequest, type Placer,
} from './place.js';
import {createGroupAvailability} from './group-availability.js';
import {createRefusedRequests, generationIdentity} from './refused-requests.js';
import {type Target, type Targets} from './targets.js';

/** The time added to the longest wait for a coordinator's decision, in milliseconds. It covers a round trip between zones and a delayed event loop. */
const replyMarginMs = 80;

/** The assumed capacity of the groups without a recent load report or engine figures, as a ratio of their slots. */
const defaultCapacityRatio = 0.4;

/** The assumed skew of a group without a recent load report. A group that has just formed has its experts assigned in turn, which seldom fits the demand. */
const assumedSkew = 3;

/** The assumed number of entries that share a group without a recent load report. */
const assumedEntryCount = 4;

/** How long after its arrival a request may be held until a group has formed, in milliseconds. Callers abandon a stream that has no event after two seconds. */
const maxHoldMs = 1500;

/** How long after its start an entry waits for the sidecars to tell the state of their groups, in milliseconds. */
const startMs = 3000;

/** How long requests that arrive when a group has just formed are held until they fit into this entry's share of a group with a coordinator, in milliseconds. */
const coordinatorWaitMs = 350;

/** The shortest retry delay while the state of the groups is not known, in milliseconds. */
const unknownRetryMs = 250;

/** The longest `Retry-After` that callers honour, as a ratio of the time that they have left. */
const maxRetryAfterRatio = 0.32;

/** The time of a pass as a ratio of the longest pause that streams allow, under usual load. */
const usualPassRatio = 0.6;

/** How many turns of the event loop it takes to read a frame that has arrived, and to act on it. */
const readTurns = 3;

/** The shortest time after which a coordinator that does not answer counts as silent, as a multiple of the latency objective. Its decision on a first attempt may be due much sooner, but its machine may be busy. */
const minReplyTimeoutRatio = 1;

/** The assumed length of an answer without a length hint, as a ratio of its maximum length. */
const defaultAnswerTokensRatio = 0.5;

/** The age beyond which the reported load of a group counts as unknown, in milliseconds. */
const loadMaxAgeMs = 2000;

/** A generation that this entry has placed in a group. */
type Stream = {readonly group: string | undefined; readonly target: string; readonly ask: PeerPlacementRequest; hasBegun: boolean};

type PlacementReply = Extract<Frame, {kind: 'placed' | 'turnedAway'}>;

/** A request that this entry has asked a coordinator to place. */
type PendingReply = {readonly coordinator: Peer; readonly group: string | undefined; readonly settle: (reply: PlacementReply | 'silent') => void};

export type GroupPlacerOptions = {
	readonly targets: Targets;
	readonly model: (service: string) => EngineModel | undefined;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	/** Whether requests may be held until a group opens; by default they may. */
	readonly mayHold?: () => boolean;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** A decision without a coordinator: the target, or why there is none. */
type OwnChoice
	= | {readonly kind: 'target'; readonly target: Target; readonly group: string | undefined}
		| {readonly kind: 'refused'; readonly reason: ReturnType<Targets['absenceReason']> | 'overloaded' | 'groupForming'; readonly detail?: string};

/** The parts of a call that decide to which group it goes. */
type GroupCall = Pick<Call, 'service' | 'route' | 'allowedZones'>;

/** Where a call would be placed: by a coordinator among the ranks of its group, or by this entry itself. */
export type GroupChoice
	= | {readonly kind: 'coordinator'; readonly group: string | undefined; readonly coordinator: string}
		/** The call would be held for a group that is closed or has just formed, for at most this long. */
		| {readonly kind: 'held'; readonly groups: readonly string[]; readonly maxMs: number}
		| OwnChoice;

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
	preview(request: ChoiceRequest & GroupCall): GroupChoice;
	/** Whether the group of a target is known to be closed. */
	isClosed(target: Target): boolean;
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
	const pendingReplies = new Map<string, PendingReply>();
	const streams = new Map<string, Stream>();
	/** The held requests that may go on and are about to be asked for, by group. */
	const claims = new Map<string, number>();
	const createdMs = monotonicMs();
	const refusedRequests = createRefusedRequests(monotonicMs);
	const returns = createReturnSchedule({nowMs: monotonicMs, random});
	const availability = createGroupAvailability({
		notices, monotonicMs, metrics, log,
	});

	const groupOf = ({address}: Target): string | undefined => {
		const peer = notices.peerBeside(address);
		return peer && notices.of(peer)?.group;
	};

	const createPlacementRequest = ({call, tried, excluded, hasBegun}: PlaceRequest, identity: string | undefined, heldMs: number): PeerPlacementRequest => {
		const {route, generation} = call;
		const elapsedMs = monotonicMs() - call.arrivedMs;
		const closedZones = targets.closedZones(call);
		const sinceFirstSentMs = identity === undefined ? undefined : refusedRequests.waitedMs(identity);
		return {
			id: call.requestId,
			...(identity !== undefined && {identity}),
			promptTokens: generation?.promptTokens ?? options.model(call.service)?.usualPromptTokens ?? 0,
			answerTokens: answerTokensOf(call),
			waitedMs: sinceFirstSentMs ?? elapsedMs,
			...(heldMs > 0 && {heldMs}),
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
			...(closedZones.length > 0 && {excludedZones: closedZones}),
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
	const reservePlace = (target: Target, call: Call, placementRequest: PeerPlacementRequest, group: string | undefined): Place => {
		const endRequest = target.startRequest();
		const stream: Stream = {
			group, target: target.address, ask: placementRequest, hasBegun: false,
		};
		const notifyCoordinator = (frame: Frame): void => {
			const coordinator = stream.group === undefined ? undefined : notices.coordinatorOf(stream.group);
			coordinator?.send(frame);
		};

		streams.set(placementRequest.id, stream);
		return {
			target,
			mayStart: () => target.isServing && mayReach(call, target.record.zone),
			began() {
				stream.hasBegun = true;
				notifyCoordinator({kind: 'began', id: placementRequest.id});
			},
			ended(outcome) {
				endRequest(outcome);
				streams.delete(placementRequest.id);
				notifyCoordinator({kind: 'ended', id: placementRequest.id});
			},
			refused() {
				if (stream.group === undefined || notices.coordinatorOf(stream.group) === undefined) {
					availability.onRefusal(target.record.service);
				}
			},
		};
	};

	/**
	Chooses the target of a call without a coordinator, up to this entry's share of the group's capacity.
	Uses a target whose sidecar does not respond only if there is no other target: its
	machine may be frozen, and a request sent to a frozen machine can't be cancelled.
	*/
	const chooseWithoutCoordinator = (call: GroupCall, servingTargets: readonly Target[], isResumed: boolean, silentCoordinator?: Peer): OwnChoice => {
		const remaining = servingTargets.filter(({isServing}) => isServing);
		if (remaining.length === 0) {
			return {kind: 'refused', reason: targets.absenceReason(call)};
		}

		const isSilent = (address: string): boolean => notices.isSilent(address) || (silentCoordinator !== undefined && notices.of(silentCoordinator)?.target === address);
		const responsive = remaining.filter(({address}) => !isSilent(address));
		const candidates = responsive.length > 0 ? responsive : remaining;
		const group = candidates.flatMap(target => groupOf(target) ?? []).at(0);
		const lastLoad = group === undefined ? undefined : loads.get(group);
		const freshLoad = lastLoad && monotonicMs() - lastLoad.atMs < loadMaxAgeMs ? lastLoad.load : undefined;
		const all = targets.all().filter(({record}) => record.service === call.service);
		const capacity = freshLoad?.room ?? assumedCapacity(all.length, call);
		const share = Math.max(1, Math.floor(capacity / Math.max(1, freshLoad?.entries ?? assumedEntryCount)));
		const [{target: leastLoaded}] = candidates.map(target => ({target, load: target.inFlight + (random() / 2)})).toSorted((a, b) => a.load - b.load);
		const ownInFlight = all.reduce((sum, {inFlight}) => sum + inFlight, 0);
		return ownInFlight >= share && !isResumed
			? {kind: 'refused', reason: 'overloaded', detail: `own share ${share}`}
			: {kind: 'target', target: leastLoaded, group};
	};

	const placeWithoutCoordinator = (call: Call, servingTargets: readonly Target[], placementRequest: PeerPlacementRequest, silentCoordinator?: Peer): PlaceResult => {
		metrics.count('placed_alone');
		const choice = chooseWithoutCoordinator(call, servingTargets, placementRequest.isResumed, silentCoordinator);
		if (choice.kind === 'refused') {
			return {...choice, retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		const {target, group} = choice;
		const place = reservePlace(target, call, placementRequest, groupOf(target) ?? group);
		if (group !== undefined) {
			notices.coordinatorOf(group)?.send({kind: 'running', stream: createStreamNotice(placementRequest.id, streams.get(placementRequest.id)!)});
		}

		return {kind: 'placed', place};
	};

	/** Returns how many requests of the call's service its ranks are assumed to serve at once, while no coordinator has told. */
	const assumedCapacity = (ranks: number, {service, route}: GroupCall): number => {
		const model = options.model(service);
		if (!model?.experts) {
			return ranks * (model?.slots ?? 1) * defaultCapacityRatio;
		}

		return groupCapacity({...model, expertShare: model.experts.workShare}, {
			ranks: Array.from({length: ranks}, () => true), slots: model.slots, usualAnswerTokens: model.usualAnswerTokens, skew: assumedSkew, maxPassMs: onTimePassMs(route.gapObjectiveMs ?? route.objectiveMs),
		});
	};

	/** Returns when the first of some closed groups is expected to open, in milliseconds from now; without a group, after which time something may be known. */
	const formingMs = ({service}: GroupCall, groups: readonly string[]): number =>
		groups.length === 0 ? unknownRetryMs : availability.remainingMs(groups, options.model(service)?.experts?.formationMs ?? 0);

	const refusalOfForming = (call: GroupCall, groups: readonly string[]): Extract<OwnChoice, {kind: 'refused'}> => ({
		kind: 'refused', reason: 'groupForming',
		detail: groups.length === 0 ? 'the state of the groups is not known' : `${groups.join(', ')} closed, expected to open in ${Math.round(formingMs(call, groups))} ms`,
	});

	/** Refuses a request since all groups that could serve it are closed. The callers are spread over the time that they accept, at this entry's share of what the groups then serve. */
	const refuseForming = (call: Call, {deadlineMs}: PeerPlacementRequest, groups: readonly string[]): PlaceResult => {
		const model = options.model(call.service);
		const ranks = targets.all().filter(({record}) => record.service === call.service).length;
		const streamMs = (model?.usualAnswerTokens ?? 1) / (model?.stepsPerPass ?? 1) * (call.route.gapObjectiveMs ?? call.route.objectiveMs) * usualPassRatio;
		const retryAfterMs = returns.next({
			earliestMs: formingMs(call, groups), latestMs: deadlineMs * maxRetryAfterRatio, perSecond: assumedCapacity(ranks, call) / streamMs * msPerSecond / (entryCount() ?? assumedEntryCount),
		});
		return {...refusalOfForming(call, groups), retryAfterMs};
	};

	const entryCount = (): number | undefined => loads.size === 0 ? undefined : Math.max(...[...loads.values()].map(({load}) => load.entries));

	/** Returns the candidates whose groups are not known to be closed, and the closed groups of the others. */
	const withoutClosed = (candidates: readonly Target[]): {readonly open: readonly Target[]; readonly closedGroups: readonly string[]} => {
		if (availability.isSettled()) {
			return {open: candidates, closedGroups: []};
		}

		const closedGroups = new Set<string>();
		const open = candidates.filter(target => {
			const group = groupOf(target);
			if (group !== undefined && availability.isClosed(group)) {
				closedGroups.add(group);
				return false;
			}

			return true;
		});
		return {open, closedGroups: [...closedGroups]};
	};

	/** Returns the groups of some targets, each once. */
	const groupsOf = (candidates: readonly Target[]): readonly string[] => [...new Set(candidates.flatMap(target => groupOf(target) ?? []))];

	/** Returns the first open group with a known coordinator in which this entry's share is not used up. */
	const groupWithShare = (groups: readonly string[], call: GroupCall): string | undefined => groups.find(group =>
		!availability.isClosed(group) && notices.coordinatorOf(group) !== undefined && outstandingIn(group) + (claims.get(group) ?? 0) < shareOf(group, call));

	const areSettled = (groups: readonly string[]): boolean => groups.every(group => !availability.isClosed(group) && !availability.hasJustFormed(group));

	/** Returns the longest time for which a request may be held for a group, at most `leftMs`, in milliseconds; `undefined` if all groups are closed and none is expected to open by then. */
	const maxHoldOf = (call: GroupCall, candidates: readonly Target[], leftMs: number): number | undefined => {
		const {open, closedGroups} = withoutClosed(candidates);
		if (open.length > 0) {
			return Math.min(leftMs, coordinatorWaitMs);
		}

		return availability.remainingMs(closedGroups, options.model(call.service)?.experts?.formationMs ?? 0) > leftMs ? undefined : leftMs;
	};

	/**
	Holds a request while all groups that could serve it are closed and one is expected to
	open soon. When groups have just formed, requests that were held go on as far as this
	entry's share of the groups whose coordinators are known, so that the first coordinator
	does not get all of them. A refusal would cost callers their retry. Returns how long the
	request was held, in milliseconds, and whether it may go on.
	*/
	const awaitGroup = async (call: Call, candidates: readonly Target[], signal: AbortSignal): Promise<{readonly heldMs: number; readonly mayGoOn: boolean}> => {
		const isUnknown = isStateUnknown(call.service, candidates);
		if (availability.isSettled() && !isUnknown) {
			return {heldMs: 0, mayGoOn: true};
		}

		const startedMs = monotonicMs();
		const leftMs = maxHoldMs - (startedMs - call.arrivedMs);
		const maxMs = isUnknown ? Math.max(0, leftMs) : maxHoldOf(call, candidates, leftMs);
		if (maxMs === undefined) {
			return {heldMs: 0, mayGoOn: false};
		}

		// Sidecars may tell the state of further groups while the request is held.
		const groups = (): readonly string[] => groupsOf(candidates);
		let claimed: string | undefined;
		const claimShare = (): boolean => {
			claimed = groupWithShare(groups(), call);
			if (claimed !== undefined) {
				claims.set(claimed, (claims.get(claimed) ?? 0) + 1);
			}

			return claimed !== undefined;
		};

		let isReleased = false;
		const mayGoOn = (): boolean => {
			isReleased ||= claimShare()
				|| (availability.hasRefused(call.service) && withoutClosed(candidates).open.length > 0 && availability.tryProbe(call.service))
				|| (!isStateUnknown(call.service, candidates) && areSettled(groups()));
			return isReleased;
		};

		if (!mayGoOn()) {
			metrics.count('held_for_group');
			await availability.until(mayGoOn, maxMs, signal);
		}

		// The request is asked for now, so it counts as outstanding.
		if (claimed !== undefined) {
			claims.set(claimed, claims.get(claimed)! - 1);
		}

		return {heldMs: monotonicMs() - startedMs, mayGoOn: isReleased};
	};

	/**
	Whether nothing tells if the groups of a service take requests: this entry has just
	started and no sidecar has told the state of a group, or a rank has refused a request
	lately and no coordinator is known.
	*/
	const isStateUnknown = (service: string, candidates: readonly Target[]): boolean => {
		const isStarting = monotonicMs() - createdMs < startMs && options.model(service)?.experts !== undefined;
		if (!isStarting && !availability.hasRefused(service)) {
			return false;
		}

		const groups = candidates.flatMap(target => groupOf(target) ?? []);
		return (isStarting && groups.length === 0) || (availability.hasRefused(service) && groups.every(group => notices.coordinatorOf(group) === undefined));
	};

	/** Returns how many requests this entry has running in a group or has asked its coordinator to place. */
	const outstandingIn = (group: string): number => {
		const coordinator = notices.coordinatorOf(group);
		const asked = [...pendingReplies.values()].filter(pending => pending.coordinator === coordinator).length;
		return asked + [...streams.values()].filter(stream => stream.group === group).length;
	};

	/** Returns this entry's share of what a group serves: of its reported room, or of what it serves with a badly fitting map. */
	const shareOf = (group: string, call: GroupCall): number => {
		const load = loads.get(group)?.load;
		const ranks = notices.ofGroup(group).length;
		return Math.max(1, (load?.room ?? assumedCapacity(ranks, call)) / (load?.entries ?? entryCount() ?? assumedEntryCount));
	};

	const drawRetryAfterMs = ({objectiveMs}: PeerPlacementRequest): number => refusalRetryDelayMs(objectiveMs, random);

	/** Tells a coordinator that a request neither runs nor waits, over the connection on which it was asked and the one that is used now. */
	const endAt = (coordinator: Peer, group: string | undefined, id: string): void => {
		const current = group === undefined ? undefined : notices.coordinatorOf(group);
		for (const peer of new Set([coordinator, current ?? coordinator])) {
			peer.send({kind: 'ended', id});
		}
	};

	const askCoordinator = async (coordinator: Peer, group: string | undefined, placementRequest: PeerPlacementRequest, signal: AbortSignal):
	Promise<PlacementReply | 'withdrawn' | 'silent'> => new Promise(resolve => {
		const settle = (reply: PlacementReply | 'withdrawn' | 'silent'): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', withdraw);
			pendingReplies.delete(placementRequest.id);
			resolve(reply);
			if (reply === 'withdrawn' || reply === 'silent') {
				endAt(coordinator, group, placementRequest.id);
			}
		};

		const withdraw = (): void => {
			settle('withdrawn');
		};

		// The reply may have arrived in time and not been read, if the event loop was blocked meanwhile.
		const giveUp = async (): Promise<void> => {
			for (let turn = 0; turn < readTurns; turn++) {
				await setImmediate();
			}

			if (pendingReplies.get(placementRequest.id)?.settle === settle) {
				settle('silent');
			}
		};

		const timer = setTimeout(() => {
			void giveUp();
		}, Math.max(placementRequest.objectiveMs * minReplyTimeoutRatio, maxPlacementWaitMs(placementRequest)) + replyMarginMs);
		signal.addEventListener('abort', withdraw, {once: true});
		pendingReplies.set(placementRequest.id, {coordinator, group, settle});
		coordinator.send({kind: 'place', ask: placementRequest});
	});

	/** Returns the coordinator of the least utilized group among the candidates' groups. */
	const chooseCoordinator = (call: GroupCall, candidates: readonly Target[]): Peer | undefined => {
		const groups = groupsOf(candidates);
		let best: {peer: Peer; utilization: number} | undefined;
		for (const group of groups) {
			const peer = notices.coordinatorOf(group);
			const load = loads.get(group)?.load;
			const reported = load ? load.running / Math.max(1, load.room) : 0;
			const utilization = (availability.isSettled() ? reported : Math.max(reported, outstandingIn(group) / shareOf(group, call))) + (random() / utilizationJitterDivisor);
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
		const usable = candidatesOf(targets, {
			service: call.service, allowedZones: call.allowedZones, tried, excluded,
		});
		// Calls that may have crashed a target are not held: several of the same request would go on at once, and run before the crashes of the first are known.
		const {heldMs, mayGoOn} = (tried.size > 0 && !request.hasBegun) || !(options.mayHold?.() ?? true) ? {heldMs: 0, mayGoOn: false} : await awaitGroup(call, usable, signal);
		const placementRequest = createPlacementRequest(request, identity, heldMs);
		const {open: candidates, closedGroups} = withoutClosed(usable.filter(({isServing}) => isServing));
		if (signal.aborted) {
			return {kind: 'refused', reason: 'withdrawn', retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		if (candidates.length === 0 && closedGroups.length > 0) {
			return refuseForming(call, placementRequest, closedGroups);
		}

		if (candidates.length === 0) {
			return {kind: 'refused', reason: targets.absenceReason(call), retryAfterMs: drawRetryAfterMs(placementRequest)};
		}

		const coordinator = chooseCoordinator(call, candidates);
		if (!coordinator && !mayGoOn && isStateUnknown(call.service, candidates)) {
			return refuseForming(call, placementRequest, []);
		}

		if (!coordinator) {
			return placeWithoutCoordinator(call, candidates, placementRequest);
		}

		const group = notices.of(coordinator)?.group;
		const reply = await askCoordinator(coordinator, group, placementRequest, signal);
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
			endAt(coordinator, group, call.requestId);
			return placeWithoutCoordinator(call, candidates, placementRequest);
		}

		return {kind: 'placed', place: reservePlace(target, call, placementRequest, group)};
	};

	const handleReply = (peer: Peer, frame: PlacementReply): void => {
		const pending = pendingReplies.get(frame.id);
		if (pending) {
			pending.settle(frame);
			return;
		}

		// The coordinator counts a request that this entry has given up or runs elsewhere.
		if (frame.kind === 'placed') {
			const stream = streams.get(frame.id);
			peer.send(stream && stream.group === notices.of(peer)?.group ? {kind: 'running', stream: createStreamNotice(frame.id, stream)} : {kind: 'ended', id: frame.id});
		}
	};

	const handlers: FrameHandlers = {
		rank(peer, {notice}) {
			const previous = notices.of(peer);
			notices.set(peer, notice);
			availability.update(notice.group);
			if (notice.isCoordinator && (!previous?.isCoordinator || previous.term !== notice.term || previous.listing !== notice.listing)) {
				const ownStreams = [...streams].filter(([, {group}]) => group === notice.group);
				const pending = [...pendingReplies].filter(([, {group}]) => group === notice.group).map(([id]) => id);
				peer.send({kind: 'streams', streams: ownStreams.map(([id, stream]) => createStreamNotice(id, stream)), pending});
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
		onDown(peer, cause) {
			const notice = notices.of(peer);
			notices.remove(peer, cause);
			if (notice) {
				availability.update(notice.group);
			}

			for (const {coordinator, settle} of pendingReplies.values()) {
				if (coordinator === peer) {
					settle('silent');
				}
			}
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame),
		entries: entryCount,
		groupOf,
		preview(request) {
			const usable = candidatesOf(targets, request);
			const groups = groupsOf(usable);
			const isUnknown = isStateUnknown(request.service, usable);
			const mayGoOn = !isUnknown && (availability.isSettled() || groupWithShare(groups, request) !== undefined || areSettled(groups));
			const heldMs = isUnknown ? maxHoldMs : maxHoldOf(request, usable, maxHoldMs);
			const maxMs = mayGoOn ? undefined : heldMs;
			if (maxMs !== undefined) {
				return {kind: 'held', groups, maxMs};
			}

			const {open, closedGroups} = withoutClosed(usable);
			if (open.length === 0 && closedGroups.length > 0) {
				return refusalOfForming(request, closedGroups);
			}

			const coordinator = chooseCoordinator(request, open);
			return coordinator
				? {kind: 'coordinator', group: notices.of(coordinator)?.group, coordinator: coordinator.hello.instance}
				: chooseWithoutCoordinator(request, open, false);
		},
		isClosed(target) {
			const group = groupOf(target);
			return group !== undefined && availability.isClosed(group);
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
		status: () => ({availability: availability.status(), streams: streams.size, loads: Object.fromEntries([...loads].map(([group, {load}]) => [group, load]))}),
	};
}

/** Divides the random part of a group's utilization, which spreads the calls over groups of about equal utilization. A larger divisor spreads them less. */
const utilizationJitterDivisor = 20;

const msPerSecond = 1000;

import {
	handleFrame, type Frame, type FrameHandlers, type GroupLoad, type Peer, type PlaceAsk, type RankNotice, type StreamNotice,
} from '@papayaflow/peer';
import {returnAfterMs} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {addressOf, type EngineModel} from '@papayaflow/routing';
import {type Call} from './call.js';
import {
	type Place, type Placed, type PlaceNeed, type Placer,
} from './place.js';
import {type Target, type Targets} from './targets.js';

/** How long a coordinator may take beyond the wait that it was asked for, in milliseconds: a round trip between zones and a busy turn. */
const replyMarginMs = 80;

/** What a group that says nothing of its load is taken to run at once, as a part of its slots. */
const unknownRoomShare = 0.4;

/** Entries that are taken to share a group whose coordinator can't be asked and never told. */
const unknownEntries = 4;

/** The longest wait for a place that is asked for, as a multiple of the objective. */
const longestWait = 1;

/** What answers are taken to be of what they may be, where the caller gives no hint. */
const usualAnswerShare = 0.5;

/** How old a group's word of its load may be, in milliseconds, before it counts as unknown. */
const loadMaxAgeMs = 2000;

/** A generation of this entry that runs in a group. */
type Stream = {readonly group: string | undefined; readonly target: string; readonly ask: PlaceAsk; hasBegun: boolean};

export type GroupPlacerOptions = {
	readonly targets: Targets;
	readonly model: (service: string) => EngineModel | undefined;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** Places generations by asking the coordinators of their groups. */
export type GroupPlacer = {
	readonly place: Placer;
	onDown(peer: Peer): void;
	/** Takes a frame of a sidecar; `false` when it is not for placing. */
	onFrame(peer: Peer, frame: Frame): boolean;
	/** The entries that share the groups, as their coordinators count them; `undefined` before one has told. */
	entries(): number | undefined;
	status(): unknown;
};

/**
Makes the placer for engines. The coordinator of a group knows all that runs there,
whichever entry it came by, so it is asked for each generation; where it can't be
asked, this entry lets its share of the group's room run by its own count.

@example
const placer = createGroupPlacer(options);
const placed = await placer.place({call, tried, signal});
*/
export function createGroupPlacer(options: GroupPlacerOptions): GroupPlacer {
	const {targets, monotonicMs, random, metrics, log} = options;
	const notices = new Map<Peer, RankNotice>();
	const loads = new Map<string, {readonly load: GroupLoad; readonly atMs: number}>();
	const waiting = new Map<string, (frame: Extract<Frame, {kind: 'placed' | 'turnedAway'}>) => void>();
	const streams = new Map<string, Stream>();
	/** The longest that callers of a route say they wait, from which it is seen how long ago a caller began. */
	const patience = new Map<string, number>();

	const coordinatorOf = (group: string): Peer | undefined => {
		let best: {peer: Peer; rank: number} | undefined;
		for (const [peer, notice] of notices) {
			if (notice.group === group && notice.isCoordinator && (!best || notice.rank < best.rank)) {
				best = {peer, rank: notice.rank};
			}
		}

		return best?.peer;
	};

	const groupOf = (target: Target): string | undefined => {
		const address = addressOf(target.record);
		return [...notices.values()].find(notice => notice.target === address)?.group;
	};

	const askOf = ({call, tried, hasBegun}: PlaceNeed): PlaceAsk => {
		const {route, generation} = call;
		const longest = Math.max(patience.get(route.name) ?? 0, call.deadlineMs);
		patience.set(route.name, longest);
		const elapsedMs = monotonicMs() - call.arrivedMs;
		const waitedMs = longest - call.deadlineMs;
		return {
			id: call.requestId,
			promptTokens: generation?.promptTokens ?? options.model(call.service)?.usualPromptTokens ?? 0,
			answerTokens: answerTokensOf(call),
			waitedMs: waitedMs + elapsedMs,
			objectiveMs: route.objectiveMs,
			gapMs: route.gapObjectiveMs ?? route.objectiveMs,
			deadlineMs: call.deadlineMs - elapsedMs,
			priority: call.priority,
			hasReturned: waitedMs > 0 || tried.size > 0,
			isResumed: hasBegun,
			excluded: [...tried].flatMap(id => {
				const target = targets.byId(id);
				return target ? [addressOf(target.record)] : [];
			}),
		};
	};

	const answerTokensOf = ({generation, service}: Call): number => {
		const usual = options.model(service)?.usualAnswerTokens ?? 0;
		if (!generation) {
			return usual;
		}

		return Math.min(generation.maxAnswerTokens, generation.hintedAnswerTokens ?? Math.max(usual, generation.maxAnswerTokens * usualAnswerShare));
	};

	const noticeOf = (id: string, {target, ask: {promptTokens, answerTokens}, hasBegun}: Stream): StreamNotice => ({
		id, target, promptTokens, answerTokens, hasBegun,
	});

	// Whoever coordinates the group when something happens hears of it; a new one has been told of all streams.
	const placeAt = (target: Target, ask: PlaceAsk): Place => {
		const end = target.begin();
		const stream: Stream = {
			group: groupOf(target), target: addressOf(target.record), ask, hasBegun: false,
		};
		const tell = (frame: Frame): void => {
			const coordinator = stream.group === undefined ? undefined : coordinatorOf(stream.group);
			coordinator?.send(frame);
		};

		streams.set(ask.id, stream);
		return {
			target,
			began() {
				stream.hasBegun = true;
				tell({kind: 'began', id: ask.id});
			},
			ended(how) {
				end(how);
				streams.delete(ask.id);
				tell({kind: 'ended', id: ask.id});
			},
		};
	};

	/** Lets this entry's share of a group's room run by its own count. */
	const placeAlone = (call: Call, candidates: readonly Target[], ask: PlaceAsk): Placed => {
		metrics.count('placed_alone');
		const model = options.model(call.service);
		const group = groupOf(candidates[0]);
		const known = group === undefined ? undefined : loads.get(group);
		const fresh = known && monotonicMs() - known.atMs < loadMaxAgeMs ? known.load : undefined;
		const all = targets.all().filter(({record}) => record.service === call.service);
		const room = fresh?.room ?? all.length * (model?.slots ?? 1) * unknownRoomShare;
		const share = Math.max(1, Math.floor(room / Math.max(1, fresh?.entries ?? unknownEntries)));
		const [{target: least}] = candidates.map(target => ({target, load: target.inFlight + (random() / 2)})).toSorted((a, b) => a.load - b.load);
		const own = all.reduce((sum, {inFlight}) => sum + inFlight, 0);
		if (own >= share && !ask.isResumed) {
			return {
				kind: 'refused', reason: 'overloaded', retryAfterMs: retryAfter(ask), detail: `own share ${share}`,
			};
		}

		const place = placeAt(least, ask);
		if (group !== undefined) {
			coordinatorOf(group)?.send({kind: 'running', stream: noticeOf(ask.id, streams.get(ask.id)!)});
		}

		return {kind: 'placed', place};
	};

	const retryAfter = ({objectiveMs}: PlaceAsk): number => returnAfterMs(objectiveMs, random);

	const ask = async (coordinator: Peer, question: PlaceAsk, signal: AbortSignal): Promise<Extract<Frame, {kind: 'placed' | 'turnedAway'}> | 'withdrawn' | 'silent'> => new Promise(resolve => {
		const end = (answer: Extract<Frame, {kind: 'placed' | 'turnedAway'}> | 'withdrawn' | 'silent'): void => {
			clearTimeout(timer);
			signal.removeEventListener('abort', withdraw);
			waiting.delete(question.id);
			resolve(answer);
			if (answer === 'withdrawn' || answer === 'silent') {
				coordinator.send({kind: 'ended', id: question.id});
			}
		};

		const withdraw = (): void => {
			end('withdrawn');
		};

		const timer = setTimeout(end, (question.objectiveMs * longestWait) + replyMarginMs, 'silent');
		signal.addEventListener('abort', withdraw, {once: true});
		waiting.set(question.id, end);
		coordinator.send({kind: 'place', ask: question});
	});

	/** The group with the most room among those that serve the service and have a coordinator. */
	const chooseCoordinator = (candidates: readonly Target[]): Peer | undefined => {
		const groups = [...new Set(candidates.flatMap(target => groupOf(target) ?? []))];
		let best: {peer: Peer; fill: number} | undefined;
		for (const group of groups) {
			const peer = coordinatorOf(group);
			const load = loads.get(group)?.load;
			const fill = (load ? load.running / Math.max(1, load.room) : 0) + (random() / fillSpread);
			if (peer && (!best || fill < best.fill)) {
				best = {peer, fill};
			}
		}

		return best?.peer;
	};

	const place: Placer = async need => {
		const {call, tried, signal} = need;
		const serving = targets.of(call.service);
		const fresh = serving.filter(({record}) => !tried.has(record.id));
		const candidates = fresh.length > 0 ? fresh : serving;
		const question = askOf(need);
		if (candidates.length === 0) {
			return {kind: 'refused', reason: 'noTarget', retryAfterMs: retryAfter(question)};
		}

		const coordinator = chooseCoordinator(candidates);
		if (!coordinator) {
			return placeAlone(call, candidates, question);
		}

		const answer = await ask(coordinator, question, signal);
		if (answer === 'withdrawn') {
			return {kind: 'refused', reason: 'withdrawn', retryAfterMs: retryAfter(question)};
		}

		if (answer === 'silent') {
			metrics.count('coordinator_silent');
			log.warn({requestId: call.requestId, coordinator: coordinator.hello.instance}, 'coordinator did not answer');
			return placeAlone(call, candidates, question);
		}

		if (answer.kind === 'turnedAway') {
			return answer.reason === 'wrongOwner'
				? placeAlone(call, candidates, question)
				: {kind: 'refused', reason: answer.reason, retryAfterMs: answer.retryAfterMs};
		}

		const target = candidates.find(candidate => addressOf(candidate.record) === answer.target);
		if (!target) {
			// The coordinator does not know yet that this target has gone or leaves.
			coordinator.send({kind: 'ended', id: call.requestId});
			return placeAlone(call, candidates, question);
		}

		return {kind: 'placed', place: placeAt(target, question)};
	};

	const answer = (_peer: Peer, frame: Extract<Frame, {kind: 'placed' | 'turnedAway'}>): void => {
		waiting.get(frame.id)?.(frame);
	};

	const handlers: FrameHandlers = {
		rank(peer, {notice}) {
			const before = notices.get(peer);
			notices.set(peer, notice);
			if (notice.isCoordinator && (!before?.isCoordinator || before.term !== notice.term)) {
				const own = [...streams].filter(([, {group}]) => group === notice.group);
				peer.send({kind: 'streams', streams: own.map(([id, stream]) => noticeOf(id, stream))});
			}
		},
		placed: answer,
		turnedAway: answer,
		groupLoad(_peer, {group, load}) {
			loads.set(group, {load, atMs: monotonicMs()});
		},
	};

	return {
		place,
		onDown(peer) {
			notices.delete(peer);
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame),
		entries: () => loads.size === 0 ? undefined : Math.max(...[...loads.values()].map(({load}) => load.entries)),
		status: () => ({streams: streams.size, loads: Object.fromEntries([...loads].map(([group, {load}]) => [group, load]))}),
	};
}

/** How much chance decides between groups that are filled alike. */
const fillSpread = 20;

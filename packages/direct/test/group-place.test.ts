import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {type Frame, type Peer, type RankNotice} from '@papayaflow/peer';
import {maxPlacementWaitMs} from '@papayaflow/policy';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {
	createGroupPlacer, createTargets, type Call, type GroupPlacer, type Target,
} from '@papayaflow/direct';

const ranks = [0, 1, 2];

const addressOf = (rank: number): string => `10.0.0.${rank}:80`;

const peerOf = (rank: number): Peer => ({
	host: `10.0.0.${rank}`, close: () => undefined, send: () => undefined,
	hello: {
		kind: 'hello', version: 1, role: 'sidecar', instance: `side-${rank}`, incarnation: 'x', zone: 'z', sentMs: 0,
	},
});

const callOf = (requestId: string): Call => ({
	requestId, service: 's', organisation: undefined, priority: 1, version: 1, method: 'POST', path: '/', rawHeaders: [], body: new Uint8Array(0), generation: undefined, sharedParts: [], subject: () => 'request:r',
	deadlineMs: 1000, arrivedMs: performance.now(),
	route: {
		name: 'r', host: 'h', pathPrefix: '/', weightedServices: [], kind: 'stream', maxAttempts: 2, timeoutMs: 1000, objectiveMs: 20, gapObjectiveMs: 20, priority: 1,
		isPublic: true, isResumable: true,
	},
});

// The coordinator never replies, so that the entry places each call by itself after the latency objective and a margin.
describe('a group placer without a reply of the coordinator', () => {
	let placer: GroupPlacer;
	const peers = ranks.map(rank => peerOf(rank));

	beforeEach(() => {
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => performance.now(), isKnownService: () => true, onChange: () => undefined,
		});
		targets.update(ranks.map(rank => ({
			id: `i-${rank}`, incarnation: 0, registeredAt: 1, service: 's', host: `10.0.0.${rank}`, port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
		})));
		placer = createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => performance.now(), random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
		for (const rank of ranks) {
			connect(rank, rank === 0);
		}

		placer.onFrame(peers[0], {
			kind: 'groupLoad', group: 'g', load: {
				running: 0, room: 100, entries: 1, passMs: 10,
			},
		});
	});

	const connect = (rank: number, isCoordinator: boolean): void => {
		placer.onFrame(peers[rank], {
			kind: 'rank', notice: {
				group: 'g', formation: 1, rank, size: ranks.length, isOpen: true, target: addressOf(rank), isCoordinator, term: 1,
			},
		});
	};

	const placeCalls = async (count: number): Promise<ReadonlySet<string>> => {
		const results = await Promise.all(Array.from({length: count}, async (_, index) => placer.place({
			call: callOf(`r-${index}`), hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
		})));
		return new Set(results.map(result => result.kind === 'placed' ? result.place.target.record.id : result.reason));
	};

	it('places no call on the target beside the silent coordinator', async () => {
		expect(await placeCalls(6)).to.deep.equal(new Set(['i-1', 'i-2']));
	});

	it('places no call on a target whose sidecar fell silent, until that sidecar is connected again', async () => {
		placer.onDown(peers[0], 'silent');
		expect(await placeCalls(6)).to.deep.equal(new Set(['i-1', 'i-2']));
		connect(0, false);
		expect(await placeCalls(6)).to.deep.equal(new Set(['i-0', 'i-1', 'i-2']));
	});

	it('places calls on a target whose sidecar has connected again when its older connection falls silent', async () => {
		placer.onFrame(peerOf(0), {
			kind: 'rank', notice: {
				group: 'g', formation: 1, rank: 0, size: ranks.length, isOpen: true, target: addressOf(0), isCoordinator: false, term: 1,
			},
		});
		placer.onDown(peers[0], 'silent');
		expect(await placeCalls(6)).to.deep.equal(new Set(['i-0', 'i-1', 'i-2']));
	});

	it('places calls on targets whose sidecars closed their connections', async () => {
		placer.onDown(peers[0], 'closed');
		expect(await placeCalls(6)).to.deep.equal(new Set(['i-0', 'i-1', 'i-2']));
	});

	it('places calls on a silent target if all targets are silent', async () => {
		for (const peer of peers) {
			placer.onDown(peer, 'silent');
		}

		const [placedAt] = await placeCalls(1);
		expect(placedAt).to.be.oneOf(['i-0', 'i-1', 'i-2']);
	});
});

// Load pattern: all ranks of all groups refuse requests for a second or more, while they form anew after a loss of power.
describe('a group placer whose groups are closed', () => {
	const peers = ranks.map(rank => peerOf(rank));
	const formingCall = (requestId: string, deadlineMs: number): Call => ({...callOf(requestId), deadlineMs});
	const noticeOf = (rank: number, formation: number, isOpen: boolean, isCoordinator = false): RankNotice => ({
		group: 'g', formation, rank, size: ranks.length, isOpen, target: addressOf(rank), isCoordinator, term: 1,
	});

	const createPlacer = (): GroupPlacer => {
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => performance.now(), isKnownService: () => true, onChange: () => undefined,
		});
		targets.update(ranks.map(rank => ({
			id: `i-${rank}`, incarnation: 0, registeredAt: 1, service: 's', host: `10.0.0.${rank}`, port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
		})));
		return createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => performance.now(), random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
	};

	const close = (placer: GroupPlacer): void => {
		for (const rank of ranks) {
			placer.onFrame(peers[rank], {kind: 'rank', notice: noticeOf(rank, 1, false)});
		}
	};

	const place = async (placer: GroupPlacer, call: Call): ReturnType<GroupPlacer['place']> => placer.place({
		call, hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
	});

	// Guards against attempts at rank after rank, which all refuse, until the resend budget is spent and callers are refused a second time.
	it('places a held request when the group has formed and its coordinator is known', async () => {
		const placer = createPlacer();
		close(placer);
		const placed = place(placer, formingCall('r-1', 8000));
		await sleep(50);
		placer.onFrame(peers[1], {kind: 'rank', notice: noticeOf(1, 2, true)});
		await sleep(20);
		expect(await Promise.race([placed, sleep(1, 'held')])).to.equal('held');
		const sent: Frame[] = [];
		const coordinator: Peer = {
			...peers[0], send(frame) {
				sent.push(frame);
				if (frame.kind === 'place') {
					placer.onFrame(coordinator, {kind: 'placed', id: frame.ask.id, target: addressOf(2)});
				}
			},
		};
		placer.onFrame(coordinator, {kind: 'rank', notice: noticeOf(0, 2, true, true)});
		const result = await placed;
		expect(result.kind === 'placed' && result.place.target.record.id).to.equal('i-2');
	});

	// Guards against a preview that differs from what a call gets, or that takes a share from held calls.
	it('previews that a call would be held for a closed group, refused once that is expected to last too long, or placed', async () => {
		const placer = createPlacer();
		close(placer);
		const preview = (): ReturnType<GroupPlacer['preview']> => placer.preview({...callOf('r'), tried: new Set(), excluded: new Set()});
		expect(preview()).to.deep.equal({kind: 'held', groups: ['g'], maxMs: 1500});
		expect(placer.isClosed({address: addressOf(0)} as Target)).to.equal(true);
		placer.onFrame(peers[0], {kind: 'rank', notice: noticeOf(0, 2, true, true)});
		const load = {
			running: 0, room: 1, entries: 1, passMs: 10,
		};
		placer.onFrame(peers[0], {kind: 'groupLoad', group: 'g', load});
		expect([preview(), preview()]).to.deep.equal(Array.from({length: 2}, () => ({kind: 'coordinator', group: 'g', coordinator: 'side-0'})));
		expect(placer.isClosed({address: addressOf(0)} as Target)).to.equal(false);
		placer.onFrame(peers[0], {kind: 'rank', notice: noticeOf(0, 2, false)});
		await sleep(3200);
		expect(preview()).to.include({kind: 'refused', reason: 'groupForming'});
		expect(await place(placer, callOf('r'))).to.include({kind: 'refused', reason: 'groupForming'});
	});

	// Load pattern: hundreds of requests that were held go on in the moment in which the first of several groups has a coordinator again.
	it('sends no more than its share of held requests to the first coordinator', async () => {
		const placer = createPlacer();
		close(placer);
		const controller = new AbortController();
		const held = Array.from({length: 40}, async (_, index) => placer.place({
			call: formingCall(`r-${index}`, 8000), hasBegun: false, tried: new Set(), excluded: new Set(), signal: controller.signal,
		}));
		await sleep(20);
		let asked = 0;
		const coordinator: Peer = {
			...peers[0], send(frame) {
				asked += frame.kind === 'place' ? 1 : 0;
			},
		};
		placer.onFrame(coordinator, {kind: 'rank', notice: noticeOf(0, 2, true, true)});
		await sleep(100);
		expect(asked).to.be.within(1, 4);
		controller.abort();
		await Promise.all(held);
	});

	it('refuses a request once it has been held for so long that its caller would leave, with a delay that its caller accepts', async () => {
		const placer = createPlacer();
		close(placer);
		const result = await place(placer, {...formingCall('r-1', 8000), arrivedMs: performance.now() - 1250});
		expect(result).to.include({kind: 'refused', reason: 'groupForming'});
		expect(result.kind === 'refused' && result.retryAfterMs).to.be.within(1, 2560);
	}).timeout(4000);

	it('sends one request each quarter of a second after a rank of an unknown group has refused one', async () => {
		const placer = createPlacer();
		const first = await place(placer, callOf('r-1'));
		if (first.kind !== 'placed') {
			throw new Error('the first call was refused');
		}

		first.place.refused?.();
		first.place.ended('rejected');
		let placed = 0;
		const later = ['r-2', 'r-3', 'r-4'].map(async id => {
			const result = await place(placer, formingCall(id, 8000));
			placed += result.kind === 'placed' ? 1 : 0;
		});
		await sleep(100);
		expect(placed).to.equal(0);
		await sleep(250);
		expect(placed).to.equal(1);
		await Promise.all(later);
	});
});

describe('a group placer with many sidecars', () => {
	const sidecarCount = 240;
	const ranksPerGroup = 24;
	const hostOf = (index: number): string => `10.0.0.${index}`;

	// Guards against a search through all sidecars for each target, which took 10 ms for each call with 790 sidecars.
	it('reads the notice of each sidecar at most a few times for a call', async () => {
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => performance.now(), isKnownService: () => true, onChange: () => undefined,
		});
		targets.update(Array.from({length: sidecarCount}, (_, index) => ({
			id: `i-${index}`, incarnation: 0, registeredAt: 1, service: 's', host: hostOf(index), port: 80, zone: 'z', slots: 8, state: 'serving' as const, warmingMs: 0,
		})));
		const placer = createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => performance.now(), random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
		let reads = 0;
		const countReads = (notice: RankNotice): RankNotice => new Proxy(notice, {
			get(target, name) {
				reads++;
				return Reflect.get(target, name) as unknown;
			},
		});
		for (let index = 0; index < sidecarCount; index++) {
			const peer: Peer = {
				...peerOf(index),
				send(frame) {
					if (frame.kind === 'place') {
						queueMicrotask(() => placer.onFrame(peer, {kind: 'placed', id: frame.ask.id, target: `${hostOf(index)}:80`}));
					}
				},
			};
			placer.onFrame(peer, {
				kind: 'rank', notice: countReads({
					group: `g${Math.floor(index / ranksPerGroup)}`, formation: 1, rank: index % ranksPerGroup, size: ranksPerGroup, isOpen: true, target: `${hostOf(index)}:80`,
					isCoordinator: index % ranksPerGroup === 0, term: 1,
				}),
			});
		}

		const place = async (id: string): Promise<void> => {
			const result = await placer.place({
				call: callOf(id), hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
			});
			expect(result.kind).to.equal('placed');
			if (result.kind === 'placed') {
				result.place.began();
				result.place.ended('served');
			}
		};

		await place('first');
		reads = 0;
		await place('second');
		expect(reads).to.be.at.most(3 * sidecarCount);
	});
});

describe('a group placer whose callers return after a refusal', () => {
	let nowMs: number;
	let asks: Array<Extract<Frame, {kind: 'place'}>['ask']>;
	let answer: (id: string) => Frame | undefined;
	let placer: GroupPlacer;
	const coordinator: Peer = {
		...peerOf(0),
		send(frame) {
			if (frame.kind === 'place') {
				asks.push(frame.ask);
				const reply = answer(frame.ask.id);
				queueMicrotask(() => reply && placer.onFrame(coordinator, reply));
			}
		},
	};
	const refuse = (id: string): Frame => ({
		kind: 'turnedAway', id, reason: 'overloaded', retryAfterMs: 150,
	});
	const accept = (id: string): Frame => ({kind: 'placed', id, target: addressOf(0)});

	beforeEach(() => {
		nowMs = 1000;
		asks = [];
		answer = accept;
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => nowMs, isKnownService: () => true, onChange: () => undefined,
		});
		targets.update([{
			id: 'i-0', incarnation: 0, registeredAt: 1, service: 's', host: '10.0.0.0', port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
		}]);
		placer = createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => nowMs, random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
		placer.onFrame(coordinator, {
			kind: 'rank', notice: {
				group: 'g', formation: 1, rank: 0, size: 1, isOpen: true, target: addressOf(0), isCoordinator: true, term: 1,
			},
		});
	});

	const place = async (requestId: string, {part = 'p', deadlineMs = 8000}: {readonly part?: string; readonly deadlineMs?: number} = {}): Promise<string> => {
		const result = await placer.place({
			call: {
				...callOf(requestId), arrivedMs: nowMs, deadlineMs, generation: {
					promptTokens: 700, maxAnswerTokens: 90, hintedAnswerTokens: undefined, parts: [{id: 'shared', tokens: 40}, {id: part, tokens: 660}],
				},
			},
			hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
		});
		return result.kind;
	};

	// Guards against queues of late streams: callers set deadlines of different lengths, and the difference was taken for time that they had waited.
	it('takes a call with a shorter deadline than others for a first attempt', async () => {
		await place('a', {part: 'a', deadlineMs: 8000});
		await place('b', {part: 'b', deadlineMs: 6900});
		expect(asks.map(({hasReturned, waitedMs}) => ({hasReturned, waitedMs}))).to.deep.equal([{hasReturned: false, waitedMs: 0}, {hasReturned: false, waitedMs: 0}]);
	});

	it('recognises a call that it refused by its prompt, and how long its caller has waited', async () => {
		answer = refuse;
		expect(await place('first')).to.equal('refused');
		nowMs += 180;
		await place('again', {deadlineMs: 7820});
		expect(asks[1]).to.include({hasReturned: true, waitedMs: 180});
	});

	it('recognises a call that the coordinator refused to another entry', async () => {
		await place('first');
		placer.onFrame(coordinator, {
			kind: 'groupLoad', group: 'g', load: {
				running: 0, room: 100, entries: 2, passMs: 10, refused: [[asks[0].identity!, 90]],
			},
		});
		nowMs += 110;
		await place('again');
		expect(asks[1]).to.include({hasReturned: true, waitedMs: 200});
	});

	it('forgets a refused call once its caller can no longer return', async () => {
		answer = refuse;
		await place('first');
		nowMs += 20_000;
		await place('same prompt');
		expect(asks[1]).to.include({hasReturned: false, waitedMs: 0});
	});

	// Guards against streams placed beyond the capacity of a group: the entry gave up on a returned call before its coordinator decided.
	it('waits for the decision on a returned call as long as the coordinator may keep it', async () => {
		answer = refuse;
		await place('first');
		answer = () => undefined;
		const placing = place('again');
		await sleep(maxPlacementWaitMs({objectiveMs: 20, hasReturned: true, deadlineMs: 1000}) + 70);
		placer.onFrame(coordinator, refuse('again'));
		expect(await placing).to.equal('refused');
	});
});

describe('a group placer and the coordinator that counts its streams', () => {
	let placer: GroupPlacer;
	let sent: Frame[];
	let coordinator: Peer;

	const coordinatorTo = (frames: Frame[]): Peer => ({
		...peerOf(0),
		send(frame) {
			frames.push(frame);
		},
	});

	const connect = (peer: Peer, listing?: number): void => {
		placer.onFrame(peer, {
			kind: 'rank', notice: {
				group: 'g', formation: 1, rank: 0, size: 2, isOpen: true, target: addressOf(0), isCoordinator: true, term: 1, ...(listing !== undefined && {listing}),
			},
		});
	};

	beforeEach(() => {
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => performance.now(), isKnownService: () => true, onChange: () => undefined,
		});
		// The sidecar of rank 1 is not connected.
		targets.update([0, 1].map(rank => ({
			id: `i-${rank}`, incarnation: 0, registeredAt: 1, service: 's', host: `10.0.0.${rank}`, port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
		})));
		placer = createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => performance.now(), random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
		sent = [];
		coordinator = coordinatorTo(sent);
		connect(coordinator);
		sent.length = 0;
	});

	const place = async (id: string, signal = new AbortController().signal): ReturnType<GroupPlacer['place']> => placer.place({
		call: callOf(id), hasBegun: false, tried: new Set(), excluded: new Set(), signal,
	});

	const placed = (id: string, rank: number): Frame => ({kind: 'placed', id, target: addressOf(rank)});

	// Guards against a stream that the coordinator counts and no rank runs: the entry's event loop was blocked, and the timer came before the reply that had arrived.
	it('takes a reply that has arrived before its time limit, even if it is read afterwards', async () => {
		const placing = place('r');
		await sleep(1);
		// The timers come next in the event loop.
		await nextTurn();
		setImmediate(() => {
			placer.onFrame(coordinator, placed('r', 0));
		});
		// Longer than the time limit.
		for (const startedMs = performance.now(); performance.now() - startedMs < 150;) {
			// Blocks the event loop.
		}

		expect((await placing).kind).to.equal('placed');
		expect(sent.filter(({kind}) => kind === 'ended')).to.deep.equal([]);
	});

	// Guards against the same for a reply that comes when the call has been withdrawn or placed elsewhere.
	it('tells the coordinator that a late placement has ended, or where the request runs', async () => {
		placer.onFrame(peerOf(1), {
			kind: 'rank', notice: {
				group: 'g', formation: 1, rank: 1, size: 2, isOpen: true, target: addressOf(1), isCoordinator: false, term: 1,
			},
		});
		const withdrawal = new AbortController();
		const withdrawn = place('withdrawn', withdrawal.signal);
		withdrawal.abort();
		await withdrawn;
		const alone = await place('alone');
		expect(alone.kind).to.equal('placed');
		sent.length = 0;
		placer.onFrame(coordinator, placed('withdrawn', 0));
		placer.onFrame(coordinator, placed('alone', 0));
		expect(sent[0]).to.deep.equal({kind: 'ended', id: 'withdrawn'});
		expect(sent[1]).to.deep.include({kind: 'running'});
		expect(sent[1].kind === 'running' && sent[1].stream.target).to.equal(alone.kind === 'placed' && alone.place.target.address);
	});

	// Guards against a stream whose end is told to nobody, as its target's sidecar is not connected to this entry.
	it('tells the coordinator the end of each stream that it has placed', async () => {
		const placing = place('r');
		await sleep(1);
		placer.onFrame(coordinator, placed('r', 1));
		const result = await placing;
		expect(result.kind === 'placed' && result.place.target.record.id).to.equal('i-1');
		if (result.kind === 'placed') {
			result.place.ended('neutral');
		}

		expect(sent.at(-1)).to.deep.equal({kind: 'ended', id: 'r'});
	});

	// Guards against a placement that is lost because the list of streams crossed it.
	it('lists its streams and the requests that it has asked for when a coordinator asks again', async () => {
		const placing = place('runs');
		await sleep(1);
		placer.onFrame(coordinator, placed('runs', 1));
		await placing;
		void place('waits');
		await sleep(1);
		sent.length = 0;
		connect(coordinator, 1);
		connect(coordinator, 1);
		expect(sent).to.have.length(1);
		expect(sent[0].kind === 'streams' && [sent[0].streams.map(({id}) => id), sent[0].pending]).to.deep.equal([['runs'], ['waits']]);
	});

	// Guards against requests that wait for the reply of a lost connection, and are counted by the coordinator over a new one.
	it('gives up its questions with the connection on which they were asked, and says so over the new one', async () => {
		const placing = place('r');
		await sleep(1);
		const sentLater: Frame[] = [];
		connect(coordinatorTo(sentLater));
		const startedMs = performance.now();
		placer.onDown(coordinator, 'silent');
		await placing;
		expect(performance.now() - startedMs).to.be.below(50);
		expect(sentLater.slice(1).map(({kind}) => kind)).to.include('ended');
	});
});

describe('a group placer for calls that may reach only some zones', () => {
	const zones = ['a', 'b', 'b'];
	let asks: Array<Extract<Frame, {kind: 'place'}>['ask']>;
	let placer: GroupPlacer;
	let evacuated: Set<string>;

	beforeEach(() => {
		asks = [];
		evacuated = new Set();
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => performance.now(), isKnownService: () => true, onChange: () => undefined,
			isEvacuated: zone => evacuated.has(zone),
		});
		targets.update(ranks.map(rank => ({
			id: `i-${rank}`, incarnation: 0, registeredAt: 1, service: 's', host: `10.0.0.${rank}`, port: 80, zone: zones[rank], slots: 8, state: 'serving', warmingMs: 0,
		})));
		placer = createGroupPlacer({
			targets, model: () => undefined, monotonicMs: () => performance.now(), random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
	});

	/** Connects the sidecars; their coordinator places every request on rank 0. */
	const connectCoordinator = (): void => {
		const coordinator: Peer = {
			...peerOf(0),
			send(frame) {
				if (frame.kind === 'place') {
					asks.push(frame.ask);
					queueMicrotask(() => placer.onFrame(coordinator, {kind: 'placed', id: frame.ask.id, target: addressOf(0)}));
				}
			},
		};
		for (const rank of ranks) {
			placer.onFrame(rank === 0 ? coordinator : peerOf(rank), {
				kind: 'rank', notice: {
					group: 'g', formation: 1, rank, size: ranks.length, isOpen: true, target: addressOf(rank), isCoordinator: rank === 0, term: 1,
				},
			});
		}
	};

	const place = async (id: string, allowedZones?: ReadonlySet<string>): Promise<string> => {
		const result = await placer.place({
			call: {...callOf(id), allowedZones}, hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
		});
		if (result.kind === 'refused') {
			return result.reason;
		}

		result.place.ended('neutral');
		return result.place.target.record.id;
	};

	// Guards against a call that leaves its region because the coordinator, or the entry without one, knows nothing of regions.
	it('places a call in no other zone, with and without a coordinator, even one that chooses such a rank', async () => {
		const allowed = new Set(['b']);
		expect(await place('alone', allowed)).to.be.oneOf(['i-1', 'i-2']);
		connectCoordinator();
		expect(await place('asked', allowed)).to.be.oneOf(['i-1', 'i-2']);
		expect(await place('nowhere', new Set(['c']))).to.equal('noTargetInRegion');
		expect(await place('anywhere')).to.equal('i-0');
		expect(asks.map(({id, excludedZones}) => [id, excludedZones])).to.deep.equal([['asked', ['a']], ['anywhere', undefined]]);
	});

	it('uses no rank that an uninformed coordinator chooses in an evacuated zone', async () => {
		connectCoordinator();
		evacuated.add('a');
		expect(await place('r')).to.be.oneOf(['i-1', 'i-2']);
		evacuated.add('b');
		expect(await place('s')).to.equal('zoneEvacuated');
	});
});

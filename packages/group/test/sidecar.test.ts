import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type RankView} from '@papayaflow/experts';
import {type Frame, type Peer, type RankNotice} from '@papayaflow/peer';
import {
	createLog, createMetrics, type Log, type Metrics,
} from '@papayaflow/telemetry';
import {
	createGroupSidecar, encodeDemand, type GroupSidecar, type RankEngine,
} from '@papayaflow/group';

const size = 3;

const viewOf = (rank: number): RankView => ({
	group: 'g', formation: 1, isOpen: true, rank, size, pass: 5, isCopying: false, mapVersion: 0, prepared: undefined, armed: undefined, held: undefined, pace: 1,
	queued: 0, active: 0, usedTokens: 0,
});

const engineOf = (rank: number): RankEngine => ({
	view: async () => viewOf(rank),
	counts: async () => undefined,
	experts: async () => ({formation: 1, version: 0, experts: [[rank]]}),
	command: async () => 'obeyed',
});

const targetOf = (rank: number): string => `10.0.0.${rank}:80`;

type StartOptions = {readonly isEvacuated?: (zone: string) => boolean; readonly record?: Uint8Array; readonly log?: Log; readonly metrics?: Metrics};

/** Starts a sidecar with a clock that the test sets. */
function startSidecar(rank: number, clock: {nowMs: number}, engine = engineOf(rank), options: StartOptions = {}): {sidecar: GroupSidecar; stop: () => void} {
	const {isEvacuated = () => false, record, log = createLog({}, 'error'), metrics = createMetrics()} = options;
	const ending = new AbortController();
	const sidecar = createGroupSidecar({
		target: targetOf(rank), engine, connect: target => engineOf(Number(target.slice(7, 8))),
		model: () => ({
			slots: 8, memoryTokens: 100_000, stepsPerPass: 4, stepMs: 4, sequenceMs: 1, contextMsPerThousand: 0, prefillTokensPerMs: 60, pairsMsPerMillion: 0, chunkTokens: 512,
			reportLagMs: 1, usualPromptTokens: 800, usualAnswerTokens: 100,
			experts: {
				layers: 1, expertsPerLayer: 3, slotsPerRank: 2, maxNewPerLayer: 1, workShare: 0.8, formationMs: 1, expertGigabytes: 1, copyMs: 1,
			},
		}),
		records: () => Array.from({length: size}, (_, index) => ({
			id: `i-${index}`, incarnation: 1, registeredAt: 1, service: 's', host: `10.0.0.${index}`, port: 80, zone: `z-${index}`, slots: 8, state: 'serving' as const, warmingMs: 0,
		})),
		isEvacuated, acquireToken: async () => 1, weights: {goodSkew: 1.1, copyCost: 0}, metrics, log,
		monotonicMs: () => clock.nowMs, random: () => 0.5, signal: ending.signal,
		async sleep() {
			await sleep(2);
		},
		yieldTurn: async () => undefined, onStateChange: () => undefined, wallMs: () => 0, demandStore: {read: async () => record, write: async () => undefined},
	});
	return {
		sidecar,
		stop() {
			ending.abort();
		},
	};
}

function peerOf(role: 'entry' | 'sidecar', sent: Frame[]): Peer {
	return {
		host: '10.0.0.9', close: () => undefined, send: frame => sent.push(frame),
		hello: {
			kind: 'hello', version: 1, role, instance: `${role}-1`, incarnation: 'x', zone: 'z', sentMs: 0,
		},
	};
}

const noticeOf = (rank: number, isCoordinator: boolean): RankNotice => ({
	group: 'g', formation: 1, rank, size, isOpen: true, target: targetOf(rank), isCoordinator, term: 1,
});

const placeFrame = (id: string, excluded: readonly string[]): Frame => ({
	kind: 'place', ask: {
		id, promptTokens: 100, answerTokens: 100, waitedMs: 0, objectiveMs: 500, gapMs: 120, deadlineMs: 8000, priority: 1, hasReturned: false, isResumed: false, excluded,
	},
});

const isCoordinator = (sidecar: GroupSidecar): boolean => (sidecar.status() as {isCoordinator: boolean}).isCoordinator;

describe('a group sidecar', () => {
	it('coordinates the group without a delay if it has the lowest rank', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		await sleep(20);
		expect(isCoordinator(sidecar)).to.equal(true);
		stop();
		await sidecar.leave();
	});

	it('takes over soon after the lowest rank is gone and steps down when that rank coordinates again', async () => {
		const clock = {nowMs: 10_000};
		const {sidecar, stop} = startSidecar(1, clock);
		const lowerPeer = peerOf('sidecar', []);
		sidecar.onUp(lowerPeer);
		sidecar.onFrame(lowerPeer, {kind: 'rank', notice: noticeOf(0, true)});
		clock.nowMs = 20_000;
		await sleep(20);
		expect(isCoordinator(sidecar), 'while the lower rank is connected').to.equal(false);
		sidecar.onDown(lowerPeer, 'closed');
		clock.nowMs += 100;
		await sleep(20);
		expect(isCoordinator(sidecar), 'before the takeover delay').to.equal(false);
		clock.nowMs += 300;
		await sleep(20);
		expect(isCoordinator(sidecar), 'after the takeover delay').to.equal(true);

		const reconnected = peerOf('sidecar', []);
		sidecar.onUp(reconnected);
		sidecar.onFrame(reconnected, {kind: 'rank', notice: noticeOf(0, false)});
		await sleep(20);
		expect(isCoordinator(sidecar), 'lower rank connected, but not coordinating yet').to.equal(true);
		sidecar.onFrame(reconnected, {kind: 'rank', notice: noticeOf(0, true)});
		await sleep(20);
		expect(isCoordinator(sidecar), 'lower rank coordinates').to.equal(false);
		stop();
		await sidecar.leave();
	});

	it('places a request on a rank that is not excluded and removes streams that their entry no longer lists', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const sent: Frame[] = [];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		for (const rank of [1, 2]) {
			const peer = peerOf('sidecar', []);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
		}

		await sleep(20);
		sidecar.onFrame(entry, placeFrame('r-1', [targetOf(0)]));
		const placed = sent.find(frame => frame.kind === 'placed');
		expect(placed?.target).to.be.oneOf([targetOf(1), targetOf(2)]);
		const running = (): number => (sidecar.status() as {load: {running: number}}).load.running;
		expect(running()).to.equal(1);
		sidecar.onFrame(entry, {kind: 'streams', streams: []});
		expect(running()).to.equal(0);
		stop();
		await sidecar.leave();
	});

	describe('agrees with an entry on its streams', () => {
		/** What the entry runs and has asked for, and the frames that it sends; the answers to it are lost unless a test reads them. */
		type Play = {
			readonly streams: Map<string, {hasBegun: boolean}>;
			readonly pending: Set<string>;
			readonly send: (frame: Frame) => void;
			/** Sends a frame over the latest connection, whereas `send` uses the first one. */
			readonly sendLast: (frame: Frame) => void;
			/** Sends a frame as another entry. */
			readonly sendAsOther: (frame: Frame) => void;
			/** Replaces the connection of the entry, which sends its list over the new one. The older one may be open here for longer. */
			readonly reconnect: (options?: {readonly isOlderOpen: boolean}) => void;
			readonly setMs: (ms: number) => Promise<void>;
		};

		const noticeOfStream = (id: string, hasBegun: boolean) => ({
			id, target: targetOf(1), promptTokens: 100, answerTokens: 100, hasBegun,
		});

		const plays: Readonly<Record<string, (play: Play) => Promise<void> | void>> = {
			'the placement came too late and the end of the wait was lost'({send}) {
				send(placeFrame('r', []));
			},
			'the placement came too late, and the request was read after the end of its wait'({send}) {
				send({kind: 'ended', id: 'r'});
				send(placeFrame('r', []));
			},
			async 'the end of a stream was lost'({send, setMs}) {
				send(placeFrame('r', []));
				send({kind: 'began', id: 'r'});
				await setMs(4000);
			},
			async 'the connection was replaced, and the request was read from the older one afterwards'({send, reconnect, setMs}) {
				reconnect();
				send(placeFrame('r', []));
				await setMs(1500);
			},
			'the connection was replaced, and the end of an earlier attempt was read from the older one afterwards'({send, sendLast, streams, reconnect}) {
				send(placeFrame('r', []));
				reconnect({isOlderOpen: true});
				streams.set('r', {hasBegun: false});
				sendLast(placeFrame('r', []));
				send({kind: 'ended', id: 'r'});
			},
			'the list of streams crossed a placement'({send, streams, pending}) {
				send(placeFrame('r', []));
				pending.add('r');
				send({kind: 'streams', streams: [], pending: ['r']});
				pending.delete('r');
				streams.set('r', {hasBegun: false});
			},
			'the start of a stream was lost'({send, streams}) {
				send(placeFrame('r', []));
				streams.set('r', {hasBegun: true});
			},
			'a stream that the entry placed itself was lost with the connection'({streams, reconnect}) {
				streams.set('r', {hasBegun: true});
				reconnect();
			},
			async 'a stream runs for longer than its record lasts'({send, streams, setMs}) {
				send(placeFrame('r', []));
				streams.set('r', {hasBegun: true});
				send({kind: 'began', id: 'r'});
				for (let ms = 5000; ms <= 40_000; ms += 5000) {
					await setMs(ms);
				}
			},
			'another entry says that the stream has ended'({send, sendAsOther, streams}) {
				send(placeFrame('r', []));
				streams.set('r', {hasBegun: false});
				sendAsOther({kind: 'ended', id: 'r'});
			},
		};

		for (const [name, play] of Object.entries(plays)) {
			// Guards against capacity that stays taken by streams that no rank runs, and streams that no coordinator counts.
			it(`when ${name}`, async () => {
				const clock = {nowMs: 0};
				const {sidecar, stop} = startSidecar(0, clock);
				for (const rank of [1, 2]) {
					const peer = peerOf('sidecar', []);
					sidecar.onUp(peer);
					sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
				}

				const streams = new Map<string, {hasBegun: boolean}>();
				const pending = new Set<string>();
				const sendList = (peer: Peer): void => {
					sidecar.onFrame(peer, {kind: 'streams', streams: [...streams].map(([id, {hasBegun}]) => noticeOfStream(id, hasBegun)), pending: [...pending]});
				};

				let listing: number | undefined;
				const connect = (): Peer => {
					const peer: Peer = {
						...peerOf('entry', []),
						send(frame) {
							if (frame.kind === 'rank' && frame.notice.listing !== listing) {
								listing = frame.notice.listing;
								sendList(peer);
							}
						},
					};
					sidecar.onUp(peer);
					sendList(peer);
					return peer;
				};

				await sleep(20);
				const entry = connect();
				let latest = entry;
				const setMs = async (ms: number): Promise<void> => {
					clock.nowMs = ms;
					await sleep(12);
				};

				await play({
					streams, pending, setMs,
					send: frame => sidecar.onFrame(entry, frame),
					sendAsOther: frame => sidecar.onFrame({...entry, hello: {...entry.hello, instance: 'entry-2'}}, frame),
					sendLast: frame => sidecar.onFrame(latest, frame),
					reconnect(options) {
						latest = connect();
						if (!options?.isOlderOpen) {
							sidecar.onDown(entry, 'silent');
						}
					},
				});
				await setMs(clock.nowMs + 2000);
				await setMs(clock.nowMs + 4000);
				expect((sidecar.status() as {load: {running: number}}).load.running).to.equal(streams.size);
				stop();
			});
		}
	});

	// Guards against requests that wait at an entry until it gives up: nobody answered those without a decision when their coordinator stopped coordinating.
	it('turns the requests without a decision away when it stops coordinating', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const sent: Frame[] = [];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		await sleep(20);
		for (let index = 0; index < 40; index++) {
			sidecar.onFrame(entry, placeFrame(`r-${index}`, []));
		}

		const answered = (): number => new Set(sent.flatMap(frame => frame.kind === 'placed' || frame.kind === 'turnedAway' ? [frame.id] : [])).size;
		expect(answered()).to.be.below(40);
		const leaving = sidecar.leave();
		expect(answered()).to.equal(40);
		expect(sent.at(-1)).to.include({kind: 'turnedAway', reason: 'wrongOwner'});
		stop();
		await leaving;
	});

	// Guards against a coordinator that places requests in an evacuated zone for entries that have not heard of it, and one that takes such ranks out of their group.
	it('places no request on the ranks of an evacuated zone, its own among them, and continues to coordinate', async () => {
		const evacuated = new Set<string>();
		const {sidecar, stop} = startSidecar(0, {nowMs: 0}, engineOf(0), {isEvacuated: zone => evacuated.has(zone)});
		const sent: Frame[] = [];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		for (const rank of [1, 2]) {
			const peer = peerOf('sidecar', []);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
		}

		const targetsOfPlaced = async (prefix: string): Promise<ReadonlySet<string>> => {
			await sleep(20);
			sent.length = 0;
			sidecar.onFrame(entry, {kind: 'streams', streams: []});
			for (const index of [0, 1, 2, 3]) {
				sidecar.onFrame(entry, placeFrame(`${prefix}-${index}`, []));
			}

			return new Set(sent.flatMap(frame => frame.kind === 'placed' ? [frame.target] : []));
		};

		expect(await targetsOfPlaced('before')).to.have.property('size', 3);
		evacuated.add('z-0');
		evacuated.add('z-1');
		expect(await targetsOfPlaced('evacuated')).to.deep.equal(new Set([targetOf(2)]));
		expect(isCoordinator(sidecar)).to.equal(true);
		expect(sent.filter(frame => frame.kind === 'rank'), 'notices that the group is closed').to.deep.equal([]);
		evacuated.clear();
		expect(await targetsOfPlaced('after')).to.have.property('size', 3);
		stop();
		await sidecar.leave();
	});

	it('places a request on no rank of a zone that its entry excludes', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const sent: Frame[] = [];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		const member = peerOf('sidecar', []);
		sidecar.onUp(member);
		sidecar.onFrame(member, {kind: 'rank', notice: noticeOf(1, false)});
		await sleep(20);
		for (const id of ['r-1', 'r-2', 'r-3']) {
			const frame = placeFrame(id, []) as Extract<Frame, {kind: 'place'}>;
			sidecar.onFrame(entry, {...frame, ask: {...frame.ask, excludedZones: ['z-0']}});
		}

		expect(sent.flatMap(frame => frame.kind === 'placed' ? [frame.target] : [])).to.deep.equal([targetOf(1), targetOf(1), targetOf(1)]);
		stop();
		await sidecar.leave();
	});

	// Guards against decisions that can't be told apart by priority: a burst of one kind then looks like a shortage for all.
	it('counts its decisions by priority', async () => {
		const metrics = createMetrics();
		const {sidecar, stop} = startSidecar(0, {nowMs: 0}, engineOf(0), {metrics});
		await sleep(20);
		const entry = peerOf('entry', []);
		sidecar.onUp(entry);
		sidecar.onFrame(entry, placeFrame('a', []));
		expect(metrics.read('group_decisions', {kind: 'placed', priority: '1'})).to.equal(1);
		expect(await metrics.text()).to.include('papayaflow_group_wait_ms_count 1');
		stop();
		await sidecar.leave();
	});

	it('tells all entries which requests it has refused, so that they recognise the retries', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const [sent, sentToOther]: [Frame[], Frame[]] = [[], []];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		const other = peerOf('entry', sentToOther);
		sidecar.onUp({...other, hello: {...other.hello, instance: 'entry-2'}});
		await sleep(20);
		const frame = placeFrame('r-1', [targetOf(0)]) as Extract<Frame, {kind: 'place'}>;
		sidecar.onFrame(entry, {
			...frame, ask: {
				...frame.ask, identity: 'prompt', deadlineMs: 0, waitedMs: 40,
			},
		});
		await sleep(250);
		expect(sent.some(({kind}) => kind === 'turnedAway')).to.equal(true);
		expect(sentToOther.flatMap(other => other.kind === 'groupLoad' ? other.load.refused ?? [] : [])).to.deep.equal([['prompt', 40]]);
		stop();
		await sidecar.leave();
	});

	// Guards against delayed placements: the coordinator asked dozens of sidecars every few milliseconds whether their ranks had copied.
	it('replies to the preparation of a map once its rank has copied the experts', async () => {
		let viewsUntilCopied = 0;
		const {sidecar, stop} = startSidecar(2, {nowMs: 0}, {
			...engineOf(2),
			async view() {
				viewsUntilCopied--;
				return {...viewOf(2), isCopying: viewsUntilCopied > 0, prepared: viewsUntilCopied > 0 ? undefined : 2};
			},
			async command() {
				viewsUntilCopied = 6;
				return 'obeyed';
			},
		});
		const sent: Frame[] = [];
		const coordinator = peerOf('sidecar', sent);
		sidecar.onUp(coordinator);
		sidecar.onFrame(coordinator, {
			kind: 'command', id: 1, guarded: {
				fencingToken: 1, formation: 1, command: {
					kind: 'prepare', version: 2, map: {
						base: 'inTurn', layers: 1, ranks: 3, expertsPerLayer: 3, changes: [],
					},
				},
			},
		});
		await sleep(60);
		const replies = sent.filter(frame => frame.kind === 'viewed');
		expect(replies.map(({view}) => view?.prepared)).to.deep.equal([2]);
		stop();
		await sidecar.leave();
	});

	it('places no request on a rank whose sidecar fell silent, until that sidecar is connected again', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const sent: Frame[] = [];
		const entry = peerOf('entry', sent);
		sidecar.onUp(entry);
		const peers = [1, 2].map(rank => {
			const peer = peerOf('sidecar', []);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
			return peer;
		});
		const placedTarget = async (id: string): Promise<string | undefined> => {
			await sleep(20);
			sidecar.onFrame(entry, placeFrame(id, [targetOf(0), targetOf(2)]));
			return sent.flatMap(frame => frame.kind === 'placed' && frame.id === id ? [frame.target] : []).at(0);
		};

		expect(await placedTarget('r-1')).to.equal(targetOf(1));
		sidecar.onDown(peers[0], 'silent');
		expect(await placedTarget('r-2'), 'while the sidecar is silent').to.equal(undefined);
		const reconnected = peerOf('sidecar', []);
		sidecar.onUp(reconnected);
		sidecar.onFrame(reconnected, {kind: 'rank', notice: noticeOf(1, false)});
		expect(await placedTarget('r-3'), 'after it is connected again').to.equal(targetOf(1));
		sidecar.onDown(reconnected, 'closed');
		expect(await placedTarget('r-4'), 'after its connection was closed').to.equal(targetOf(1));
		stop();
		await sidecar.leave();
	});

	// Guards against requests that are refused for a second after a group forms anew, until counts have arrived and the first map is planned.
	it('knows the demand of the last formation when the group forms anew', async () => {
		const clock = {nowMs: 0};
		let formation = 1;
		let chosen = 0;
		const {sidecar, stop} = startSidecar(0, clock, {
			...engineOf(0),
			view: async () => ({...viewOf(0), formation}),
			async counts() {
				chosen += 90;
				return {formation: 1, pass: 5, counts: [chosen, chosen / 90, chosen / 90]};
			},
			experts: async () => ({formation, version: 0, experts: [[0]]}),
		});
		// The other sidecars are gone, so that their engines are read directly.
		for (const rank of [1, 2]) {
			const peer = peerOf('sidecar', []);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
			sidecar.onDown(peer, 'closed');
		}

		const skew = (): number | undefined => (sidecar.status() as {load?: {skew: number}}).load?.skew;
		const waitForSkew = async (): Promise<void> => {
			while ((skew() ?? 1) < 2) {
				await sleep(5);
				clock.nowMs += 200;
			}
		};

		await waitForSkew();
		formation = 2;
		await sleep(50);
		expect(skew()).to.be.above(2);
		clock.nowMs += 70_000;
		formation = 3;
		await sleep(50);
		expect(skew(), 'after a minute without counts').to.equal(1);
		stop();
		await sidecar.leave();
	});

	// Guards against a map that can't be read at a start because the sidecars are still connecting.
	it('reads the map once the sidecars of all ranks have been connected', async () => {
		const {sidecar, stop} = startSidecar(0, {nowMs: 0});
		const connect = (rank: number): Frame[] => {
			const sent: Frame[] = [];
			const peer = peerOf('sidecar', sent);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
			return sent;
		};

		const first = connect(1);
		await sleep(50);
		expect(isCoordinator(sidecar)).to.equal(true);
		expect(first.some(({kind}) => kind === 'askExperts'), 'before the last rank is connected').to.equal(false);
		const second = connect(2);
		await sleep(50);
		expect([first, second].map(sent => sent.some(({kind}) => kind === 'askExperts'))).to.deep.equal([true, true]);
		stop();
		await sidecar.leave();
	});

	it('knows the demand that an earlier coordinator has written to the store', async () => {
		const record = encodeDemand({shares: [[0.9, 0.05, 0.05]], meanShiftIntervalMs: undefined, meanLayerShiftIntervalMs: undefined}, 0);
		const {sidecar, stop} = startSidecar(0, {nowMs: 0}, engineOf(0), {record});
		await sleep(20);
		expect((sidecar.status() as {load: {skew: number}}).load.skew).to.be.above(2);
		stop();
		await sidecar.leave();
	});

	it('logs each step of its start with the time since the process started', async () => {
		const expectedSteps = [
			'started coordinating the group',
			'group state changed',
			'demand read from the store',
			'members connected',
			'acquired a fencing token for balancing experts',
			'map read',
			'first request placed',
		];
		const steps: string[] = [];
		const log = {
			...createLog({}, 'error'),
			info(context: Readonly<Record<string, unknown>>, message: string) {
				if (context.sinceStartMs === 700) {
					steps.push(message);
				}
			},
		} as unknown as Log;
		const record = encodeDemand({shares: [[0.9, 0.05, 0.05]], meanShiftIntervalMs: undefined, meanLayerShiftIntervalMs: undefined}, 0);
		const {sidecar, stop} = startSidecar(0, {nowMs: 700}, engineOf(0), {record, log});
		const entry = peerOf('entry', []);
		sidecar.onUp(entry);
		for (const rank of [1, 2]) {
			const peer = peerOf('sidecar', []);
			sidecar.onUp(peer);
			sidecar.onFrame(peer, {kind: 'rank', notice: noticeOf(rank, false)});
			sidecar.onDown(peer, 'closed');
		}

		await sleep(100);
		sidecar.onFrame(entry, placeFrame('r-1', []));
		expect([...new Set(steps)].toSorted()).to.deep.equal(expectedSteps.toSorted());
		stop();
		await sidecar.leave();
	});
});

import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {onConfigMessage, revisionMessage, type Follower} from '@papayaflow/config';
import {
	createFrameAge, isGroupFrame, openConnection, protocolVersion, serveFrames, type Connection, type Frame, type LoadReport, type PathFrame,
} from '@papayaflow/peer';
import {type RankOrder, type RankReply} from '@papayaflow/experts';
import {type LossReason} from '@papayaflow/outcome';
import {type Metrics} from '@papayaflow/telemetry';
import {type Arrived} from './reply.js';

const loadReportMs = 50;
const recentUseMs = 2000;

/** How often a closing sidecar looks whether its callers have closed, in milliseconds. */
const closePollMs = 5;

type Listener = {usedMs: number; isTold: boolean; isEntry: boolean};

export type ServerDeps = {
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly follower: Follower;
	readonly metrics: Metrics;
	readonly monotonicMs: () => number;
	readonly load: () => LoadReport;
	readonly isLeaving: () => boolean;
	readonly serve: (arrived: Arrived) => Promise<void>;
	/** The ranks beside this sidecar, told to whoever connects. */
	readonly ranks?: Extract<Frame, {kind: 'hello'}>['ranks'];
	/** Gives an order to one of them. */
	readonly orderRank?: (rank: number, order: RankOrder) => Promise<RankReply | undefined>;
};

/** The side of a sidecar that entries connect to. */
export type PeerServer = {
	readonly server: Server;
	broadcast(frame: Frame): void;
	/** Attempts that have not got their last frame. */
	inFlight(): number;
	connections(): number;
	/**
	Takes no more connections, tells entries that this process ends, and answers what is still
	on the way until they have closed theirs or `mostMs` (milliseconds) have passed.
	*/
	closeWhenAnswered(mostMs: number): Promise<'closed' | 'timedOut'>;
	/** Tells each attempt that is left that its outcome is not known, and closes. */
	giveUpAll(): void;
};

/**
Makes the server that entries connect to: one task for each connection.

@example
const peers = createPeerServer(deps);
peers.server.listen(9001, '127.0.0.1');
*/
export function createPeerServer(deps: ServerDeps): PeerServer {
	const {metrics, follower} = deps;
	const connections = new Map<Connection, Listener>();
	let isBusy = false;
	const attempts = new Set<{readonly connection: Connection; readonly attempt: number; readonly controller: AbortController}>();

	const serveConnection = async (socket: Socket): Promise<void> => {
		const connection = openConnection(socket);
		const mine = new Map<number, AbortController>();
		const ageOf = createFrameAge();
		let reportedMs = 0;
		const listener: Listener = {usedMs: Number.NEGATIVE_INFINITY, isTold: false, isEntry: false};
		connections.set(connection, listener);
		greet(connection);

		const reportLoad = (): void => {
			const nowMs = deps.monotonicMs();
			if (nowMs - reportedMs >= loadReportMs) {
				reportedMs = nowMs;
				connection.send({kind: 'load', load: deps.load()});
			}
		};

		const serveRequest = async (frame: Extract<Frame, {kind: 'request'}>, ageMs: number): Promise<void> => {
			const controller = new AbortController();
			const entry = {connection, attempt: frame.attempt, controller};
			attempts.add(entry);
			mine.set(frame.attempt, controller);
			listener.usedMs = deps.monotonicMs();
			const served = deps.serve({
				attempt: frame.attempt, request: frame.request, ageMs, signal: controller.signal,
				send(answer) {
					connection.send(answer);
				},
			});
			tellBusy();
			await served;
			mine.delete(frame.attempt);
			attempts.delete(entry);
			reportLoad();
			tellBusy();
		};

		const onRequest = (frame: Extract<Frame, {kind: 'request'}>): void => {
			const ageMs = ageOf(frame.sentMs, deps.monotonicMs());
			if (frame.incarnation === deps.incarnation && !mine.has(frame.attempt)) {
				void serveRequest(frame, ageMs);
				return;
			}

			metrics.count('frame_faults', {reason: 'notForThisIncarnation'});
			connection.send({
				kind: 'refused', attempt: frame.attempt, reason: 'connectionLost', retryAfterMs: 0,
			});
		};

		const onConfig = (frame: Parameters<typeof onConfigMessage>[0]): void => {
			const reply = onConfigMessage(frame, follower, deps);
			if (reply) {
				connection.send(reply);
			}
		};

		const onFrame = (frame: PathFrame): void => {
			switch (frame.kind) {
				case 'request': {
					onRequest(frame);
					break;
				}

				case 'cancel': {
					mine.get(frame.attempt)?.abort('callerGone' satisfies LossReason);
					break;
				}

				case 'hello': {
					listener.isEntry = frame.role === 'entry';
					ageOf(frame.sentMs, deps.monotonicMs());
					connection.send(revisionMessage(follower, deps));
					break;
				}

				case 'revision': {
					ageOf(frame.sentMs, deps.monotonicMs());
					onConfig(frame);
					break;
				}

				case 'pullConfig':
				case 'config': {
					onConfig(frame);
					break;
				}

				case 'order': {
					void passOrder(frame, connection);
					break;
				}

				case 'orderReply':
				case 'head':
				case 'data':
				case 'end':
				case 'refused':
				case 'lost':
				case 'load':
				case 'busy':
				case 'leaving': {
					metrics.count('frame_faults', {reason: 'unexpected'});
				}
			}
		};

		await serveFrames(socket, frame => {
			if (isGroupFrame(frame)) {
				metrics.count('frame_faults', {reason: 'unexpected'});
			} else {
				onFrame(frame);
			}
		}, fault => {
			metrics.count('frame_faults', {reason: fault});
		});

		connections.delete(connection);
		for (const controller of mine.values()) {
			controller.abort('callerGone' satisfies LossReason);
		}
	};

	const greet = (connection: Connection): void => {
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'sidecar', instance: deps.instance, incarnation: deps.incarnation,
			zone: deps.zone, sentMs: deps.monotonicMs(), ...(deps.ranks && {ranks: deps.ranks}),
		});
		if (deps.isLeaving()) {
			connection.send({kind: 'leaving'});
		}
	};

	// Told are those that sent work lately, and of the end of it those that were told: few frames, to whom they matter.
	const tellBusy = (): void => {
		const load = deps.load();
		if (load.isBusy === isBusy) {
			return;
		}

		isBusy = load.isBusy;
		const nowMs = deps.monotonicMs();
		for (const [connection, listener] of connections) {
			if (isBusy ? nowMs - listener.usedMs < recentUseMs : listener.isTold) {
				listener.isTold = isBusy;
				connection.send({kind: 'busy', isBusy, tokens: load.outstandingTokens});
				metrics.count('busy_notices');
			}
		}
	};

	const passOrder = async (frame: Extract<Frame, {kind: 'order'}>, connection: Connection): Promise<void> => {
		const reply = await deps.orderRank?.(frame.rank, frame.order);
		connection.send({kind: 'orderReply', id: frame.id, ...(reply && {reply})});
	};

	const server = createServer(socket => {
		void serveConnection(socket);
	});
	const broadcast = (frame: Frame): void => {
		for (const connection of connections.keys()) {
			connection.send(frame);
		}
	};

	const hasEntries = (): boolean => [...connections.values()].some(({isEntry}) => isEntry);

	return {
		server,
		broadcast,
		async closeWhenAnswered(mostMs) {
			server.close();
			broadcast({kind: 'leaving', isClosing: true});
			const untilMs = deps.monotonicMs() + mostMs;
			while (hasEntries() && deps.monotonicMs() < untilMs) {
				await sleep(closePollMs);
			}

			return hasEntries() ? 'timedOut' : 'closed';
		},
		inFlight: () => attempts.size,
		connections: () => connections.size,
		giveUpAll() {
			for (const {connection, attempt} of attempts) {
				connection.send({
					kind: 'lost', attempt, reason: 'shutdown', retryAfterMs: 1000,
				});
			}

			for (const connection of connections.keys()) {
				connection.close();
			}
		},
	};
}

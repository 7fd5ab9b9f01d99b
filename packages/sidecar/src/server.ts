import {createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {onConfigMessage, revisionMessage, type Follower} from '@papayaflow/config';
import {
	createFrameDelayEstimator, isGroupFrame, openConnection, protocolVersion, serveFrames, type Connection, type Frame, type LoadReport, type RequestPathFrame, type Strangers,
} from '@papayaflow/peer';
import {type RankOrder, type RankReply} from '@papayaflow/experts';
import {type LossReason} from '@papayaflow/outcome';
import {type Containment, type Metrics} from '@papayaflow/telemetry';
import {type ReceivedAttempt} from './reply.js';

/** Shortest interval between two load reports on one connection. */
const loadReportIntervalMs = 50;

/** Entries that sent a request within this time are notified when the target becomes busy. */
const recentRequestMs = 2000;

/** How often a closing sidecar checks whether the entries have closed their connections. */
const closePollMs = 5;

type ConnectionState = {lastRequestMs: number; hasBusyNotice: boolean; isEntry: boolean};

export type ServerDeps = {
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly follower: Follower;
	readonly metrics: Metrics;
	readonly containment: Containment;
	readonly monotonicMs: () => number;
	readonly load: () => LoadReport;
	readonly isLeaving: () => boolean;
	/** The accepted connections whose other end is not known yet. */
	readonly strangers: Strangers;
	readonly serve: (received: ReceivedAttempt) => Promise<void>;
	/** The ranks beside this sidecar, sent in the `hello` frame of each connection. */
	readonly ranks?: Extract<Frame, {kind: 'hello'}>['ranks'];
	/** Sends an order to one of these ranks; `undefined` without a reply. */
	readonly orderRank?: (rank: number, order: RankOrder) => Promise<RankReply | undefined>;
};

/** The server of a sidecar. Entries and the other sidecars of its group connect to it. */
export type PeerServer = {
	readonly server: Server;
	broadcast(frame: Frame): void;
	/** The number of attempts whose last frame has not been sent. */
	inFlight(): number;
	connections(): number;
	/**
	Stops accepting connections, notifies the entries that this process is closing, and
	continues to serve requests that were already sent. Resolves to `closed` once the
	entries have closed their connections, or to `timedOut` after `timeoutMs`.
	*/
	closeWhenAnswered(timeoutMs: number): Promise<'closed' | 'timedOut'>;
	/** Ends each attempt in flight with a `lost` frame and closes all connections. */
	abortAll(): void;
};

/**
Creates the server of a sidecar, with one task for each connection.

@example
const peers = createPeerServer(deps);
peers.server.listen(9001, '127.0.0.1');
*/
export function createPeerServer(deps: ServerDeps): PeerServer {
	const {metrics, follower} = deps;
	const connections = new Map<Connection, ConnectionState>();
	let isBusy = false;
	const attempts = new Set<{readonly connection: Connection; readonly attempt: number; readonly controller: AbortController}>();

	const serveConnection = async (socket: Socket): Promise<void> => {
		const connection = openConnection(socket);
		const connectionAttempts = new Map<number, AbortController>();
		const frameAgeMs = createFrameDelayEstimator();
		let lastReportMs = 0;
		const state: ConnectionState = {lastRequestMs: Number.NEGATIVE_INFINITY, hasBusyNotice: false, isEntry: false};
		connections.set(connection, state);
		sendHello(connection);

		const reportLoad = (): void => {
			const nowMs = deps.monotonicMs();
			if (nowMs - lastReportMs >= loadReportIntervalMs) {
				lastReportMs = nowMs;
				connection.send({kind: 'load', load: deps.load()});
			}
		};

		const serveRequest = async (frame: Extract<Frame, {kind: 'request'}>, ageMs: number): Promise<void> => {
			const controller = new AbortController();
			const activeAttempt = {connection, attempt: frame.attempt, controller};
			attempts.add(activeAttempt);
			connectionAttempts.set(frame.attempt, controller);
			state.lastRequestMs = deps.monotonicMs();
			const served = deps.serve({
				attempt: frame.attempt, request: frame.request, ageMs, signal: controller.signal,
				send(answer) {
					connection.send(answer);
				},
			});
			notifyBusy();
			await served;
			connectionAttempts.delete(frame.attempt);
			attempts.delete(activeAttempt);
			reportLoad();
			notifyBusy();
		};

		const onRequest = (frame: Extract<Frame, {kind: 'request'}>): void => {
			const ageMs = frameAgeMs(frame.sentMs, deps.monotonicMs());
			if (frame.incarnation === deps.incarnation && !connectionAttempts.has(frame.attempt)) {
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

		const onFrame = (frame: RequestPathFrame): void => {
			switch (frame.kind) {
				case 'request': {
					onRequest(frame);
					break;
				}

				case 'cancel': {
					connectionAttempts.get(frame.attempt)?.abort('callerGone' satisfies LossReason);
					break;
				}

				case 'hello': {
					deps.strangers.remove(socket);
					state.isEntry = frame.role === 'entry';
					frameAgeMs(frame.sentMs, deps.monotonicMs());
					connection.send(revisionMessage(follower, deps));
					break;
				}

				case 'revision': {
					frameAgeMs(frame.sentMs, deps.monotonicMs());
					onConfig(frame);
					break;
				}

				case 'pullConfig':
				case 'config': {
					onConfig(frame);
					break;
				}

				case 'order': {
					void forwardOrder(frame, connection);
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
		}, error => {
			deps.containment.report('frame', error);
		});

		connections.delete(connection);
		for (const controller of connectionAttempts.values()) {
			controller.abort('callerGone' satisfies LossReason);
		}
	};

	const sendHello = (connection: Connection): void => {
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'sidecar', instance: deps.instance, incarnation: deps.incarnation,
			zone: deps.zone, sentMs: deps.monotonicMs(), ...(deps.ranks && {ranks: deps.ranks}),
		});
		if (deps.isLeaving()) {
			connection.send({kind: 'leaving'});
		}
	};

	// When the busy state starts, only entries with a recent request are notified. When it ends, only the entries that
	// were notified of its start are notified. This keeps the number of frames small.
	const notifyBusy = (): void => {
		const load = deps.load();
		if (load.isBusy === isBusy) {
			return;
		}

		isBusy = load.isBusy;
		const nowMs = deps.monotonicMs();
		for (const [connection, state] of connections) {
			if (isBusy ? nowMs - state.lastRequestMs < recentRequestMs : state.hasBusyNotice) {
				state.hasBusyNotice = isBusy;
				connection.send({kind: 'busy', isBusy, tokens: load.outstandingTokens});
				metrics.count('busy_notices');
			}
		}
	};

	const forwardOrder = async (frame: Extract<Frame, {kind: 'order'}>, connection: Connection): Promise<void> => {
		const reply = await deps.orderRank?.(frame.rank, frame.order);
		connection.send({kind: 'orderReply', id: frame.id, ...(reply && {reply})});
	};

	const server = createServer(socket => {
		deps.strangers.add(socket);
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
		async closeWhenAnswered(timeoutMs) {
			server.close();
			broadcast({kind: 'leaving', isClosing: true});
			const deadlineMs = deps.monotonicMs() + timeoutMs;
			while (hasEntries() && deps.monotonicMs() < deadlineMs) {
				await sleep(closePollMs);
			}

			return hasEntries() ? 'timedOut' : 'closed';
		},
		inFlight: () => attempts.size,
		connections: () => connections.size,
		abortAll() {
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

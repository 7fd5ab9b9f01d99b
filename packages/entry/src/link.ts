import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {onConfigMessage, revisionMessage, type Follower} from '@papayaflow/config';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {
	isGroupFrame, openConnection, openSocket, protocolVersion, serveFrames, type Connection, type Frame, type PathFrame, type PeerRequest,
} from '@papayaflow/peer';
import {
	afterFailure, afterSuccess, backoffMs, healthy, type AgedReport, type EjectOptions, type Health,
} from '@papayaflow/policy';
import {type Log, type Metrics} from '@papayaflow/telemetry';

const firstReconnectMs = 50;
const maxReconnectMs = 2000;
const unknownRetryMs = 1000;

/** A sidecar as the instance list names it. */
export type SidecarAddress = {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly address: string;
	readonly port: number;
};

/** Where the answer of an attempt goes while it arrives. */
export type AttemptSink = {
	head(status: number, headers: Readonly<Record<string, string>>): void;
	data(bytes: Uint8Array): void;
};

/**
How an attempt ends. `refused` is the sidecar's proof that this attempt did not
run; `lost` says that it may have.
*/
export type AttemptResult
	= | {readonly kind: 'answered'}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string; readonly owner?: string; readonly standing?: boolean}
		| {readonly kind: 'lost'; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string};

/** One entry's connection to one sidecar. */
export type Link = {
	readonly sidecar: SidecarAddress;
	readonly sinceMs: number;
	/** Whether work can be sent: connected and not leaving. */
	readonly usable: boolean;
	/** Whether the sidecar can be asked about its keys: connected, greeted and not about to close. */
	readonly connected: boolean;
	readonly ownTokens: number;
	readonly report: AgedReport | undefined;
	readonly health: Health;
	/** Makes one attempt. When `signal` fires the attempt is cancelled and ends at once as `lost`. */
	attempt(request: PeerRequest, sink: AttemptSink, signal: AbortSignal): Promise<AttemptResult>;
	/** Takes no new work, and closes when what runs over it has ended. */
	retire(): void;
	/** Sends a frame that belongs to no attempt. */
	send(frame: Frame): void;
	close(): void;
};

export type LinkDeps = {
	readonly instance: string;
	readonly incarnation: string;
	readonly zone: string;
	readonly follower: Follower;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly random: () => number;
	readonly monotonicMs: () => number;
	readonly connectMs: () => number;
	readonly ejection: () => EjectOptions;
};

type Attempt = {
	readonly sink: AttemptSink;
	readonly finish: (result: AttemptResult) => void;
	received: number;
};

/**
Opens a link and keeps it connected until it is closed. Answers are matched by
the number of their attempt on this connection; one that matches nothing is
dropped and counted.

@example
const link = openLink(sidecar, deps);
const result = await link.attempt(request, sink, signal);
*/
export function openLink(sidecar: SidecarAddress, deps: LinkDeps): Link {
	const {metrics, follower} = deps;
	const sinceMs = deps.monotonicMs();
	const attempts = new Map<number, Attempt>();
	let connection: Connection | undefined;
	let peerIncarnation: string | undefined;
	let isLeaving = false;
	let isClosing = false;
	let isRetired = false;
	let isClosed = false;
	let lastAttempt = 0;
	let ownTokens = 0;
	let report: AgedReport | undefined;
	let health = healthy;

	const onFrame = (frame: Frame): void => {
		if (isGroupFrame(frame)) {
			metrics.count('frame_faults', {reason: 'unexpected'});
		} else {
			onPathFrame(frame);
		}
	};

	const onPathFrame = (frame: PathFrame): void => {
		switch (frame.kind) {
			case 'hello': {
				peerIncarnation = frame.incarnation;
				isLeaving = false;
				connection?.send(revisionMessage(follower, deps));
				break;
			}

			case 'head':
			case 'data':
			case 'end':
			case 'refused':
			case 'lost': {
				onAnswer(frame);
				break;
			}

			case 'load':
			case 'busy': {
				onLoad(frame);
				break;
			}

			case 'leaving': {
				isLeaving = true;
				isClosing = frame.isClosing === true;
				closeIfDone();
				break;
			}

			case 'revision':
			case 'pullConfig':
			case 'config': {
				const reply = onConfigMessage(frame, follower, deps);
				if (reply) {
					connection?.send(reply);
				}

				break;
			}

			case 'request':
			case 'cancel':
			case 'order':
			case 'orderReply': {
				metrics.count('frame_faults', {reason: 'unexpected'});
				break;
			}
		}
	};

	const onLoad = (frame: Extract<Frame, {kind: 'load' | 'busy'}>): void => {
		const told = frame.kind === 'load'
			? {outstandingTokens: frame.load.outstandingTokens, concurrency: frame.load.concurrency, isSaturated: frame.load.isBusy}
			: {outstandingTokens: frame.tokens, concurrency: report?.concurrency ?? 1, isSaturated: frame.isBusy};
		report = {...told, atMs: deps.monotonicMs(), ownTokensThen: ownTokens};
	};

	const onAnswer = (frame: Extract<Frame, {attempt: number}>): void => {
		const attempt = attempts.get(frame.attempt);
		if (!attempt) {
			metrics.count('late_answers', {kind: frame.kind});
			return;
		}

		switch (frame.kind) {
			case 'head': {
				attempt.sink.head(frame.status, frame.headers);
				break;
			}

			case 'data': {
				attempt.received += frame.bytes.length;
				attempt.sink.data(frame.bytes);
				break;
			}

			case 'end': {
				const isWhole = attempt.received === frame.length;
				attempt.finish(isWhole
					? {kind: 'answered'}
					: {
						kind: 'lost', reason: 'truncated', retryAfterMs: unknownRetryMs, detail: `${attempt.received} of ${frame.length} bytes`,
					});
				break;
			}

			case 'refused':
			case 'lost': {
				const {kind, attempt: _, ...rest} = frame;
				attempt.finish({kind, ...rest} as AttemptResult);
				break;
			}

			case 'request':
			case 'cancel': {
				break;
			}
		}
	};

	const serve = async (socket: Socket): Promise<void> => {
		connection = openConnection(socket);
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'entry', instance: deps.instance, incarnation: deps.incarnation,
			zone: deps.zone, sentMs: deps.monotonicMs(),
		});
		await serveFrames(socket, onFrame, fault => {
			metrics.count('frame_faults', {reason: fault});
		});
		connection = undefined;
		peerIncarnation = undefined;
		isClosing = false;
		report = undefined;
		for (const attempt of attempts.values()) {
			attempt.finish({kind: 'lost', reason: 'connectionLost', retryAfterMs: unknownRetryMs});
		}
	};

	const run = async (): Promise<void> => {
		for (let failures = 0; !isClosed;) {
			const socket = await openSocket(sidecar, deps.connectMs());
			if (socket && isClosed) {
				socket.destroy();
			} else if (socket) {
				failures = 0;
				await serve(socket);
			}

			failures++;
			await sleep(backoffMs(failures, {baseMs: firstReconnectMs, maxMs: maxReconnectMs, random: deps.random}), undefined, {ref: false});
		}
	};

	const isConnected = (): boolean => connection !== undefined && peerIncarnation !== undefined && !isClosing;

	const closeIfDone = (): void => {
		if (attempts.size > 0) {
			return;
		}

		isClosed ||= isRetired;
		if (isRetired || isClosing) {
			connection?.close();
		}
	};

	void run();

	return {
		sidecar,
		sinceMs,
		get usable() {
			return isConnected() && !isLeaving && !isRetired && !isClosed;
		},
		get connected() {
			return isConnected();
		},
		get ownTokens() {
			return ownTokens;
		},
		get report() {
			return report;
		},
		get health() {
			return health;
		},
		async attempt(request, sink, signal) {
			const open = connection;
			if (!open || peerIncarnation === undefined || isClosing) {
				return {kind: 'refused', reason: 'connectionLost', retryAfterMs: unknownRetryMs};
			}

			const number = ++lastAttempt;
			const incarnation = peerIncarnation;
			ownTokens += request.tokens;
			const result = await new Promise<AttemptResult>(resolve => {
				const giveUp = (): void => {
					open.send({kind: 'cancel', attempt: number});
					resolve({kind: 'lost', reason: signal.reason as LossReason, retryAfterMs: unknownRetryMs});
				};

				if (signal.aborted) {
					resolve({
						kind: 'refused', reason: 'connectionLost', retryAfterMs: unknownRetryMs, detail: 'given up before it was sent',
					});
					return;
				}

				signal.addEventListener('abort', giveUp, {once: true});
				attempts.set(number, {
					sink, received: 0, finish(ended) {
						signal.removeEventListener('abort', giveUp);
						resolve(ended);
					},
				});
				open.send({
					kind: 'request', attempt: number, incarnation, sentMs: deps.monotonicMs(), request,
				});
			});
			attempts.delete(number);
			closeIfDone();
			ownTokens -= request.tokens;
			health = nextHealth(health, result, deps);
			return result;
		},
		retire() {
			isRetired = true;
			closeIfDone();
		},
		send(frame) {
			connection?.send(frame);
		},
		close() {
			isClosed = true;
			connection?.close();
		},
	};
}

function nextHealth(health: Health, result: AttemptResult, deps: LinkDeps): Health {
	const isFault = (result.kind === 'lost' && result.reason !== 'callerGone')
		|| (result.kind === 'refused' && (result.reason === 'targetUnreachable' || result.reason === 'connectionLost'));
	if (isFault) {
		return afterFailure(health, deps.monotonicMs(), deps.ejection());
	}

	return result.kind === 'answered' ? afterSuccess() : health;
}

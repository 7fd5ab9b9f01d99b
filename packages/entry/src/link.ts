import {type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {onConfigMessage, revisionMessage, type Follower} from '@papayaflow/config';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {
	isGroupFrame, openConnection, openSocket, protocolVersion, serveFrames, type Connection, type Frame, type RequestPathFrame, type PeerRequest,
} from '@papayaflow/peer';
import {
	afterFailure, afterSuccess, backoffMs, healthy, type AgedReport, type EjectOptions, type Health,
} from '@papayaflow/policy';
import {type Containment, type Log, type Metrics} from '@papayaflow/telemetry';

/** The first backoff delay between two attempts to connect. */
const firstReconnectMs = 50;

/** The upper bound of the backoff delay between two attempts to connect. */
const maxReconnectMs = 2000;

/** The `retryAfterMs` of attempts that end without a `refused` or `lost` frame of the sidecar. */
const linkRetryAfterMs = 1000;

/** A sidecar as it appears in the instance list. */
export type SidecarAddress = {
	readonly id: string;
	readonly service: string;
	readonly zone: string;
	readonly address: string;
	readonly port: number;
};

/** Receives the answer of an attempt as its frames arrive. */
export type AttemptSink = {
	head(status: number, headers: Readonly<Record<string, string>>): void;
	data(bytes: Uint8Array): void;
};

/**
The result of an attempt. `refused` proves that this attempt did not run; after
`lost` it may have run. With the reason `wrongOwner`, `owner` is the sidecar that owns
the key's shard, and `standing` tells whether the store has just confirmed this.
*/
export type AttemptResult
	= | {readonly kind: 'answered'}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number; readonly detail?: string; readonly owner?: string; readonly standing?: boolean}
		| {readonly kind: 'lost'; readonly reason: LossReason; readonly retryAfterMs: number; readonly detail?: string};

/** The connection of one entry to one sidecar. */
export type Link = {
	readonly sidecar: SidecarAddress;
	/** When the link was opened, on the monotonic clock, for the slow start of its target. */
	readonly openedMs: number;
	/** Whether new work can be sent: connected, neither leaving nor retired. */
	readonly usable: boolean;
	/** Whether keyed calls can be sent: connected, its `hello` received, and not closing. A leaving sidecar may still own the shards of their keys. */
	readonly connected: boolean;
	/** The estimated tokens of this entry's attempts in flight on the link. */
	readonly ownTokens: number;
	readonly report: AgedReport | undefined;
	readonly health: Health;
	/**
	Makes one attempt. When `signal` aborts, the attempt is cancelled and resolves as
	`lost` at once. If `signal` is aborted already, nothing is sent and the attempt
	resolves as `refused`.
	*/
	attempt(request: PeerRequest, sink: AttemptSink, signal: AbortSignal): Promise<AttemptResult>;
	/** Stops taking new work and closes once the attempts in flight have ended. */
	retire(): void;
	/** Sends a frame that belongs to no attempt; dropped while the link is not connected. */
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
	readonly containment: Containment;
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
Opens a link and reconnects it until it is closed. Answer frames are matched to
attempts by the attempt number; a frame that matches no attempt is dropped and
counted as `late_answers`.

@example
const link = openLink(sidecar, deps);
const result = await link.attempt(request, sink, signal);
*/
export function openLink(sidecar: SidecarAddress, deps: LinkDeps): Link {
	const {metrics, follower} = deps;
	const openedMs = deps.monotonicMs();
	const attempts = new Map<number, Attempt>();
	let connection: Connection | undefined;
	let peerIncarnation: string | undefined;
	let isLeaving = false;
	let isClosing = false;
	let isRetired = false;
	let isClosed = false;
	let lastAttemptNumber = 0;
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

	const onPathFrame = (frame: RequestPathFrame): void => {
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
				closeIfIdle();
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
		const reported = frame.kind === 'load'
			? {outstandingTokens: frame.load.outstandingTokens, concurrency: frame.load.concurrency, isSaturated: frame.load.isBusy}
			: {outstandingTokens: frame.tokens, concurrency: report?.concurrency ?? 1, isSaturated: frame.isBusy};
		report = {...reported, atMs: deps.monotonicMs(), ownTokensThen: ownTokens};
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
						kind: 'lost', reason: 'truncated', retryAfterMs: linkRetryAfterMs, detail: `${attempt.received} of ${frame.length} bytes`,
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

	const serveConnection = async (socket: Socket): Promise<void> => {
		connection = openConnection(socket);
		connection.send({
			kind: 'hello', version: protocolVersion, role: 'entry', instance: deps.instance, incarnation: deps.incarnation,
			zone: deps.zone, sentMs: deps.monotonicMs(),
		});
		await serveFrames(socket, onFrame, fault => {
			metrics.count('frame_faults', {reason: fault});
		}, error => {
			deps.containment.report('frame', error);
		});
		connection = undefined;
		peerIncarnation = undefined;
		isClosing = false;
		report = undefined;
		for (const attempt of attempts.values()) {
			attempt.finish({kind: 'lost', reason: 'connectionLost', retryAfterMs: linkRetryAfterMs});
		}
	};

	const maintainConnection = async (): Promise<void> => {
		for (let failures = 0; !isClosed;) {
			const socket = await openSocket(sidecar, deps.connectMs());
			if (socket && isClosed) {
				socket.destroy();
			} else if (socket) {
				failures = 0;
				await serveConnection(socket);
			}

			failures++;
			await sleep(backoffMs(failures, {baseMs: firstReconnectMs, maxMs: maxReconnectMs, random: deps.random}), undefined, {ref: false});
		}
	};

	const isConnected = (): boolean => connection !== undefined && peerIncarnation !== undefined && !isClosing;

	const closeIfIdle = (): void => {
		if (attempts.size > 0) {
			return;
		}

		isClosed ||= isRetired;
		if (isRetired || isClosing) {
			connection?.close();
		}
	};

	void maintainConnection();

	return {
		sidecar,
		openedMs,
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
			const current = connection;
			if (!current || peerIncarnation === undefined || isClosing) {
				return {kind: 'refused', reason: 'connectionLost', retryAfterMs: linkRetryAfterMs};
			}

			const attemptNumber = ++lastAttemptNumber;
			const incarnation = peerIncarnation;
			ownTokens += request.tokens;
			const result = await new Promise<AttemptResult>(resolve => {
				const onAbort = (): void => {
					current.send({kind: 'cancel', attempt: attemptNumber});
					resolve({kind: 'lost', reason: signal.reason as LossReason, retryAfterMs: linkRetryAfterMs});
				};

				if (signal.aborted) {
					resolve({
						kind: 'refused', reason: 'connectionLost', retryAfterMs: linkRetryAfterMs, detail: 'given up before it was sent',
					});
					return;
				}

				signal.addEventListener('abort', onAbort, {once: true});
				attempts.set(attemptNumber, {
					sink, received: 0, finish(attemptResult) {
						signal.removeEventListener('abort', onAbort);
						resolve(attemptResult);
					},
				});
				current.send({
					kind: 'request', attempt: attemptNumber, incarnation, sentMs: deps.monotonicMs(), request,
				});
			});
			attempts.delete(attemptNumber);
			closeIfIdle();
			ownTokens -= request.tokens;
			health = nextHealth(health, result, deps);
			return result;
		},
		retire() {
			isRetired = true;
			closeIfIdle();
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
	const isTargetFault = (result.kind === 'lost' && result.reason !== 'callerGone')
		|| (result.kind === 'refused' && (result.reason === 'targetUnreachable' || result.reason === 'connectionLost'));
	if (isTargetFault) {
		return afterFailure(health, deps.monotonicMs(), deps.ejection());
	}

	return result.kind === 'answered' ? afterSuccess() : health;
}

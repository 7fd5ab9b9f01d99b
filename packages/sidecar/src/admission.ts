import {type RefusalReason} from '@papayaflow/outcome';
import {createFairQueue, type Queued} from '@papayaflow/policy';

/** Weight of a new sample in the moving averages of service time and time per cost. */
const smoothingFactor = 0.1;

/** How often queued requests are checked for deadlines that can no longer be met. */
const sweepIntervalMs = 10;

/** Lower bound of `retryAfterMs` in refusals. */
const minRetryAfterMs = 50;

/** Part of the concurrency that may still be in use when the busy state ends; less than 1, so that the state does not flap. */
const busyClearRatio = 0.8;

/** The properties of a request that admission control uses. */
export type AdmissionRequest = {
	readonly organisation: string;
	readonly weight: number;
	readonly priority: number;
	/** The expected work, in tokens; greater than 0. */
	readonly cost: number;
	/** When the caller stops waiting, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Aborts when the caller cancels the request or disconnects. */
	readonly signal: AbortSignal;
};

export type AdmissionResult
	= | {readonly kind: 'admitted'; readonly release: (answered: boolean) => void}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number};

export type AdmissionState = {
	readonly queued: number;
	readonly running: number;
	/** The expected work of queued and running requests, in tokens. */
	readonly outstandingTokens: number;
	/** The moving average of the time from admission to release of answered requests, in milliseconds; 0 before the first. */
	readonly serviceMs: number;
	/** Whether requests are queued, or were queued and most of the concurrency is still in use. */
	readonly isBusy: boolean;
};

export type AdmissionOptions = {
	readonly concurrency: () => number;
	readonly queueLimit: () => number;
	/** A monotonic clock, in milliseconds. */
	readonly monotonicMs: () => number;
};

export type Admission = {
	/**
	Waits for a free slot at the target. A request that can't meet its deadline is refused as soon as that is known.
	`release` must be called when an admitted request ends, with `true` if the target answered. Further calls of it have no effect.
	*/
	admit(request: AdmissionRequest): Promise<AdmissionResult>;
	/** Refuses all queued requests and every later one with `targetLeaving`. */
	close(): void;
	state(): AdmissionState;
};

type QueuedRequest = {readonly request: AdmissionRequest; readonly resolve: (result: AdmissionResult) => void};

/**
Creates the admission control of one target: a concurrency limit with a queue that is
fair between organisations.

@example
const admitted = await admission.admit(request);
if (admitted.kind === 'admitted') {
	…
	admitted.release(true);
}
*/
export function createAdmission(options: AdmissionOptions): Admission {
	let running = 0;
	let runningCost = 0;
	// Requests that can start at once also pass through the queue, so the free slots are added to its limit.
	const queue = createFairQueue<QueuedRequest>(() => options.queueLimit() + Math.max(0, options.concurrency() - running));
	let serviceMs = 0;
	// The moving average of the service time per token of cost.
	let msPerCost = 0;
	let isBusy = false;
	let isClosed = false;
	let sweepTimer: NodeJS.Timeout | undefined;

	const refuse = (waiting: QueuedRequest, reason: RefusalReason): void => {
		waiting.resolve({kind: 'refused', reason, retryAfterMs: retryAfterMs()});
	};

	// The estimated time until the requests queued now have been served.
	const retryAfterMs = (): number => Math.max(minRetryAfterMs, Math.round((queue.cost * msPerCost) / options.concurrency()));

	const missesDeadline = ({deadlineMs, cost}: {deadlineMs: number; cost: number}): boolean => options.monotonicMs() + (cost * msPerCost) > deadlineMs;

	const sweep = (): void => {
		for (const {value} of queue.removeWhere(item => missesDeadline(item))) {
			refuse(value, 'deadlineTooShort');
		}

		if (queue.length === 0) {
			clearInterval(sweepTimer);
			sweepTimer = undefined;
		}
	};

	const start = (item: Queued<QueuedRequest>): void => {
		const {request, resolve} = item.value;
		const startedMs = options.monotonicMs();
		running++;
		runningCost += request.cost;
		let isReleased = false;
		resolve({
			kind: 'admitted',
			release(answered) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				running--;
				runningCost -= request.cost;
				if (answered) {
					const elapsedMs = options.monotonicMs() - startedMs;
					serviceMs = serviceMs === 0 ? elapsedMs : serviceMs + ((elapsedMs - serviceMs) * smoothingFactor);
					const elapsedPerCostMs = elapsedMs / request.cost;
					msPerCost = msPerCost === 0 ? elapsedPerCostMs : msPerCost + ((elapsedPerCostMs - msPerCost) * smoothingFactor);
				}

				startQueued();
			},
		});
	};

	const startQueued = (): void => {
		sweep();
		while (running < options.concurrency()) {
			const next = queue.pop();
			if (!next) {
				return;
			}

			start(next);
		}
	};

	return {
		async admit(request) {
			return new Promise(resolve => {
				const onAbort = (): void => {
					if (queue.remove(waiting)) {
						refuse(waiting, 'withdrawn');
					}
				};

				const waiting: QueuedRequest = {
					request, resolve(result) {
						request.signal.removeEventListener('abort', onAbort);
						resolve(result);
					},
				};
				if (isClosed) {
					refuse(waiting, 'targetLeaving');
					return;
				}

				const queueWaitMs = (queue.costAhead(request.organisation, request.weight, request.priority) * msPerCost) / options.concurrency();
				const waitMs = running < options.concurrency() ? 0 : queueWaitMs;
				if (options.monotonicMs() + waitMs + (request.cost * msPerCost) > request.deadlineMs) {
					refuse(waiting, 'deadlineTooShort');
					return;
				}

				request.signal.addEventListener('abort', onAbort, {once: true});
				const pushed = queue.push({value: waiting, ...request});
				startQueued();
				if (pushed.kind === 'evicted') {
					refuse(pushed.evicted.value, 'queueFull');
				}

				if (queue.length > 0) {
					sweepTimer ??= setInterval(sweep, sweepIntervalMs).unref();
				}
			});
		},
		close() {
			isClosed = true;
			for (const {value} of queue.removeWhere(() => true)) {
				refuse(value, 'targetLeaving');
			}
		},
		state() {
			isBusy = queue.length > 0 || (isBusy && running > options.concurrency() * busyClearRatio);
			return {
				queued: queue.length, running, outstandingTokens: queue.cost + runningCost, serviceMs, isBusy,
			};
		},
	};
}

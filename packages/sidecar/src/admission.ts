import {type RefusalReason} from '@papayaflow/outcome';
import {createFairQueue, type Queued} from '@papayaflow/policy';

const smoothing = 0.1;
const sweepMs = 10;
const leastRetryMs = 50;
const roomyPart = 0.8;

/** What a request brings to admission. */
export type Arrival = {
	readonly organisation: string;
	readonly weight: number;
	readonly priority: number;
	readonly cost: number;
	/** When its caller stops waiting, on the monotonic clock, in milliseconds. */
	readonly deadlineMs: number;
	/** Fires when its caller is gone. */
	readonly signal: AbortSignal;
};

export type Admitted
	= | {readonly kind: 'admitted'; readonly release: (answered: boolean) => void}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs: number};

export type AdmissionState = {
	readonly queued: number;
	readonly running: number;
	readonly outstandingTokens: number;
	readonly serviceMs: number;
	/** Whether work waits, or has waited and there is little room yet. */
	readonly isBusy: boolean;
};

export type AdmissionOptions = {
	readonly concurrency: () => number;
	readonly queueLimit: () => number;
	/** A clock that never goes back, in milliseconds. */
	readonly monotonicMs: () => number;
};

export type Admission = {
	/** Waits for a place at the target; a request that can't make its deadline is refused as soon as that is known. */
	admit(arrival: Arrival): Promise<Admitted>;
	/** Refuses all that waits and all that comes from now on. */
	close(): void;
	state(): AdmissionState;
};

type Waiting = {readonly arrival: Arrival; readonly resolve: (admitted: Admitted) => void};

/**
Makes the admission before one target: a number of places, and before them a
queue that is fair between organisations.

@example
const admitted = await admission.admit(arrival);
if (admitted.kind === 'admitted') {
	…
	admitted.release(true);
}
*/
export function createAdmission(options: AdmissionOptions): Admission {
	let running = 0;
	let runningCost = 0;
	// What can start at once passes through the queue without counting against its limit.
	const queue = createFairQueue<Waiting>(() => options.queueLimit() + Math.max(0, options.concurrency() - running));
	let serviceMs = 0;
	let msPerCost = 0;
	let isBusy = false;
	let isClosed = false;
	let sweeper: NodeJS.Timeout | undefined;

	const refuse = (waiting: Waiting, reason: RefusalReason): void => {
		waiting.resolve({kind: 'refused', reason, retryAfterMs: retryAfterMs()});
	};

	// How long until the work that waits now has been served.
	const retryAfterMs = (): number => Math.max(leastRetryMs, Math.round((queue.cost * msPerCost) / options.concurrency()));

	const isHopeless = ({deadlineMs, cost}: {deadlineMs: number; cost: number}): boolean => options.monotonicMs() + (cost * msPerCost) > deadlineMs;

	const sweep = (): void => {
		for (const {value} of queue.sweep(item => isHopeless(item))) {
			refuse(value, 'deadlineTooShort');
		}

		if (queue.length === 0) {
			clearInterval(sweeper);
			sweeper = undefined;
		}
	};

	const start = (item: Queued<Waiting>): void => {
		const {arrival, resolve} = item.value;
		const startedMs = options.monotonicMs();
		running++;
		runningCost += arrival.cost;
		let isReleased = false;
		resolve({
			kind: 'admitted',
			release(answered) {
				if (isReleased) {
					return;
				}

				isReleased = true;
				running--;
				runningCost -= arrival.cost;
				if (answered) {
					const took = options.monotonicMs() - startedMs;
					serviceMs = serviceMs === 0 ? took : serviceMs + ((took - serviceMs) * smoothing);
					const perCost = took / arrival.cost;
					msPerCost = msPerCost === 0 ? perCost : msPerCost + ((perCost - msPerCost) * smoothing);
				}

				fill();
			},
		});
	};

	const fill = (): void => {
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
		async admit(arrival) {
			return new Promise(resolve => {
				const onAbort = (): void => {
					if (queue.remove(waiting)) {
						refuse(waiting, 'withdrawn');
					}
				};

				const waiting: Waiting = {
					arrival, resolve(admitted) {
						arrival.signal.removeEventListener('abort', onAbort);
						resolve(admitted);
					},
				};
				if (isClosed) {
					refuse(waiting, 'targetLeaving');
					return;
				}

				const aheadMs = (queue.costAhead(arrival.organisation, arrival.weight, arrival.priority) * msPerCost) / options.concurrency();
				const waitMs = running < options.concurrency() ? 0 : aheadMs;
				if (options.monotonicMs() + waitMs + (arrival.cost * msPerCost) > arrival.deadlineMs) {
					refuse(waiting, 'deadlineTooShort');
					return;
				}

				arrival.signal.addEventListener('abort', onAbort, {once: true});
				const pushed = queue.push({value: waiting, ...arrival});
				fill();
				if (pushed.kind === 'evicted') {
					refuse(pushed.evicted.value, 'queueFull');
				}

				if (queue.length > 0) {
					sweeper ??= setInterval(sweep, sweepMs).unref();
				}
			});
		},
		close() {
			isClosed = true;
			for (const {value} of queue.sweep(() => true)) {
				refuse(value, 'targetLeaving');
			}
		},
		state() {
			isBusy = queue.length > 0 || (isBusy && running > options.concurrency() * roomyPart);
			return {
				queued: queue.length, running, outstandingTokens: queue.cost + runningCost, serviceMs, isBusy,
			};
		},
	};
}

import {type IncomingMessage, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';

/** A target that says in its answers what it takes, may crash on requests, and records what it gets. */
export type LimitedTarget = {
	/** The value of `Server-Limit` in each answer; `undefined` sends no such header. */
	limit: string | undefined;
	/** The value of `Server-Leaving` in each answer; `undefined` sends no such header. */
	leaving: string | undefined;
	/** The value of `Retry-After` with which the target turns away each request; `undefined` runs it. */
	turnsAwayFor: string | undefined;
	/** The time that each request takes, in milliseconds. */
	workMs: number;
	/** When each request arrived, in milliseconds of the monotonic clock. */
	readonly arrivalsMs: number[];
	/** When the target turned away a request, in milliseconds of the monotonic clock. */
	readonly refusalsMs: number[];
	/** The ids of all requests that have arrived. */
	readonly requestIds: Set<string>;
	/** The target calls `crash` when it begins to answer a prompt with one of these parts before its last part. */
	readonly crashingParts: Set<string>;
	/** The target calls `crash` when it begins to answer a request of one of these paths. */
	readonly crashingPaths: Set<string>;
	/** When each request that crashes the target arrived, in milliseconds of the monotonic clock. */
	readonly crashingArrivalsMs: number[];
	/** Closes all connections of the target; replaced by what runs its server. */
	crash: () => void;
	handle(req: IncomingMessage, res: ServerResponse): Promise<void>;
};

/**
Creates the request handler of a target that serves every request, whatever limit it
names. It answers with one event, which is also a valid body of a call that is not a stream.

@example
const target = createLimitedTarget({limit: '2'});
createServer(target.handle).listen(8000, '127.0.0.1');
*/
export function createLimitedTarget({limit, workMs = 5}: {readonly limit?: string; readonly workMs?: number} = {}): LimitedTarget {
	const target: LimitedTarget = {
		limit, workMs, leaving: undefined, turnsAwayFor: undefined, arrivalsMs: [], refusalsMs: [], requestIds: new Set(), crashingParts: new Set(), crashingPaths: new Set(), crashingArrivalsMs: [],
		crash: () => undefined,
		async handle(req, res) {
			target.arrivalsMs.push(performance.now());
			target.requestIds.add(String(req.headers['x-request-id']));
			const parts = String(req.headers['x-prompt-prefix'] ?? '').split(',').slice(0, -1).map(part => part.split(':', 1)[0]);
			const isCrashing = parts.some(part => target.crashingParts.has(part)) || target.crashingPaths.has(req.url ?? '');
			if (isCrashing) {
				target.crashingArrivalsMs.push(performance.now());
			}

			req.resume();
			const notices = {
				'x-request-id': req.headers['x-request-id'] ?? '',
				...(target.limit !== undefined && {'server-limit': target.limit}),
				...(target.leaving !== undefined && {'server-leaving': target.leaving}),
			};
			if (target.turnsAwayFor !== undefined) {
				target.refusalsMs.push(performance.now());
				res.writeHead(503, {
					...notices, 'x-not-executed': '1', 'retry-after': target.turnsAwayFor, 'content-length': 0,
				});
				res.end();
				return;
			}

			await sleep(target.workMs);
			if (isCrashing && !res.destroyed) {
				target.crash();
				return;
			}

			const body = 'id: 1\ndata: piece\n\n';
			res.writeHead(200, {
				...notices, 'content-type': 'text/event-stream', 'content-length': body.length, 'x-replica-seal': 's',
			});
			res.end(body);
		},
	};
	return target;
}

/**
Returns the most arrivals in any span of `spanMs` milliseconds.

@example
mostArrivals([0, 10, 500], 100); // 2
*/
export function mostArrivals(arrivalsMs: readonly number[], spanMs: number): number {
	const sorted = arrivalsMs.toSorted((a, b) => a - b);
	let most = 0;
	let first = 0;
	for (const [last, atMs] of sorted.entries()) {
		while (sorted[first] < atMs - spanMs) {
			first++;
		}

		most = Math.max(most, last - first + 1);
	}

	return most;
}

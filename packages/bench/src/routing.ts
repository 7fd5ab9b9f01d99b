import {
	afterFailure, afterSuccess, healthy, pickTarget, pickSubset, withoutEjected, type AgedReport, type Health,
} from '@papayaflow/policy';
import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {createEventQueue} from './events.js';

const msPerToken = 4.5;
const meanTokens = 200;
const coldPrefillMs = 120;
const warmPrefillMs = 15;
const replicaConcurrency = 32;
const cacheCapacity = 60;
const prefixCount = 400;
const saturationClearRatio = 0.8;
const recentUseMs = 2000;
const zoneHopMs = 1;
const endMs = 40_000;
const warmUpMs = 8000;
const firstTokenTimeoutMs = 3000;
const zoneLossAtMs = 20_000;
const zoneNames = ['a', 'b', 'c'];
const ejection = {ejectAfterFailures: 5, ejectMs: 5000, maxEjectedRatio: 0.5};

export type Condition = 'ordinary' | 'slow replica' | 'stalled replica' | 'zone lost' | 'reports 2 s late';

export const conditions = ['ordinary', 'slow replica', 'stalled replica', 'zone lost', 'reports 2 s late'] as const satisfies readonly Condition[];

export type RouterName = 'round robin' | 'random' | 'least outstanding' | 'ours';

export type RoutingRun = {
	/** Percentiles of the time to the first token, in milliseconds. */
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	/** The share of requests whose prefix was cached at their target. */
	readonly cacheHitRatio: number;
	/** The highest number of tokens that a healthy replica generated, divided by the mean over the healthy replicas. */
	readonly imbalance: number;
	/** The share of requests without a first token after three seconds. */
	readonly lateRatio: number;
	/** The mean number of saturation notices (start or end) per second that an entry receives, besides the load reports on answers. */
	readonly loadPushesPerSecond: number;
};

type Replica = {
	readonly id: string;
	readonly zone: string;
	busy: number;
	queue: Array<() => void>;
	tokens: number;
	done: number;
	slowdownFactor: number;
	isGone: boolean;
	isSaturated: boolean;
	readonly cache: Set<string>;
};

type TargetView = {readonly replica: Replica; ownTokens: number; report: AgedReport | undefined; health: Health; lastUsedMs: number; isNotified: boolean};

type Entry = {readonly zone: string; readonly views: readonly TargetView[]; nextIndex: number};

export type RoutingSize = {readonly replicas: number; readonly entries: number; readonly subsetSize: number; readonly load: number};

/**
Routes requests through entries to replicas in virtual time. A replica serves up to
32 requests at once and queues the rest. The time to the first token is the queueing
time plus the prefill time, which is shorter when the prefix is cached.
*/
export function runRouting(router: RouterName, condition: Condition, size: RoutingSize, seed: number): RoutingRun {
	const random = seededRandom(seed);
	const events = createEventQueue();
	const replicas: Replica[] = Array.from({length: size.replicas}, (_, index) => ({
		id: `replica-${index}`, zone: zoneNames[index % zoneNames.length], busy: 0, queue: [], tokens: 0, done: 0, slowdownFactor: 1, isGone: false, isSaturated: false, cache: new Set(),
	}));
	const entries: Entry[] = Array.from({length: size.entries}, (_, index) => ({
		zone: zoneNames[index % zoneNames.length], nextIndex: Math.floor(random() * size.replicas),
		views: pickSubset(`entry-${index}`, replicas, size.subsetSize).map(replica => ({
			replica, ownTokens: 0, report: undefined, health: healthy, lastUsedMs: Number.NEGATIVE_INFINITY, isNotified: false,
		})),
	}));
	const reportLagMs = condition === 'reports 2 s late' ? 2000 : 1;
	applyCondition(condition, replicas, events);

	const viewsOf = new Map<Replica, TargetView[]>();
	for (const view of entries.flatMap(entry => entry.views)) {
		const views = viewsOf.get(view.replica) ?? [];
		views.push(view);
		viewsOf.set(view.replica, views);
	}

	const firstTokenMs: number[] = [];
	let pushCount = 0;
	let hitCount = 0;
	let lateCount = 0;
	let measuredCount = 0;

	const pick = (entry: Entry, prefix: string): TargetView | undefined => {
		const usable = entry.views.filter(({replica}) => !replica.isGone);
		switch (router) {
			case 'round robin': {
				return usable[entry.nextIndex++ % usable.length];
			}

			case 'random': {
				return usable[Math.floor(random() * usable.length)];
			}

			case 'least outstanding': {
				return usable.toSorted((a, b) => a.replica.tokens - b.replica.tokens)[0];
			}

			case 'ours': {
				const healthyViews = withoutEjected(usable, events.nowMs, ejection);
				const picked = pickTarget(healthyViews.map(({replica, ownTokens, report}) => ({
					id: replica.id, zone: replica.zone, ownTokens, report, sinceMs: Number.NEGATIVE_INFINITY,
				})), {
					nowMs: events.nowMs, random, zone: entry.zone, reportMaxAgeMs: 2000, zoneBias: 0.3, slowStartMs: 0, affinityKey: prefix, affinityLoadFactor: 1.25,
				});
				return healthyViews.find(({replica}) => replica.id === picked?.id);
			}
		}
	};

	// A replica is saturated from the time when requests start to queue until its utilization has fallen to
	// `saturationClearRatio` or below. It pushes each change to entries.
	const onLoadChange = (replica: Replica): void => {
		const isSaturated = replica.queue.length > 0 || (replica.isSaturated && replica.busy > replicaConcurrency * saturationClearRatio);
		if (isSaturated === replica.isSaturated) {
			return;
		}

		replica.isSaturated = isSaturated;
		// The start of saturation is sent to the entries that used the replica lately; the end, to the entries that got the start.
		const notifiedViews = (viewsOf.get(replica) ?? []).filter(view => isSaturated ? events.nowMs - view.lastUsedMs < recentUseMs : view.isNotified);
		pushCount += notifiedViews.length;
		for (const view of notifiedViews) {
			view.isNotified = isSaturated;
		}

		events.at(events.nowMs + reportLagMs, () => {
			for (const view of notifiedViews) {
				view.report = {
					outstandingTokens: replica.tokens, concurrency: replicaConcurrency, atMs: events.nowMs, ownTokensThen: view.ownTokens, isSaturated,
				};
			}
		});
	};

	const serve = (entry: Entry, view: TargetView, prefix: string, arrivedMs: number): void => {
		const {replica} = view;
		const tokens = 1 + Math.floor(exponential(random) * meanTokens);
		const hopMs = replica.zone === entry.zone ? 0 : 2 * zoneHopMs;
		let hasFirstToken = false;
		let isReleased = false;
		replica.tokens += tokens;
		view.ownTokens += tokens;
		view.lastUsedMs = events.nowMs;
		const recordFirstToken = (waitedMs: number): void => {
			if (arrivedMs >= warmUpMs) {
				measuredCount++;
				lateCount += waitedMs >= firstTokenTimeoutMs ? 1 : 0;
				firstTokenMs.push(waitedMs);
			}
		};

		const releaseOwnTokens = (): void => {
			if (!isReleased) {
				isReleased = true;
				view.ownTokens -= tokens;
			}
		};

		// A request without a first token after three seconds counts as a failure of its target.
		events.at(arrivedMs + firstTokenTimeoutMs, () => {
			if (!hasFirstToken) {
				hasFirstToken = true;
				view.health = afterFailure(view.health, events.nowMs, ejection);
				recordFirstToken(firstTokenTimeoutMs);
				releaseOwnTokens();
			}
		});
		startOrQueue(replica, events, onLoadChange, () => {
			const isHit = replica.cache.has(prefix);
			cachePrefix(replica, prefix);
			const prefillMs = (isHit ? warmPrefillMs : coldPrefillMs) * replica.slowdownFactor;
			hitCount += arrivedMs >= warmUpMs && isHit ? 1 : 0;
			events.at(events.nowMs + prefillMs + hopMs, () => {
				if (!hasFirstToken && !replica.isGone) {
					hasFirstToken = true;
					view.health = afterSuccess();
					recordFirstToken(events.nowMs - arrivedMs);
				}
			});
			events.at(events.nowMs + prefillMs + (tokens * msPerToken * replica.slowdownFactor), () => {
				replica.tokens -= tokens;
				replica.done += tokens;
				startNextOrFree(replica, onLoadChange);
				releaseOwnTokens();
				const report = {
					outstandingTokens: replica.tokens, concurrency: replicaConcurrency, atMs: events.nowMs, ownTokensThen: view.ownTokens, isSaturated: replica.isSaturated,
				};
				events.at(events.nowMs + reportLagMs, () => {
					view.report = report;
				});
			});
		});
	};

	const capacityPerMs = size.replicas * replicaConcurrency / ((meanTokens * msPerToken) + warmPrefillMs);
	const sendAndScheduleNext = (): void => {
		const entry = entries[Math.floor(random() * entries.length)];
		const prefix = `prefix-${Math.floor(prefixCount * (random() ** 2))}`;
		const view = pick(entry, prefix);
		if (view) {
			serve(entry, view, prefix, events.nowMs);
		}

		events.at(events.nowMs + (exponential(random) / (capacityPerMs * size.load)), sendAndScheduleNext);
	};

	sendAndScheduleNext();
	events.runUntil(endMs);
	const healthyWork = replicas.filter(({slowdownFactor, isGone}) => slowdownFactor === 1 && !isGone).map(({done}) => done);
	return {
		p50: quantile(firstTokenMs, 0.5), p95: quantile(firstTokenMs, 0.95), p99: quantile(firstTokenMs, 0.99),
		cacheHitRatio: hitCount / measuredCount,
		imbalance: Math.max(...healthyWork) / (healthyWork.reduce((sum, done) => sum + done, 0) / healthyWork.length), lateRatio: lateCount / measuredCount,
		loadPushesPerSecond: pushCount / size.entries / (endMs / 1000),
	};
}

function applyCondition(condition: Condition, replicas: readonly Replica[], events: ReturnType<typeof createEventQueue>): void {
	switch (condition) {
		case 'slow replica': {
			replicas[0].slowdownFactor = 4;
			break;
		}

		case 'stalled replica': {
			events.at(warmUpMs, () => {
				replicas[0].slowdownFactor = 1e6;
			});
			break;
		}

		case 'zone lost': {
			events.at(zoneLossAtMs, () => {
				for (const replica of replicas.filter(({zone}) => zone === zoneNames[0])) {
					replica.isGone = true;
				}
			});
			break;
		}

		case 'ordinary':
		case 'reports 2 s late': {
			break;
		}
	}
}

function startOrQueue(replica: Replica, events: ReturnType<typeof createEventQueue>, onLoadChange: (replica: Replica) => void, start: () => void): void {
	if (replica.busy < replicaConcurrency) {
		replica.busy++;
		events.at(events.nowMs, start);
		return;
	}

	replica.queue.push(start);
	onLoadChange(replica);
}

function startNextOrFree(replica: Replica, onLoadChange: (replica: Replica) => void): void {
	const next = replica.queue.shift();
	if (next) {
		next();
	} else {
		replica.busy--;
	}

	onLoadChange(replica);
}

function cachePrefix(replica: Replica, prefix: string): void {
	replica.cache.delete(prefix);
	replica.cache.add(prefix);
	if (replica.cache.size > cacheCapacity) {
		replica.cache.delete([...replica.cache][0]);
	}
}

import {
	afterFailure, afterSuccess, healthy, pickTarget, subset, withoutEjected, type AgedReport, type Health,
} from '@papayaflow/policy';
import {exponential, quantile, seededRandom} from '@papayaflow/standins';
import {createEvents} from './events.js';

const stepMs = 4.5;
const meanTokens = 200;
const coldPrefillMs = 120;
const warmPrefillMs = 15;
const slots = 32;
const cachedPrefixes = 60;
const prefixes = 400;
const roomyPart = 0.8;
const recentMs = 2000;
const zoneHopMs = 1;
const endMs = 40_000;
const warmUpMs = 8000;
const giveUpMs = 3000;
const zoneLostMs = 20_000;
const zoneNames = ['a', 'b', 'c'];
const ejection = {ejectAfterFailures: 5, ejectMs: 5000, maxEjectedRatio: 0.5};

export type Condition = 'ordinary' | 'slow replica' | 'stalled replica' | 'zone lost' | 'reports 2 s late';

export const conditions = ['ordinary', 'slow replica', 'stalled replica', 'zone lost', 'reports 2 s late'] as const satisfies readonly Condition[];

export type RouterName = 'round robin' | 'random' | 'least outstanding' | 'ours';

export type RoutingRun = {
	readonly p50: number;
	readonly p95: number;
	readonly p99: number;
	readonly cacheHits: number;
	/** The greatest over the mean of the work done by the targets that were sound. */
	readonly imbalance: number;
	/** Requests that waited for a first token longer than three seconds, of all. */
	readonly late: number;
	/** Notices of load that an entry got beside its answers, a second. */
	readonly pushes: number;
};

type Replica = {
	readonly id: string;
	readonly zone: string;
	busy: number;
	queue: Array<() => void>;
	tokens: number;
	done: number;
	factor: number;
	isGone: boolean;
	isSaturated: boolean;
	readonly cache: Set<string>;
};

type View = {readonly replica: Replica; ownTokens: number; report: AgedReport | undefined; health: Health; usedMs: number; isTold: boolean};

type Entry = {readonly zone: string; readonly views: readonly View[]; turn: number};

export type RoutingSize = {readonly replicas: number; readonly entries: number; readonly subsetSize: number; readonly load: number};

/**
Runs requests through entries to replicas in virtual time: a replica serves up to
32 at once and queues the rest; a first token takes the wait and the prefill, which
is short where the prefix is cached.
*/
export function runRouting(router: RouterName, condition: Condition, size: RoutingSize, seed: number): RoutingRun {
	const random = seededRandom(seed);
	const events = createEvents();
	const replicas: Replica[] = Array.from({length: size.replicas}, (_, index) => ({
		id: `replica-${index}`, zone: zoneNames[index % zoneNames.length], busy: 0, queue: [], tokens: 0, done: 0, factor: 1, isGone: false, isSaturated: false, cache: new Set(),
	}));
	const entries: Entry[] = Array.from({length: size.entries}, (_, index) => ({
		zone: zoneNames[index % zoneNames.length], turn: Math.floor(random() * size.replicas),
		views: subset(`entry-${index}`, replicas, size.subsetSize).map(replica => ({
			replica, ownTokens: 0, report: undefined, health: healthy, usedMs: Number.NEGATIVE_INFINITY, isTold: false,
		})),
	}));
	const reportLagMs = condition === 'reports 2 s late' ? 2000 : 1;
	applyCondition(condition, replicas, events);

	const viewsOf = new Map<Replica, View[]>();
	for (const view of entries.flatMap(entry => entry.views)) {
		const views = viewsOf.get(view.replica) ?? [];
		views.push(view);
		viewsOf.set(view.replica, views);
	}

	const firstTokenMs: number[] = [];
	let pushes = 0;
	let hits = 0;
	let late = 0;
	let measured = 0;

	const pick = (entry: Entry, prefix: string): View | undefined => {
		const usable = entry.views.filter(({replica}) => !replica.isGone);
		switch (router) {
			case 'round robin': {
				return usable[entry.turn++ % usable.length];
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

	// A replica tells all that are connected when work begins to wait, and when it has room again.
	const onLoadChange = (replica: Replica): void => {
		const isSaturated = replica.queue.length > 0 || (replica.isSaturated && replica.busy > slots * roomyPart);
		if (isSaturated === replica.isSaturated) {
			return;
		}

		replica.isSaturated = isSaturated;
		// Told are those that used it lately, and of the end of it those that were told.
		const told = (viewsOf.get(replica) ?? []).filter(view => isSaturated ? events.nowMs - view.usedMs < recentMs : view.isTold);
		pushes += told.length;
		for (const view of told) {
			view.isTold = isSaturated;
		}

		events.at(events.nowMs + reportLagMs, () => {
			for (const view of told) {
				view.report = {
					outstandingTokens: replica.tokens, concurrency: slots, atMs: events.nowMs, ownTokensThen: view.ownTokens, isSaturated,
				};
			}
		});
	};

	const serve = (entry: Entry, view: View, prefix: string, arrivedMs: number): void => {
		const {replica} = view;
		const tokens = 1 + Math.floor(exponential(random) * meanTokens);
		const hopMs = replica.zone === entry.zone ? 0 : 2 * zoneHopMs;
		let hasFirst = false;
		let isOver = false;
		replica.tokens += tokens;
		view.ownTokens += tokens;
		view.usedMs = events.nowMs;
		const note = (waitedMs: number): void => {
			if (arrivedMs >= warmUpMs) {
				measured++;
				late += waitedMs >= giveUpMs ? 1 : 0;
				firstTokenMs.push(waitedMs);
			}
		};

		const end = (): void => {
			if (!isOver) {
				isOver = true;
				view.ownTokens -= tokens;
			}
		};

		// What has no first token after three seconds counts as a failure of its target.
		events.at(arrivedMs + giveUpMs, () => {
			if (!hasFirst) {
				hasFirst = true;
				view.health = afterFailure(view.health, events.nowMs, ejection);
				note(giveUpMs);
				end();
			}
		});
		enter(replica, events, onLoadChange, () => {
			const isHit = replica.cache.has(prefix);
			remember(replica, prefix);
			const prefillMs = (isHit ? warmPrefillMs : coldPrefillMs) * replica.factor;
			hits += arrivedMs >= warmUpMs && isHit ? 1 : 0;
			events.at(events.nowMs + prefillMs + hopMs, () => {
				if (!hasFirst && !replica.isGone) {
					hasFirst = true;
					view.health = afterSuccess();
					note(events.nowMs - arrivedMs);
				}
			});
			events.at(events.nowMs + prefillMs + (tokens * stepMs * replica.factor), () => {
				replica.tokens -= tokens;
				replica.done += tokens;
				leave(replica, onLoadChange);
				end();
				const report = {
					outstandingTokens: replica.tokens, concurrency: slots, atMs: events.nowMs, ownTokensThen: view.ownTokens, isSaturated: replica.isSaturated,
				};
				events.at(events.nowMs + reportLagMs, () => {
					view.report = report;
				});
			});
		});
	};

	const capacityPerMs = size.replicas * slots / ((meanTokens * stepMs) + warmPrefillMs);
	const arrive = (): void => {
		const entry = entries[Math.floor(random() * entries.length)];
		const prefix = `prefix-${Math.floor(prefixes * (random() ** 2))}`;
		const view = pick(entry, prefix);
		if (view) {
			serve(entry, view, prefix, events.nowMs);
		}

		events.at(events.nowMs + (exponential(random) / (capacityPerMs * size.load)), arrive);
	};

	arrive();
	events.runUntil(endMs);
	const sound = replicas.filter(({factor, isGone}) => factor === 1 && !isGone).map(({done}) => done);
	return {
		p50: quantile(firstTokenMs, 0.5), p95: quantile(firstTokenMs, 0.95), p99: quantile(firstTokenMs, 0.99),
		cacheHits: hits / measured, imbalance: Math.max(...sound) / (sound.reduce((sum, done) => sum + done, 0) / sound.length), late: late / measured,
		pushes: pushes / size.entries / (endMs / 1000),
	};
}

function applyCondition(condition: Condition, replicas: readonly Replica[], events: ReturnType<typeof createEvents>): void {
	switch (condition) {
		case 'slow replica': {
			replicas[0].factor = 4;
			break;
		}

		case 'stalled replica': {
			events.at(warmUpMs, () => {
				replicas[0].factor = 1e6;
			});
			break;
		}

		case 'zone lost': {
			events.at(zoneLostMs, () => {
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

function enter(replica: Replica, events: ReturnType<typeof createEvents>, onLoadChange: (replica: Replica) => void, start: () => void): void {
	if (replica.busy < slots) {
		replica.busy++;
		events.at(events.nowMs, start);
		return;
	}

	replica.queue.push(start);
	onLoadChange(replica);
}

function leave(replica: Replica, onLoadChange: (replica: Replica) => void): void {
	const next = replica.queue.shift();
	if (next) {
		next();
	} else {
		replica.busy--;
	}

	onLoadChange(replica);
}

function remember(replica: Replica, prefix: string): void {
	replica.cache.delete(prefix);
	replica.cache.add(prefix);
	if (replica.cache.size > cachedPrefixes) {
		replica.cache.delete([...replica.cache][0]);
	}
}

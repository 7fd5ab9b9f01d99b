import {
	copySince, createMirror, followStore, takeCopy,
} from '@papayaflow/mirror';
import {
	handleFrame, type Frame, type FrameHandlers, type Peer,
} from '@papayaflow/peer';
import {
	configurationKey, decodeConfiguration, decodeRegistration, registrationPrefix,
} from '@papayaflow/platform';
import {
	createRouteTable, isSameTarget, type RouteTable, type TargetRecord,
} from '@papayaflow/routing';
import {type Entry, type Store} from '@papayaflow/store';
import {type Log, type Metrics} from '@papayaflow/telemetry';

/** How long a look at the store waits for a change, in milliseconds: a connection that was cut silently is noticed after it. */
const watchMs = 2000;

/** How long a target whose registration lapsed during an outage may take to register again, in milliseconds: twice what the platform promises, as clocks and calls are late too. */
const returnMs = 2500;

/** How often a process tells its peers what it knows where nothing changes, in milliseconds. */
const tellMs = 1000;

/** How long a process that is fed by peers goes without a word before it asks the store itself, in milliseconds. */
const unfedMs = 2500;

export type DirectoryDeps = {
	readonly store: Store;
	readonly pauseMs: number;
	/** Whether this process leaves the store to its peers while they tell it what they know. */
	readonly isFed: boolean;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	readonly onTable: (table: RouteTable) => void;
	readonly onRecords: (records: readonly TargetRecord[]) => void;
};

/** What this process knows of configuration and targets, from the store and from its peers. */
export type Directory = {
	table(): RouteTable | undefined;
	records(): readonly TargetRecord[];
	revision(): number;
	onUp(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Takes a frame of a peer; `false` when it is not about the directory. */
	onFrame(peer: Peer, frame: Frame): boolean;
	stop(): void;
};

/**
Follows the store, or peers where the store can't be asked, and tells peers of what
it knows. Nothing of an older version takes the place of a newer one.

@example
const directory = openDirectory(deps);
*/
export function openDirectory(deps: DirectoryDeps): Directory {
	const {log, metrics, monotonicMs} = deps;
	const peers = new Set<Peer>();
	const malformed = new Map<string, number>();
	let table: RouteTable | undefined;
	let records: readonly TargetRecord[] = [];
	let fedMs = deps.isFed ? Number.NEGATIVE_INFINITY : 0;
	let isLost = true;

	const mirror = createMirror({isSame: isSameEntry});
	mirror.onChange(({changes}) => {
		for (const change of changes) {
			if (change.kind === 'written' && change.entry.key === configurationKey) {
				takeConfiguration(change.entry);
			}
		}

		if (changes.some(change => (change.kind === 'written' ? change.entry.key : change.key).startsWith(registrationPrefix))) {
			takeRegistrations();
		}

		tell();
	});

	const takeConfiguration = (entry: Entry): void => {
		const result = decodeConfiguration(entry.value);
		if (result.kind === 'malformed') {
			metrics.count('configurations_malformed');
			log.error({revision: entry.revision, detail: result.detail}, 'configuration malformed; the one before stays in force');
			return;
		}

		table = createRouteTable(result.configuration);
		metrics.gauge('config_version', result.configuration.version);
		log.info({
			version: result.configuration.version, revision: entry.revision, routes: result.configuration.routes.length, skippedRoutes: result.skippedRoutes,
		}, 'configuration applied');
		deps.onTable(table);
	};

	const takeRegistrations = (): void => {
		const next: TargetRecord[] = [];
		for (const {key, value, revision} of mirror.entries()) {
			if (!key.startsWith(registrationPrefix)) {
				continue;
			}

			const result = decodeRegistration(key, value, revision);
			if (result.kind === 'target') {
				next.push(result.target);
			} else if (malformed.get(key) !== revision) {
				malformed.set(key, revision);
				metrics.count('registrations_malformed');
				log.warn({key, revision, detail: result.detail}, 'registration malformed; it names no target');
			}
		}

		records = next;
		deps.onRecords(records);
	};

	const tell = (): void => {
		for (const peer of peers) {
			peer.send({kind: 'known', changedAt: mirror.changedAt()});
		}
	};

	const isReader = (): boolean => !deps.isFed || monotonicMs() - fedMs > unfedMs;

	void followStore(deps.store, mirror, {
		// One watch covers configuration and registrations, since each answer is a call.
		prefix: '', pauseMs: deps.pauseMs, waitMs: watchMs, returnMs, isReader, nowMs: monotonicMs, random: deps.random, sleep: deps.sleep, signal: deps.signal,
		onLost(detail) {
			isLost = true;
			metrics.count('store_losses');
			log.warn({dependency: 'store', detail, revision: mirror.revision()}, 'dependency lost');
		},
		onRegained(awayMs) {
			isLost = false;
			log.warn({dependency: 'store', awayMs: Math.round(awayMs), revision: mirror.revision()}, 'dependency regained');
		},
	});
	const teller = setInterval(tell, tellMs).unref();

	const handlers: FrameHandlers = {
		known(peer, {changedAt}) {
			if (changedAt > 0) {
				fedMs = monotonicMs();
			}

			// A process that reads the store itself gets the same from there, unless it can't.
			if (changedAt > mirror.revision() && (deps.isFed || isLost)) {
				peer.send({kind: 'pull', after: mirror.revision()});
			}
		},
		pull(peer, {after}) {
			peer.send({kind: 'copy', copy: copySince(mirror, after)});
		},
		copy(peer, {copy}) {
			const taken = takeCopy(mirror, copy);
			metrics.count('copies', {result: taken});
			log.info({
				peer: peer.hello.instance, revision: copy.revision, entries: copy.entries.length, result: taken,
			}, 'directory copied from a peer');
		},
	};

	return {
		table: () => table,
		records: () => records,
		revision: () => mirror.revision(),
		onUp(peer) {
			peers.add(peer);
			peer.send({kind: 'known', changedAt: mirror.changedAt()});
		},
		onDown(peer) {
			peers.delete(peer);
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame),
		stop() {
			clearInterval(teller);
		},
	};
}

// Heartbeats write a registration again and again; only what decides where work goes is news.
function isSameEntry(a: Entry, b: Entry): boolean {
	if (!a.key.startsWith(registrationPrefix)) {
		return false;
	}

	const before = decodeRegistration(a.key, a.value, a.revision);
	const after = decodeRegistration(b.key, b.value, b.revision);
	return before.kind === 'target' && after.kind === 'target' && isSameTarget(before.target, after.target);
}

import {
	applyCopy, compressEntry, copySince, createMirror, expandEntry, followStore,
} from '@papayaflow/mirror';
import {
	handleFrame, type Frame, type FrameHandlers, type Peer, type Ticker,
} from '@papayaflow/peer';
import {
	configurationKey, decodeConfiguration, decodeRegistration, demandPrefix, evacuatedZoneOf, isEarlierState, isRemovedState, maxWatchDelayMs, registrationPrefix, type RegistrationResult,
} from '@papayaflow/platform';
import {
	createRouteTable, isSameTarget, type RouteTable, type TargetRecord,
} from '@papayaflow/routing';
import {type Entry, type Store} from '@papayaflow/store';
import {type Containment, type Log, type Metrics} from '@papayaflow/telemetry';
import {createPuller} from './pull.js';
import {createSources} from './sources.js';

/** The bounds of the time for which one watch of the store waits for a change, in milliseconds. */
const minWatchWaitMs = 250;
const maxWatchWaitMs = 2000;

/** The number of reports that a target can miss before its registration expires, less the one that it may have been about to send when the store went away. */
const reportsToExpiry = 2;

/** The time for a connection to the store and a list on it, in milliseconds. */
const listMs = 150;

/** How long after a store outage a target whose registration lapsed is kept so that it can register again, in milliseconds. Twice the time that the platform guarantees, because timers and calls can be late. */
const reregistrationGraceMs = 2500;

/** The time between two announcements of an unchanged revision to the peers that follow this process, in milliseconds. */
const announceIntervalMs = 2000;

/** The largest part by which an interval between announcements is shortened at random, so that the entries don't announce at the same time. */
const announceJitterRatio = 0.2;

/** How long a process that prefers its peers goes without an announcement from them before it reads the store itself, in milliseconds. */
const peerUpdateTimeoutMs = 2500;

/** How long after its start a process that prefers its peers waits for one to announce a revision, in milliseconds, before it reads the store itself. */
const firstReadDelayMs = 1000;

/** How many reads of the store per second all processes that prefer their peers make together, if none of them has one. Each of them runs beside a target. */
const standbyReadsPerSecond = 20;

const msPerSecond = 1000;

/** How many peers a process follows, so that two may be lost at once. */
const sourceCount = 3;

/** How many peers a process follows that can't read the store itself. */
const sourceCountWithoutStore = 16;

export type DirectoryDeps = {
	/** The name of this instance. */
	readonly instance: string;
	/** The availability zone of this instance. */
	readonly zone: string;
	readonly store: Store;
	/** The pause between two reads of the store, in milliseconds. */
	readonly pauseMs: number;
	/** How often a target reports to the store, in milliseconds. */
	readonly reportMs: number;
	/** Whether this process reads the store only while its peers announce nothing. */
	readonly prefersPeers: boolean;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly containment: Containment;
	readonly monotonicMs: () => number;
	readonly random: () => number;
	/** Calls the periodic announcements and the choice of the peers to follow. */
	readonly ticker: Ticker;
	readonly sleep: (ms: number) => Promise<void>;
	readonly signal: AbortSignal;
	readonly onTable: (table: RouteTable) => void;
	readonly onRecords: (records: readonly TargetRecord[]) => void;
	/** Called with the targets of zones that are no longer evacuated. */
	readonly onTakenBack?: (records: readonly TargetRecord[]) => void;
};

/** The configuration and the targets as this process knows them from the store and from its peers. */
export type Directory = {
	table(): RouteTable | undefined;
	records(): readonly TargetRecord[];
	/** The availability zones whose targets get no new requests, by order of the operator. */
	evacuatedZones(): ReadonlySet<string>;
	revision(): number;
	onUp(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Handles a frame of a peer; returns `false` when the frame is not for the directory. */
	onFrame(peer: Peer, frame: Frame): boolean;
	stop(): void;
};

/**
Opens a directory. It follows the store, or its peers if it prefers them or while the
store does not deliver what they announce. It follows a fixed number of its peers, and
announces each change, and its revision periodically while it reads the store, to those that
follow it. An older revision of a key never replaces a newer one. When the store comes back from an older copy, the content that it
has then counts, but no configuration or registration goes back to an earlier state.

@example
const directory = openDirectory(deps);
*/
export function openDirectory(deps: DirectoryDeps): Directory {
	const {log, metrics, containment, monotonicMs} = deps;
	/** The connected peers, each with whether it follows this process. */
	const followers = new Map<Peer, boolean>();
	const malformedRevisions = new Map<string, number>();
	let table: RouteTable | undefined;
	let records: readonly TargetRecord[] = [];
	let evacuatedZones: ReadonlySet<string> = new Set();
	let lastPeerUpdateMs = monotonicMs() + firstReadDelayMs - peerUpdateTimeoutMs;
	let isStoreAvailable = false;

	const mirror = createMirror({
		// Only coordinators need the demand of their groups, and read it themselves.
		isMirrored: key => !key.startsWith(demandPrefix),
		isEquivalent: isSameEntry, isEarlierState, isRemovedState,
		onEarlierState(next, held) {
			metrics.count('earlier_states');
			log.warn({key: next.key, revision: next.revision, heldRevision: held.revision}, 'earlier state of a key ignored');
		},
	});
	mirror.onChange(({changes}) => {
		for (const change of changes) {
			if (change.kind === 'written' && change.entry.key === configurationKey) {
				// An error in one must not keep the other, or later changes, from being applied.
				containment.run('directory', () => {
					applyConfiguration(change.entry);
				});
			}
		}

		if (changes.some(change => (change.kind === 'written' ? change.entry.key : change.key).startsWith(registrationPrefix))) {
			containment.run('directory', applyRegistrations);
		}

		if (changes.some(change => evacuatedZoneOf(change.kind === 'written' ? change.entry.key : change.key) !== undefined)) {
			containment.run('directory', applyEvacuations);
		}

		announceRevision();
	});

	const applyConfiguration = (entry: Entry): void => {
		const result = decodeConfiguration(entry.value);
		if (result.kind === 'malformed') {
			metrics.count('configurations_malformed');
			log.error({revision: entry.revision, detail: result.detail}, 'configuration malformed; the previous version stays in force');
			return;
		}

		table = createRouteTable(result.configuration);
		metrics.gauge('config_version', result.configuration.version);
		log.info({
			version: result.configuration.version, revision: entry.revision, routes: result.configuration.routes.length, skippedRoutes: result.skippedRoutes, sinceStartMs: Math.round(monotonicMs()),
		}, 'configuration applied');
		deps.onTable(table);
	};

	const applyRegistrations = (): void => {
		const next: TargetRecord[] = [];
		for (const key of malformedRevisions.keys()) {
			if (!mirror.has(key)) {
				malformedRevisions.delete(key);
			}
		}

		for (const entry of mirror.entries()) {
			const {key, revision} = entry;
			if (!key.startsWith(registrationPrefix)) {
				continue;
			}

			const result = decodeOnce(entry);
			if (result.kind === 'target') {
				next.push(result.target);
			} else if (malformedRevisions.get(key) !== revision) {
				malformedRevisions.set(key, revision);
				metrics.count('registrations_malformed');
				log.warn({key, revision, detail: result.detail}, 'registration malformed; the registration is ignored');
			}
		}

		records = next;
		deps.onRecords(records);
	};

	const applyEvacuations = (): void => {
		const before = evacuatedZones;
		evacuatedZones = new Set(mirror.entries().flatMap(({key}) => evacuatedZoneOf(key) ?? []));
		metrics.gauge('evacuated_zones', evacuatedZones.size);
		for (const zone of new Set([...before, ...evacuatedZones])) {
			if (before.has(zone) !== evacuatedZones.has(zone)) {
				log.warn({zone, revision: mirror.revision(), targets: records.filter(record => record.zone === zone).length}, evacuatedZones.has(zone) ? 'zone evacuated' : 'zone taken back');
			}
		}

		deps.onTakenBack?.(records.filter(({zone}) => before.has(zone) && !evacuatedZones.has(zone)));
	};

	const announceRevision = (): void => {
		for (const [peer, isFollowing] of followers) {
			if (isFollowing) {
				peer.send({kind: 'known', changedAt: mirror.changedAt()});
			}
		}
	};

	const isReader = (): boolean => !deps.prefersPeers || monotonicMs() - lastPeerUpdateMs > peerUpdateTimeoutMs;

	// Before the first configuration no process knows which others there are, and each sidecar of a large fleet reads the store by itself.
	const standbyPauseMs = (): number => Math.max(deps.pauseMs, records.length * msPerSecond / standbyReadsPerSecond * (0.5 + deps.random()));

	const expiryMs = reportsToExpiry * deps.reportMs;
	void followStore(deps.store, mirror, {
		// One watch covers both configuration and registrations, because each answer to a watch counts as a call to the store.
		prefix: '', pauseMs: deps.pauseMs, ...(deps.prefersPeers && {standbyPauseMs}), waitMs: watchWaitOf(deps), expiredKeyGraceMs: reregistrationGraceMs, expiryMs, isReader, nowMs: monotonicMs, random: deps.random, sleep: deps.sleep, signal: deps.signal,
		onError(error) {
			containment.report('store', error);
		},
		onStoreConnected() {
			log.info({dependency: 'store', revision: mirror.revision(), sinceStartMs: Math.round(monotonicMs())}, 'store answered for the first time');
			isStoreAvailable = true;
		},
		onStoreSilent(detail) {
			metrics.count('store_silences');
			log.warn({dependency: 'store', detail, revision: mirror.revision()}, 'no answer from the store; asking on a new connection');
		},
		onStoreUnavailable({detail, cause = 'failed'}) {
			isStoreAvailable = false;
			metrics.count('store_losses');
			log.warn({
				dependency: 'store', detail, cause, revision: mirror.revision(),
			}, 'dependency lost');
		},
		onStoreAvailable(outageMs) {
			isStoreAvailable = true;
			log.warn({dependency: 'store', awayMs: Math.round(outageMs), revision: mirror.revision()}, 'dependency regained');
		},
		onStoreRestored({before, now}) {
			metrics.count('store_restorations');
			log.warn({
				dependency: 'store', eraBefore: before, era: now, revision: mirror.revision(), version: table?.configuration.version ?? null, targets: records.length,
			}, 'store came back from an older copy; all keys listed again');
		},
	});
	const announceTo = (peer: Peer): void => {
		peer.send({kind: 'known', changedAt: mirror.changedAt(), follows: sources.isFollowed(peer)});
	};

	const sources = createSources({
		instance: deps.instance, zone: deps.zone, maxSilenceMs: peerUpdateTimeoutMs, monotonicMs,
		count: () => isStoreAvailable || deps.prefersPeers ? sourceCount : sourceCountWithoutStore,
		onChange(peer) {
			if (followers.has(peer)) {
				announceTo(peer);
			}

			if (!sources.isFollowed(peer)) {
				puller.onDown(peer);
			}
		},
	});
	// The first announcement comes at a random moment of the interval, so that those of many entries are spread over it.
	let lastAnnouncedMs = monotonicMs() - (deps.random() * announceIntervalMs);
	const stopAnnouncements = deps.ticker.add(() => {
		sources.update();
		// A process that only follows its peers announces changes, but must not keep others from reading the store.
		if (isReader() && monotonicMs() - lastAnnouncedMs >= announceIntervalMs * (1 - (deps.random() * announceJitterRatio))) {
			lastAnnouncedMs = monotonicMs();
			announceRevision();
		}
	});
	const puller = createPuller({
		instance: deps.instance, zone: deps.zone, revision: () => mirror.revision(), monotonicMs,
		isStoreAvailable: () => isStoreAvailable && !deps.prefersPeers,
		onPull() {
			metrics.count('pulls');
		},
	});

	const handlers: FrameHandlers = {
		known(peer, {changedAt, follows}) {
			if (changedAt > 0) {
				lastPeerUpdateMs = monotonicMs();
				sources.onAnnounced(peer);
			}

			if (follows !== undefined) {
				const wasFollowing = followers.get(peer);
				followers.set(peer, follows);
				if (follows && wasFollowing === false) {
					peer.send({kind: 'known', changedAt: mirror.changedAt()});
				}
			}

			if (sources.isFollowed(peer)) {
				puller.onKnown(peer, changedAt);
			}
		},
		pull(peer, {after, accepts}) {
			const whole = copySince(mirror, after);
			const copy = accepts === 'deflate' ? {...whole, entries: whole.entries.map(entry => compressEntry(entry))} : whole;
			metrics.count('copies_sent');
			metrics.count('copy_bytes_sent', {}, copy.entries.reduce((sum, {value}) => sum + value.length, 0));
			peer.send({kind: 'copy', copy});
		},
		copy(peer, {copy}) {
			const copyResult = applyCopy(mirror, {...copy, entries: copy.entries.flatMap(entry => expandEntry(entry) ?? [])});
			metrics.count('copies', {result: copyResult});
			log.info({
				peer: peer.hello.instance, revision: copy.revision, entries: copy.entries.length, result: copyResult,
			}, 'directory copied from a peer');
			puller.onCopy(peer);
		},
	};

	return {
		table: () => table,
		records: () => records,
		evacuatedZones: () => evacuatedZones,
		revision: () => mirror.revision(),
		onUp(peer) {
			sources.onUp(peer);
			followers.set(peer, true);
			announceTo(peer);
		},
		onDown(peer) {
			followers.delete(peer);
			sources.onDown(peer);
			puller.onDown(peer);
		},
		onFrame: (peer, frame) => handleFrame(handlers, peer, frame),
		stop() {
			stopAnnouncements();
			puller.stop();
		},
	};
}

/**
Returns how long a watch waits, in milliseconds: no longer than lets a process ask a store
whose connection has gone silent again before a registration can expire.

@example
watchWaitOf({reportMs: 1200, pauseMs: 700}); // 950
*/
export function watchWaitOf({reportMs, pauseMs}: Pick<DirectoryDeps, 'reportMs' | 'pauseMs'>): number {
	return Math.min(maxWatchWaitMs, Math.max(minWatchWaitMs, (reportsToExpiry * reportMs) - pauseMs - maxWatchDelayMs - listMs));
}

const decodedRegistrations = new WeakMap<Entry, RegistrationResult>();

/** Decodes a registration once. Each heartbeat of a target is compared with the entry before it, and each change of any target goes through the entries of all. */
function decodeOnce(entry: Entry): RegistrationResult {
	const result = decodedRegistrations.get(entry) ?? decodeRegistration(entry.key, entry.value, entry.revision);
	decodedRegistrations.set(entry, result);
	return result;
}

// Heartbeats rewrite a registration without changing it; only the fields that decide routing are compared. All malformed registrations are equivalent, since each is ignored.
function isSameEntry(a: Entry, b: Entry): boolean {
	if (!a.key.startsWith(registrationPrefix)) {
		return false;
	}

	const [before, after] = [decodeOnce(a), decodeOnce(b)];
	return before.kind === 'target' && after.kind === 'target' ? isSameTarget(before.target, after.target) : before.kind === after.kind;
}

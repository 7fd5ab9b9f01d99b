import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createFollower, followStore, revisionMessage} from '@papayaflow/config';
import {
	createRankGate, readEpoch, type RankOrder, type RankReply,
} from '@papayaflow/experts';
import {createClaims, createLease, type Claims} from '@papayaflow/idempotency';
import {createInstanceClient, pollInstances, type Instance} from '@papayaflow/instances';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {createStrangers} from '@papayaflow/peer';
import {isReader, consumeQuota, type Bucket} from '@papayaflow/policy';
import {
	nameSetting, portSetting, urlSetting, type SettingsOf,
} from '@papayaflow/settings';
import {
	createAdmission, createGroupRanks, createPeerServer, runRebalancer, serveAttempt,
} from '@papayaflow/sidecar';
import {connectStore} from '@papayaflow/store';
import {fetchExpertReport, connectTarget, sendRankOrder} from '@papayaflow/target';
import {
	createContainment, createLog, createMetrics, reportClosedConnections, serveAdmin,
} from '@papayaflow/telemetry';
import * as z from 'zod';
import {listen, reportPorts, type RunningProgram} from './program.js';
import {resourceLimitsOf} from './resource-limits.js';
import {sharedSettings} from './shared-settings.js';

/** How often the revision is broadcast while nothing changes. */
const heartbeatIntervalMs = 60_000;
const catchUpIntervalMs = 1000;
const drainPollMs = 20;
/** How long a leaving sidecar waits for running requests before it releases its lease. */
const handoffTimeoutMs = 2000;
/** How long a stopping sidecar waits for the entries to close their connections, which normally takes one round trip after the last answer. It limits the delay caused by an entry that hangs. */
const closeTimeoutMs = 1000;
const defaultLeaseMs = 9000;
const maxLeaseRenewalPauseMs = 3000;
/** The pause between two lease checks before the first configuration has been applied. */
const noConfigurationPauseMs = 100;
const claimWriteBurst = 20;
const maxMaintenancePauseMs = 3_600_000;
const defaultConcurrency = 32;
const defaultRankOrderTimeoutMs = 5000;
const maxRanks = 4096;

export const sidecarSettings = {
	...sharedSettings,
	port: portSetting('the port that entries connect to', '0'),
	service: nameSetting('the service of this sidecar\'s target'),
	target: urlSetting('this sidecar\'s target'),
	group: nameSetting('the group of this sidecar\'s ranks; "none" for a plain service', 'none'),
	firstRank: rankSetting('the first of this sidecar\'s ranks; the sidecar of rank 0 coordinates the group', '0'),
	ranks: rankSetting('the number of this sidecar\'s ranks', '0'),
	groupRanks: rankSetting('the number of ranks in the whole group', '0'),
};

function rankSetting(description: string, fallback: string) {
	return {
		schema: z.coerce.number().int().min(0).max(maxRanks), description, allowed: `0 to ${maxRanks}`, default: fallback,
	};
}

/**
Starts a sidecar: follower, admission, claims, peer server and admin endpoints.

@example
const running = await startSidecar(settings);
await running.stop();
*/
export async function startSidecar(settings: SettingsOf<typeof sidecarSettings>): Promise<RunningProgram> {
	const {instance, zone, service} = settings;
	const incarnation = randomUUID();
	const log = createLog({
		program: 'papayaflow-sidecar', instance, zone, service,
	}, settings.logLevel);
	const metrics = createMetrics();
	const containment = createContainment({metrics, log});
	const shutdown = new AbortController();
	const monotonicMs = (): number => performance.now();
	const {random} = Math;
	const pause = async (ms: number): Promise<void> => {
		await sleep(ms, undefined, {ref: false});
	};

	const store = connectStore({url: settings.store, timeoutMs: settings.storeTimeoutMs});
	const follower = createFollower();
	const preset = () => follower.applied()?.preset;
	let instances: readonly Instance[] = [];
	let leaveReason: string | undefined;

	metrics.declare('refusals', 'reason', refusalReasons);
	metrics.declare('losses', 'reason', lossReasons);
	metrics.declare('frame_faults', 'reason', ['oversized', 'malformed', 'unknownKind', 'wrongVersion', 'unexpected', 'notForThisIncarnation']);
	metrics.declare('map_switches', 'result', ['committed', 'aborted', 'superseded']);
	metrics.declare('expert_reports', 'result', ['used', 'stale', 'missing']);
	metrics.count('experts_moved', {}, 0);
	metrics.count('bytes_moved', {}, 0);
	for (const name of ['segments_cleared', 'claim_writes', 'claim_records', 'busy_notices']) {
		metrics.count(name, {}, 0);
	}

	metrics.declare('claims', 'result', ['replay', 'inProgress', 'reused', 'claimedEarlier', 'ranUnrecorded', 'elsewhere', 'notRun', 'unknown']);

	const target = connectTarget({
		url: settings.target,
		connectMs: () => preset()?.timeouts.connectMs ?? 1000,
		idleMs: () => preset()?.timeouts.idleMs ?? 15_000,
	});
	const admission = createAdmission({
		concurrency: () => preset()?.services[service]?.concurrency ?? defaultConcurrency,
		queueLimit: () => preset()?.services[service]?.queueLimit ?? 0,
		monotonicMs,
	});
	const leaseMs = (): number => preset()?.idempotency.leaseMs ?? defaultLeaseMs;
	const lease = createLease({
		store, holder: instance, incarnation, monotonicMs, ttlMs: leaseMs,
	});
	const claimsByShard = new Map<number, Claims>();
	const claimsOf = (shard: number): Claims => {
		const known = claimsByShard.get(shard);
		if (known) {
			return known;
		}

		let bucket: Bucket | undefined;
		const claims = createClaims({
			store, service, shard, holder: instance, incarnation, lease, nowMs: Date.now,
			batchMs: () => preset()?.idempotency.batchMs ?? 1,
			writeDelayMs() {
				const quota = consumeQuota(bucket, {requestsPerSecond: preset()?.idempotency.writesPerSecond ?? 1, burst: claimWriteBurst, entries: 1}, monotonicMs());
				bucket = quota.bucket;
				return quota.kind === 'within' ? 0 : quota.retryAfterMs;
			},
			maxRecordedBytes: () => preset()?.idempotency.maxRecordedBytes ?? 0,
			sleep: pause,
			onWrite(records) {
				metrics.count('claim_writes');
				metrics.count('claim_records', {}, records);
			},
		});
		claimsByShard.set(shard, claims);
		return claims;
	};

	const localRanks = {group: settings.group, first: settings.firstRank, count: settings.ranks};
	const rankOrderTimeoutMs = (): number => preset()?.rebalancing.orderTimeoutMs ?? defaultRankOrderTimeoutMs;
	const engine = connectTarget({url: settings.target, connectMs: rankOrderTimeoutMs, idleMs: rankOrderTimeoutMs});
	const gates = Array.from({length: settings.ranks}, (_, index) => createRankGate(
		async order => sendRankOrder(engine, settings.firstRank + index, order),
		async () => readEpoch(store, settings.group),
	));
	const orderLocalRank = async (rank: number, order: RankOrder): Promise<RankReply | undefined> => gates.at(rank - settings.firstRank)?.order(order);
	const group = createGroupRanks({
		containment, instance, incarnation, zone, range: localRanks, groupRanks: settings.groupRanks, orderLocal: orderLocalRank, orderTimeoutMs: rankOrderTimeoutMs, monotonicMs, sleep: pause,
		isStopped: () => shutdown.signal.aborted,
	});

	const onPeerClosed = reportClosedConnections('peer', {metrics, log, monotonicMs});
	const strangers = createStrangers(resourceLimitsOf(settings).strangers, () => {
		onPeerClosed('silent');
	});
	const peers = createPeerServer({
		strangers,
		ranks: localRanks, orderRank: orderLocalRank,
		instance, incarnation, zone, follower, metrics, containment, monotonicMs,
		load() {
			const state = admission.state();
			return {...state, concurrency: preset()?.services[service]?.concurrency ?? defaultConcurrency};
		},
		isLeaving: () => leaveReason !== undefined,
		async serve(attempt) {
			await serveAttempt(attempt, {
				admission, target, claimsOf, preset, metrics, monotonicMs,
				isStale: ({staleAfterMs}) => monotonicMs() - follower.confirmedAtMs() > staleAfterMs,
				isLeaving: () => leaveReason !== undefined,
			});
		},
	});

	const maintainLease = async (): Promise<void> => {
		while (!shutdown.signal.aborted && leaveReason === undefined) {
			if (hasKeyedRoutes()) {
				await lease.renew();
			}

			await pause(Math.min(maxLeaseRenewalPauseMs, preset() ? leaseMs() / 3 : noConfigurationPauseMs));
		}
	};

	// Removes idempotency keys older than the retention time and clears their segments, one shard at a time.
	const clearExpiredClaims = async (): Promise<void> => {
		while (!shutdown.signal.aborted) {
			const retentionMs = preset()?.idempotency.retentionMs ?? maxMaintenancePauseMs;
			await pause(Math.min(maxMaintenancePauseMs, retentionMs / 8) * (0.5 + random()));
			for (const claims of claimsByShard.values()) {
				metrics.count('segments_cleared', {}, await claims.maintain(retentionMs));
			}
		}
	};

	const hasKeyedRoutes = (): boolean => preset()?.routes.some(route => route.service === service && !route.idempotent) ?? false;

	// The operator, the list of instances or a signal can make the sidecar leave; only the first of them has an effect. Waiting requests are refused as not run; running requests continue.
	const leave = (because: string): void => {
		if (leaveReason !== undefined) {
			return;
		}

		leaveReason = because;
		log.info({because}, 'target is leaving; waiting requests are refused');
		metrics.count('leaving', {because});
		peers.broadcast({kind: 'leaving'});
		admission.close();
		void releaseLease();
	};

	const releaseLease = async (): Promise<void> => {
		const handoffDeadlineMs = monotonicMs() + handoffTimeoutMs;
		while (peers.inFlight() > 0 && monotonicMs() < handoffDeadlineMs) {
			await sleep(drainPollMs);
		}

		await lease.release();
	};

	follower.onApplied(({revision, name}) => {
		metrics.gauge('config_revision', revision);
		log.info({revision, preset: name}, 'configuration applied');
		peers.broadcast(revisionMessage(follower, {monotonicMs}));
		if (revision > 0 && hasKeyedRoutes()) {
			void lease.renew();
		}
	});

	const admin = serveAdmin({
		metrics, containment, log, monotonicMs,
		ready: () => leaveReason === undefined ? {ready: true} : {ready: false, reason: 'leaving'},
		status: () => ({
			instance, role: 'sidecar', zone, service, incarnation, revision: follower.revision(), inForce: follower.applied()?.name,
			leaving: leaveReason !== undefined, confirmedAgoMs: Number.isFinite(follower.confirmedAtMs()) ? Math.round(monotonicMs() - follower.confirmedAtMs()) : null,
			inFlight: peers.inFlight(), connections: peers.connections(), load: admission.state(), leaseValid: lease.isValid(),
			shards: Object.fromEntries([...claimsByShard].map(([shard, claims]) => [shard, claims.epoch()])),
		}),
		actions: {
			'POST /drain'() {
				leave('operator');
				return {status: 200, body: {leaving: true}};
			},
		},
	});

	void pollInstances(createInstanceClient(settings.instances), {intervalMs: settings.instancesIntervalMs, random, signal: shutdown.signal}, next => {
		instances = next;
		group.update(next);
		if (next.some(({id, state}) => id === instance && state === 'leaving')) {
			leave('list');
		}
	});
	void followStore(store, follower, {
		isReader: () => isReader({id: instance, zone}, instances, settings.readersPerZone),
		pauseMs: settings.configPollMs, random, nowMs: monotonicMs, signal: shutdown.signal,
	});
	void maintainLease();
	void clearExpiredClaims();
	if (settings.groupRanks > 0 && settings.firstRank === 0) {
		void runRebalancer({
			store, group: settings.group, instance, ranks: group, metrics, log, monotonicMs, sleep: pause,
			report: async () => fetchExpertReport(engine),
			settings: () => preset()?.rebalancing,
			isStopped: () => shutdown.signal.aborted,
		});
	}

	const heartbeatTimer = setInterval(() => {
		peers.broadcast(revisionMessage(follower, {monotonicMs}));
	}, heartbeatIntervalMs).unref();
	// Retries a configuration pull that got no answer: peers with a newer revision reply to the broadcast, which starts a new pull.
	const catchUpTimer = setInterval(() => {
		if (follower.isBehind()) {
			peers.broadcast(revisionMessage(follower, {monotonicMs}));
		}
	}, catchUpIntervalMs).unref();

	const adminPort = await listen(admin, {port: settings.adminPort, host: settings.address}, {log, containment});
	const port = await listen(peers.server, {port: settings.port, host: settings.address}, {log, containment});
	log.info({port, adminPort}, 'sidecar started');
	reportPorts({port, adminPort});

	return {
		port,
		adminPort,
		log,
		containment,
		async stop() {
			const {graceMs} = preset()?.drain ?? {graceMs: 0};
			leave('signal');
			const drainDeadlineMs = monotonicMs() + graceMs;
			while (peers.inFlight() > 0 && monotonicMs() < drainDeadlineMs) {
				await sleep(drainPollMs);
			}

			await lease.release();
			const closed = await peers.closeWhenAnswered(closeTimeoutMs);
			log.info({closed, inFlight: peers.inFlight()}, 'entries notified of the shutdown');
			peers.abortAll();
			await sleep(drainPollMs);
			clearInterval(heartbeatTimer);
			clearInterval(catchUpTimer);
			shutdown.abort();
		},
	};
}

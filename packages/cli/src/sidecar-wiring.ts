import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createFollower, followStore, revisionMessage} from '@papayaflow/config';
import {
	createRankGate, readEpoch, type RankOrder, type RankReply,
} from '@papayaflow/experts';
import {createClaims, createLease, type Claims} from '@papayaflow/idempotency';
import {connectInstances, followInstances, type Instance} from '@papayaflow/instances';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {isReader, takeQuota, type Bucket} from '@papayaflow/policy';
import {
	nameSetting, portSetting, urlSetting, type SettingsOf,
} from '@papayaflow/settings';
import {
	createAdmission, createGroup, createPeerServer, runRebalancer, serveAttempt,
} from '@papayaflow/sidecar';
import {connectStore} from '@papayaflow/store';
import {askExperts, connectTarget, orderRank} from '@papayaflow/target';
import {createLog, createMetrics, serveAdmin} from '@papayaflow/telemetry';
import * as z from 'zod';
import {type Running} from './entry-wiring.js';
import {listen} from './program.js';
import {sharedSettings} from './shared-settings.js';

const heartbeatMs = 60_000;
const catchUpMs = 1000;
const drainPollMs = 20;
const handoffMs = 2000;
// Entries close within a round trip and their last answer; one that is frozen is not waited for longer.
const longestCloseMs = 1000;
const defaultLeaseMs = 9000;
const longestLeasePauseMs = 3000;
const configPauseMs = 100;
const writeBurst = 20;
const longestLogPauseMs = 3_600_000;
const defaultConcurrency = 32;
const defaultOrderMs = 5000;
const highestRanks = 4096;

export const sidecarSettings = {
	...sharedSettings,
	port: portSetting('the port that entries connect to', '0'),
	service: nameSetting('the service whose target stands beside this process'),
	target: urlSetting('the target beside this process'),
	group: nameSetting('the group that the ranks beside this process belong to; "none" for a plain service', 'none'),
	firstRank: rankSetting('the first of the ranks beside this process; the sidecar of rank 0 coordinates the group', '0'),
	ranks: rankSetting('the ranks beside this process', '0'),
	groupRanks: rankSetting('the ranks of the whole group', '0'),
};

function rankSetting(description: string, fallback: string) {
	return {
		schema: z.coerce.number().int().min(0).max(highestRanks), description, allowed: `0 to ${highestRanks}`, default: fallback,
	};
}

/**
Wires a sidecar: follower, admission, claims, peer server and admin endpoints.

@example
const running = await startSidecar(settings);
await running.stop();
*/
export async function startSidecar(settings: SettingsOf<typeof sidecarSettings>): Promise<Running> {
	const {instance, zone, service} = settings;
	const incarnation = randomUUID();
	const log = createLog({
		program: 'papayaflow-sidecar', instance, zone, service,
	}, settings.logLevel);
	const metrics = createMetrics();
	const ending = new AbortController();
	const monotonicMs = (): number => performance.now();
	const {random} = Math;
	const pause = async (ms: number): Promise<void> => {
		await sleep(ms, undefined, {ref: false});
	};

	const store = connectStore({url: settings.store, timeoutMs: settings.storeTimeoutMs});
	const follower = createFollower();
	const preset = () => follower.applied()?.preset;
	let instances: readonly Instance[] = [];
	let leavingBecause: string | undefined;

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
	const shards = new Map<number, Claims>();
	const claimsOf = (shard: number): Claims => {
		const known = shards.get(shard);
		if (known) {
			return known;
		}

		let bucket: Bucket | undefined;
		const claims = createClaims({
			store, service, shard, holder: instance, incarnation, lease, nowMs: Date.now,
			batchMs: () => preset()?.idempotency.batchMs ?? 1,
			writePauseMs() {
				const taken = takeQuota(bucket, {requestsPerSecond: preset()?.idempotency.writesPerSecond ?? 1, burst: writeBurst, entries: 1}, monotonicMs());
				bucket = taken.bucket;
				return taken.kind === 'within' ? 0 : taken.retryAfterMs;
			},
			maxRecordedBytes: () => preset()?.idempotency.maxRecordedBytes ?? 0,
			sleep: pause,
			onWrite(records) {
				metrics.count('claim_writes');
				metrics.count('claim_records', {}, records);
			},
		});
		shards.set(shard, claims);
		return claims;
	};

	const range = {group: settings.group, first: settings.firstRank, count: settings.ranks};
	const orderMs = (): number => preset()?.rebalancing.orderTimeoutMs ?? defaultOrderMs;
	const engine = connectTarget({url: settings.target, connectMs: orderMs, idleMs: orderMs});
	const gates = Array.from({length: settings.ranks}, (_, index) => createRankGate(
		async order => orderRank(engine, settings.firstRank + index, order),
		async () => readEpoch(store, settings.group),
	));
	const orderLocal = async (rank: number, order: RankOrder): Promise<RankReply | undefined> => gates.at(rank - settings.firstRank)?.order(order);
	const group = createGroup({
		instance, incarnation, zone, range, groupRanks: settings.groupRanks, orderLocal, orderTimeoutMs: orderMs, monotonicMs, sleep: pause,
		isStopped: () => ending.signal.aborted,
	});

	const peers = createPeerServer({
		ranks: range, orderRank: orderLocal,
		instance, incarnation, zone, follower, metrics, monotonicMs,
		load() {
			const state = admission.state();
			return {...state, concurrency: preset()?.services[service]?.concurrency ?? defaultConcurrency};
		},
		isLeaving: () => leavingBecause !== undefined,
		async serve(arrived) {
			await serveAttempt(arrived, {
				admission, target, claimsOf, preset, metrics, monotonicMs,
				isStale: ({staleAfterMs}) => monotonicMs() - follower.confirmedAtMs() > staleAfterMs,
				isLeaving: () => leavingBecause !== undefined,
			});
		},
	});

	const keepLease = async (): Promise<void> => {
		while (!ending.signal.aborted && leavingBecause === undefined) {
			if (hasKeyedRoutes()) {
				await lease.tick();
			}

			await pause(Math.min(longestLeasePauseMs, preset() ? leaseMs() / 3 : configPauseMs));
		}
	};

	// Old keys are forgotten and their segments cleared, one shard at a time.
	const keepLog = async (): Promise<void> => {
		while (!ending.signal.aborted) {
			const retentionMs = preset()?.idempotency.retentionMs ?? longestLogPauseMs;
			await pause(Math.min(longestLogPauseMs, retentionMs / 8) * (0.5 + random()));
			for (const claims of shards.values()) {
				metrics.count('segments_cleared', {}, await claims.maintain(retentionMs));
			}
		}
	};

	const hasKeyedRoutes = (): boolean => preset()?.routes.some(route => route.service === service && !route.idempotent) ?? false;

	// The first notice counts, whichever way it comes. What waits is refused as not run, what runs goes on.
	const leave = (because: string): void => {
		if (leavingBecause !== undefined) {
			return;
		}

		leavingBecause = because;
		log.info({because}, 'target leaves');
		metrics.count('leaving', {because});
		peers.broadcast({kind: 'leaving'});
		admission.close();
		void releaseLease();
	};

	const releaseLease = async (): Promise<void> => {
		const untilMs = monotonicMs() + handoffMs;
		while (peers.inFlight() > 0 && monotonicMs() < untilMs) {
			await sleep(drainPollMs);
		}

		await lease.release();
	};

	follower.onApplied(({revision, name}) => {
		metrics.gauge('config_revision', revision);
		log.info({revision, preset: name}, 'configuration applied');
		peers.broadcast(revisionMessage(follower, {monotonicMs}));
		if (revision > 0 && hasKeyedRoutes()) {
			void lease.tick();
		}
	});

	const admin = serveAdmin({
		metrics,
		ready: () => leavingBecause === undefined ? {ready: true} : {ready: false, reason: 'leaving'},
		status: () => ({
			instance, role: 'sidecar', zone, service, incarnation, revision: follower.revision(), inForce: follower.applied()?.name,
			leaving: leavingBecause !== undefined, confirmedAgoMs: Number.isFinite(follower.confirmedAtMs()) ? Math.round(monotonicMs() - follower.confirmedAtMs()) : null,
			inFlight: peers.inFlight(), connections: peers.connections(), load: admission.state(), leaseValid: lease.isValid(),
			shards: Object.fromEntries([...shards].map(([shard, claims]) => [shard, claims.epoch()])),
		}),
		actions: {
			'POST /drain'() {
				leave('operator');
				return {status: 200, body: {leaving: true}};
			},
		},
	});

	void followInstances(connectInstances(settings.instances), {intervalMs: settings.instancesIntervalMs, random, signal: ending.signal}, next => {
		instances = next;
		group.update(next);
		if (next.some(({id, state}) => id === instance && state === 'leaving')) {
			leave('list');
		}
	});
	void followStore(store, follower, {
		isReader: () => isReader({id: instance, zone}, instances, settings.readersPerZone),
		pauseMs: settings.configPollMs, random, nowMs: monotonicMs, signal: ending.signal,
	});
	void keepLease();
	void keepLog();
	if (settings.groupRanks > 0 && settings.firstRank === 0) {
		void runRebalancer({
			store, group: settings.group, instance, ranks: group, metrics, log, monotonicMs, sleep: pause,
			report: async () => askExperts(engine),
			settings: () => preset()?.rebalancing,
			isStopped: () => ending.signal.aborted,
		});
	}

	const heartbeat = setInterval(() => {
		peers.broadcast(revisionMessage(follower, {monotonicMs}));
	}, heartbeatMs).unref();
	// A pull that got nothing is made good by asking around once more.
	const catchUp = setInterval(() => {
		if (follower.isBehind()) {
			peers.broadcast(revisionMessage(follower, {monotonicMs}));
		}
	}, catchUpMs).unref();

	const adminPort = await listen(admin, settings.adminPort, settings.address);
	const port = await listen(peers.server, settings.port, settings.address);
	log.info({port, adminPort}, 'sidecar started');

	return {
		port,
		adminPort,
		async stop() {
			const {graceMs} = preset()?.drain ?? {graceMs: 0};
			leave('signal');
			const untilMs = monotonicMs() + graceMs;
			while (peers.inFlight() > 0 && monotonicMs() < untilMs) {
				await sleep(drainPollMs);
			}

			await lease.release();
			const closed = await peers.closeWhenAnswered(longestCloseMs);
			log.info({closed, inFlight: peers.inFlight()}, 'callers told to ask others');
			peers.giveUpAll();
			await sleep(drainPollMs);
			clearInterval(heartbeat);
			clearInterval(catchUp);
			ending.abort();
		},
	};
}

import {randomUUID} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {createBodyBuffers} from '@papayaflow/caller';
import {
	createFollower, followStore, revisionMessage,
} from '@papayaflow/config';
import {createFront, createLinks, createOwnerCache} from '@papayaflow/entry';
import {createInstanceClient, pollInstances, type Instance} from '@papayaflow/instances';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {createRetryBudget, isReader} from '@papayaflow/policy';
import {type SettingsOf, portSetting} from '@papayaflow/settings';
import {connectStore} from '@papayaflow/store';
import {
	createContainment, createLog, createMetrics, serveAdmin,
} from '@papayaflow/telemetry';
import {reportHeldBytes} from './held-bytes.js';
import {
	abortFlushMs, listen, reportPorts, type RunningProgram,
} from './program.js';
import {resourceLimitsOf} from './resource-limits.js';
import {sharedSettings} from './shared-settings.js';

const defaultSubsetSize = 20;
/** How often the revision is broadcast while nothing changes. */
const heartbeatIntervalMs = 60_000;
const catchUpIntervalMs = 1000;

export const entrySettings = {
	...sharedSettings,
	port: portSetting('the port that serves the HTTP requests of callers', '8080'),
};

/**
Starts an entry: follower, links, front and admin endpoints.

@example
const running = await startEntry(settings);
await running.stop();
*/
export async function startEntry(settings: SettingsOf<typeof entrySettings>): Promise<RunningProgram> {
	const {instance, zone} = settings;
	const incarnation = randomUUID();
	const log = createLog({program: 'papayaflow-entry', instance, zone}, settings.logLevel);
	const metrics = createMetrics();
	const containment = createContainment({metrics, log});
	const shutdown = new AbortController();
	const monotonicMs = (): number => performance.now();
	const {random} = Math;
	const store = connectStore({url: settings.store, timeoutMs: settings.storeTimeoutMs});
	const follower = createFollower();
	let instances: readonly Instance[] = [];
	let isStopping = false;

	metrics.declare('refusals', 'reason', refusalReasons);
	metrics.declare('losses', 'reason', lossReasons);
	metrics.declare('retries', 'reason', ['ownerGone', ...refusalReasons, ...lossReasons]);
	metrics.declare('retries_denied', 'reason', [...refusalReasons, ...lossReasons]);
	metrics.declare('late_answers', 'kind', ['head', 'data', 'end', 'refused', 'lost']);
	metrics.declare('frame_faults', 'reason', ['oversized', 'malformed', 'unknownKind', 'wrongVersion', 'unexpected']);
	metrics.declare('requests', 'outcome', ['answered', 'notRun', 'unknown']);
	metrics.count('slow_callers', {}, 0);

	const links = createLinks({
		instance, incarnation, zone, follower, metrics, log, containment, random, monotonicMs,
		connectMs: () => follower.applied()?.preset.timeouts.connectMs ?? 1000,
		ejection: () => follower.applied()?.preset.routing ?? {ejectAfterFailures: 5, ejectMs: 5000, maxEjectedRatio: 0.5},
	});
	const updateLinks = (): void => {
		links.update(instances, follower.applied()?.preset.routing.subsetSize ?? defaultSubsetSize);
	};

	follower.onApplied(({revision, name}) => {
		metrics.gauge('config_revision', revision);
		log.info({revision, preset: name}, 'configuration applied');
		links.broadcast(revisionMessage(follower, {monotonicMs}));
		updateLinks();
	});

	const limits = resourceLimitsOf(settings);
	const bodyBuffers = createBodyBuffers(limits.bodyBytes, monotonicMs);
	const front = createFront({
		bodyBuffers, callerLimits: limits.callers, follower, log, containment, links, metrics, zone, random, monotonicMs, budget: createRetryBudget(), owners: createOwnerCache(),
		async sleep(ms) {
			await sleep(ms);
		},
	});
	const admin = serveAdmin({
		metrics, containment, log, monotonicMs,
		ready: () => isStopping ? {ready: false, reason: 'stopping'} : (follower.applied() ? {ready: true} : {ready: false, reason: 'no configuration yet'}),
		status: () => ({
			instance, role: 'entry', zone, incarnation, revision: follower.revision(), inForce: follower.applied()?.name, leaving: isStopping,
			confirmedAgoMs: roundIfFinite(monotonicMs() - follower.confirmedAtMs()), inFlight: front.inFlight(),
			links: links.all().map(link => ({
				sidecar: link.sidecar.id, connected: link.connected, usable: link.usable, ownTokens: link.ownTokens, failures: link.health.failures,
			})),
		}),
	});

	void pollInstances(createInstanceClient(settings.instances), {intervalMs: settings.instancesIntervalMs, random, signal: shutdown.signal}, next => {
		instances = next;
		updateLinks();
	});
	void followStore(store, follower, {
		isReader: () => isReader({id: instance, zone}, instances, settings.readersPerZone),
		pauseMs: settings.configPollMs, random, nowMs: monotonicMs, signal: shutdown.signal,
	});
	const heartbeatTimer = setInterval(() => {
		links.broadcast(revisionMessage(follower, {monotonicMs}));
	}, heartbeatIntervalMs).unref();
	const reportHeld = reportHeldBytes(metrics, {bodies: bodyBuffers.bytes});
	const catchUpTimer = setInterval(() => {
		reportHeld();
		// Retries a configuration pull that got no answer: peers with a newer revision reply to the broadcast, which starts a new pull.
		if (follower.isBehind()) {
			links.broadcast(revisionMessage(follower, {monotonicMs}));
		}
	}, catchUpIntervalMs).unref();

	const adminPort = await listen(admin, {port: settings.adminPort, host: settings.address}, {log, containment});
	const port = await listen(front.server, {port: settings.port, host: settings.address}, {log, containment});
	log.info({port, adminPort}, 'entry started');
	reportPorts({port, adminPort});

	return {
		port,
		adminPort,
		log,
		containment,
		async stop() {
			const {graceMs, lingerMs} = follower.applied()?.preset.drain ?? {graceMs: 0, lingerMs: 0};
			isStopping = true;
			log.info({lingerMs, graceMs}, 'entry is stopping');
			await sleep(lingerMs);
			await front.connections.drain(monotonicMs() + graceMs);
			front.abortAll();
			await front.connections.drain(monotonicMs() + abortFlushMs);
			clearInterval(heartbeatTimer);
			clearInterval(catchUpTimer);
			shutdown.abort();
			links.close();
		},
	};
}

function roundIfFinite(value: number): number | undefined {
	return Number.isFinite(value) ? Math.round(value) : undefined;
}

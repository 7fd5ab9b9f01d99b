import {setTimeout as sleep} from 'node:timers/promises';
import {
	createFront, createGroupPlacer, createPlainPlacer, createTargets,
} from '@papayaflow/direct';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {followHosts, type PeerEvents} from '@papayaflow/peer';
import {connectPlatformStore, platformDialect} from '@papayaflow/platform';
import {createResendBudget} from '@papayaflow/policy';
import {addressOf, type EngineModel, type TargetRecord} from '@papayaflow/routing';
import {addressSetting, numberSetting, type SettingsOf} from '@papayaflow/settings';
import {serveAdmin} from '@papayaflow/telemetry';
import {beginProcess} from './direct-process.js';
import {directSettings, logFlushMs} from './direct-settings.js';
import {openDirectory} from './directory.js';
import {type Running} from './entry-wiring.js';
import {listen} from './program.js';

/** How long a connection to a target may take to stand, in milliseconds: some round trips between zones. */
const connectMs = 300;

/** When a target that fails is left out for a while, judged by what this entry sees of its answers. */
const ejection = {ejectAfterFailures: 3, ejectMs: 3000, maxEjectedRatio: 0.5};

/** How long an entry goes on as before after it said that it is not ready, in milliseconds: the platform asks each second and believes the second no. */
const lingerMs = 3000;

/** What is left of the grace for the process to end in, in milliseconds. */
const endMarginMs = 250;

/** The least time without an answer after which a small call that may be repeated is sent to another target, in milliseconds. */
const leastSilenceMs = 100;

/** How much longer than a group's own stall a stream may be silent, in milliseconds, before it goes on at another target. */
const stallMarginMs = 200;

/** Entries that are taken to share the budget of sendings at least, also before sidecars have told how many there are. */
const usualEntries = 4;

const pollMs = 20;

export const directEntrySettings = {
	...directSettings,
	listen: addressSetting('where callers speak HTTP to'),
	admin: addressSetting('where the platform asks whether this entry is ready'),
	resendRatio: numberSetting('sendings beyond the first that one request allows, on average, over all entries', {least: 0, most: 10, fallback: '0.2'}),
	resendSlack: numberSetting('sendings beyond that which all entries may add in one window', {least: 0, most: 1_000_000, fallback: '20'}),
	resendWindowMs: numberSetting('the window in which sendings are counted', {
		least: 100, most: 3_600_000, unit: 'milliseconds', fallback: '10000',
	}),
	stallMs: numberSetting('how long a group waits for a lost rank before it gives up its work', {
		least: 0, most: 60_000, unit: 'milliseconds', fallback: '1500',
	}),
};

/**
Wires an entry that reaches the targets itself: directory, placers, front, links to
the sidecars and admin endpoints.

@example
const running = await startDirectEntry(settings);
await running.stop();
*/
export async function startDirectEntry(settings: SettingsOf<typeof directEntrySettings>): Promise<Running> {
	const {instance, zone} = settings;
	const {
		incarnation, log, metrics, ending, monotonicMs, random, pause,
	} = beginProcess('papayaflow-entry', settings);
	let isLeaving = false;
	metrics.declare('refusals', 'reason', refusalReasons);
	metrics.declare('losses', 'reason', lossReasons);
	metrics.declare('retries', 'reason', [...lossReasons, 'failed', 'notRun']);
	metrics.declare('retries_denied', 'reason', ['resendBudgetSpent']);

	const targets = createTargets({
		connectMs, ejection, nowMs: monotonicMs,
		onChange(what, {id, service, zone: targetZone, incarnation: started}) {
			log.info({
				target: id, service, targetZone, incarnation: started, revision: directory.revision(),
			}, `target ${what}`);
		},
	});
	const directory = openDirectory({
		store: connectPlatformStore({address: addressOf(settings.store), timeoutMs: settings.storeTimeoutMs}),
		pauseMs: settings.storePauseMs, isFed: false, log, metrics, monotonicMs, random, sleep: pause, signal: ending.signal,
		onTable({configuration}) {
			front.useLimits(configuration.limits);
			updateLinks(directory.records());
		},
		onRecords(records) {
			targets.update(records);
			updateLinks(records);
		},
	});
	const model = (service: string): EngineModel | undefined => directory.table()?.configuration.services.get(service)?.engine;
	const plain = createPlainPlacer({
		targets, ejection, nowMs: monotonicMs, random, zone,
	});
	const groups = createGroupPlacer({
		targets, model, monotonicMs, random, metrics, log,
	});

	const events: PeerEvents = {
		onUp(peer) {
			log.info({dependency: 'sidecar', peer: peer.hello.instance}, 'dependency regained');
			directory.onUp(peer);
		},
		onFrame(peer, frame) {
			if (!groups.onFrame(peer, frame) && !directory.onFrame(peer, frame)) {
				metrics.count('frame_faults', {reason: 'unexpected'});
			}
		},
		onDown(peer) {
			log.warn({dependency: 'sidecar', peer: peer.hello.instance}, 'dependency lost');
			directory.onDown(peer);
			groups.onDown(peer);
		},
		// Its answers don't depend on a sidecar that does not coordinate; those that may say so themselves.
		isNear: () => false,
		onFault(reason) {
			metrics.count('frame_faults', {reason});
		},
	};
	const follow = followHosts({
		port: settings.peerPort, events, signal: ending.signal,
		options: {
			role: 'entry', instance, incarnation, zone, monotonicMs, sleep: pause,
		},
	});
	// A sidecar stands on the machine of each engine.
	const updateLinks = (records: readonly TargetRecord[]): void => {
		follow(records.filter(({service}) => model(service) !== undefined).map(({host}) => host));
	};

	const front = createFront({
		dialect: platformDialect, metrics, log, monotonicMs, random, table: () => directory.table(), isLeaving: () => isLeaving,
		place: async need => model(need.call.service) ? groups.place(need) : plain(need),
		resends: createResendBudget({
			ratio: settings.resendRatio, slack: settings.resendSlack, entries: () => Math.max(usualEntries, groups.entries() ?? 0), windowMs: settings.resendWindowMs, nowMs: monotonicMs,
		}),
		silenceMs: ({route}) => route.kind === 'stream' ? settings.stallMs + stallMarginMs : Math.max(route.objectiveMs, leastSilenceMs),
	});
	const admin = (): ReturnType<typeof serveAdmin> => serveAdmin({
		metrics,
		ready: () => isLeaving ? {ready: false, reason: 'stopping'} : (directory.table() ? {ready: true} : {ready: false, reason: 'no configuration yet'}),
		status: () => ({
			instance, role: 'entry', zone, incarnation, leaving: isLeaving, inFlight: front.inFlight(),
			version: directory.table()?.configuration.version, revision: directory.revision(), groups: groups.status(),
			targets: targets.all().map(({record, inFlight, latencyMs, health, isServing}) => ({
				id: record.id, service: record.service, state: record.state, isServing, inFlight, latencyMs: latencyMs === undefined ? null : Math.round(latencyMs), failures: health.failures,
			})),
		}),
	});

	const adminPort = await listen(admin(), settings.admin.port, settings.admin.host);
	await listen(admin(), settings.metricsPort, settings.address);
	const port = await listen(front.server, settings.listen.port, settings.listen.host);
	log.info({port, adminPort}, 'entry started');

	return {
		port,
		adminPort,
		async stop() {
			isLeaving = true;
			log.info({graceMs: settings.graceMs, inFlight: front.inFlight()}, 'entry stops');
			const untilMs = monotonicMs() + settings.graceMs - endMarginMs;
			await sleep(Math.min(lingerMs, Math.max(0, untilMs - monotonicMs())));
			front.server.close();
			while (front.inFlight() > 0 && monotonicMs() < untilMs) {
				await sleep(pollMs);
			}

			front.giveUpAll();
			await sleep(pollMs);
			directory.stop();
			ending.abort();
			log.info({}, 'entry stopped');
			await sleep(logFlushMs);
		},
	};
}

import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	createFront, createPlainPlacer, createTargets, placeAt, type Placer,
} from '@papayaflow/direct';
import {createMirror, followStore} from '@papayaflow/mirror';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {
	configurationKey, connectPlatformStore, decodeConfiguration, decodeRegistration, platformDialect, registrationPrefix,
} from '@papayaflow/platform';
import {createResendBudget} from '@papayaflow/policy';
import {createRouteTable, type RouteTable, type TargetRecord} from '@papayaflow/routing';
import {
	addressSetting, numberSetting, type SettingsOf,
} from '@papayaflow/settings';
import {createLog, createMetrics, serveAdmin} from '@papayaflow/telemetry';
import {directSettings} from './direct-settings.js';
import {type Running} from './entry-wiring.js';
import {listen} from './program.js';

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

export async function startDirectEntry(settings: SettingsOf<typeof directEntrySettings>): Promise<Running> {
	const {instance, zone} = settings;
	const log = createLog({program: 'papayaflow-entry', instance, zone}, settings.logLevel);
	const metrics = createMetrics();
	const ending = new AbortController();
	const monotonicMs = (): number => performance.now();
	const {random} = Math;
	const pause = async (ms: number): Promise<void> => {
		await sleep(ms, undefined, {ref: false});
	};

	let isLeaving = false;
	let table: RouteTable | undefined;
	const ejection = {ejectAfterFailures: 3, ejectMs: 3000, maxEjectedRatio: 0.5};
	const store = connectPlatformStore({address: `${settings.store.host}:${settings.store.port}`, timeoutMs: settings.storeTimeoutMs});
	const mirror = createMirror({isSame: () => false});
	const targets = createTargets({connectMs: 500, ejection, nowMs: monotonicMs, onChange(what, {id, service, zone: targetZone, incarnation}) {
		log.info({target: id, service, zone: targetZone, incarnation, revision: mirror.revision()}, `target ${what}`);
	}});

	mirror.onChange(({changes, revision}) => {
		for (const change of changes) {
			if (change.kind === 'written' && change.entry.key === configurationKey) {
				const result = decodeConfiguration(change.entry.value);
				if (result.kind === 'malformed') {
					log.error({revision: change.entry.revision, detail: result.detail}, 'configuration malformed');
					continue;
				}

				table = createRouteTable(result.configuration);
				front.useLimits(result.configuration.limits);
				log.info({version: result.configuration.version, revision, routes: result.configuration.routes.length}, 'configuration applied');
			}
		}

		const records: TargetRecord[] = [];
		for (const {key, value} of mirror.entries()) {
			if (key.startsWith(registrationPrefix)) {
				const result = decodeRegistration(key, value);
				if (result.kind === 'target') {
					records.push(result.target);
				} else {
					metrics.count('registrations_malformed');
				}
			}
		}

		targets.update(records);
	});

	const plain = createPlainPlacer({
		targets, ejection, nowMs: monotonicMs, random, zone,
	});
	const limit = 14;
	let running = 0;
	const place: Placer = async need => {
		const engine = table?.configuration.services.get(need.call.service)?.engine;
		if (!engine) {
			return plain(need);
		}

		const candidates = targets.of(need.call.service).filter(({record}) => !need.tried.has(record.id));
		if (candidates.length === 0 || running >= limit) {
			return {kind: 'refused', reason: 'overloaded', retryAfterMs: 300};
		}

		running++;
		const least = candidates.reduce((a, b) => b.inFlight + (random() * 0.5) < a.inFlight ? b : a);
		const inner = placeAt(least);
		return {kind: 'placed', place: {...inner, ended(how) {
			running--;
			inner.ended(how);
		}}};
	};

	metrics.declare('refusals', 'reason', refusalReasons);
	metrics.declare('losses', 'reason', lossReasons);
	const front = createFront({
		dialect: platformDialect, place, metrics, log, monotonicMs, random, table: () => table, isLeaving: () => isLeaving,
		resends: createResendBudget({ratio: settings.resendRatio, slack: settings.resendSlack, entries: () => 4, windowMs: settings.resendWindowMs, nowMs: monotonicMs}),
		silenceMs: ({route}) => route.kind === 'stream' ? settings.stallMs + 200 : Math.max(route.objectiveMs, 100),
	});

	const admin = serveAdmin({
		metrics,
		ready: () => isLeaving ? {ready: false, reason: 'stopping'} : (table ? {ready: true} : {ready: false, reason: 'no configuration yet'}),
		status: () => ({instance, role: 'entry', zone, version: table?.configuration.version, leaving: isLeaving, inFlight: front.inFlight()}),
	});
	void followStore(store, mirror, {
		prefix: '', pauseMs: settings.storePauseMs, waitMs: 3000, returnMs: 2500, isReader: () => true, nowMs: monotonicMs, random, sleep: pause, signal: ending.signal,
		onLost(detail) {
			log.warn({dependency: 'store', detail, revision: mirror.revision()}, 'dependency lost');
		},
		onRegained(awayMs) {
			log.warn({dependency: 'store', awayMs: Math.round(awayMs), revision: mirror.revision()}, 'dependency regained');
		},
	});

	await listen(admin, settings.admin.port, settings.admin.host);
	const port = await listen(front.server, settings.listen.port, settings.listen.host);
	log.info({port}, 'entry started');

	return {
		port,
		adminPort: settings.admin.port,
		async stop() {
			isLeaving = true;
			log.info({graceMs: settings.graceMs}, 'entry stops');
			const untilMs = monotonicMs() + settings.graceMs - 300;
			await sleep(3000);
			front.server.close();
			while (front.inFlight() > 0 && monotonicMs() < untilMs) {
				await sleep(20);
			}

			front.giveUpAll();
			await sleep(20);
			ending.abort();
			log.info({}, 'entry stopped');
		},
	};
}

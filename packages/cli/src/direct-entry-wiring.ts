import {setTimeout as sleep} from 'node:timers/promises';
import {createBodyBuffers} from '@papayaflow/caller';
import {
	createAnswerBuffers, createColdPlacer, createCrashDetector, createExplainer, createFront, createGroupPlacer, createLimitedPlacer, createPlainPlacer, createQuarantinedPlacer,
	createTargets, subjectsOf, type PlainChoiceOptions, type StopPlan,
} from '@papayaflow/direct';
import {
	createBeliefs, createColdTargets, createEngineChoice, createEntryEstimate, createPauses, createPermits, limitChanges, permitResults, type DispenserLink, type TargetLifetime,
} from '@papayaflow/limit';
import {lossReasons, refusalReasons} from '@papayaflow/outcome';
import {
	handleFrame, maintainHostLinks, processBacklogs, type FrameHandlers, type Peer, type PeerEvents,
} from '@papayaflow/peer';
import {connectPlatformStore, platformDialect} from '@papayaflow/platform';
import {coldShare, createResendBudget, rendezvousOrder} from '@papayaflow/policy';
import {createQuarantine, suspicionChanges} from '@papayaflow/quarantine';
import {addressOf, type EngineModel, type TargetRecord} from '@papayaflow/routing';
import {
	addressSetting, numberSetting, tableSetting, type SettingsOf,
} from '@papayaflow/settings';
import {serveAdmin} from '@papayaflow/telemetry';
import {createProcessContext} from './direct-process.js';
import {
	directSettings, logFlushMs, msPerSecond, storePauseOf,
} from './direct-settings.js';
import {openDirectory} from './directory.js';
import {reportHeldBytes} from './held-bytes.js';
import {abortFlushMs, listen, type RunningProgram} from './program.js';
import {resourceLimitsOf} from './resource-limits.js';

/** The connect timeout of a target, in milliseconds: long enough for several round trips between zones. */
const connectTimeoutMs = 300;

/** When a failing target is ejected, and for how long, based on the answers that this entry receives from it. */
const ejection = {ejectAfterFailures: 3, ejectMs: 3000, maxEjectedRatio: 0.5};

/** How long an entry takes all requests after its readiness check starts to fail, in milliseconds. The platform checks every second and acts on the second failure. */
const maxLingerMs = 3000;

/** The longest such time as a ratio of the grace period. The rest is left for the requests that were taken. */
const maxLingerRatio = 0.375;

/** The part of the grace period that is reserved for the exit of the process, in milliseconds. */
const shutdownMarginMs = 250;

/** The shortest time without an answer after which a small repeatable call is sent to another target, in milliseconds. */
const minSilenceMs = 100;

/** How long a stream may be silent beyond the stall time of its group, in milliseconds, before it is resumed at another target. */
const stallMarginMs = 200;

/** The number of entries that are assumed to share the resend budget and the rates of limited targets if the sidecars report a smaller number of entries or none yet. */
const minAssumedEntries = 4;

/** How many sidecars an entry tells what it learns of prompts that crash targets. Each passes it on to all entries, so a second one covers the loss of the first. */
const suspicionRelays = 2;

export const directEntrySettings = {
	...directSettings,
	listen: addressSetting('the address that serves the HTTP requests of callers'),
	admin: addressSetting('the address that serves the readiness checks of the platform'),
	resendRatio: numberSetting('the number of resends allowed per request, on average over all entries', {minimum: 0, maximum: 10, fallback: '0.2'}),
	resendSlack: numberSetting('the number of further resends that all entries together may make in one window', {minimum: 0, maximum: 1_000_000, fallback: '20'}),
	resendWindowS: numberSetting('the window in which resends are counted', {
		minimum: 0.1, maximum: 3600, unit: 'seconds', fallback: '10',
	}),
	regions: tableSetting('the region of each availability zone, as ZONE=REGION,ZONE=REGION; needed for routes and organisations whose regions are restricted'),
	coldOverrun: numberSetting('how many times its rate a cold target may get in a second, over all entries', {minimum: 1, maximum: 1000, fallback: '1'}),
	coldSlack: numberSetting('how many requests more than that a cold target may get in a second, over all entries', {minimum: 0, maximum: 1_000_000, fallback: '0'}),
	stallMs: numberSetting('how long a group waits for a lost rank before it abandons its work', {
		minimum: 0, maximum: 3_600_000, unit: 'milliseconds', fallback: '1500',
	}),
};

/**
Starts an entry that connects to the targets directly: directory, placers, front, links
to the sidecars and admin endpoints.

@example
const running = await startDirectEntry(settings);
await running.stop();
*/
export async function startDirectEntry(settings: SettingsOf<typeof directEntrySettings>): Promise<RunningProgram> {
	const {instance, zone} = settings;
	const {
		incarnation, log, metrics, containment, shutdown, monotonicMs, random, pause, ticker,
	} = createProcessContext('papayaflow-entry', settings);
	let stopPlan: StopPlan | undefined;
	metrics.declare('refusals', 'reason', refusalReasons);
	metrics.declare('losses', 'reason', lossReasons);
	metrics.declare('retries', 'reason', [...lossReasons, 'failed', 'notRun']);
	metrics.declare('retries_denied', 'reason', ['resendBudgetSpent']);
	metrics.declare('limit_changes', 'change', limitChanges);
	metrics.declare('permits', 'result', permitResults);
	metrics.declare('suspicion_changes', 'change', suspicionChanges);

	const isEvacuated = (targetZone: string): boolean => directory.evacuatedZones().has(targetZone);
	const targets = createTargets({
		connectMs: connectTimeoutMs, ejection, nowMs: monotonicMs, isKnownService: service => directory.table()?.configuration.services.has(service) ?? true,
		onRestarted(record) {
			cold.onStarted([record]);
		},
		isEvacuated,
		onChange(change, {id, service, zone: targetZone, incarnation: targetIncarnation}) {
			log.info({
				target: id, service, targetZone, incarnation: targetIncarnation, revision: directory.revision(),
			}, `target ${change}`);
		},
	});
	const beliefs = createBeliefs({monotonicMs, metrics, log});
	const pauses = createPauses({monotonicMs, metrics, log});
	const directory = openDirectory({
		instance, zone, store: connectPlatformStore({address: addressOf(settings.store), timeoutMs: settings.storeTimeoutMs}),
		pauseMs: storePauseOf(settings), reportMs: settings.reportMs, prefersPeers: false, log, metrics, monotonicMs, random, containment, ticker, sleep: pause, signal: shutdown.signal,
		onTable({configuration}) {
			front.applyTimeouts(configuration.limits);
			targets.update(directory.records());
			cold.update(directory.records());
			updateEngineChoice();
			updateLinks(directory.records());
		},
		onTakenBack(records) {
			cold.onStarted(records);
		},
		onRecords(records) {
			targets.update(records);
			cold.update(records);
			updateEngineChoice();
			updateLinks(records);
		},
	});
	const model = (service: string): EngineModel | undefined => directory.table()?.configuration.services.get(service)?.engine;
	const plainOptions: PlainChoiceOptions = {
		targets, ejection, nowMs: monotonicMs, random, zone,
	};
	const placePlain = createPlainPlacer(plainOptions);
	const groupPlacer = createGroupPlacer({
		mayHold: () => !quarantine.knowsRequests(), targets, model, monotonicMs, random, metrics, log,
	});
	const coldEntries = createEntryEstimate({reported: () => groupPlacer.entries(), targets: () => directory.records().length, monotonicMs});
	const cold = createColdTargets({
		service: name => directory.table()?.configuration.services.get(name)?.cold, monotonicMs, random, metrics, log,
		share: perSecond => coldShare({
			perSecond, overrun: settings.coldOverrun, slack: settings.coldSlack, entries: coldEntries(),
		}),
	});
	const avoidsCold = ({service}: {readonly service: string}): boolean => model(service) === undefined;
	const isCoordinated = ({service}: {readonly service: string}): boolean => model(service) !== undefined && groupPlacer.groups(service).some(({coordinator}) => coordinator !== undefined);
	const stopColdTicks = ticker.add(() => {
		coldEntries();
		cold.tick();
	});
	/** The connected sidecars by the address of their machine. */
	const sidecars = new Map<string, Peer>();
	let engineOf = createEngineChoice({targets: [], isEngine: () => false});
	const updateEngineChoice = (): void => {
		engineOf = createEngineChoice({targets: directory.records(), isEngine: ({service}) => model(service) !== undefined});
	};

	const dispenserOf = ({id, incarnation}: TargetLifetime): DispenserLink | undefined => {
		const record = targets.byId(id)?.record;
		const engine = record?.incarnation === incarnation ? engineOf(record) : undefined;
		const sidecar = engine && sidecars.get(engine.host);
		return sidecar && createDispenserLink(sidecar);
	};

	const assumedEntries = (): number => Math.max(minAssumedEntries, groupPlacer.entries() ?? 0);
	const permits = createPermits({
		beliefs, dispenserOf, entries: assumedEntries, monotonicMs, wallMs: Date.now, random, metrics, log,
	});

	// All entries prefer the same sidecars, so that each suspicion reaches every entry about twice.
	const relays = (): readonly Peer[] => {
		const byInstance = new Map([...sidecars.values()].map(peer => [peer.hello.instance, peer]));
		return rendezvousOrder('suspicions', [...byInstance.keys()]).slice(0, suspicionRelays).map(name => byInstance.get(name)!);
	};

	const quarantine = createQuarantine({
		instance, monotonicMs, random, metrics, log,
		announce(suspicions) {
			for (const relay of relays()) {
				relay.send({kind: 'suspicions', suspicions});
			}
		},
	});

	const frameHandlers: FrameHandlers = {
		suspicions(peer, {suspicions}) {
			quarantine.onReceived(peer.hello.instance, suspicions);
		},
		permit(_peer, {id, isGranted, retryMs}) {
			permits.onDecision(id, {isGranted, retryMs});
		},
		limit(peer, {limit}) {
			permits.onAnnounced(createDispenserLink(peer), limit);
		},
	};
	const sendSuspicions = (receivers: readonly Peer[]): void => {
		const suspicions = quarantine.all();
		for (const receiver of suspicions.length > 0 ? receivers : []) {
			receiver.send({kind: 'suspicions', suspicions});
		}
	};

	const events: PeerEvents = {
		onUp(peer) {
			log.info({dependency: 'sidecar', peer: peer.hello.instance}, 'dependency regained');
			sidecars.set(peer.host, peer);
			directory.onUp(peer);
			sendSuspicions([peer]);
		},
		onFrame(peer, frame) {
			metrics.count('frames_received', {kind: frame.kind});
			if (!groupPlacer.onFrame(peer, frame) && !directory.onFrame(peer, frame) && !handleFrame(frameHandlers, peer, frame)) {
				metrics.count('frame_faults', {reason: 'unexpected'});
			}
		},
		onDown(peer, cause) {
			log.warn({dependency: 'sidecar', peer: peer.hello.instance, cause}, 'dependency lost');
			// Ordering all sidecars for each one that is lost takes long when many are lost at once.
			const wasRelay = quarantine.all().length > 0 && relays().includes(peer);
			if (sidecars.get(peer.host) === peer) {
				sidecars.delete(peer.host);
			}

			directory.onDown(peer);
			groupPlacer.onDown(peer, cause);
			if (wasRelay) {
				sendSuspicions(relays());
			}
		},
		// The entry depends on the dispensers of limited targets, and on the coordinators of groups, which request short heartbeats themselves.
		isNear: peer => permits.dispensers().has(peer.hello.instance),
		onFault(reason) {
			metrics.count('frame_faults', {reason});
		},
		onError(error) {
			containment.report('frame', error);
		},
	};
	const setLinkedHosts = maintainHostLinks({
		port: settings.peerPort, events, signal: shutdown.signal,
		options: {
			role: 'entry', instance, incarnation, zone, monotonicMs, sleep: pause, ticker,
		},
	});
	// Each engine has a sidecar on the same machine.
	const updateLinks = (records: readonly TargetRecord[]): void => {
		setLinkedHosts(records.filter(({service}) => model(service) !== undefined).map(({host}) => host));
	};

	const limits = resourceLimitsOf(settings);
	const answerBuffers = createAnswerBuffers(limits.answerBytes);
	const bodyBuffers = createBodyBuffers(limits.bodyBytes, monotonicMs);
	ticker.add(reportHeldBytes(metrics, {
		bodies: bodyBuffers.bytes, answers: () => answerBuffers.bytes('answers'), unread: () => answerBuffers.bytes('unread'), frames: processBacklogs.bytes,
		ahead: () => front.aheadBytes(), heads: () => front.headBytes(),
		unsent: () => targets.all().reduce((sum, {pool}) => sum + pool.unsentBytes(), 0),
	}));
	const front = createFront({
		regionByZone: settings.regions,
		dialect: platformDialect, metrics, log, containment, monotonicMs, random, table: () => directory.table(), stopPlan: () => stopPlan,
		place: createQuarantinedPlacer({
			quarantine,
			place: createLimitedPlacer({
				place: createColdPlacer({
					place: async need => model(need.call.service) ? groupPlacer.place(need) : placePlain(need), targets, cold, avoidsCold, isCoordinated, random,
				}),
				targets, permits, pauses, random,
			}),
		}),
		resendBudget: createResendBudget({
			ratio: settings.resendRatio, slack: settings.resendSlack, entries: assumedEntries, windowMs: settings.resendWindowS * msPerSecond, nowMs: monotonicMs,
		}),
		answerBuffers, bodyBuffers, callerLimits: limits.callers,
		crashes: createCrashDetector({
			connectMs: connectTimeoutMs, log, metrics,
			onCrash({record}, requests) {
				quarantine.onCrash(record.id, requests, {stopsGroup: model(record.service)?.experts !== undefined});
			},
		}),
		onBegun(call) {
			quarantine.onBegun(subjectsOf(call, quarantine));
		},
		silenceTimeoutMs: ({route}) => route.kind === 'stream' ? settings.stallMs + stallMarginMs : Math.max(route.objectiveMs, minSilenceMs),
		onAnswer(target, {limit, pause: namedPause, leaving, coldMs = 0}, sentMs) {
			permits.onAnswer(target.record, limit, sentMs);
			pauses.observe(target.record, namedPause);
			cold.onStated(target.record, coldMs);
			if (leaving.kind === 'yes') {
				target.markLeaving();
			} else if (leaving.kind === 'malformed') {
				metrics.count('leaving_malformed');
				log.warn({target: target.record.id, value: leaving.text}, 'a target does not say clearly whether it leaves; the value is ignored');
			}
		},
	});
	const explain = createExplainer({
		...plainOptions, permits, pauses, cold, avoidsCold, isCoordinated, groupPlacer, isEvacuated, regionByZone: settings.regions, table: directory.table, isEngine: service => model(service) !== undefined,
	});
	const createAdminServer = (): ReturnType<typeof serveAdmin> => serveAdmin({
		metrics, containment, log, monotonicMs,
		actions: {
			'GET /explain': explain,
			'GET /quarantine': () => ({status: 200, body: quarantine.status()}),
			'POST /quarantine/clear': query => ({status: 200, body: {cleared: quarantine.clear(query.get('part') ?? undefined)}}),
		},
		ready: () => stopPlan ? {ready: false, reason: 'stopping'} : (directory.table() ? {ready: true} : {ready: false, reason: 'no configuration yet'}),
		status: () => ({
			instance, role: 'entry', zone, incarnation, leaving: stopPlan !== undefined, inFlight: front.inFlight(), connections: front.connections.open(),
			version: directory.table()?.configuration.version, revision: directory.revision(), evacuatedZones: [...directory.evacuatedZones()], groups: groupPlacer.status(), cold: cold.status(),
			targets: targets.all().map(({record, inFlight, latencyMs, health, isServing}) => ({
				id: record.id, service: record.service, state: record.state, isServing, inFlight, latencyMs: latencyMs === undefined ? null : Math.round(latencyMs), failures: health.failures,
			})),
		}),
	});

	const adminPort = await listen(createAdminServer(), settings.admin, {log, containment});
	await listen(createAdminServer(), {port: settings.metricsPort, host: settings.address}, {log, containment});
	const port = await listen(front.server, settings.listen, {log, containment});
	log.info({port, adminPort}, 'entry started');

	return {
		port,
		adminPort,
		log,
		containment,
		async stop() {
			const startedMs = monotonicMs();
			const graceMs = settings.graceS * msPerSecond;
			const lingerMs = Math.min(maxLingerMs, graceMs * maxLingerRatio);
			stopPlan = {lingerEndsAtMs: startedMs + lingerMs, endsAtMs: startedMs + Math.max(0, graceMs - shutdownMarginMs)};
			log.info({graceMs, inFlight: front.inFlight(), connections: front.connections.open()}, 'entry is stopping');
			await sleep(lingerMs);
			log.info({inFlight: front.inFlight(), connections: front.connections.open()}, 'entry accepts no more connections');
			await front.connections.drain(stopPlan.endsAtMs);
			const aborted = front.abortAll();
			const connections = await front.connections.drain(monotonicMs() + abortFlushMs);
			directory.stop();
			stopColdTicks();
			shutdown.abort();
			log.info({aborted, connections}, 'entry stopped');
			await sleep(logFlushMs);
		},
	};
}

function createDispenserLink(sidecar: Peer): DispenserLink {
	return {
		instance: sidecar.hello.instance,
		ask(id, target, perSecond) {
			sidecar.send({
				kind: 'askPermit', id, target: lifetimeOf(target), perSecond,
			});
		},
		report(seen) {
			sidecar.send({kind: 'limitSeen', seen: {...seen, target: lifetimeOf(seen.target)}});
		},
	};
}

/** Leaves out the other fields of a record, so that they are not sent. */
function lifetimeOf({id, incarnation}: TargetLifetime): TargetLifetime {
	return {id, incarnation};
}

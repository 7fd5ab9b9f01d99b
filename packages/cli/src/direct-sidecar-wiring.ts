import {createServer} from 'node:net';
import {setImmediate, setTimeout as sleep} from 'node:timers/promises';
import {acquireEpoch} from '@papayaflow/experts';
import {createGroupSidecar, nearestFirst, type RankEngine} from '@papayaflow/group';
import {createColdTargets, createDispenser, ownedTargets} from '@papayaflow/limit';
import {
	createStrangers, handleFrame, maintainHostLinks, processBacklogs, servePeer, type FrameHandlers, type Peer, type PeerEvents,
} from '@papayaflow/peer';
import {connectPlatformStore, connectRank} from '@papayaflow/platform';
import {createSuspicionRelay} from '@papayaflow/quarantine';
import {addressOf, latestByAddress, type TargetRecord} from '@papayaflow/routing';
import {addressSetting, numberSetting, type SettingsOf} from '@papayaflow/settings';
import {reportClosedConnections, serveAdmin} from '@papayaflow/telemetry';
import {createProcessContext} from './direct-process.js';
import {
	directSettings, logFlushMs, msPerSecond, storePauseOf,
} from './direct-settings.js';
import {createDemandStore} from './demand-store.js';
import {openDirectory} from './directory.js';
import {reportHeldBytes} from './held-bytes.js';
import {listen, type RunningProgram} from './program.js';
import {resourceLimitsOf} from './resource-limits.js';

/** The timeout of a query to an engine, in milliseconds: long enough for several round trips between zones. */
const engineTimeoutMs = 300;

/** The timeout of an order to an engine, in milliseconds. An engine answers within a few milliseconds, and the group may be held while an order is pending. */
const engineOrderTimeoutMs = 80;

export const directSidecarSettings = {
	...directSettings,
	target: addressSetting('this sidecar\'s engine'),
	goodSkew: numberSetting('the skew of a layer up to which its experts are not moved', {minimum: 1, maximum: 100, fallback: '1.08'}),
	copyCost: numberSetting('the cost of copying a gigabyte, as the seconds for which the passes of one rank take twice as long', {minimum: 0, maximum: 100, fallback: '0.065'}),
};

/**
Starts a sidecar that coordinates its group together with the group's other sidecars. It
forwards no requests.

@example
const running = await startDirectSidecar(settings);
await running.stop();
*/
export async function startDirectSidecar(settings: SettingsOf<typeof directSidecarSettings>): Promise<RunningProgram> {
	const {instance, zone} = settings;
	const {
		incarnation, log, metrics, containment, shutdown, monotonicMs, random, pause, ticker,
	} = createProcessContext('papayaflow-sidecar', settings);
	let isLeaving = false;
	const target = addressOf(settings.target);
	const store = connectPlatformStore({address: addressOf(settings.store), timeoutMs: settings.storeTimeoutMs});
	const directory = openDirectory({
		instance, zone, store, pauseMs: storePauseOf(settings), reportMs: settings.reportMs, prefersPeers: true, log, metrics, monotonicMs, random, containment, ticker, sleep: pause, signal: shutdown.signal,
		onTable() {
			updateTargets();
		},
		onRecords() {
			updateTargets();
		},
		onTakenBack(records) {
			cold.onStarted(records);
		},
	});
	const isEngine = ({service}: TargetRecord): boolean => directory.table()?.configuration.services.get(service)?.engine !== undefined;
	/** The engine beside this sidecar, and the targets of its service. They are looked up for each placement, so they are derived once for each change. */
	let ownRecord: TargetRecord | undefined;
	let serviceRecords: readonly TargetRecord[] = [];
	/** The host of each target of the service, in the order in which those of unknown group are connected. */
	let linkOrder: ReadonlyMap<string, string> = new Map();
	const updateTargets = (): void => {
		const records = directory.records();
		ownRecord = latestByAddress(records.filter(record => isEngine(record))).get(target);
		serviceRecords = records.filter(({service}) => service === ownRecord?.service);
		linkOrder = new Map(ownRecord ? nearestFirst(serviceRecords, ownRecord).map(record => [addressOf(record), record.host]) : []);
		cold.update(serviceRecords);
		updateOwnedTargets();
		updateLinks();
	};

	// The entries keep to the bound together; the coordinator spreads the requests so that few of them meet it.
	const cold = createColdTargets({
		service: name => directory.table()?.configuration.services.get(name)?.cold, monotonicMs, random, metrics, log,
		share: perSecond => ({spacingMs: msPerSecond / perSecond, lapseMs: Number.POSITIVE_INFINITY}),
	});
	const stopColdTicks = ticker.add(cold.tick);
	const engines = new Map<string, RankEngine>();
	const connectEngine = (address: string): RankEngine => {
		const engine = engines.get(address) ?? connectRank(address, {timeoutMs: engineTimeoutMs, orderTimeoutMs: engineOrderTimeoutMs});
		engines.set(address, engine);
		return engine;
	};

	const group = createGroupSidecar({
		target, engine: connectEngine(target), connect: connectEngine, records: () => serviceRecords, metrics, log, monotonicMs, random, sleep: pause, signal: shutdown.signal,
		cold: {
			...cold,
			onPlaced(record) {
				cold.reserve(record)?.use();
			},
		},
		isEvacuated: targetZone => directory.evacuatedZones().has(targetZone),
		yieldTurn: async () => setImmediate(),
		wallMs: Date.now, demandStore: createDemandStore(store, () => ownRecord?.service),
		onStateChange() {
			void updateLinksSoon();
		},
		weights: {goodSkew: settings.goodSkew, copyCost: settings.copyCost},
		model() {
			return ownRecord && directory.table()?.configuration.services.get(ownRecord.service)?.engine;
		},
		async acquireToken(name) {
			const result = await acquireEpoch(store, name, instance);
			return result.kind === 'acquired' ? result.epoch : undefined;
		},
	});

	ticker.add(reportHeldBytes(metrics, {frames: processBacklogs.bytes}));
	const entries = new Set<Peer>();
	const dispenser = createDispenser({
		monotonicMs, random, metrics, log,
		announce(limit) {
			for (const entry of entries) {
				entry.send({kind: 'limit', limit});
			}
		},
	});
	const updateOwnedTargets = (): void => {
		dispenser.setOwned(ownedTargets(target, {targets: directory.records(), isEngine}));
	};

	const suspicions = createSuspicionRelay(monotonicMs);
	const frameHandlers: FrameHandlers = {
		suspicions(peer, frame) {
			const news = suspicions.onReceived(frame.suspicions);
			for (const entry of news.length > 0 ? entries : []) {
				if (entry !== peer) {
					entry.send({kind: 'suspicions', suspicions: news});
				}
			}
		},
		askPermit(peer, {id, target: asked, perSecond}) {
			peer.send({kind: 'permit', id, ...dispenser.ask(peer.hello.instance, {id, target: asked, perSecond})});
		},
		limitSeen(peer, {seen}) {
			const current = dispenser.onSeen(peer.hello.instance, seen);
			if (current) {
				peer.send({kind: 'limit', limit: current});
			}
		},
	};
	const events: PeerEvents = {
		onUp(peer) {
			log.info({dependency: peer.hello.role, peer: peer.hello.instance}, 'dependency regained');
			directory.onUp(peer);
			group.onUp(peer);
			if (peer.hello.role === 'entry') {
				entries.add(peer);
				for (const limit of dispenser.onEntryUp(peer.hello.instance)) {
					peer.send({kind: 'limit', limit});
				}

				const known = suspicions.all();
				if (known.length > 0) {
					peer.send({kind: 'suspicions', suspicions: known});
				}
			}
		},
		onFrame(peer, frame) {
			metrics.count('frames_received', {kind: frame.kind});
			if (frame.kind === 'rank') {
				void updateLinksSoon();
			}

			if (!group.onFrame(peer, frame) && !directory.onFrame(peer, frame) && !handleFrame(frameHandlers, peer, frame)) {
				metrics.count('frame_faults', {reason: 'unexpected'});
			}
		},
		onDown(peer, cause) {
			log.warn({dependency: peer.hello.role, peer: peer.hello.instance, cause}, 'dependency lost');
			directory.onDown(peer);
			group.onDown(peer, cause);
			if (entries.delete(peer)) {
				dispenser.onEntryDown(peer.hello.instance);
			}
		},
		isNear: group.isNear,
		onFault(reason) {
			metrics.count('frame_faults', {reason});
		},
		onError(error) {
			containment.report('frame', error);
		},
	};
	const onPeerClosed = reportClosedConnections('peer', {metrics, log, monotonicMs});
	const strangers = createStrangers(resourceLimitsOf(settings).strangers, () => {
		onPeerClosed('silent');
	});
	const options = {
		role: 'sidecar', instance, incarnation, zone, monotonicMs, sleep: pause, ticker, strangers,
	} as const;
	const setLinkedHosts = maintainHostLinks({
		port: settings.peerPort, options, events, signal: shutdown.signal,
	});
	// Only the sidecars that may coordinate the group open links to the others; the rest accept them. The group of a sidecar is known once it has been connected.
	const updateLinks = (): void => {
		const hosts = group.linkedTargets([...linkOrder.keys()]).map(address => linkOrder.get(address)!);
		setLinkedHosts(hosts.filter(host => host !== settings.address));
	};

	let isUpdateScheduled = false;
	const updateLinksSoon = async (): Promise<void> => {
		if (!isUpdateScheduled) {
			isUpdateScheduled = true;
			await setImmediate();
			isUpdateScheduled = false;
			containment.run('tick', updateLinks);
		}
	};

	// The rank of an engine, and with it whether its sidecar may coordinate, can change with each formation.
	const stopLinkUpdates = ticker.add(updateLinks);
	const admin = serveAdmin({
		metrics, containment, log, monotonicMs,
		ready: () => isLeaving ? {ready: false, reason: 'stopping'} : {ready: true},
		status: () => ({
			instance, role: 'sidecar', zone, incarnation, leaving: isLeaving, revision: directory.revision(), group: group.status(), limits: dispenser.status(),
			evacuatedZones: [...directory.evacuatedZones()],
		}),
	});
	const server = createServer(socket => {
		strangers.add(socket);
		void servePeer(socket, options, events);
	});
	const adminPort = await listen(admin, {port: settings.metricsPort, host: settings.address}, {log, containment});
	const port = await listen(server, {port: settings.peerPort, host: settings.address}, {log, containment});
	log.info({port, adminPort, target}, 'sidecar started');

	return {
		port,
		adminPort,
		log,
		containment,
		async stop() {
			isLeaving = true;
			const graceMs = settings.graceS * msPerSecond;
			log.info({graceMs}, 'sidecar is stopping');
			await Promise.race([group.leave(), sleep(graceMs / 2)]);
			stopLinkUpdates();
			stopColdTicks();
			directory.stop();
			shutdown.abort();
			server.close();
			log.info({}, 'sidecar stopped');
			await sleep(logFlushMs);
		},
	};
}

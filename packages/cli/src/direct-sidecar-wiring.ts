import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {takeEpoch} from '@papayaflow/experts';
import {createGroupSidecar, type RankEngine} from '@papayaflow/group';
import {followHosts, servePeer, type PeerEvents} from '@papayaflow/peer';
import {connectPlatformStore, connectRank} from '@papayaflow/platform';
import {addressOf, type TargetRecord} from '@papayaflow/routing';
import {addressSetting, numberSetting, type SettingsOf} from '@papayaflow/settings';
import {serveAdmin} from '@papayaflow/telemetry';
import {beginProcess} from './direct-process.js';
import {directSettings, logFlushMs} from './direct-settings.js';
import {openDirectory} from './directory.js';
import {type Running} from './entry-wiring.js';
import {listen} from './program.js';

/** How long a question to an engine may take, in milliseconds: some round trips between zones. */
const engineMs = 300;

/** How long an order to an engine may take, in milliseconds: it answers in some, and the group may be held meanwhile. */
const orderMs = 80;

export const directSidecarSettings = {
	...directSettings,
	target: addressSetting('the engine beside this process'),
	goodSkew: numberSetting('the skew of a layer at which its experts are left where they are', {least: 1, most: 100, fallback: '1.08'}),
	copyCost: numberSetting('what copying a gigabyte costs, as seconds of one rank\'s passes that take twice as long', {least: 0, most: 100, fallback: '0.065'}),
};

/**
Wires a sidecar that coordinates with those of its group, and carries no requests.

@example
const running = await startDirectSidecar(settings);
await running.stop();
*/
export async function startDirectSidecar(settings: SettingsOf<typeof directSidecarSettings>): Promise<Running> {
	const {instance, zone} = settings;
	const {
		incarnation, log, metrics, ending, monotonicMs, random, pause,
	} = beginProcess('papayaflow-sidecar', settings);
	let isLeaving = false;
	const target = addressOf(settings.target);
	const store = connectPlatformStore({address: addressOf(settings.store), timeoutMs: settings.storeTimeoutMs});
	const directory = openDirectory({
		store, pauseMs: settings.storePauseMs, isFed: true, log, metrics, monotonicMs, random, sleep: pause, signal: ending.signal,
		onTable() {
			updateLinks();
		},
		onRecords() {
			updateLinks();
		},
	});
	const ownRecord = (): TargetRecord | undefined => directory.records().find(record => addressOf(record) === target);
	const siblings = (): readonly TargetRecord[] => {
		const own = ownRecord();
		return own ? directory.records().filter(({service}) => service === own.service) : [];
	};

	const engines = new Map<string, RankEngine>();
	const connect = (address: string): RankEngine => {
		const known = engines.get(address) ?? connectRank(address, {timeoutMs: engineMs, orderTimeoutMs: orderMs});
		engines.set(address, known);
		return known;
	};

	const group = createGroupSidecar({
		target, engine: connect(target), connect, records: siblings, metrics, log, monotonicMs, random, sleep: pause, signal: ending.signal,
		weights: {goodSkew: settings.goodSkew, copyCost: settings.copyCost},
		model() {
			const own = ownRecord();
			return own && directory.table()?.configuration.services.get(own.service)?.engine;
		},
		async takeToken(name) {
			const taken = await takeEpoch(store, name, instance);
			return taken.kind === 'taken' ? taken.epoch : undefined;
		},
	});

	const events: PeerEvents = {
		onUp(peer) {
			log.info({dependency: peer.hello.role, peer: peer.hello.instance}, 'dependency regained');
			directory.onUp(peer);
			group.onUp(peer);
		},
		onFrame(peer, frame) {
			if (!group.onFrame(peer, frame) && !directory.onFrame(peer, frame)) {
				metrics.count('frame_faults', {reason: 'unexpected'});
			}
		},
		onDown(peer) {
			log.warn({dependency: peer.hello.role, peer: peer.hello.instance}, 'dependency lost');
			directory.onDown(peer);
			group.onDown(peer);
		},
		isNear: group.isNear,
		onFault(reason) {
			metrics.count('frame_faults', {reason});
		},
	};
	const options = {
		role: 'sidecar', instance, incarnation, zone, monotonicMs, sleep: pause,
	} as const;
	const follow = followHosts({
		port: settings.peerPort, options, events, signal: ending.signal,
	});
	// Only the sidecars that may coordinate reach out to the others; those wait to be called.
	const updateLinks = (): void => {
		follow(group.isCandidate() ? siblings().map(({host}) => host).filter(host => host !== settings.address) : []);
	};

	const relink = setInterval(updateLinks, relinkMs).unref();
	const admin = serveAdmin({
		metrics,
		ready: () => isLeaving ? {ready: false, reason: 'stopping'} : {ready: true},
		status: () => ({
			instance, role: 'sidecar', zone, incarnation, leaving: isLeaving, revision: directory.revision(), group: group.status(),
		}),
	});
	const server = createServer(socket => {
		void servePeer(socket, options, events);
	});
	const adminPort = await listen(admin, settings.metricsPort, settings.address);
	const port = await listen(server, settings.peerPort, settings.address);
	log.info({port, adminPort, target}, 'sidecar started');

	return {
		port,
		adminPort,
		async stop() {
			isLeaving = true;
			log.info({graceMs: settings.graceMs}, 'sidecar stops');
			await Promise.race([group.leave(), sleep(settings.graceMs / 2)]);
			clearInterval(relink);
			directory.stop();
			ending.abort();
			server.close();
			log.info({}, 'sidecar stopped');
			await sleep(logFlushMs);
		},
	};
}

/** How often the links to other sidecars are looked at, in milliseconds: a rank can change with each formation. */
const relinkMs = 500;

import {setTimeout as sleep} from 'node:timers/promises';
import {createTicker} from '@papayaflow/peer';
import {connectPlatformStore} from '@papayaflow/platform';
import {
	createPlatformStore, createSilencingProxy, listenOn, type PlatformStore, type SilencingProxy,
} from '@papayaflow/standins';
import {
	createContainment, createLog, createMetrics, type Metrics,
} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {openDirectory, watchWaitOf, type Directory} from '../src/directory.js';

/** How often a target reports, in milliseconds, and the bounds that the platform states for its small installations. */
const reportMs = 1200;
const drainMs = 2000;
const stableWindowMs = 3000;
const pauseMs = 700;

const configuration = (version: number): string => JSON.stringify({
	version, routes: [], services: [{name: 'llm'}],
	limits: {
		max_header_bytes: 1, max_body_bytes: 1, header_timeout_ms: 1, idle_timeout_ms: 1,
	},
});

describe('a directory whose connections to the store have gone silent', () => {
	let store: PlatformStore;
	let proxy: SilencingProxy;
	let ending: AbortController;
	let directory: Directory;
	let metrics: Metrics;
	let reports: NodeJS.Timeout;
	let seq = 0;
	const reporting = new Set<string>();

	const report = (): void => {
		seq++;
		for (const [index, id] of ['i-0', 'i-1', 'i-2'].entries()) {
			if (reporting.has(id)) {
				store.put(`servers/${id}`, JSON.stringify({
					service: 'llm', address: `10.0.0.${index + 1}:80`, zone: 'z', version: '1', slots: 8, state: 'ready', cold_remaining_ms: 0, seq, born: 1,
				}));
			}
		}
	};

	const idsOf = (): readonly string[] => directory.records().map(({id}) => id);

	beforeEach(async () => {
		store = createPlatformStore(Date.now);
		proxy = createSilencingProxy(await listenOn(store.server));
		const port = await listenOn(proxy.server);
		ending = new AbortController();
		for (const id of ['i-0', 'i-1', 'i-2']) {
			reporting.add(id);
		}

		store.put('op/config', configuration(1));
		report();
		reports = setInterval(report, reportMs);
		metrics = createMetrics();
		const log = createLog({}, 'error');
		directory = openDirectory({
			instance: 'entry-1', zone: 'z', store: connectPlatformStore({address: `127.0.0.1:${port}`, timeoutMs: 1000}), pauseMs, reportMs, prefersPeers: false,
			log, metrics, containment: createContainment({metrics, log}), monotonicMs: () => performance.now(), random: () => 0.5, ticker: createTicker(() => undefined), signal: ending.signal,
			async sleep(ms) {
				await sleep(ms, undefined, {ref: false});
			},
			onTable: () => undefined, onRecords: () => undefined,
		});
		await sleep(1500);
		expect(idsOf()).to.have.length(3);
	});

	afterEach(() => {
		clearInterval(reports);
		ending.abort();
		directory.stop();
		proxy.stop();
		store.server.closeAllConnections();
		store.server.close();
	});

	/** Waits until a target is no longer known and returns how long that took since `sinceMs`. */
	const goneAfterMs = async (id: string, sinceMs: number): Promise<number> => {
		while (idsOf().includes(id) && performance.now() - sinceMs < 10_000) {
			await sleep(10);
		}

		return performance.now() - sinceMs;
	};

	const checkRemoval = async (removedAfterMs: number): Promise<void> => {
		const silentMs = performance.now();
		proxy.silence();
		await sleep(removedAfterMs);
		reporting.delete('i-1');
		store.remove('servers/i-1');
		const removedMs = performance.now();
		await goneAfterMs('i-1', removedMs);
		expect(performance.now() - Math.max(removedMs + drainMs, silentMs + stableWindowMs)).to.be.below(0);
		expect(idsOf()).to.deep.equal(['i-0', 'i-2']);
		expect(metrics.read('store_losses')).to.equal(0);
	};

	// Guards against requests to a target that has left: a removal must be known two seconds after it, or three seconds after the connections went silent.
	for (const removedAfterMs of [0, 500, 1000, 1500]) {
		it(`learns in time of a target that is removed ${removedAfterMs} ms later`, async () => checkRemoval(removedAfterMs));
	}

	// Guards against a configuration that arrives late after the same silence.
	it('learns of a configuration within three seconds of the silence', async () => {
		const silentMs = performance.now();
		proxy.silence();
		await sleep(300);
		store.put('op/config', configuration(2));
		while (directory.table()?.configuration.version !== 2 && performance.now() - silentMs < 10_000) {
			await sleep(10);
		}

		expect(performance.now() - silentMs).to.be.below(stableWindowMs);
	});

	// Guards against the removal of targets whose registrations expired because the store was away.
	it('keeps a target whose registration expired while the store itself was away, until it has had time to report again', async () => {
		store.faults.mode = 'silent';
		proxy.silence();
		await sleep(3800);
		reporting.delete('i-1');
		store.remove('servers/i-1');
		store.faults.mode = 'serve';
		const backMs = performance.now();
		await sleep(1700);
		expect(idsOf()).to.deep.equal(['i-0', 'i-1', 'i-2']);
		await goneAfterMs('i-1', backMs);
		expect(performance.now() - backMs).to.be.within(2000, 6000);
		expect(metrics.read('store_losses')).to.equal(1);
	});
});

describe('the wait of a watch', () => {
	it('ends early enough that a process asks again before a registration can expire', () => {
		for (const pause of [0, 700, 1050]) {
			expect(pause + watchWaitOf({reportMs, pauseMs: pause}) + 600).to.be.below(2 * reportMs);
		}

		expect(watchWaitOf({reportMs, pauseMs: 3000})).to.equal(250);
		expect(watchWaitOf({reportMs: 60_000, pauseMs: 700})).to.equal(2000);
	});
});

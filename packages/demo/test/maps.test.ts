import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, afterEach, before, describe, it,
} from 'mocha';
import {startSmallFleet, testPreset, type SmallFleet} from './helper.js';
import {
	ask, requestCompletion, waitUntil, type Fleet, type FleetProcess,
} from '@papayaflow/demo';

const fastRebalancingPreset = {...testPreset, rebalancing: {intervalMs: 150, moveMs: 0, orderTimeoutMs: 500}};

type EngineLedger = {
	readonly maps: ReadonlyArray<{readonly step: number; readonly versions: readonly number[]}>;
	readonly mixedSteps: number;
	readonly step: number;
	readonly isSwitching: boolean;
};

const readLedger = async (engine: FleetProcess): Promise<EngineLedger> => await ask(engine.port, '/ledger') as EngineLedger;

const readMapVersion = async (engine: FleetProcess): Promise<number> => (await readLedger(engine)).maps.at(-1)?.versions[0] ?? 0;

describe('expert maps', () => {
	let small: SmallFleet;
	let fleet: Fleet;
	let currentShift = 0;

	/** Shifts the popularity of the experts, so that the current map is unbalanced and a map switch becomes worthwhile. */
	const shiftPopularity = async (): Promise<void> => {
		currentShift += 5;
		await fleet.setFaults(small.engine.port, {popularityShift: currentShift});
	};

	const switchesMap = async (): Promise<boolean> => {
		const before = await readMapVersion(small.engine);
		await shiftPopularity();
		return waitUntil(async () => await readMapVersion(small.engine) > before, 10_000);
	};

	/** Withholds the load reports, so that no switch begins, and waits until the switch in progress, if any, has ended. */
	const stopSwitching = async (): Promise<void> => {
		await fleet.setFaults(small.engine.port, {muteReports: true});
		await sleep(500);
		expect(await waitUntil(async () => !(await readLedger(small.engine)).isSwitching, 10_000), 'the switch in progress ends').to.equal(true);
	};

	const keepsStepping = async (): Promise<boolean> => {
		const {step} = await readLedger(small.engine);
		return waitUntil(async () => (await readLedger(small.engine)).step > step + 20, 10_000);
	};

	const restartCoordinator = async (id: string): Promise<void> => {
		await fleet.unlist(small.notice.id);
		const notice = await fleet.startSidecar(id, 'salt-lake', {service: 'notice-drafting', target: small.engine}, ['--group', 'notice-a', '--ranks', '4', '--group-ranks', '4']);
		small = {...small, notice};
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet({quick: fastRebalancingPreset});
		({fleet} = small);
	});

	after(async () => {
		await fleet.stop();
	});

	afterEach(async () => {
		await fleet.setFaults(small.engine.port, {deafRank: -1, muteReports: false});
		expect((await readLedger(small.engine)).mixedSteps, 'steps in which ranks used different maps').to.equal(0);
	});

	it('are switched when other experts become popular', async () => {
		expect(await switchesMap()).to.equal(true);
	}).timeout(30_000);

	it('do not block the steps of the group while a rank ignores orders, and are switched once it answers', async () => {
		// If the rank stopped replying between a hold and its commit, the group would wait before the held step, so no switch may be in progress.
		await stopSwitching();
		await fleet.setFaults(small.engine.port, {deafRank: 2, muteReports: false});
		await shiftPopularity();
		await sleep(1500);
		expect(await keepsStepping()).to.equal(true);
		await fleet.setFaults(small.engine.port, {deafRank: -1});
		expect(await switchesMap()).to.equal(true);
	}).timeout(30_000);

	it('are not switched while load reports are missing, and are switched once reports arrive again', async () => {
		await fleet.setFaults(small.engine.port, {muteReports: true});
		await sleep(500);
		const before = await readMapVersion(small.engine);
		await shiftPopularity();
		await sleep(1000);
		expect(await readMapVersion(small.engine)).to.equal(before);
		await fleet.setFaults(small.engine.port, {muteReports: false});
		expect(await switchesMap()).to.equal(true);
	}).timeout(30_000);

	it('are the same on all ranks in every step when the coordinator is killed at any time', async () => {
		for (let round = 0; round < 4; round++) {
			await shiftPopularity();
			await sleep(150 + (round * 40));
			small.notice.child.kill('SIGKILL');
			await restartCoordinator(`notice-killed-${round}`);
			expect(await switchesMap(), `switches after kill ${round}`).to.equal(true);
			expect(await keepsStepping()).to.equal(true);
		}
	}).timeout(60_000);

	it('are the same on all ranks in every step when the coordinator is frozen and another one takes over', async () => {
		const frozen = small.notice;
		await shiftPopularity();
		await sleep(200);
		frozen.child.kill('SIGSTOP');
		await restartCoordinator('notice-second');
		expect(await switchesMap()).to.equal(true);
		frozen.child.kill('SIGCONT');
		await shiftPopularity();
		await sleep(1000);
		expect(await keepsStepping()).to.equal(true);
		frozen.child.kill('SIGKILL');
		const answered = await requestCompletion(small.entries[0].port, 'notice-drafting', 'after-freeze');
		expect(answered.outcome).to.equal('answered');
	}).timeout(60_000);

	it('are switched for a group whose ranks are split between two sidecars', async () => {
		const engine = await fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']);
		const upstream = {service: 'wide', target: engine};
		await fleet.startSidecar('wide-0', 'salt-lake', upstream, ['--group', 'wide', '--ranks', '2', '--first-rank', '0', '--group-ranks', '4']);
		await fleet.startSidecar('wide-1', 'salt-lake', upstream, ['--group', 'wide', '--ranks', '2', '--first-rank', '2', '--group-ranks', '4']);
		expect(await waitUntil(async () => await readMapVersion(engine) > 0, 15_000)).to.equal(true);
		expect((await readLedger(engine)).mixedSteps).to.equal(0);
	}).timeout(30_000);
});

import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, afterEach, before, describe, it,
} from 'mocha';
import {startSmallFleet, testPreset, type SmallFleet} from './helper.js';
import {
	ask, askModel, waitUntil, type Fleet, type Member,
} from '@papayaflow/demo';

const quick = {...testPreset, rebalancing: {intervalMs: 150, moveMs: 0, orderTimeoutMs: 500}};

type Ledger = {
	readonly maps: ReadonlyArray<{readonly step: number; readonly versions: readonly number[]}>;
	readonly mixedSteps: number;
	readonly step: number;
};

const ledgerOf = async (engine: Member): Promise<Ledger> => await ask(engine.port, '/ledger') as Ledger;

const versionOf = async (engine: Member): Promise<number> => (await ledgerOf(engine)).maps.at(-1)?.versions[0] ?? 0;

describe('expert maps', () => {
	let small: SmallFleet;
	let fleet: Fleet;
	let shift = 0;

	/** Turns the experts' popularity round, so that a switch is due. */
	const turn = async (): Promise<void> => {
		shift += 5;
		await fleet.fault(small.engine.port, {popularityShift: shift});
	};

	const switches = async (): Promise<boolean> => {
		const before = await versionOf(small.engine);
		await turn();
		return waitUntil(async () => await versionOf(small.engine) > before, 10_000);
	};

	const stepsOn = async (): Promise<boolean> => {
		const {step} = await ledgerOf(small.engine);
		return waitUntil(async () => (await ledgerOf(small.engine)).step > step + 20, 10_000);
	};

	const restartCoordinator = async (id: string): Promise<void> => {
		await fleet.unlist(small.notice.id);
		const notice = await fleet.startSidecar(id, 'salt-lake', {service: 'notice-drafting', target: small.engine}, ['--group', 'notice-a', '--ranks', '4', '--group-ranks', '4']);
		small = {...small, notice};
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet({quick});
		({fleet} = small);
	});

	after(async () => {
		await fleet.stop();
	});

	afterEach(async () => {
		expect((await ledgerOf(small.engine)).mixedSteps, 'steps with two maps').to.equal(0);
	});

	it('follow the experts that have become hot', async () => {
		expect(await switches()).to.equal(true);
	}).timeout(30_000);

	it('are given up while a rank does not answer, and the group steps on', async () => {
		await fleet.fault(small.engine.port, {deafRank: 2});
		await turn();
		await sleep(1500);
		expect(await stepsOn()).to.equal(true);
		await fleet.fault(small.engine.port, {deafRank: -1});
		expect(await switches()).to.equal(true);
	}).timeout(30_000);

	it('are not switched on reports that are old or missing', async () => {
		await fleet.fault(small.engine.port, {muteReports: true});
		await sleep(500);
		const before = await versionOf(small.engine);
		await turn();
		await sleep(1000);
		expect(await versionOf(small.engine)).to.equal(before);
		await fleet.fault(small.engine.port, {muteReports: false});
		expect(await switches()).to.equal(true);
	}).timeout(30_000);

	it('stay one in every step when the coordinator is killed at any time', async () => {
		for (let round = 0; round < 4; round++) {
			await turn();
			await sleep(150 + (round * 40));
			small.notice.child.kill('SIGKILL');
			await restartCoordinator(`notice-killed-${round}`);
			expect(await switches(), `switches after kill ${round}`).to.equal(true);
			expect(await stepsOn()).to.equal(true);
		}
	}).timeout(60_000);

	it('stay one in every step when the coordinator is frozen and another takes over', async () => {
		const frozen = small.notice;
		await turn();
		await sleep(200);
		frozen.child.kill('SIGSTOP');
		await restartCoordinator('notice-second');
		expect(await switches()).to.equal(true);
		frozen.child.kill('SIGCONT');
		await turn();
		await sleep(1000);
		expect(await stepsOn()).to.equal(true);
		frozen.child.kill('SIGKILL');
		const answered = await askModel(small.entries[0].port, 'notice-drafting', 'after-freeze');
		expect(answered.outcome).to.equal('answered');
	}).timeout(60_000);

	it('are switched for a group whose ranks stand beside two sidecars', async () => {
		const engine = await fleet.startTarget('engine', ['--model', 'notice-drafting', '--ranks', '4']);
		const beside = {service: 'wide', target: engine};
		await fleet.startSidecar('wide-0', 'salt-lake', beside, ['--group', 'wide', '--ranks', '2', '--first-rank', '0', '--group-ranks', '4']);
		await fleet.startSidecar('wide-1', 'salt-lake', beside, ['--group', 'wide', '--ranks', '2', '--first-rank', '2', '--group-ranks', '4']);
		expect(await waitUntil(async () => await versionOf(engine) > 0, 15_000)).to.equal(true);
		expect((await ledgerOf(engine)).mixedSteps).to.equal(0);
	}).timeout(30_000);
});

import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	startSmallFleet, testPreset, waitUntilServing, type SmallFleet,
} from './helper.js';
import {
	ask, requestCompletion, peakPreset, waitUntil, type FleetProcess,
} from '@papayaflow/demo';

const {idempotency, drain, timeouts} = testPreset;
const presets = {
	ordinary: testPreset, peak: {
		...peakPreset, idempotency, drain, timeouts,
	},
};

describe('preset changes', () => {
	let small: SmallFleet;

	const processes = (): readonly FleetProcess[] => [...small.entries, ...small.ledgers, small.notice];

	const readConfigurationsInForce = async (): Promise<readonly string[]> => Promise.all(processes().map(async ({adminPort}) => {
		const status = await ask(adminPort, '/status');
		return `${String(status?.inForce)} at ${String(status?.revision)}`;
	}));

	const comesInForceEverywhere = async (name: string): Promise<boolean> => waitUntil(async () => {
		const configurations = await readConfigurationsInForce();
		return new Set(configurations).size === 1 && configurations[0].startsWith(`${name} at`);
	}, 9000);

	const receivesConfiguration = async ({adminPort}: FleetProcess): Promise<boolean> => waitUntil(async () => (await ask(adminPort, '/status'))?.inForce !== undefined, 10_000);

	const readCurrentRevision = async (): Promise<string> => {
		const {output} = await small.fleet.runOperatorCommand(['preset', 'list', '--json']);
		return String((JSON.parse(output) as {revision?: number}).revision ?? '');
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet(presets);
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('are accepted from one of two operators who switch presets concurrently, and refused to the other', async () => {
		const seenRevision = await readCurrentRevision();
		const results = await Promise.all([
			small.fleet.runOperatorCommand(['preset', 'use', 'peak', '--seen', seenRevision, '--json']),
			small.fleet.runOperatorCommand(['preset', 'use', 'ordinary', '--seen', seenRevision, '--json']),
		]);
		const kinds = results.map(({output}) => (JSON.parse(output) as {kind: string}).kind);
		expect(kinds.toSorted()).to.deep.equal(['accepted', 'refused']);
		expect(await comesInForceEverywhere(kinds[0] === 'accepted' ? 'peak' : 'ordinary')).to.equal(true);
	}).timeout(30_000);

	it('store the value of an accepted edit when two operators edit one preset concurrently', async () => {
		const results = await Promise.all([1, 2].map(async attempts => small.fleet.runOperatorCommand(['preset', 'edit', 'peak', '--set', `retries.maxAttempts=${attempts}`, '--json'])));
		const kinds = results.map(({output}) => (JSON.parse(output) as {kind: string}).kind);
		const {output} = await small.fleet.runOperatorCommand(['preset', 'show', 'peak', '--json']);
		const {preset} = JSON.parse(output) as {preset: {retries: {maxAttempts: number}}};
		// If the edits happen one after the other, both are accepted and the later one wins.
		const winners = kinds.flatMap((kind, index) => kind === 'accepted' ? [index + 1] : []);
		expect(winners).to.include(preset.retries.maxAttempts);
	}).timeout(30_000);

	it('are applied exactly once when the answer of the store is lost', async () => {
		await small.fleet.setFaults(small.fleet.kvPort, {loseAnswers: 1});
		const {code} = await small.fleet.runOperatorCommand(['preset', 'use', 'ordinary', '--change-id', 'lost-1']);
		expect(code).to.equal(0);
		const {output} = await small.fleet.runOperatorCommand(['preset', 'history', '--json']);
		const {rows} = (JSON.parse(output) as {rows: Array<{change: string}>});
		expect(rows.filter(({change}) => change === 'lost-1').length).to.equal(1);
	}).timeout(30_000);

	it('reach every process when store watches deliver no events', async () => {
		await small.fleet.setFaults(small.fleet.kvPort, {muteWatches: true});
		await small.fleet.runOperatorCommand(['preset', 'use', 'peak']);
		expect(await comesInForceEverywhere('peak')).to.equal(true);
		await small.fleet.setFaults(small.fleet.kvPort, {muteWatches: false});
	}).timeout(30_000);

	it('reach every process when the store is slow', async () => {
		await small.fleet.setFaults(small.fleet.kvPort, {slowMs: 200});
		await small.fleet.runOperatorCommand(['preset', 'use', 'ordinary']);
		expect(await comesInForceEverywhere('ordinary')).to.equal(true);
		await small.fleet.setFaults(small.fleet.kvPort, {slowMs: 0});
	}).timeout(30_000);

	it('stay in force, and requests are answered, when every entry and ledger sidecar is replaced during a store outage', async () => {
		const before = await readConfigurationsInForce();
		await small.fleet.setFaults(small.fleet.kvPort, {down: true});
		for (const [index, old] of small.entries.entries()) {
			small.entries[index] = await small.fleet.startEntry(`entry-new-${index}`, 'salt-lake');
			expect(await waitUntilServing(small, 3), 'the new entry gets the configuration from the sidecars').to.equal(true);
			old.child.kill('SIGTERM');
			await small.fleet.unlist(old.id);
		}

		for (const [index, old] of small.ledgers.entries()) {
			small.ledgers[index] = await small.fleet.startSidecar(`ledger-new-${index}`, 'salt-lake', {service: 'ledger', target: small.plainTargets[index]});
			expect(await receivesConfiguration(small.ledgers[index]), 'the new sidecar gets the configuration from the entries').to.equal(true);
			old.child.kill('SIGTERM');
			await small.fleet.unlist(old.id);
		}

		expect(await readConfigurationsInForce()).to.deep.equal(before.map(() => before[0]));
		const answered = await requestCompletion(small.entries[0].port, 'notice-drafting', 'outage');
		expect(answered.outcome).to.equal('answered');
		await small.fleet.setFaults(small.fleet.kvPort, {down: false});
	}).timeout(60_000);

	it('are reported as unknown while the store is down, with the command that settles them later', async () => {
		await small.fleet.setFaults(small.fleet.kvPort, {down: true});
		const {code, output} = await small.fleet.runOperatorCommand(['preset', 'use', 'peak', '--seen', '9', '--change-id', 'down-1']);
		expect(code).to.equal(4);
		expect(output).to.contain('papayaflow preset settle down-1');
		await small.fleet.setFaults(small.fleet.kvPort, {down: false});
		const settled = await small.fleet.runOperatorCommand(['preset', 'settle', 'down-1']);
		expect(settled.code).to.equal(3);
		expect(settled.output).to.contain('not accepted');
	}).timeout(30_000);
});

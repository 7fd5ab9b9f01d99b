import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	startSmallFleet, testPreset, untilServing, type SmallFleet,
} from './helper.js';
import {
	ask, askModel, peak, waitUntil, type Member,
} from '@papayaflow/demo';

const {idempotency, drain, timeouts} = testPreset;
const presets = {
	ordinary: testPreset, peak: {
		...peak, idempotency, drain, timeouts,
	},
};

describe('the preset in force', () => {
	let small: SmallFleet;

	const members = (): readonly Member[] => [...small.entries, ...small.ledgers, small.notice];

	const inForce = async (): Promise<readonly string[]> => Promise.all(members().map(async ({adminPort}) => {
		const status = await ask(adminPort, '/status');
		return `${String(status?.inForce)} at ${String(status?.revision)}`;
	}));

	const isEverywhere = async (name: string): Promise<boolean> => waitUntil(async () => {
		const told = await inForce();
		return new Set(told).size === 1 && told[0].startsWith(`${name} at`);
	}, 9000);

	const learns = async ({adminPort}: Member): Promise<boolean> => waitUntil(async () => (await ask(adminPort, '/status'))?.inForce !== undefined, 10_000);

	const revisionNow = async (): Promise<string> => {
		const {output} = await small.fleet.operate(['preset', 'list', '--json']);
		return String((JSON.parse(output) as {revision?: number}).revision ?? '');
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet(presets);
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('is one of two that operators choose at the same moment, and the other is told so', async () => {
		const seen = await revisionNow();
		const results = await Promise.all([
			small.fleet.operate(['preset', 'use', 'peak', '--seen', seen, '--json']),
			small.fleet.operate(['preset', 'use', 'ordinary', '--seen', seen, '--json']),
		]);
		const kinds = results.map(({output}) => (JSON.parse(output) as {kind: string}).kind);
		expect(kinds.toSorted()).to.deep.equal(['accepted', 'refused']);
		expect(await isEverywhere(kinds[0] === 'accepted' ? 'peak' : 'ordinary')).to.equal(true);
	}).timeout(30_000);

	it('is edited by one of two operators who started from the same body', async () => {
		const results = await Promise.all([1, 2].map(async attempts => small.fleet.operate(['preset', 'edit', 'peak', '--set', `retries.maxAttempts=${attempts}`, '--json'])));
		const kinds = results.map(({output}) => (JSON.parse(output) as {kind: string}).kind);
		const {output} = await small.fleet.operate(['preset', 'show', 'peak', '--json']);
		const {preset} = JSON.parse(output) as {preset: {retries: {maxAttempts: number}}};
		// They may also come one after the other; then both are accepted and the later one stands.
		const winners = kinds.flatMap((kind, index) => kind === 'accepted' ? [index + 1] : []);
		expect(winners).to.include(preset.retries.maxAttempts);
	}).timeout(30_000);

	it('is settled after a lost answer, and made once', async () => {
		await small.fleet.fault(small.fleet.kvPort, {loseAnswers: 1});
		const {code} = await small.fleet.operate(['preset', 'use', 'ordinary', '--change-id', 'lost-1']);
		expect(code).to.equal(0);
		const {output} = await small.fleet.operate(['preset', 'history', '--json']);
		const {rows} = (JSON.parse(output) as {rows: Array<{change: string}>});
		expect(rows.filter(({change}) => change === 'lost-1').length).to.equal(1);
	}).timeout(30_000);

	it('comes in force everywhere though watches deliver nothing', async () => {
		await small.fleet.fault(small.fleet.kvPort, {muteWatches: true});
		await small.fleet.operate(['preset', 'use', 'peak']);
		expect(await isEverywhere('peak')).to.equal(true);
		await small.fleet.fault(small.fleet.kvPort, {muteWatches: false});
	}).timeout(30_000);

	it('comes in force everywhere though the store is slow', async () => {
		await small.fleet.fault(small.fleet.kvPort, {slowMs: 200});
		await small.fleet.operate(['preset', 'use', 'ordinary']);
		expect(await isEverywhere('ordinary')).to.equal(true);
		await small.fleet.fault(small.fleet.kvPort, {slowMs: 0});
	}).timeout(30_000);

	it('stays, and calls are answered, while every process is replaced during a store outage', async () => {
		const before = await inForce();
		await small.fleet.fault(small.fleet.kvPort, {down: true});
		for (const [index, old] of small.entries.entries()) {
			small.entries[index] = await small.fleet.startEntry(`entry-new-${index}`, 'salt-lake');
			expect(await untilServing(small, 3), 'a new entry learns from the sidecars').to.equal(true);
			old.child.kill('SIGTERM');
			await small.fleet.unlist(old.id);
		}

		for (const [index, old] of small.ledgers.entries()) {
			small.ledgers[index] = await small.fleet.startSidecar(`ledger-new-${index}`, 'salt-lake', {service: 'ledger', target: small.plains[index]});
			expect(await learns(small.ledgers[index]), 'a new sidecar learns from the entries').to.equal(true);
			old.child.kill('SIGTERM');
			await small.fleet.unlist(old.id);
		}

		expect(await inForce()).to.deep.equal(before.map(() => before[0]));
		const answered = await askModel(small.entries[0].port, 'notice-drafting', 'outage');
		expect(answered.outcome).to.equal('answered');
		await small.fleet.fault(small.fleet.kvPort, {down: false});
	}).timeout(60_000);

	it('is told as unknown while the store is down, with the command to settle it', async () => {
		await small.fleet.fault(small.fleet.kvPort, {down: true});
		const {code, output} = await small.fleet.operate(['preset', 'use', 'peak', '--seen', '9', '--change-id', 'down-1']);
		expect(code).to.equal(4);
		expect(output).to.contain('papayaflow preset settle down-1');
		await small.fleet.fault(small.fleet.kvPort, {down: false});
		const settled = await small.fleet.operate(['preset', 'settle', 'down-1']);
		expect(settled.code).to.equal(3);
		expect(settled.output).to.contain('not accepted');
	}).timeout(30_000);
});

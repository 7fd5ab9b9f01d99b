import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {collectGarbageDuring, createKv, memoryStore} from '@papayaflow/standins';
import {type Store} from '@papayaflow/store';
import {
	checkPreset, createFollower, followStore, onConfigMessage, readHead, refreshFromStore, revisionMessage, savePreset, settleChange, usePreset,
	type ChangeResult, type Preset,
} from '@papayaflow/config';

const nowMs = (): number => 0;

function preset(description: string, organisations = 0): Preset {
	const named = Object.fromEntries(Array.from({length: organisations}, (_, index) => [`org-${index}`, {}]));
	const checked = checkPreset({description, services: {ledger: {kind: 'plain'}}, organisations: {named}});
	return (checked as {preset: Preset}).preset;
}

function author(changeId: string): {by: string; changeId: string; nowMs: number} {
	return {by: 'operator', changeId, nowMs: 0};
}

async function storeWith(...names: readonly string[]): Promise<{store: Store; kv: ReturnType<typeof createKv>}> {
	const kv = createKv(nowMs);
	const store = memoryStore(kv);
	for (const name of names) {
		await savePreset(store, {name, preset: preset(name), editedFrom: undefined}, author(`create-${name}`));
	}

	return {store, kv};
}

function bodyOf(result: ChangeResult, name: string): string {
	return result.kind === 'accepted' ? result.head.presets[name] : '';
}

describe('the configuration head', () => {
	it('accepts only one of two edits made from the same body', async () => {
		const {store} = await storeWith('peak');
		const head = await readHead(store);
		const editedFrom = head.kind === 'read' ? head.head.presets.peak : undefined;
		const first = await savePreset(store, {name: 'peak', preset: preset('first'), editedFrom}, author('1'));
		const second = await savePreset(store, {name: 'peak', preset: preset('second'), editedFrom}, author('2'));
		expect(first.kind).to.equal('accepted');
		expect(second).to.include({kind: 'refused', reason: 'editedMeanwhile'});
		expect(bodyOf(first, 'peak')).to.equal(second.kind === 'refused' ? second.head.presets.peak : '');
	});

	it('rejects a switch that was decided before another switch', async () => {
		const {store} = await storeWith('ordinary', 'peak');
		await usePreset(store, 'peak', 2, author('1'));
		const late = await usePreset(store, 'ordinary', 2, author('2'));
		expect(late).to.include({kind: 'refused', reason: 'switchedMeanwhile'});
		expect(late.kind === 'refused' && late.head.inForce).to.equal('peak');
	});

	it('accepts a switch that was decided before an edit', async () => {
		const {store} = await storeWith('ordinary', 'peak');
		await savePreset(store, {name: 'third', preset: preset('third'), editedFrom: undefined}, author('1'));
		const result = await usePreset(store, 'peak', 2, author('2'));
		expect(result.kind).to.equal('accepted');
	});

	it('applies a change only once when the answer to its write is lost', async () => {
		const {store, kv} = await storeWith('ordinary');
		let answersToLose = 1;
		const lossy = memoryStore(kv, {
			fail: (call, key) => call === 'write' && key.endsWith('/head') && answersToLose-- > 0 ? 'after' : 'no',
		});
		const result = await usePreset(lossy, 'ordinary', 1, author('use-1'));
		expect(result.kind).to.equal('accepted');
		const head = await readHead(store);
		expect(head.kind === 'read' && head.head.recent.filter(({id}) => id === 'use-1').length).to.equal(1);
	});

	it('reports a change as unknown while the store is down, and as not found afterwards', async () => {
		const {store, kv} = await storeWith('ordinary');
		kv.faults.down = true;
		expect((await usePreset(store, 'ordinary', 1, author('use-1'))).kind).to.equal('unknown');
		kv.faults.down = false;
		expect((await settleChange(store, 'use-1')).kind).to.equal('notFound');
	});

	it('rejects a switch to a preset that does not exist', async () => {
		const {store} = await storeWith('ordinary');
		expect((await usePreset(store, 'missing', 1, author('1')))).to.include({kind: 'refused', reason: 'noSuchPreset'});
	});
});

describe('a follower', () => {
	const clock = {monotonicMs: nowMs};

	it('never applies a lower revision', async () => {
		const {store} = await storeWith('ordinary', 'peak');
		await usePreset(store, 'ordinary', 2, author('1'));
		const [older, newer] = [createFollower(), createFollower()];
		await refreshFromStore(store, older, nowMs);
		await usePreset(store, 'peak', 3, author('2'));
		await refreshFromStore(store, newer, nowMs);
		expect(newer.applyUpdate(older.updateFor([])!)).to.equal('notNewer');
		expect(newer.applied()?.name).to.equal('peak');
	});

	it('gets the configuration from a peer while the store is down', async () => {
		const {store, kv} = await storeWith('ordinary');
		await usePreset(store, 'ordinary', 1, author('1'));
		const [ahead, behind] = [createFollower(), createFollower()];
		await refreshFromStore(store, ahead, nowMs);
		kv.faults.down = true;
		const pull = onConfigMessage(revisionMessage(ahead, clock), behind, clock);
		const update = onConfigMessage(pull!, ahead, clock);
		onConfigMessage(update!, behind, clock);
		expect(behind.applied()?.name).to.equal('ordinary');
	});

	it('pulls a change once, however many peers announce it, and again after a timeout', async () => {
		const {store} = await storeWith('ordinary');
		await usePreset(store, 'ordinary', 1, author('1'));
		const [ahead, behind] = [createFollower(), createFollower()];
		await refreshFromStore(store, ahead, nowMs);
		let ms = 0;
		const movingClock = {monotonicMs: () => ms};
		const replies = Array.from({length: 100}, () => onConfigMessage(revisionMessage(ahead, clock), behind, movingClock));
		expect(replies.filter(reply => reply?.kind === 'pullConfig').length).to.equal(1);
		expect(behind.isBehind()).to.equal(true);
		ms = 1001;
		expect(onConfigMessage(revisionMessage(ahead, clock), behind, movingClock)?.kind).to.equal('pullConfig');
		onConfigMessage({kind: 'config', update: ahead.updateFor([])!}, behind, movingClock);
		expect(behind.isBehind()).to.equal(false);
	});

	it('pulls only the chunks that it lacks', async () => {
		const kv = createKv(nowMs);
		const store = memoryStore(kv);
		const first = preset('large', 500);
		const created = await savePreset(store, {name: 'large', preset: first, editedFrom: undefined}, author('1'));
		await usePreset(store, 'large', 1, author('2'));
		const [ahead, behind] = [createFollower(), createFollower()];
		await refreshFromStore(store, ahead, nowMs);
		await refreshFromStore(store, behind, nowMs);
		const edited = {...first, organisations: {...first.organisations, named: {...first.organisations.named, 'org-7': {weight: 2, requestsPerSecond: 1, burst: 1}}}};
		await savePreset(store, {name: 'large', preset: edited, editedFrom: bodyOf(created, 'large')}, author('3'));
		await refreshFromStore(store, ahead, nowMs);
		const update = ahead.updateFor(behind.have())!;
		expect(Object.keys(update.chunks)).to.have.length(2);
		expect(behind.applyUpdate(update)).to.equal('applied');
		expect(behind.applied()?.preset.organisations.named['org-7'].weight).to.equal(2);
	});

	it('rejects a chunk that does not match its hash', async () => {
		const {store} = await storeWith('ordinary');
		await usePreset(store, 'ordinary', 1, author('1'));
		const [source, follower] = [createFollower(), createFollower()];
		await refreshFromStore(store, source, nowMs);
		const update = source.updateFor([])!;
		const chunks = Object.fromEntries(Object.keys(update.chunks).map(hash => [hash, new Uint8Array([1])]));
		expect(follower.applyUpdate({...update, chunks})).to.equal('malformed');
	});

	it('reads the head again after a watch without events, even when garbage is collected during the watch', async () => {
		const {kv} = await storeWith('ordinary');
		let reads = 0;
		const store = memoryStore(kv, {
			fail(call) {
				reads += call === 'read' ? 1 : 0;
				return 'no';
			},
		});
		const stopFollowing = new AbortController();
		const following = followStore(store, createFollower(), {
			isReader: () => true, pauseMs: 5, random: () => 0.5, nowMs, signal: stopFollowing.signal,
		});
		await collectGarbageDuring(async () => sleep(50));
		const firstReads = reads;
		await collectGarbageDuring(async () => sleep(250));
		stopFollowing.abort();
		await following;
		expect(reads).to.be.greaterThan(firstReads);
	});
});

describe('the check of a preset', () => {
	it('reports the path of an invalid field', () => {
		const result = checkPreset({services: {}, retries: {maxAttempts: 99}});
		expect(result.kind === 'invalid' && result.problems[0].path).to.equal('retries.maxAttempts');
	});

	it('rejects an unknown field', () => {
		expect(checkPreset({services: {}, retry: {}}).kind).to.equal('invalid');
	});

	it('rejects a route to an unknown service', () => {
		const result = checkPreset({
			services: {}, routes: [{
				methods: ['GET'], pathPrefix: '/', service: 'ledger', idempotent: true,
			}],
		});
		expect(result.kind === 'invalid' && result.problems[0].path).to.equal('routes.0.service');
	});
});

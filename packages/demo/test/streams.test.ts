import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	readLinks, startSmallFleet, waitUntilServing, type SmallFleet,
} from './helper.js';
import {
	ask, requestCompletion, waitUntil, type FleetProcess, type RequestResult,
} from '@papayaflow/demo';

const distinctOutcomes = (results: readonly RequestResult[]): readonly string[] => [...new Set(results.map(({outcome}) => outcome))];

describe('model answers', () => {
	let small: SmallFleet;

	const requestStreams = async (prefix: string, count: number, tokens = 40): Promise<readonly RequestResult[]> => Promise.all(Array.from({length: count}, async (_, index) => {
		await sleep(index * 15);
		return requestCompletion(small.entries[index % 2].port, 'notice-drafting', `${prefix}-${index}`, {isStream: true, tokens});
	}));

	const countRuns = async (prefix: string): Promise<number> => {
		const ledger = await ask(small.engine.port, '/ledger') as {runs: Record<string, number>};
		return Object.keys(ledger.runs).filter(id => id.startsWith(prefix)).length;
	};

	const expectCompleteAnswersDuringDrain = async (drainSource: 'operator' | 'list'): Promise<void> => {
		const engine = await small.fleet.startTarget('engine', ['--model', 'notice-drafting']);
		const id = `notice-${drainSource}`;
		const sidecar = await small.fleet.startSidecar(id, 'new-town', {service: 'notice-drafting', target: engine});
		expect(await waitUntilServing(small, 4)).to.equal(true);
		const running = requestStreams(drainSource, 30, 60);
		await sleep(200);
		await (drainSource === 'operator' ? small.fleet.runOperatorCommand(['drain', id]) : small.fleet.list({id, state: 'leaving'}));
		const isLeaving = await waitUntil(async () => (await ask(sidecar.adminPort, '/status'))?.leaving === true, 5000);
		expect(isLeaving).to.equal(true);
		const before = await countCalls(engine);
		expect(distinctOutcomes(await running)).to.deep.equal(['answered']);
		expect(distinctOutcomes(await requestStreams(`after-${drainSource}`, 10))).to.deep.equal(['answered']);
		expect(await countCalls(engine), 'calls at the leaving target').to.equal(before);
		sidecar.child.kill('SIGKILL');
		await small.fleet.unlist(id);
	};

	const countCalls = async (engine: FleetProcess): Promise<number> => {
		const {runs} = await ask(engine.port, '/ledger') as {runs: Record<string, unknown>};
		return Object.keys(runs).length;
	};

	before(async function () {
		this.timeout(60_000);
		small = await startSmallFleet();
	});

	after(async () => {
		await small.fleet.stop();
	});

	it('are complete and belong to their own request', async () => {
		expect(distinctOutcomes(await requestStreams('own', 40))).to.deep.equal(['answered']);
	});

	it('are recognisable as cut when the target cuts them', async () => {
		await small.fleet.setFaults(small.engine.port, {cutStreams: 5});
		const results = await requestStreams('cut', 20);
		expect(results.filter(({outcome}) => outcome === 'cut').length).to.equal(5);
		expect(results.filter(({outcome}) => outcome === 'answered').length).to.equal(15);
	});

	it('are complete when an entry is stopped by SIGTERM', async () => {
		const running = requestStreams('entry', 20, 100);
		await sleep(150);
		const leaving = small.entries[1];
		leaving.child.kill('SIGTERM');
		const results = await running;
		// The entry completes the requests that arrived before it closed its listener. A request that fails within 20 ms
		// counts as refused after that; in production, the balancer in front sends no more requests to such an entry.
		const served = results.filter(({ms, outcome}) => outcome === 'answered' || ms > 20);
		expect(distinctOutcomes(served)).to.deep.equal(['answered']);
		expect(await waitUntil(() => leaving.child.exitCode === 0, 15_000)).to.equal(true);
		await small.fleet.unlist(leaving.id);
		small.entries[1] = await small.fleet.startEntry('entry-3', 'new-town');
		expect(await waitUntilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('are complete when a sidecar is stopped by SIGTERM', async () => {
		const second = await small.fleet.startSidecar('notice-2', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await waitUntilServing(small, 4)).to.equal(true);
		const running = requestStreams('sidecar', 30, 60);
		await sleep(150);
		second.child.kill('SIGTERM');
		expect(distinctOutcomes(await running)).to.deep.equal(['answered']);
		expect(await waitUntil(() => second.child.exitCode === 0, 15_000)).to.equal(true);
		await small.fleet.unlist('notice-2');
	}).timeout(60_000);

	it('are complete when an operator drains a target, which gets no new calls', async () => {
		await expectCompleteAnswersDuringDrain('operator');
	}).timeout(60_000);

	it('are complete when the instance list marks a target as leaving, which gets no new calls', async () => {
		await expectCompleteAnswersDuringDrain('list');
	}).timeout(60_000);

	it('are complete when an operator drains a target while the instance list lags by a minute', async () => {
		const second = await small.fleet.startSidecar('notice-lag', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await waitUntilServing(small, 4)).to.equal(true);
		await small.fleet.setFaults(small.fleet.instanceListPort, {lagMs: 60_000});
		await small.fleet.runOperatorCommand(['drain', 'notice-lag']);
		const isAvoided = async (): Promise<boolean> => {
			const links = await readLinks(small);
			return links.every(list => list.find(({sidecar}) => sidecar === 'notice-lag')?.usable === false);
		};

		expect(await waitUntil(isAvoided, 3000), 'both entries avoid the target within three seconds').to.equal(true);
		expect(distinctOutcomes(await requestStreams('lag', 10))).to.deep.equal(['answered']);
		second.child.kill('SIGKILL');
		await small.fleet.setFaults(small.fleet.instanceListPort, {lagMs: 0});
		await small.fleet.unlist('notice-lag');
	}).timeout(60_000);

	it('are never wrong when a sidecar is killed: they are retried elsewhere or end with a visible error', async () => {
		const second = await small.fleet.startSidecar('notice-killed', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await waitUntilServing(small, 4)).to.equal(true);
		const running = requestStreams('killed', 30, 40);
		await sleep(200);
		second.child.kill('SIGKILL');
		const results = await running;
		expect(results.filter(({outcome}) => outcome === 'wrong')).to.deep.equal([]);
		expect(results.filter(({outcome}) => outcome === 'answered').length).to.be.greaterThan(10);
		await small.fleet.unlist('notice-killed');
	}).timeout(60_000);

	it('are cancelled at the target when the caller disconnects', async () => {
		const controller = new AbortController();
		const abortedRequest = fetch(`http://127.0.0.1:${small.entries[0].port}/v1/chat/completions`, {
			method: 'POST', signal: controller.signal, headers: {'x-organisation': 'ayamoni', 'x-request-id': 'gone'},
			body: JSON.stringify({
				model: 'notice-drafting', messages: [{role: 'user', content: 'long'}], max_tokens: 1000, stream: true,
			}),
		}).then(async res => res.text()).catch(() => 'gone');
		expect(await waitUntil(async () => await countRuns('gone') === 1, 5000)).to.equal(true);
		controller.abort();
		expect(await abortedRequest).to.equal('gone');
		const isFree = await waitUntil(async () => {
			const status = await ask(small.notice.adminPort, '/status') as {load?: {running: number}};
			return status?.load?.running === 0;
		}, 5000);
		expect(isFree).to.equal(true);
	});
});

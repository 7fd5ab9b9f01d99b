import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {
	linksOf, startSmallFleet, untilServing, type SmallFleet,
} from './helper.js';
import {
	ask, askModel, waitUntil, type Member, type Result,
} from '@papayaflow/demo';

const outcomes = (results: readonly Result[]): readonly string[] => [...new Set(results.map(({outcome}) => outcome))];

describe('answers of models', () => {
	let small: SmallFleet;

	const streams = async (prefix: string, count: number, tokens = 40): Promise<readonly Result[]> => Promise.all(Array.from({length: count}, async (_, index) => {
		await sleep(index * 15);
		return askModel(small.entries[index % 2].port, 'notice-drafting', `${prefix}-${index}`, {isStream: true, tokens});
	}));

	const runsOf = async (prefix: string): Promise<number> => {
		const ledger = await ask(small.engine.port, '/ledger') as {runs: Record<string, number>};
		return Object.keys(ledger.runs).filter(id => id.startsWith(prefix)).length;
	};

	const staysWhole = async (way: 'operator' | 'list'): Promise<void> => {
		const engine = await small.fleet.startTarget('engine', ['--model', 'notice-drafting']);
		const id = `notice-${way}`;
		const sidecar = await small.fleet.startSidecar(id, 'new-town', {service: 'notice-drafting', target: engine});
		expect(await untilServing(small, 4)).to.equal(true);
		const running = streams(way, 30, 60);
		await sleep(200);
		await (way === 'operator' ? small.fleet.operate(['drain', id]) : small.fleet.list({id, state: 'leaving'}));
		const isLeaving = await waitUntil(async () => (await ask(sidecar.adminPort, '/status'))?.leaving === true, 5000);
		expect(isLeaving).to.equal(true);
		const before = await callsAt(engine);
		expect(outcomes(await running)).to.deep.equal(['answered']);
		expect(outcomes(await streams(`after-${way}`, 10))).to.deep.equal(['answered']);
		expect(await callsAt(engine), 'calls at the target that leaves').to.equal(before);
		sidecar.child.kill('SIGKILL');
		await small.fleet.unlist(id);
	};

	const callsAt = async (engine: Member): Promise<number> => {
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

	it('are each their own and whole', async () => {
		expect(outcomes(await streams('own', 40))).to.deep.equal(['answered']);
	});

	it('never look whole when the target cuts them', async () => {
		await small.fleet.fault(small.engine.port, {cutStreams: 5});
		const results = await streams('cut', 20);
		expect(results.filter(({outcome}) => outcome === 'cut').length).to.equal(5);
		expect(results.filter(({outcome}) => outcome === 'answered').length).to.equal(15);
	});

	it('are all whole while an entry leaves by SIGTERM', async () => {
		const running = streams('entry', 20, 100);
		await sleep(150);
		const leaving = small.entries[1];
		leaving.child.kill('SIGTERM');
		const results = await running;
		// Callers that came before the entry stopped to listen are served to the end; the balancer has stopped sending others.
		const served = results.filter(({ms, outcome}) => outcome === 'answered' || ms > 20);
		expect(outcomes(served)).to.deep.equal(['answered']);
		expect(await waitUntil(() => leaving.child.exitCode === 0, 15_000)).to.equal(true);
		await small.fleet.unlist(leaving.id);
		small.entries[1] = await small.fleet.startEntry('entry-3', 'new-town');
		expect(await untilServing(small, 3)).to.equal(true);
	}).timeout(60_000);

	it('are all whole while a sidecar leaves by SIGTERM, and none starts there after its notice', async () => {
		const second = await small.fleet.startSidecar('notice-2', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await untilServing(small, 4)).to.equal(true);
		const running = streams('sidecar', 30, 60);
		await sleep(150);
		second.child.kill('SIGTERM');
		expect(outcomes(await running)).to.deep.equal(['answered']);
		expect(await waitUntil(() => second.child.exitCode === 0, 15_000)).to.equal(true);
		await small.fleet.unlist('notice-2');
	}).timeout(60_000);

	it('are all whole while a target leaves by the operator, and it takes no new work', async () => {
		await staysWhole('operator');
	}).timeout(60_000);

	it('are all whole while a target leaves by the list, and it takes no new work', async () => {
		await staysWhole('list');
	}).timeout(60_000);

	it('are all whole while a target leaves by the operator though the list lags by a minute', async () => {
		const second = await small.fleet.startSidecar('notice-lag', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await untilServing(small, 4)).to.equal(true);
		await small.fleet.fault(small.fleet.listPort, {lagMs: 60_000});
		await small.fleet.operate(['drain', 'notice-lag']);
		const isAvoided = async (): Promise<boolean> => {
			const links = await linksOf(small);
			return links.every(list => list.find(({sidecar}) => sidecar === 'notice-lag')?.usable === false);
		};

		expect(await waitUntil(isAvoided, 3000), 'both entries know within three seconds').to.equal(true);
		expect(outcomes(await streams('lag', 10))).to.deep.equal(['answered']);
		second.child.kill('SIGKILL');
		await small.fleet.fault(small.fleet.listPort, {lagMs: 0});
		await small.fleet.unlist('notice-lag');
	}).timeout(60_000);

	it('are retried at another target when a sidecar is killed before they began, and else end visibly', async () => {
		const second = await small.fleet.startSidecar('notice-killed', 'new-town', {service: 'notice-drafting', target: small.engine});
		expect(await untilServing(small, 4)).to.equal(true);
		const running = streams('killed', 30, 40);
		await sleep(200);
		second.child.kill('SIGKILL');
		const results = await running;
		expect(results.filter(({outcome}) => outcome === 'wrong')).to.deep.equal([]);
		expect(results.filter(({outcome}) => outcome === 'answered').length).to.be.greaterThan(10);
		await small.fleet.unlist('notice-killed');
	}).timeout(60_000);

	it('stop at the target when the caller goes away', async () => {
		const controller = new AbortController();
		const gone = fetch(`http://127.0.0.1:${small.entries[0].port}/v1/chat/completions`, {
			method: 'POST', signal: controller.signal, headers: {'x-organisation': 'ayamoni', 'x-request-id': 'gone'},
			body: JSON.stringify({
				model: 'notice-drafting', messages: [{role: 'user', content: 'long'}], max_tokens: 1000, stream: true,
			}),
		}).then(async res => res.text()).catch(() => 'gone');
		expect(await waitUntil(async () => await runsOf('gone') === 1, 5000)).to.equal(true);
		controller.abort();
		expect(await gone).to.equal('gone');
		const isFree = await waitUntil(async () => {
			const status = await ask(small.notice.adminPort, '/status') as {load?: {running: number}};
			return status?.load?.running === 0;
		}, 5000);
		expect(isFree).to.equal(true);
	});
});

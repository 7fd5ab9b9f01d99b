import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type Answer, type Call} from '@papayaflow/caller';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type Frame} from '@papayaflow/peer';
import {createRetryBudget, type RetryBudget} from '@papayaflow/policy';
import {createMetrics} from '@papayaflow/telemetry';
import {
	answerWhole, linkTo, preset, startSidecar, waitUntil, type FakeSidecar,
} from './helper.js';
import {
	createOwnerCache, forward, type ForwardDeps, type ForwardResult, type Link, type Links,
} from '@papayaflow/entry';

type Reply = (frame: Extract<Frame, {kind: 'request'}>, sidecar: FakeSidecar, id: string) => void;

const chat: Call = {
	requestId: 'r', organisation: 'o', priority: 5, deadlineMs: 5000, method: 'POST', path: '/', headers: {}, body: new Uint8Array(0),
	service: 'model', idempotent: true, key: undefined, affinityKey: undefined, tokens: 10,
};
const payment: Call = {...chat, service: 'ledger', idempotent: false};
const keyed: Call = {...payment, key: 'pay-1'};

const answerWithBody: Reply = (frame, sidecar) => {
	answerWhole(frame, sidecar.connection());
};

const refused = (reason: RefusalReason, owner?: string): Reply => ({attempt}, sidecar) => {
	sidecar.connection().send({
		kind: 'refused', attempt, reason, retryAfterMs: 700, ...(owner !== undefined && {owner, standing: false}),
	});
};

const lost = (reason: LossReason): Reply => ({attempt}, sidecar) => {
	sidecar.connection().send({
		kind: 'lost', attempt, reason, retryAfterMs: 700,
	});
};

const closeConnection: Reply = (_frame, sidecar) => {
	sidecar.connection().close();
};

/** Forwards a call with one sidecar for each of `replies`. The nth attempt gets the nth reply, whichever sidecar receives the attempt. */
async function run(call: Call, ...replies: readonly Reply[]): Promise<RunResult> {
	return runWithBudget(createRetryBudget(), call, ...replies);
}

type RunResult = ForwardResult & {readonly text: string; readonly attempted: number};

async function runWithBudget(budget: RetryBudget, call: Call, ...replies: readonly Reply[]): Promise<RunResult> {
	let attempted = 0;
	const start = async (id: string): Promise<FakeSidecar> => {
		const sidecar: FakeSidecar = await startSidecar(frame => {
			replies[attempted++](frame, sidecar, id);
		});
		return sidecar;
	};

	const sidecars = await Promise.all(replies.map(async (_, index) => start(`sidecar-${index}`)));

	const links = await Promise.all(sidecars.map(async (sidecar, index) => linkTo(sidecar, `sidecar-${index}`)));
	const controller = new AbortController();
	let sleeps = 0;
	const answered: string[] = [];
	let begun = false;
	const answer: Answer = {
		head() {
			begun = true;
		},
		data(bytes) {
			answered.push(new TextDecoder().decode(bytes));
		},
		end: () => undefined, fail: () => undefined, unreadBytes: 0,
		get begun() {
			return begun;
		},
	};
	const deps: ForwardDeps = {
		links: fakeLinks(links), owners: createOwnerCache(), budget, metrics: createMetrics(), zone: 'z', random: () => 0,
		monotonicMs: () => performance.now(),
		async sleep() {
			sleeps++;
			if (sleeps > 3) {
				controller.abort('timeout');
			}
		},
	};
	const forwarded = await forward({
		call, answer, signal: controller.signal, preset,
	}, deps);
	for (const [index, link] of links.entries()) {
		link.close();
		sidecars[index].stop();
	}

	return {...forwarded, text: answered.join(''), attempted};
}

function fakeLinks(links: readonly Link[]): Links {
	return {
		update: () => undefined, forService: () => links, toSidecar: id => links.find(({sidecar}) => sidecar.id === id),
		sidecarsOf: () => links.map(({sidecar}) => sidecar.id), broadcast: () => undefined, entries: () => 1, all: () => links, close: () => undefined,
	};
}

describe('forward', () => {
	it('retries a refused call at another target', async () => {
		expect(await run(chat, refused('queueFull'), answerWithBody)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2, text: 'ok'});
	});

	it('retries a call that is not idempotent only after a refusal', async () => {
		expect(await run(payment, refused('targetLeaving'), answerWithBody)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2});
		expect(await run(payment, closeConnection, answerWithBody)).to.deep.include({attempted: 1});
		expect(await run(payment, lost('targetLost'), answerWithBody)).to.deep.include({attempted: 1});
	});

	it('retries an idempotent call after a loss, unless its answer has begun', async () => {
		expect(await run(chat, closeConnection, answerWithBody)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2});
		const beginThenClose: Reply = ({attempt}, sidecar) => {
			sidecar.connection().send({
				kind: 'head', attempt, status: 200, headers: {},
			});
			sidecar.connection().send({kind: 'data', attempt, bytes: new Uint8Array([65])});
			closeConnection({attempt} as never, sidecar, '');
		};

		expect(await run(chat, beginThenClose, answerWithBody)).to.deep.include({attempted: 1, text: 'A'});
	});

	it('reports an unknown outcome after an attempt that may have run, even if later ones are refused', async () => {
		const {outcome} = await run(chat, closeConnection, refused('queueFull'), refused('queueFull'));
		expect(outcome).to.include({kind: 'unknown', reason: 'connectionLost'});
	});

	it('reports a keyed call as not run only if the owner of its key refused it', async () => {
		expect((await run(keyed, refused('storeUnavailable'))).outcome).to.include({kind: 'notRun', reason: 'storeUnavailable'});
		expect((await run(keyed, refused('wrongOwner'), refused('wrongOwner'), refused('wrongOwner'))).outcome).to.include({kind: 'unknown', reason: 'notOwner'});
		expect((await run(keyed)).outcome).to.include({kind: 'unknown', reason: 'notOwner'});
		expect((await run(chat)).outcome).to.include({kind: 'notRun', reason: 'noTarget'});
	});

	it('reports an unknown outcome for a keyed call that times out while waiting for an owner', async () => {
		const redirectToUnreachable: Reply = ({attempt}, sidecar) => {
			sidecar.connection().send({
				kind: 'refused', attempt, reason: 'wrongOwner', retryAfterMs: 700, owner: 'gone', standing: true,
			});
		};

		const {outcome} = await run(keyed, ...Array.from({length: 30}, () => redirectToUnreachable));
		expect(outcome.kind).to.equal('unknown');
	});

	it('follows the redirect of a keyed call to the owner', async () => {
		const replies: readonly Reply[] = [refused('wrongOwner', 'sidecar-0'), answerWithBody];
		const first = await run(keyed, ...replies);
		const second = await run(keyed, refused('wrongOwner', 'sidecar-1'), answerWithBody);
		expect([first.outcome.kind, second.outcome.kind]).to.deep.equal(['answered', 'answered']);
		expect(first.attempts).to.equal(1);
	});

	it('retries a keyed call at the next sidecar when a sidecar has released its lease, even with the retry budget exhausted', async () => {
		const exhausted: RetryBudget = {onRequest: () => undefined, tryTake: () => false};
		expect(await runWithBudget(exhausted, keyed, refused('wrongOwner'), answerWithBody)).to.deep.include({outcome: {kind: 'answered'}, attempted: 2});
		expect(await runWithBudget(exhausted, keyed, refused('targetLeaving'), answerWithBody)).to.deep.include({attempted: 1});
	});

	it('continues a keyed call at the next sidecar when its last attempt reached a sidecar that has released its lease', async () => {
		const result = await run(keyed, refused('targetLeaving'), lost('notOwner'), refused('wrongOwner'), answerWithBody);
		expect(result).to.deep.include({outcome: {kind: 'answered'}, attempted: 4, attempts: 3});
	});

	it('asks each sidecar once when all have released their leases', async () => {
		const result = await run(keyed, ...Array.from({length: 5}, () => refused('wrongOwner')));
		expect(result).to.deep.include({attempted: 5});
		expect(result.outcome).to.include({kind: 'unknown', reason: 'notOwner'});
	});

	it('waits while a keyed call is redirected to an owner that has released its lease', async () => {
		let redirects = 0;
		const redirectThenAnswer: Reply = (frame, sidecar, id) => {
			if (id === 'sidecar-0') {
				refused('wrongOwner')(frame, sidecar, id);
				return;
			}

			redirects++;
			if (redirects > 2) {
				answerWithBody(frame, sidecar, id);
				return;
			}

			sidecar.connection().send({
				kind: 'refused', attempt: frame.attempt, reason: 'wrongOwner', retryAfterMs: 700, owner: 'sidecar-0', standing: true,
			});
		};

		expect((await run(keyed, ...Array.from({length: 12}, () => redirectThenAnswer))).outcome).to.deep.equal({kind: 'answered'});
	});

	it('returns the retry delay of a refusal', async () => {
		expect((await run(payment, refused('deadlineTooShort'))).outcome).to.deep.include({kind: 'notRun', retryAfterMs: 700});
	});
});

describe('openLink', () => {
	const request = {
		...chat, deadlineMs: 1000, key: undefined,
	};

	it('drops and counts frames that belong to no attempt', async () => {
		const metrics = createMetrics();
		const sidecar = await startSidecar((frame, connection) => {
			answerWhole({attempt: frame.attempt + 1000}, connection, 'another\'s');
			answerWhole(frame, connection, 'own');
		});
		const link = await linkTo(sidecar, 's', metrics);
		const got: string[] = [];
		const result = await link.attempt(request, {
			head: () => undefined, data(bytes) {
				got.push(new TextDecoder().decode(bytes));
			},
		}, AbortSignal.timeout(3000));
		expect(result.kind).to.equal('answered');
		expect(got).to.deep.equal(['own']);
		expect(metrics.read('late_answers', {kind: 'data'})).to.equal(1);
		link.close();
		sidecar.stop();
	});

	it('reports an answer with missing bytes as lost', async () => {
		const sidecar = await startSidecar(({attempt}, connection) => {
			connection.send({
				kind: 'head', attempt, status: 200, headers: {},
			});
			connection.send({kind: 'end', attempt, length: 5});
		});
		const link = await linkTo(sidecar);
		const result = await link.attempt(request, {head: () => undefined, data: () => undefined}, AbortSignal.timeout(3000));
		expect(result).to.include({kind: 'lost', reason: 'truncated'});
		link.close();
		sidecar.stop();
	});

	it('refuses attempts once the sidecar is closing, and closes after the last answer', async () => {
		const sidecar = await startSidecar(() => undefined);
		const link = await linkTo(sidecar);
		const sink = {head: () => undefined, data: () => undefined};
		const running = link.attempt(request, sink, AbortSignal.timeout(3000));
		await waitUntil(() => sidecar.requests.length === 1);
		const connection = sidecar.connection();
		connection.send({kind: 'leaving', isClosing: true});
		await waitUntil(() => !link.connected);
		expect(await link.attempt(request, sink, AbortSignal.timeout(3000))).to.include({kind: 'refused', reason: 'connectionLost'});
		expect(connection.closed, 'closed while an answer is pending').to.equal(false);
		answerWhole(sidecar.requests[0], connection);
		expect(await running).to.deep.equal({kind: 'answered'});
		expect(await waitUntil(() => connection.closed)).to.equal(true);
		link.close();
		sidecar.stop();
	});

	it('ends an aborted attempt at once and sends a cancel frame', async () => {
		const sidecar = await startSidecar(() => undefined);
		const link = await linkTo(sidecar);
		const controller = new AbortController();
		const running = link.attempt(request, {head: () => undefined, data: () => undefined}, controller.signal);
		controller.abort('timeout');
		expect(await running).to.include({kind: 'lost', reason: 'timeout'});
		expect(await waitUntil(() => sidecar.frames.some(({kind}) => kind === 'cancel'))).to.equal(true);
		link.close();
		sidecar.stop();
	});
});

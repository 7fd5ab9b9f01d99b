import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type Answer, type Call} from '@papayaflow/caller';
import {type LossReason, type RefusalReason} from '@papayaflow/outcome';
import {type Frame} from '@papayaflow/peer';
import {createRetryBudget, type RetryBudget} from '@papayaflow/policy';
import {createMetrics} from '@papayaflow/telemetry';
import {
	answerWhole, linkTo, preset, startSidecar, until, type FakeSidecar,
} from './helper.js';
import {
	createOwners, forward, type ForwardDeps, type Forwarded, type Link, type Links,
} from '@papayaflow/entry';

type Reply = (frame: Extract<Frame, {kind: 'request'}>, sidecar: FakeSidecar, id: string) => void;

const chat: Call = {
	requestId: 'r', organisation: 'o', priority: 5, deadlineMs: 5000, method: 'POST', path: '/', headers: {}, body: new Uint8Array(0),
	service: 'model', idempotent: true, key: undefined, affinityKey: undefined, tokens: 10,
};
const payment: Call = {...chat, service: 'ledger', idempotent: false};
const keyed: Call = {...payment, key: 'pay-1'};

const whole: Reply = (frame, sidecar) => {
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

const dies: Reply = (_frame, sidecar) => {
	sidecar.connection().close();
};

/** Forwards a call to sidecars that reply as told; the order of the replies is that of the attempts. */
async function run(call: Call, ...replies: readonly Reply[]): Promise<Ran> {
	return runWith(createRetryBudget(), call, ...replies);
}

type Ran = Forwarded & {readonly text: string; readonly attempted: number};

async function runWith(budget: RetryBudget, call: Call, ...replies: readonly Reply[]): Promise<Ran> {
	let at = 0;
	const start = async (id: string): Promise<FakeSidecar> => {
		const sidecar: FakeSidecar = await startSidecar(frame => {
			replies[at++](frame, sidecar, id);
		});
		return sidecar;
	};

	const sidecars = await Promise.all(replies.map(async (_, index) => start(`sidecar-${index}`)));

	const links = await Promise.all(sidecars.map(async (sidecar, index) => linkTo(sidecar, `sidecar-${index}`)));
	const controller = new AbortController();
	let pauses = 0;
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
		links: fakeLinks(links), owners: createOwners(), budget, metrics: createMetrics(), zone: 'z', random: () => 0,
		monotonicMs: () => performance.now(),
		async sleep() {
			pauses++;
			if (pauses > 3) {
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

	return {...forwarded, text: answered.join(''), attempted: at};
}

function fakeLinks(links: readonly Link[]): Links {
	return {
		update: () => undefined, of: () => links, to: id => links.find(({sidecar}) => sidecar.id === id),
		sidecarsOf: () => links.map(({sidecar}) => sidecar.id), broadcast: () => undefined, entries: () => 1, all: () => links, close: () => undefined,
	};
}

describe('a call', () => {
	it('that was refused is brought to another target', async () => {
		expect(await run(chat, refused('queueFull'), whole)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2, text: 'ok'});
	});

	it('that may not be repeated goes elsewhere only after a proof that it did not run', async () => {
		expect(await run(payment, refused('targetLeaving'), whole)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2});
		expect(await run(payment, dies, whole)).to.deep.include({attempted: 1});
		expect(await run(payment, lost('targetLost'), whole)).to.deep.include({attempted: 1});
	});

	it('that is idempotent is asked again after a loss, while nothing of an answer has gone out', async () => {
		expect(await run(chat, dies, whole)).to.deep.include({outcome: {kind: 'answered'}, attempts: 2});
		const half: Reply = ({attempt}, sidecar) => {
			sidecar.connection().send({
				kind: 'head', attempt, status: 200, headers: {},
			});
			sidecar.connection().send({kind: 'data', attempt, bytes: new Uint8Array([65])});
			dies({attempt} as never, sidecar, '');
		};

		expect(await run(chat, half, whole)).to.deep.include({attempted: 1, text: 'A'});
	});

	it('is never "not run" after an attempt that may have run', async () => {
		const {outcome} = await run(chat, dies, refused('queueFull'), refused('queueFull'));
		expect(outcome).to.include({kind: 'unknown', reason: 'connectionLost'});
	});

	it('with a key is "not run" only by the word of the owner', async () => {
		expect((await run(keyed, refused('storeUnavailable'))).outcome).to.include({kind: 'notRun', reason: 'storeUnavailable'});
		expect((await run(keyed, refused('wrongOwner'), refused('wrongOwner'), refused('wrongOwner'))).outcome).to.include({kind: 'unknown', reason: 'notOwner'});
		expect((await run(keyed)).outcome).to.include({kind: 'unknown', reason: 'notOwner'});
		expect((await run(chat)).outcome).to.include({kind: 'notRun', reason: 'noTarget'});
	});

	it('with a key is not "not run" because its time is over while its owner is waited for', async () => {
		const gone: Reply = ({attempt}, sidecar) => {
			sidecar.connection().send({
				kind: 'refused', attempt, reason: 'wrongOwner', retryAfterMs: 700, owner: 'gone', standing: true,
			});
		};

		const {outcome} = await run(keyed, ...Array.from({length: 30}, () => gone));
		expect(outcome.kind).to.equal('unknown');
	});

	it('with a key follows to the owner that it is sent on to', async () => {
		const replies: readonly Reply[] = [refused('wrongOwner', 'sidecar-0'), whole];
		const first = await run(keyed, ...replies);
		const second = await run(keyed, refused('wrongOwner', 'sidecar-1'), whole);
		expect([first.outcome.kind, second.outcome.kind]).to.deep.equal(['answered', 'answered']);
		expect(first.attempts).to.equal(1);
	});

	it('with a key asks the next sidecar when one has given its keys up, also with the retry budget used up', async () => {
		const usedUp: RetryBudget = {onRequest: () => undefined, tryTake: () => false};
		expect(await runWith(usedUp, keyed, refused('wrongOwner'), whole)).to.deep.include({outcome: {kind: 'answered'}, attempted: 2});
		expect(await runWith(usedUp, keyed, refused('targetLeaving'), whole)).to.deep.include({attempted: 1});
	});

	it('with a key waits while another sidecar still names as owner the one that has given its keys up', async () => {
		let asked = 0;
		const leaving: Reply = (frame, sidecar, id) => {
			if (id === 'sidecar-0') {
				refused('wrongOwner')(frame, sidecar, id);
				return;
			}

			asked++;
			if (asked > 2) {
				whole(frame, sidecar, id);
				return;
			}

			sidecar.connection().send({
				kind: 'refused', attempt: frame.attempt, reason: 'wrongOwner', retryAfterMs: 700, owner: 'sidecar-0', standing: true,
			});
		};

		expect((await run(keyed, ...Array.from({length: 12}, () => leaving))).outcome).to.deep.equal({kind: 'answered'});
	});

	it('carries the time to come back of the one who refused', async () => {
		expect((await run(payment, refused('deadlineTooShort'))).outcome).to.deep.include({kind: 'notRun', retryAfterMs: 700});
	});
});

describe('a link', () => {
	const request = {
		...chat, deadlineMs: 1000, key: undefined,
	};

	it('drops and counts what belongs to no attempt', async () => {
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

	it('takes an answer that lacks bytes for lost', async () => {
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

	it('takes no attempt once the sidecar closes, and closes when its last answer has come', async () => {
		const sidecar = await startSidecar(() => undefined);
		const link = await linkTo(sidecar);
		const sink = {head: () => undefined, data: () => undefined};
		const running = link.attempt(request, sink, AbortSignal.timeout(3000));
		await until(() => sidecar.requests.length === 1);
		const connection = sidecar.connection();
		connection.send({kind: 'leaving', isClosing: true});
		await until(() => !link.connected);
		expect(await link.attempt(request, sink, AbortSignal.timeout(3000))).to.include({kind: 'refused', reason: 'connectionLost'});
		expect(connection.closed, 'while an answer is awaited').to.equal(false);
		answerWhole(sidecar.requests[0], connection);
		expect(await running).to.deep.equal({kind: 'answered'});
		expect(await until(() => connection.closed)).to.equal(true);
		link.close();
		sidecar.stop();
	});

	it('ends an attempt at once when it is given up, and cancels it', async () => {
		const sidecar = await startSidecar(() => undefined);
		const link = await linkTo(sidecar);
		const controller = new AbortController();
		const running = link.attempt(request, {head: () => undefined, data: () => undefined}, controller.signal);
		controller.abort('timeout');
		expect(await running).to.include({kind: 'lost', reason: 'timeout'});
		expect(await until(() => sidecar.frames.some(({kind}) => kind === 'cancel'))).to.equal(true);
		link.close();
		sidecar.stop();
	});
});

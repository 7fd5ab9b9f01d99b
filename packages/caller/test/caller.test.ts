import {once} from 'node:events';
import {createServer, type Server} from 'node:http';
import {type AddressInfo} from 'node:net';
import {expect} from 'chai';
import {
	after, before, describe, it,
} from 'mocha';
import {request} from 'undici';
import {checkPreset, type Preset} from '@papayaflow/config';
import {
	createBodyBuffers, openAnswer, problemOf, readCall, type CallResult,
} from '@papayaflow/caller';

const {preset} = checkPreset({
	services: {'notice-drafting': {kind: 'model'}, ledger: {kind: 'plain'}},
	routes: [{
		methods: ['POST'], pathPrefix: '/ledger/', service: 'ledger', idempotent: false,
	}],
	limits: {maxBodyBytes: 1000},
}) as {preset: Preset};

const chat = JSON.stringify({model: 'notice-drafting', messages: [{role: 'user', content: 'hello'}]});

type RequestOptions = {readonly path?: string; readonly method?: 'POST' | 'GET'; readonly body?: string; readonly headers?: Record<string, string>};

describe('readCall', () => {
	let server: Server;
	let last: CallResult;
	let inForce = preset;
	let bodyBuffers = createBodyBuffers(1_048_576, () => performance.now());

	const send = async ({path = '/v1/chat/completions', method = 'POST', body = chat, headers = {}}: RequestOptions = {}): Promise<CallResult> => {
		const {port} = server.address() as AddressInfo;
		const res = await request(`http://127.0.0.1:${port}${path}`, {method, body: method === 'GET' ? undefined : body, headers: {'x-organisation': 'ayamoni', ...headers}});
		await res.body.dump();
		return last;
	};

	const badDetail = async (options: RequestOptions): Promise<string> => {
		const result = await send(options);
		return result.kind === 'bad' ? `${result.status} ${result.detail}` : 'accepted';
	};

	before(async () => {
		server = createServer(async (req, res) => {
			last = await readCall(req, inForce, bodyBuffers.open());
			res.setHeader('connection', 'close');
			res.end();
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
	});

	after(() => {
		server.close();
	});

	it('takes the service of a chat request from its model and estimates its tokens', async () => {
		const result = await send();
		expect(result.kind === 'call' && result.call).to.include({
			service: 'notice-drafting', idempotent: true, organisation: 'ayamoni', priority: 5, deadlineMs: 60_000, key: undefined,
		});
		expect(result.kind === 'call' && result.call.tokens).to.be.greaterThan(16);
	});

	it('takes the service and idempotency of other requests from their route', async () => {
		const result = await send({path: '/ledger/payments', body: '{}', headers: {'idempotency-key': 'pay-1'}});
		expect(result.kind === 'call' && result.call).to.include({service: 'ledger', idempotent: false, key: 'pay-1'});
	});

	it('keeps a valid request id and replaces an invalid one', async () => {
		const kept = await send({headers: {'x-request-id': 'r-1'}});
		expect(kept.kind === 'call' && kept.call.requestId).to.equal('r-1');
		const replaced = await send({headers: {'x-request-id': 'not an id'}});
		expect(replaced.kind === 'call' && replaced.call.requestId).to.match(/^[\w\-]{36}$/v);
	});

	it('limits the deadline to the request timeout of the preset', async () => {
		const result = await send({headers: {'x-deadline-ms': '3600000'}});
		expect(result.kind === 'call' && result.call.deadlineMs).to.equal(60_000);
	});

	// Guards against requests that are ended without an answer: a text that can be parsed may be too deep to be written again.
	it('rejects messages that are nested too deeply', async () => {
		const depth = 200_000;
		const before = inForce;
		inForce = {...preset, limits: {...preset.limits, maxBodyBytes: 1_048_576}};
		const body = `{"model":"notice-drafting","messages":[${'['.repeat(depth)}${']'.repeat(depth)}]}`;
		expect(await badDetail({body})).to.equal('400 "messages" must not be nested as deeply');
		inForce = before;
	});

	it('refuses a request whose body there is no room for beside others', async () => {
		const before = bodyBuffers;
		bodyBuffers = createBodyBuffers(300, () => performance.now());
		const result = await send({path: '/ledger/payments', body: 'a'.repeat(200), headers: {'x-request-id': 'r-1'}});
		expect(result).to.have.property('kind', 'call');
		expect(await send({path: '/ledger/payments', body: 'a'.repeat(200), headers: {'x-request-id': 'r-2', 'idempotency-key': 'pay-1'}})).to.deep.equal({kind: 'noRoom', requestId: 'r-2', key: 'pay-1'});
		expect(bodyBuffers.bytes()).to.equal(200);
		bodyBuffers = before;
	});

	it('rejects a malformed request with a 4xx status and the reason', async () => {
		expect(await badDetail({headers: {'x-organisation': 'a b'}})).to.contain('400 x-organisation');
		expect(await badDetail({headers: {'x-priority': '10'}})).to.contain('400 x-priority');
		expect(await badDetail({headers: {'x-deadline-ms': 'soon'}})).to.contain('400 x-deadline-ms');
		expect(await badDetail({headers: {'idempotency-key': 'a b'}})).to.contain('400 idempotency-key');
		expect(await badDetail({body: '{'})).to.equal('400 the body is not JSON');
		expect(await badDetail({body: '{"model":1}'})).to.contain('"model"');
		expect(await badDetail({body: '{"model":"constructor","messages":[1]}'})).to.equal('404 no model "constructor"');
		expect(await badDetail({body: '{"model":"notice-drafting","messages":[]}'})).to.contain('"messages"');
		expect(await badDetail({body: '{"model":"notice-drafting","messages":[1],"max_tokens":0}'})).to.contain('"max_tokens"');
		expect(await badDetail({body: 'x'.repeat(1001)})).to.contain('413');
		expect(await badDetail({path: '/nowhere', method: 'GET'})).to.equal('404 no route for GET /nowhere');
	});
});

describe('openAnswer', () => {
	const serve = async (writeAnswer: (answer: ReturnType<typeof openAnswer>) => void): Promise<{status: number; headers: Record<string, unknown>; text: string; isTruncated: boolean}> => {
		const server = createServer((_req, res) => {
			writeAnswer(openAnswer(res, 'r-1'));
		});
		server.listen(0, '127.0.0.1');
		await once(server, 'listening');
		const res = await request(`http://127.0.0.1:${(server.address() as AddressInfo).port}/`);
		const chunks: string[] = [];
		let isTruncated = false;
		try {
			for await (const chunk of res.body) {
				chunks.push(String(chunk));
			}
		} catch {
			isTruncated = true;
		}

		server.close();
		server.closeAllConnections();
		return {
			status: res.statusCode, headers: res.headers, text: chunks.join(''), isTruncated,
		};
	};

	it('sends a retry delay with a refusal', async () => {
		const {status, headers, text} = await serve(answer => {
			answer.fail({kind: 'notRun', reason: 'queueFull', retryAfterMs: 1200});
		});
		expect(status).to.equal(503);
		expect(headers).to.include({'retry-after': '2', 'content-type': 'application/problem+json', 'x-request-id': 'r-1'});
		expect(JSON.parse(text)).to.include({outcome: 'notRun', reason: 'queueFull', requestId: 'r-1'});
	});

	it('truncates the response when an answer fails after its head', async () => {
		const {isTruncated} = await serve(answer => {
			answer.head(200, {'content-type': 'application/json'});
			answer.data(new TextEncoder().encode('{"half":'));
			answer.fail({kind: 'unknown', reason: 'targetLost', retryAfterMs: 1000});
		});
		expect(isTruncated).to.equal(true);
	});

	it('ends a failed event stream with an error event and without its end marker', async () => {
		const {text, isTruncated} = await serve(answer => {
			answer.head(200, {'content-type': 'text/event-stream'});
			answer.data(new TextEncoder().encode('data: {}\n\n'));
			answer.fail({kind: 'unknown', reason: 'targetLost', retryAfterMs: 1000});
		});
		expect(text).to.contain('event: error').and.not.to.contain('[DONE]');
		expect(isTruncated).to.equal(true);
	});

	it('uses the HTTP status that belongs to the reason of an outcome', () => {
		const statusOf = (reason: 'quotaExceeded' | 'noRoute' | 'keyReused' | 'queueFull'): number => problemOf({kind: 'notRun', reason, retryAfterMs: 0}, '').status;
		expect([statusOf('quotaExceeded'), statusOf('noRoute'), statusOf('keyReused'), statusOf('queueFull')]).to.deep.equal([429, 404, 422, 503]);
		expect(problemOf({kind: 'unknown', reason: 'timeout', retryAfterMs: 0}, '').status).to.equal(504);
	});
});

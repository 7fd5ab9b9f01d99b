import {createHash} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {readJson, sendJson} from './http.js';
import {createRankGroup, type RankGroup} from './ranks.js';

const defaultMaxTokens = 16;

/** The switches of the stand-in of a model engine. */
export type EngineFaults = {
	/** The next streams are cut after two tokens. */
	cutStreams: number;
	/** No step is taken while this holds. */
	stalled: boolean;
};

type Running = {
	readonly id: string;
	readonly prompt: string;
	readonly total: number;
	done: number;
	readonly emit: (index: number) => boolean;
	readonly finish: () => void;
};

export type EngineOptions = {
	readonly model: string;
	readonly ranks: number;
	readonly stepMs: number;
	readonly maxBatch: number;
	/** Whether the ranks refuse orders that carry an old fencing number. */
	readonly checksFencing: boolean;
};

/** The text of a token, so that a test knows what answer belongs to a prompt. */
export function tokenText(prompt: string, index: number): string {
	return `${createHash('sha256').update(`${prompt}/${index}`).digest('hex').slice(0, 6)} `;
}

/** The whole text that the stand-in answers a prompt with. */
export function answerText(prompt: string, total: number): string {
	return Array.from({length: total}, (_, index) => tokenText(prompt, index)).join('');
}

/**
Serves a model engine whose ranks run in lock-step: each step gives every running
request one token. `GET /ledger` shows how often each request ran and which map
each rank used at each step.

@example
serveEngine({model: 'notice-drafting', ranks: 4, stepMs: 5, maxBatch: 32, checksFencing: true}).listen(8000, '127.0.0.1');
*/
export function serveEngine(options: EngineOptions): Server {
	const faults: EngineFaults = {cutStreams: 0, stalled: false};
	const group = createRankGroup(options.ranks, options.checksFencing);
	const runs: Record<string, number> = {};
	let batch: Running[] = [];
	const waiting: Running[] = [];

	const step = (): void => {
		while (batch.length < options.maxBatch && waiting.length > 0) {
			batch.push(waiting.shift()!);
		}

		if (faults.stalled || !group.step(batch.length)) {
			return;
		}

		for (const running of batch) {
			if (!running.emit(running.done++)) {
				running.done = running.total;
			}

			if (running.done >= running.total) {
				running.finish();
			}
		}

		batch = batch.filter(running => running.done < running.total);
	};

	setInterval(step, options.stepMs).unref();

	return createServer(async (req, res) => {
		const body = await readJson(req);
		const path = req.url ?? '/';
		const rankOrder = /^\/ranks\/(?<rank>\d+)(?<order>\/orders)?$/v.exec(path)?.groups;
		switch (path) {
			case '/faults': {
				Object.assign(faults, body);
				sendJson(res, 200, faults);

				break;
			}

			case '/ledger': {
				sendJson(res, 200, {runs, maps: group.maps(), mixedSteps: group.mixedSteps()});

				break;
			}

			case '/load': {
				sendJson(res, 200, {running: batch.length, waiting: waiting.length, step: group.stepNumber()});

				break;
			}

			default: {
				if (rankOrder) {
					answerRank(group, Number(rankOrder.rank), rankOrder.order ? body : undefined, res);
				} else if (path === '/v1/chat/completions') {
					const id = String(req.headers['x-request-id'] ?? '');
					runs[id] = (runs[id] ?? 0) + 1;
					waiting.push(startRequest(body, res, {id, model: options.model, faults}));
				} else {
					sendJson(res, 404, {error: 'no such call'});
				}
			}
		}
	});
}

function answerRank(group: RankGroup, rank: number, order: Record<string, unknown> | undefined, res: ServerResponse): void {
	const reply = order ? group.order(rank, order) : group.show(rank);
	sendJson(res, reply ? 200 : 404, reply ?? {error: 'no such rank'});
}

function startRequest(body: Record<string, unknown>, res: ServerResponse, {id, model, faults}: {id: string; model: string; faults: EngineFaults}): Running {
	const prompt = JSON.stringify(body.messages);
	const total = Number(body.max_tokens ?? defaultMaxTokens);
	const isStream = body.stream === true;
	const text: string[] = [];
	let isCut = false;
	if (isStream) {
		res.writeHead(200, {'content-type': 'text/event-stream'});
	}

	return {
		id, prompt, total, done: 0,
		emit(index) {
			if (res.destroyed || isCut) {
				return false;
			}

			const token = tokenText(prompt, index);
			text.push(token);
			if (isStream) {
				res.write(`data: ${JSON.stringify({id, model, choices: [{index: 0, delta: {content: token}}]})}\n\n`);
			}

			if (index === 2 && faults.cutStreams > 0) {
				faults.cutStreams--;
				isCut = true;
				res.destroy();
			}

			return true;
		},
		finish() {
			if (isCut || res.destroyed) {
				return;
			}

			if (isStream) {
				res.end('data: [DONE]\n\n');
				return;
			}

			sendJson(res, 200, {
				id, model, object: 'chat.completion', choices: [{index: 0, message: {role: 'assistant', content: text.join('')}, finish_reason: 'stop'}],
				usage: {completion_tokens: total},
			});
		},
	};
}

import {createHash} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';
import {createRankGroup, type RankGroup} from './ranks.js';

const defaultMaxTokens = 16;
const tokensPerStep = 1000;
/** Weight of a new step in the moving average of the skew. */
const skewSmoothingFactor = 0.05;
/** Number of places by which the popularity order differs between consecutive layers. */
const popularityShiftPerLayer = 3;

/** Fault switches of the model engine stand-in, set by `POST /faults`. */
export type EngineFaults = {
	/** Number of further responses whose connection is closed after the third token. */
	cutStreams: number;
	/** While true, the engine runs no step. */
	stalled: boolean;
	/** The rank whose orders are neither applied nor answered; -1 for none. */
	deafRank: number;
	/** While true, `/experts` returns status 503. */
	muteReports: boolean;
	/** Number of places by which the popularity order of the experts is rotated. */
	popularityShift: number;
};

/** A request in the queue or the batch; `done` counts its generated tokens. */
type RunningRequest = {
	readonly totalTokens: number;
	done: number;
	readonly emitToken: (index: number) => boolean;
	readonly finish: () => void;
};

export type EngineOptions = {
	readonly model: string;
	readonly ranks: number;
	/** Duration of a step in which all ranks have equal load, in milliseconds. */
	readonly stepMs: number;
	readonly maxBatch: number;
	/** Whether the ranks reject an order whose epoch is lower than the highest that they have accepted. */
	readonly checksFencing: boolean;
	readonly layers?: number;
	readonly experts?: number;
	readonly slots?: number;
	/** Time that a rank needs to load one expert, in milliseconds. */
	readonly loadMs?: number;
};

/** Returns the text of a token. It depends only on the prompt and the index, so that a test can tell which response belongs to a prompt. */
export function tokenText(prompt: string, index: number): string {
	return `${createHash('sha256').update(`${prompt}/${index}`).digest('hex').slice(0, 6)} `;
}

/** Returns the complete text that the stand-in generates for a prompt. */
export function answerText(prompt: string, total: number): string {
	return Array.from({length: total}, (_, index) => tokenText(prompt, index)).join('');
}

/**
Creates the server of a model engine whose ranks run in lock-step: each step generates
one token for every running request, and the load of the busiest rank determines its
duration. `GET /experts` returns the load of the experts, `/ranks/N/orders` accepts
orders, and `GET /ledger` returns how often each request ran and which map each rank used.

@example
serveEngine({model: 'notice-drafting', ranks: 4, stepMs: 5, maxBatch: 32, checksFencing: true}).listen(8000, '127.0.0.1');
*/
export function serveEngine(options: EngineOptions): Server {
	const {layers = 2, experts = options.ranks * 4, slots = 5, loadMs = 5} = options;
	const faults: EngineFaults = {
		cutStreams: 0, stalled: false, deafRank: -1, muteReports: false, popularityShift: 0,
	};
	const group = createRankGroup({
		ranks: options.ranks, layers, experts, slots, checksFencing: options.checksFencing,
	});
	const runs: Record<string, number> = {};
	const counts = Array.from({length: layers}, () => Array.from({length: experts}, () => 0));
	const waiting: RunningRequest[] = [];
	let batch: RunningRequest[] = [];
	let skew = 1;

	const step = (): number => {
		while (batch.length < options.maxBatch && waiting.length > 0) {
			batch.push(waiting.shift()!);
		}

		if (faults.stalled || !group.step()) {
			return options.stepMs;
		}

		const stepSkew = applyStepLoad(group, counts, faults.popularityShift);
		skew += (stepSkew - skew) * skewSmoothingFactor;
		for (const running of batch) {
			if (!running.emitToken(running.done++)) {
				running.done = running.totalTokens;
			}

			if (running.done >= running.totalTokens) {
				running.finish();
			}
		}

		batch = batch.filter(running => running.done < running.totalTokens);
		return options.stepMs * (0.5 + (stepSkew / 2));
	};

	const run = async (): Promise<void> => {
		for (;;) {
			await sleep(step(), undefined, {ref: false});
		}
	};

	void run();

	return createServer(async (req, res) => {
		const body = await readJson(req);
		const path = req.url ?? '/';
		const rank = /^\/ranks\/(?<rank>\d+)\/orders$/v.exec(path)?.groups?.rank;
		switch (path) {
			case '/faults': {
				Object.assign(faults, body);
				sendJson(res, 200, faults);

				break;
			}

			case '/ledger': {
				sendJson(res, 200, {
					runs, maps: group.used(), mixedSteps: group.mixedSteps(), step: group.stepNumber(), isSwitching: group.isSwitching(),
				});

				break;
			}

			case '/experts': {
				sendJson(res, faults.muteReports ? 503 : 200, {
					layers: group.slots().map((held, layer) => ({counts: counts[layer], slots: held})), version: group.version(), step: group.stepNumber(), skew,
				});

				break;
			}

			default: {
				if (rank !== undefined) {
					await handleOrder(group, Number(rank), body, {res, faults, loadMs});
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

// Distributes the tokens of a step over the experts of each layer by Zipf's law.
// Returns the ratio of the highest to the mean rank load, averaged over the layers.
function applyStepLoad(group: RankGroup, counts: readonly number[][], popularityShift: number): number {
	const layers = group.slots();
	let skewSum = 0;
	for (const [layer, slots] of layers.entries()) {
		const experts = counts[layer].length;
		const shares = counts[layer].map((_, expert) => 1 / (((expert + popularityShift + (layer * popularityShiftPerLayer)) % experts) + 1));
		const total = shares.reduce((sum, share) => sum + share, 0);
		const copies = shares.map(() => 0);
		for (const expert of slots.flat()) {
			copies[expert]++;
		}

		const loads = slots.map(rankExperts => rankExperts.reduce((sum, expert) => sum + (shares[expert] / copies[expert]), 0));
		for (const [expert, share] of shares.entries()) {
			counts[layer][expert] += tokensPerStep * share / total;
		}

		// The ranks synchronise in every layer, so the most loaded rank determines the layer's duration.
		skewSum += Math.max(...loads) / (total / slots.length);
	}

	return skewSum / layers.length;
}

async function handleOrder(group: RankGroup, rank: number, order: Record<string, unknown>, {res, faults, loadMs}: {res: ServerResponse; faults: EngineFaults; loadMs: number}): Promise<void> {
	if (faults.deafRank === rank) {
		return;
	}

	if (order.kind === 'prepare') {
		const ownMoves = (order.moves as ReadonlyArray<{rank: number}>).filter(move => move.rank === rank);
		await sleep(ownMoves.length * loadMs);
	}

	sendJson(res, 200, group.order(rank, order));
}

function startRequest(body: Record<string, unknown>, res: ServerResponse, {id, model, faults}: {id: string; model: string; faults: EngineFaults}): RunningRequest {
	const prompt = JSON.stringify(body.messages);
	const total = Number(body.max_tokens ?? defaultMaxTokens);
	const isStream = body.stream === true;
	const text: string[] = [];
	let isCut = false;
	if (isStream) {
		res.writeHead(200, {'content-type': 'text/event-stream'});
	}

	return {
		totalTokens: total, done: 0,
		emitToken(index) {
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

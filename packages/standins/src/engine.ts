import {createHash} from 'node:crypto';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';
import {createRankGroup, type RankGroup} from './ranks.js';

const defaultMaxTokens = 16;
const tokensPerStep = 1000;
const skewMemory = 0.05;
const layerShift = 3;

/** The switches of the stand-in of a model engine. */
export type EngineFaults = {
	/** The next streams are cut after three tokens. */
	cutStreams: number;
	/** No step is taken while this holds. */
	stalled: boolean;
	/** Orders to this rank are not answered; -1 for none. */
	deafRank: number;
	/** Expert reports are left out while this holds. */
	muteReports: boolean;
	/** By how many places the experts' popularity is turned round. */
	popularityShift: number;
};

type Running = {
	readonly total: number;
	done: number;
	readonly emit: (index: number) => boolean;
	readonly finish: () => void;
};

export type EngineOptions = {
	readonly model: string;
	readonly ranks: number;
	/** The time of a step whose ranks are all loaded alike, in milliseconds. */
	readonly stepMs: number;
	readonly maxBatch: number;
	/** Whether the ranks refuse orders that carry an old fencing number. */
	readonly checksFencing: boolean;
	readonly layers?: number;
	readonly experts?: number;
	readonly slots?: number;
	/** How long a rank takes to load one expert, in milliseconds. */
	readonly loadMs?: number;
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
request one token, and takes as long as its most loaded rank. `GET /experts` tells
the experts' loads, `/ranks/N/orders` takes orders, and `GET /ledger` shows how
often each request ran and which map each rank used.

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
	const waiting: Running[] = [];
	let batch: Running[] = [];
	let skew = 1;

	const step = (): number => {
		while (batch.length < options.maxBatch && waiting.length > 0) {
			batch.push(waiting.shift()!);
		}

		if (faults.stalled || !group.step()) {
			return options.stepMs;
		}

		const stepSkew = loadStep(group, counts, faults.popularityShift);
		skew += (stepSkew - skew) * skewMemory;
		for (const running of batch) {
			if (!running.emit(running.done++)) {
				running.done = running.total;
			}

			if (running.done >= running.total) {
				running.finish();
			}
		}

		batch = batch.filter(running => running.done < running.total);
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
					runs, maps: group.used(), mixedSteps: group.mixedSteps(), step: group.stepNumber(),
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
					await answerOrder(group, Number(rank), body, {res, faults, loadMs});
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

// Spreads a step's tokens over each layer's experts by Zipf's law and gives the skew of the ranks' loads over all layers.
function loadStep(group: RankGroup, counts: readonly number[][], shift: number): number {
	const layers = group.slots();
	let heaviest = 0;
	for (const [layer, slots] of layers.entries()) {
		const experts = counts[layer].length;
		const shares = counts[layer].map((_, expert) => 1 / (((expert + shift + (layer * layerShift)) % experts) + 1));
		const total = shares.reduce((sum, share) => sum + share, 0);
		const copies = shares.map(() => 0);
		for (const expert of slots.flat()) {
			copies[expert]++;
		}

		const loads = slots.map(held => held.reduce((sum, expert) => sum + (shares[expert] / copies[expert]), 0));
		for (const [expert, share] of shares.entries()) {
			counts[layer][expert] += tokensPerStep * share / total;
		}

		// The ranks wait for each other in every layer, so the slowest of each counts.
		heaviest += Math.max(...loads) / (total / slots.length);
	}

	return heaviest / layers.length;
}

async function answerOrder(group: RankGroup, rank: number, order: Record<string, unknown>, {res, faults, loadMs}: {res: ServerResponse; faults: EngineFaults; loadMs: number}): Promise<void> {
	if (faults.deafRank === rank) {
		return;
	}

	if (order.kind === 'prepare') {
		const own = (order.moves as ReadonlyArray<{rank: number}>).filter(move => move.rank === rank);
		await sleep(own.length * loadMs);
	}

	sendJson(res, 200, group.order(rank, order));
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
		total, done: 0,
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

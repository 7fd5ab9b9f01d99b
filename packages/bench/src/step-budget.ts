import {exponential, quantile, seededRandom} from '@papayaflow/standins';

const fixedMs = 4;
const runningMs = 0.25;
const prefillMsPerToken = 0.02;
const noise = 0.05;
const places = 160;
const endMs = 120_000;
const budgetMs = 38;
const chunkTokens = 512;
const learningRate = 0.02;

type Work = {readonly isBatch: boolean; prompt: number; left: number; lastMs: number};

/** `budget` lets the engine leave batch work out of a step; `admission` only decides who is let in. */
export type StepBudgetKind = 'no batch work' | 'priority' | 'admission' | 'budget';

export type StepBudgetRun = {
	/** The p95 time between two tokens of interactive work, in milliseconds. */
	readonly gapP95: number;
	/** Tokens of batch work, a second. */
	readonly batchTokens: number;
	/** Tokens of interactive work, a second. */
	readonly interactiveTokens: number;
};

/**
Runs interactive work beside batch work on one engine whose step time grows with
what runs and with the prompts that are read in. `priority` fills every free place
with batch work once no interactive work waits; `budget` lets batch work in only as
far as a linear predictor of the step's time stays within a budget, the idea of
HyGen (Sun, Wang and Lai: elastic online-offline co-location).
*/
export function runStepBudget(kind: StepBudgetKind, load: number, seed: number): StepBudgetRun {
	const random = seededRandom(seed);
	const predictor = createPredictor();
	const gaps: number[] = [];
	let running: Work[] = [];
	let waiting: Work[] = [];
	let batchTokens = 0;
	let interactiveTokens = 0;
	let nextMs = 0;
	let nowMs = 0;

	const work = (isBatch: boolean): Work => ({
		isBatch, prompt: Math.floor(exponential(random) * 800), left: 1 + Math.floor(exponential(random) * 200), lastMs: -1,
	});

	while (nowMs < endMs) {
		// A wave of load: interactive work varies threefold over a minute.
		const wave = 1 + (0.5 * Math.sin(nowMs / 60_000 * 2 * Math.PI));
		while (nextMs <= nowMs) {
			waiting.push(work(false));
			nextMs += exponential(random) * 150 / (load * wave);
		}

		const room = places - running.length;
		running.push(...waiting.splice(0, Math.max(0, room)));
		if (kind !== 'no batch work' && waiting.length === 0) {
			const online = features(running);
			while (running.length < places) {
				const candidate = work(true);
				const next = {running: online.running + 1 + running.filter(({isBatch}) => isBatch).length, prompt: Math.min(chunkTokens, online.prompt + candidate.prompt)};
				if (kind !== 'priority' && predictor.predict(next) > budgetMs) {
					break;
				}

				running.push(candidate);
			}
		}

		let chunk = chunkTokens;
		const batch = kind === 'budget' ? withinBudget(running, predictor) : running;
		let read = 0;
		for (const item of batch.toSorted((a, b) => Number(a.isBatch) - Number(b.isBatch))) {
			const part = Math.min(chunk, item.prompt);
			item.prompt -= part;
			chunk -= part;
			read += part;
		}

		const stepMs = (fixedMs + (runningMs * batch.length) + (prefillMsPerToken * read)) * (1 + (noise * (random() - 0.5)));
		predictor.learn({running: batch.length, prompt: read}, stepMs);
		nowMs += stepMs;
		for (const item of batch.filter(({prompt}) => prompt === 0)) {
			item.left--;
			if (item.isBatch) {
				batchTokens++;
			} else {
				interactiveTokens++;
				if (item.lastMs >= 0) {
					gaps.push(nowMs - item.lastMs);
				}
			}

			item.lastMs = nowMs;
		}

		running = running.filter(({left}) => left > 0);
		waiting = waiting.filter(({left}) => left > 0);
	}

	return {gapP95: quantile(gaps, 0.95), batchTokens: batchTokens / endMs * 1000, interactiveTokens: interactiveTokens / endMs * 1000};
}

type Features = {readonly running: number; readonly prompt: number};

function features(running: readonly Work[]): Features {
	const online = running.filter(({isBatch}) => !isBatch);
	return {running: online.length, prompt: Math.min(chunkTokens, online.reduce((sum, {prompt}) => sum + prompt, 0))};
}

// Interactive work always takes part in the step, batch work as far as the budget goes.
function withinBudget(running: readonly Work[], predictor: ReturnType<typeof createPredictor>): readonly Work[] {
	const online = running.filter(({isBatch}) => !isBatch);
	const {prompt} = features(running);
	const batch: Work[] = [...online];
	let read = prompt;
	for (const item of running.filter(({isBatch}) => isBatch)) {
		const nextRead = Math.min(chunkTokens, read + item.prompt);
		if (predictor.predict({running: batch.length + 1, prompt: nextRead}) > budgetMs) {
			continue;
		}

		read = nextRead;
		batch.push(item);
	}

	return batch;
}

// A linear predictor, learned step by step by least mean squares on scaled features.
function createPredictor() {
	let weights = [5, 0, 0];
	const scaled = ({running, prompt}: Features): readonly number[] => [1, running / places, prompt / chunkTokens];
	const predict = (of: Features): number => scaled(of).reduce((sum, value, index) => sum + (value * weights[index]), 0);
	return {
		predict,
		learn(of: Features, stepMs: number) {
			const error = stepMs - predict(of);
			const values = scaled(of);
			weights = weights.map((weight, index) => weight + (learningRate * 10 * error * values[index] / 3));
		},
	};
}

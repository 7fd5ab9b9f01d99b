import {exponential, quantile, seededRandom} from '@papayaflow/standins';

const fixedMs = 4;
const msPerRunningItem = 0.25;
const prefillMsPerToken = 0.02;
const stepNoise = 0.05;
const maxRunning = 160;
const endMs = 120_000;
const stepBudgetMs = 38;
const chunkTokens = 512;
const learningRate = 0.02;

type WorkItem = {readonly isBatch: boolean; prompt: number; tokensLeft: number; lastTokenMs: number};

/** Both `admission` and `budget` admit batch work by predicted step time; with `budget` the engine also leaves batch work out of a step that would exceed the budget. */
export type StepBudgetKind = 'no batch work' | 'priority' | 'admission' | 'budget';

export type StepBudgetRun = {
	/** The p95 time between two tokens of interactive work, in milliseconds. */
	readonly tokenGapP95Ms: number;
	/** Tokens of batch work per second. */
	readonly batchTokensPerSecond: number;
	/** Tokens of interactive work per second. */
	readonly interactiveTokensPerSecond: number;
};

/**
Runs interactive and batch work on one engine whose step time grows with the number
of running items and with the prompt tokens that are read. `priority` fills every
free slot with batch work when no interactive work waits. `admission` and `budget`
admit batch work only while a linear predictor keeps the step time within a budget,
which is the idea of HyGen (Sun, Wang and Lai: elastic online-offline co-location).
*/
export function runStepBudget(kind: StepBudgetKind, load: number, seed: number): StepBudgetRun {
	const random = seededRandom(seed);
	const predictor = createPredictor();
	const gaps: number[] = [];
	let running: WorkItem[] = [];
	let waiting: WorkItem[] = [];
	let batchTokens = 0;
	let interactiveTokens = 0;
	let nextMs = 0;
	let nowMs = 0;

	const createWorkItem = (isBatch: boolean): WorkItem => ({
		isBatch, prompt: Math.floor(exponential(random) * 800), tokensLeft: 1 + Math.floor(exponential(random) * 200), lastTokenMs: -1,
	});

	while (nowMs < endMs) {
		// The arrival rate of interactive work varies threefold over a minute.
		const wave = 1 + (0.5 * Math.sin(nowMs / 60_000 * 2 * Math.PI));
		while (nextMs <= nowMs) {
			waiting.push(createWorkItem(false));
			nextMs += exponential(random) * 150 / (load * wave);
		}

		const freePlaces = maxRunning - running.length;
		running.push(...waiting.splice(0, Math.max(0, freePlaces)));
		if (kind !== 'no batch work' && waiting.length === 0) {
			const interactiveFeatures = featuresOfInteractive(running);
			while (running.length < maxRunning) {
				const candidate = createWorkItem(true);
				const next = {running: interactiveFeatures.running + 1 + running.filter(({isBatch}) => isBatch).length, prompt: Math.min(chunkTokens, interactiveFeatures.prompt + candidate.prompt)};
				if (kind !== 'priority' && predictor.predict(next) > stepBudgetMs) {
					break;
				}

				running.push(candidate);
			}
		}

		let chunk = chunkTokens;
		const batch = kind === 'budget' ? selectWithinBudget(running, predictor) : running;
		let promptTokensRead = 0;
		for (const item of batch.toSorted((a, b) => Number(a.isBatch) - Number(b.isBatch))) {
			const part = Math.min(chunk, item.prompt);
			item.prompt -= part;
			chunk -= part;
			promptTokensRead += part;
		}

		const stepMs = (fixedMs + (msPerRunningItem * batch.length) + (prefillMsPerToken * promptTokensRead)) * (1 + (stepNoise * (random() - 0.5)));
		predictor.learn({running: batch.length, prompt: promptTokensRead}, stepMs);
		nowMs += stepMs;
		for (const item of batch.filter(({prompt}) => prompt === 0)) {
			item.tokensLeft--;
			if (item.isBatch) {
				batchTokens++;
			} else {
				interactiveTokens++;
				if (item.lastTokenMs >= 0) {
					gaps.push(nowMs - item.lastTokenMs);
				}
			}

			item.lastTokenMs = nowMs;
		}

		running = running.filter(({tokensLeft}) => tokensLeft > 0);
		waiting = waiting.filter(({tokensLeft}) => tokensLeft > 0);
	}

	return {tokenGapP95Ms: quantile(gaps, 0.95), batchTokensPerSecond: batchTokens / endMs * 1000, interactiveTokensPerSecond: interactiveTokens / endMs * 1000};
}

type Features = {readonly running: number; readonly prompt: number};

function featuresOfInteractive(running: readonly WorkItem[]): Features {
	const interactive = running.filter(({isBatch}) => !isBatch);
	return {running: interactive.length, prompt: Math.min(chunkTokens, interactive.reduce((sum, {prompt}) => sum + prompt, 0))};
}

// Selects the work of a step: all interactive work, and batch work while the predicted step time is within the budget.
function selectWithinBudget(running: readonly WorkItem[], predictor: ReturnType<typeof createPredictor>): readonly WorkItem[] {
	const interactive = running.filter(({isBatch}) => !isBatch);
	const {prompt} = featuresOfInteractive(running);
	const batch: WorkItem[] = [...interactive];
	let promptTokensRead = prompt;
	for (const item of running.filter(({isBatch}) => isBatch)) {
		const nextRead = Math.min(chunkTokens, promptTokensRead + item.prompt);
		if (predictor.predict({running: batch.length + 1, prompt: nextRead}) > stepBudgetMs) {
			continue;
		}

		promptTokensRead = nextRead;
		batch.push(item);
	}

	return batch;
}

// Creates a linear predictor of the step time, trained after every step by least mean squares on scaled features.
function createPredictor() {
	let weights = [5, 0, 0];
	const scaled = ({running, prompt}: Features): readonly number[] => [1, running / maxRunning, prompt / chunkTokens];
	const predict = (features: Features): number => scaled(features).reduce((sum, value, index) => sum + (value * weights[index]), 0);
	return {
		predict,
		learn(features: Features, stepMs: number) {
			const error = stepMs - predict(features);
			const values = scaled(features);
			weights = weights.map((weight, index) => weight + (learningRate * 10 * error * values[index] / 3));
		},
	};
}

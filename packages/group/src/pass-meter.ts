import {type RankView} from '@papayaflow/experts';

/** The time window over which the pass time is measured, in milliseconds. */
const windowMs = 600;

/** The minimum number of passes in the window for a measurement. */
const minPasses = 3;

/** The weight of a new measurement in the moving average of the slowdown. */
const measurementWeight = 0.25;

/** The limit on the ratio of the measured to the predicted pass time, in either direction. A larger deviation is clamped to it. */
const maxDeviationRatio = 2.5;

/** The time in which the slowdown of an idle group goes back to 1 by the factor e, in milliseconds. An idle group makes no passes by which it could be measured again. */
const idleDecayMs = 1000;

/** Compares the measured pass time of a group with the predicted one. */
export type PassMeter = {
	/**
	Adds a view of the own rank with the time predicted for its pass, in milliseconds.
	`predictedMs` must not include the slowdown that this meter returns; 0 means that nothing
	runs. Times in which the group is closed or begins no pass for the whole window, as when
	it is held, are no measurement.
	*/
	addSample(view: RankView, predictedMs: number, nowMs: number): void;
	/** The moving average of the ratio of the measured to the predicted pass time; 1 before the first measurement, to which it goes back while nothing runs. */
	slowdown(): number;
	/** The mean pass time in the last measurement, in milliseconds; 0 before the first measurement. */
	passMs(): number;
	/** How long, as of the latest view, the group has begun no pass although the own rank has requests, in milliseconds. */
	stalledMs(): number;
};

/**
Creates a meter without samples.

@example
meter.addSample(view, predictedMs, performance.now());
*/
export function createPassMeter(): PassMeter {
	const samples: Array<{readonly atMs: number; readonly pass: number; readonly predictedMs: number}> = [];
	let slowdown = 1;
	let passMs = 0;
	let lastPass: number | undefined;
	let lastProgressMs = 0;
	let stalledMs = 0;
	let lastSampleMs = 0;
	/** The slowdown when the last pass was seen to begin. */
	let slowdownAtProgress = 1;
	return {
		addSample(view, predictedMs, nowMs) {
			if (view.pass !== lastPass || view.active + view.queued === 0) {
				lastPass = view.pass;
				lastProgressMs = nowMs;
			}

			stalledMs = nowMs - lastProgressMs;
			const sinceSampleMs = nowMs - lastSampleMs;
			lastSampleMs = nowMs;
			if (predictedMs === 0) {
				samples.length = 0;
				slowdown = 1 + ((slowdown - 1) * Math.exp(-sinceSampleMs / idleDecayMs));
				return;
			}

			if (stalledMs === 0) {
				slowdownAtProgress = slowdown;
			}

			// Short holds are part of the pauses that streams see, and count. What a longer one has added is taken back.
			if (stalledMs > windowMs || !view.isOpen) {
				samples.length = 0;
				slowdown = slowdownAtProgress;
				return;
			}

			samples.push({atMs: nowMs, pass: view.pass, predictedMs});
			while (samples[0].atMs < nowMs - windowMs) {
				samples.shift();
			}

			const passCount = view.pass - samples[0].pass;
			if (passCount < minPasses) {
				return;
			}

			passMs = (nowMs - samples[0].atMs) / passCount;
			const meanPredictedMs = samples.reduce((sum, sample) => sum + sample.predictedMs, 0) / samples.length;
			const ratio = Math.min(maxDeviationRatio, Math.max(1 / maxDeviationRatio, passMs / meanPredictedMs));
			slowdown += (ratio - slowdown) * measurementWeight;
		},
		slowdown: () => slowdown,
		passMs: () => passMs,
		stalledMs: () => stalledMs,
	};
}

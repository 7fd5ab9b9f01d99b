import {type RankView} from '@papayaflow/experts';

/** Over how long passes are measured, in milliseconds. */
const spanMs = 600;

/** The least passes that make a measurement. */
const leastPasses = 3;

/** The weight of one more measurement in the mean. */
const weight = 0.25;

/** How far measured and predicted passes may lie apart and still be believed, as a ratio either way. */
const mostApart = 2.5;

/** Compares the passes that a group makes with those that were predicted. */
export type PassMeter = {
	/** Takes what the own rank says, with the prediction for the moment; `predictedMs` is without this correction. */
	take(view: RankView, predictedMs: number, nowMs: number): void;
	/** How much longer passes take than predicted; 1 before any measurement. */
	slowdown(): number;
	/** The mean time of recent passes, in milliseconds; 0 before any measurement. */
	passMs(): number;
};

/**
Makes a meter.

@example
meter.take(view, predictedMs, performance.now());
*/
export function createPassMeter(): PassMeter {
	const samples: Array<{readonly atMs: number; readonly pass: number; readonly predictedMs: number}> = [];
	let slowdown = 1;
	let passMs = 0;
	return {
		take(view, predictedMs, nowMs) {
			if (predictedMs === 0) {
				samples.length = 0;
				return;
			}

			samples.push({atMs: nowMs, pass: view.pass, predictedMs});
			while (samples[0].atMs < nowMs - spanMs) {
				samples.shift();
			}

			const passes = view.pass - samples[0].pass;
			if (passes < leastPasses) {
				return;
			}

			passMs = (nowMs - samples[0].atMs) / passes;
			const predicted = samples.reduce((sum, sample) => sum + sample.predictedMs, 0) / samples.length;
			const ratio = Math.min(mostApart, Math.max(1 / mostApart, passMs / predicted));
			slowdown += (ratio - slowdown) * weight;
		},
		slowdown: () => slowdown,
		passMs: () => passMs,
	};
}

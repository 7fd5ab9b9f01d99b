import {spreadExperts, type LayerLoad} from '@papayaflow/policy';
import {seededRandom} from '@papayaflow/standins';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {planInSlices} from '../src/planning.js';

const [ranks, layers, experts] = [64, 12, 256];
const options = {
	slotsPerRank: 5, maxNewPerLayer: 2, maxNewPerRank: 2, goodSkew: 1.08, leastGain: 0.05,
};

function skewedLayers(): readonly LayerLoad[] {
	const random = seededRandom(3);
	return Array.from({length: layers}, () => {
		const weights = Array.from({length: experts}, () => random() ** 6);
		const sum = weights.reduce((total, weight) => total + weight, 0);
		return {
			placement: Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, i) => rank + (i * ranks))),
			shares: weights.map(weight => weight / sum),
		};
	});
}

describe('planInSlices', () => {
	// Guards against plans for large groups that keep the placements of requests waiting. Each reading of the clock takes a millisecond here, as a step of the plan does.
	it('lets other work run every few steps and returns the same plan', async () => {
		const otherWorkMs = 50;
		let nowMs = 0;
		let turnStartMs = 0;
		const turnsMs: number[] = [];
		const {spreads: [spread], workMs} = await planInSlices(skewedLayers(), {...options, newPerRankLimits: [options.maxNewPerRank]}, () => false, {
			nowMs: () => nowMs++,
			async yieldTurn() {
				turnsMs.push(nowMs - turnStartMs);
				nowMs += otherWorkMs;
				turnStartMs = nowMs;
			},
		});
		expect(spread).to.deep.equal(spreadExperts(skewedLayers(), options));
		expect(spread.copies).to.be.above(64);
		expect(turnsMs.length).to.be.above(10);
		expect(Math.max(...turnsMs)).to.be.at.most(6);
		expect(workMs, 'own work').to.be.at.most(nowMs - (otherWorkMs * turnsMs.length));
	});
});

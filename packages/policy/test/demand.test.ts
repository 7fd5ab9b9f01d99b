import process from 'node:process';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createSubjectDemand, seededRandom} from '@papayaflow/standins';
import {createDemandEstimator, type DemandEstimator} from '@papayaflow/policy';

/** A group whose ranks report counts, with the time between two reports of a rank and the tokens of a stream in one report. */
type GroupShape = {
	readonly name: string;
	readonly ranks: number;
	readonly layers: number;
	readonly experts: number;
	readonly slots: number;
	readonly reportMs: number;
	readonly picksPerStream: number;
};

const shapes: readonly GroupShape[] = [
	{
		name: '12 ranks, 3 layers of 96 experts', ranks: 12, layers: 3, experts: 96, slots: 8, reportMs: 190, picksPerStream: 700,
	},
	{
		name: '12 ranks with one stream each', ranks: 12, layers: 3, experts: 96, slots: 1, reportMs: 190, picksPerStream: 700,
	},
	{
		name: '24 ranks, 16 layers of 96 experts', ranks: 24, layers: 16, experts: 96, slots: 7, reportMs: 770, picksPerStream: 700,
	},
	{
		name: '45 ranks, 12 layers of 256 experts', ranks: 45, layers: 12, experts: 256, slots: 4, reportMs: 1540, picksPerStream: 700,
	},
	{
		name: '64 ranks, 12 layers of 256 experts', ranks: 64, layers: 12, experts: 256, slots: 4, reportMs: 1540, picksPerStream: 700,
	},
];

const windowMs = 190;

/** How long a stream keeps its slot, in milliseconds. */
const streamMs = 2000;

type Shift = {readonly atMs: number; readonly layers: number};

/** Plays reports of a group for `lengthMs` and returns when layers were found to have shifted, and how many. */
function playReports(shape: GroupShape, seed: number, {lengthMs, shiftsMs}: {readonly lengthMs: number; readonly shiftsMs: readonly number[]}): readonly Shift[] {
	const random = seededRandom(seed);
	const {ranks, layers, experts, slots, reportMs, picksPerStream} = shape;
	const demand = createSubjectDemand({layers, experts}, random);
	// Streams begin and end at different times, so that reports of a rank that follow each other have most streams in common.
	const streams = Array.from({length: ranks * slots}, () => ({subject: demand.drawSubject(), endMs: random() * streamMs}));
	const estimator = createDemandEstimator({layers, experts});
	const found: Shift[] = [];
	const nextReportMs = Array.from({length: ranks}, () => random() * reportMs);
	const pendingShiftsMs = [...shiftsMs];
	for (let nowMs = 0; nowMs < lengthMs; nowMs += 10) {
		if (nowMs >= pendingShiftsMs[0]) {
			pendingShiftsMs.shift();
			demand.shift();
		}

		for (let rank = 0; rank < ranks; rank++) {
			if (nowMs < nextReportMs[rank]) {
				continue;
			}

			nextReportMs[rank] = nowMs + (reportMs * (0.75 + (random() / 2)));
			const mix = new Float64Array(demand.subjects);
			for (const stream of streams.slice(rank * slots, (rank + 1) * slots)) {
				// A new stream's prompt has many more tokens than a stream has in one report.
				const isNew = nowMs >= stream.endMs;
				if (isNew) {
					stream.subject = demand.drawSubject();
					stream.endMs = nowMs + (streamMs * (0.5 + random()));
				}

				mix[stream.subject] += picksPerStream * (isNew ? 40 : 1);
			}

			estimator.add(demand.sampleCounts(mix));
		}

		if (nowMs % windowMs === 0 && estimator.hasCounts()) {
			const shiftedLayers = estimator.endWindow(nowMs).filter(({shiftedAtMs}) => shiftedAtMs === nowMs).length;
			if (shiftedLayers > 0) {
				found.push({atMs: nowMs, layers: shiftedLayers});
			}
		}
	}

	return found;
}

const seeds = Array.from({length: Number(process.env.DEMAND_SEEDS ?? 2)}, (_, index) => index + 1);

describe('the demand estimate', () => {
	const settle = (estimator: DemandEstimator, counts: readonly number[], nowMs: number): ReturnType<DemandEstimator['endWindow']> => {
		estimator.add(counts);
		return estimator.endWindow(nowMs);
	};

	it('averages reports while the demand is stable and adopts a shift at once', () => {
		const estimator = createDemandEstimator({layers: 1, experts: 4});
		settle(estimator, [40, 20, 20, 20], 0);
		const [stable] = settle(estimator, [44, 16, 20, 20], 100);
		expect(stable.shares[0]).to.be.closeTo(0.42, 0.001);
		expect(stable.shiftedAtMs).to.equal(0);
		const [next] = settle(estimator, [10, 16, 20, 54], 200);
		expect(next.shares[3]).to.be.closeTo(0.54, 0.001);
		expect(next.shiftedAtMs).to.equal(200);
	});

	it('ignores a report without counts or with another number of experts', () => {
		const estimator = createDemandEstimator({layers: 1, experts: 2});
		const before = settle(estimator, [3, 1], 0);
		estimator.add([0, 0]);
		estimator.add([1, 2, 3]);
		expect(estimator.hasCounts()).to.equal(false);
		expect(estimator.endWindow(50)).to.deep.equal(before);
	});

	it('gives a report of a long prompt about the weight of any other', () => {
		const estimator = createDemandEstimator({layers: 1, experts: 2});
		for (let report = 0; report < 20; report++) {
			estimator.add([50, 50]);
		}

		estimator.add([9000, 1000]);
		expect(estimator.endWindow(0)[0].shares[0]).to.be.below(0.56);
	});

	for (const shape of shapes) {
		// Guards against a fixed bound on the change of a share, which no expert of a large layer reaches: maps were planned for demand that was gone.
		it(`notices each shift within two windows, with ${shape.name}`, () => {
			for (const seed of seeds) {
				const shiftsMs = Array.from({length: 6}, (_, index) => 3000 + (index * 3600) + (seed * 37 % windowMs));
				const found = playReports(shape, seed, {lengthMs: shiftsMs.at(-1)! + 1000, shiftsMs});
				for (const shiftMs of shiftsMs) {
					const nextWindowMs = Math.ceil(shiftMs / windowMs) * windowMs;
					const notice = found.find(({atMs}) => atMs > shiftMs);
					expect(notice?.atMs, `seed ${seed}, shift at ${shiftMs}`).to.be.at.most(nextWindowMs + (2 * windowMs));
				}
			}
		}).timeout(120_000);

		it(`sees less than one shift a minute where there is none, with ${shape.name}`, () => {
			const minutes = 0.5;
			const found = seeds.map(seed => playReports(shape, seed + 100, {lengthMs: minutes * 60_000, shiftsMs: []}).slice(1));
			expect(found.flat().length / (minutes * seeds.length), JSON.stringify(found)).to.be.below(1);
		}).timeout(120_000);
	}

	// Guards against a first map that follows the mix of a few requests, and against one that stays with a demand that has passed.
	it('keeps restored shares while reports agree with them, and replaces them within two windows otherwise', () => {
		const [layers, experts] = [4, 96];
		const random = seededRandom(5);
		const demand = createSubjectDemand({layers, experts}, random);
		const evenMix = Array.from({length: demand.subjects}, () => 1);
		const distance = (estimator: DemandEstimator): number => {
			const estimated = estimator.demands().flatMap(({shares}) => shares);
			return demand.shares(evenMix).flat().reduce((sum, share, index) => sum + Math.abs(share - estimated[index]), 0);
		};

		const addWindow = (estimator: DemandEstimator, nowMs: number): void => {
			for (let report = 0; report < 6; report++) {
				const picks = Array.from({length: demand.subjects}, () => 0);
				for (let stream = 0; stream < 7; stream++) {
					picks[demand.drawSubject()] += 700;
				}

				estimator.add(demand.sampleCounts(picks));
			}

			estimator.endWindow(nowMs);
		};

		const [restored, fresh] = [createDemandEstimator({layers, experts}), createDemandEstimator({layers, experts})];
		restored.restore(demand.shares(evenMix));
		for (const [index, estimator] of [restored, fresh].entries()) {
			addWindow(estimator, 1000 + index);
		}

		expect(distance(restored)).to.be.below(distance(fresh) * 0.7);
		expect(restored.demands().every(({shiftedAtMs}) => shiftedAtMs === undefined), 'no shift without one').to.equal(true);

		const outdated = createDemandEstimator({layers, experts});
		outdated.restore(demand.shares(evenMix));
		demand.shift();
		demand.shift();
		const before = distance(outdated);
		addWindow(outdated, 1000);
		addWindow(outdated, 1190);
		expect(outdated.demands().every(({shiftedAtMs}) => shiftedAtMs !== undefined), 'all layers shifted').to.equal(true);
		expect(distance(outdated)).to.be.below(before / 2);
	});
});

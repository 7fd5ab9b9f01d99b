import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createSubjectDemand, seededRandom} from '@papayaflow/standins';
import {
	createDemandTracker, createDemandWriter, decodeDemand, encodeDemand, maxDemandBytes, type DemandRecord, type KnownDemand,
} from '@papayaflow/group';

const wallMs = 1_800_000_000_000;

const demandOf = (layers: number, experts: number): KnownDemand => ({
	shares: createSubjectDemand({layers, experts}, seededRandom(3)).shares([1, 1, 1, 1, 1, 1, 1, 1, 1]), meanShiftIntervalMs: 3600, meanLayerShiftIntervalMs: undefined,
});

describe('the record of a demand in the store', () => {
	it('keeps each share within a twentieth of the mean share, in at most 6 KB', () => {
		for (const [layers, experts] of [[3, 96], [16, 96], [12, 256]]) {
			const demand = demandOf(layers, experts);
			const record = encodeDemand(demand, wallMs)!;
			const decoded = decodeDemand(record, {layers, experts}, wallMs + 2500)!;
			expect(record.length).to.be.at.most(maxDemandBytes);
			expect([decoded.ageMs, decoded.meanShiftIntervalMs, decoded.meanLayerShiftIntervalMs]).to.deep.equal([2500, 3600, undefined]);
			const differences = decoded.shares.flatMap((layer, index) => layer.map((share, expert) => Math.abs(share - demand.shares[index][expert])));
			expect(Math.max(...differences)).to.be.below(1 / experts / 20);
		}
	});

	// Guards against a first map that is planned from a demand that no longer holds, or from foreign content of the key.
	it('is ignored if it is old, of other sizes, cut off or no record', () => {
		const sizes = {layers: 3, experts: 96};
		const record = encodeDemand(demandOf(3, 96), wallMs)!;
		const decode = (bytes: Uint8Array, atMs = wallMs, of = sizes): DemandRecord | undefined => decodeDemand(bytes, of, atMs);
		expect(decode(record, wallMs + 59_000)).to.not.equal(undefined);
		expect(decode(record, wallMs + 61_000)).to.equal(undefined);
		expect(decode(record, wallMs - 61_000)).to.equal(undefined);
		expect(decode(record, wallMs, {layers: 96, experts: 3})).to.equal(undefined);
		expect(decode(record.subarray(0, 100))).to.equal(undefined);
		expect(decode(new Uint8Array(record.length))).to.equal(undefined);
		expect(decode(new Uint8Array(0))).to.equal(undefined);
	});

	it('is not written if it would be longer than 6 KB', () => {
		expect(encodeDemand(demandOf(24, 256), wallMs)).to.equal(undefined);
	});
});

describe('the writer of a demand', () => {
	const sizes = {layers: 16, experts: 96};
	const play = async (groups: number, shiftMs: number, countsUntilMs = Number.POSITIVE_INFINITY): Promise<number[]> => {
		const tracker = createDemandTracker(sizes);
		const demand = createSubjectDemand({...sizes}, seededRandom(4));
		const writtenMs: number[] = [];
		let nowMs = 0;
		const writeDemand = createDemandWriter({
			tracker, groups: () => groups, nowMs: () => nowMs, wallMs: () => wallMs + nowMs,
			async write() {
				writtenMs.push(nowMs);
			},
		});
		for (; nowMs < 100_000; nowMs += 200) {
			if (nowMs % shiftMs === 0) {
				demand.shift();
			}

			if (nowMs < countsUntilMs) {
				tracker.addCounts(demand.sampleCounts([700, 700, 700, 700, 700, 700, 700, 700, 700]));
				tracker.settle(nowMs);
			}

			if (nowMs % 1000 === 0) {
				await writeDemand();
			}
		}

		return writtenMs;
	};

	it('writes at most every 5 s while the demand shifts, and less often in a service of many groups', async () => {
		const [few, many] = [await play(1, 2000), await play(12, 2000)];
		const shortest = (writtenMs: readonly number[]): number => Math.min(...writtenMs.slice(1).map((ms, index) => ms - writtenMs[index]));
		expect(few.length).to.be.within(10, 21);
		expect(shortest(few)).to.be.at.least(5000);
		// 1557 bytes of 12 groups, as base64, at 1 KB/s.
		expect(shortest(many)).to.be.at.least(24_000);
	});

	it('writes an unchanged demand again before its record is too old, and nothing without counts', async () => {
		expect((await play(1, 1_000_000)).length).to.be.within(3, 5);
		expect((await play(1, 1_000_000, 10_000)).length).to.be.at.most(2);
	});
});

import {expect} from 'chai';
import * as fc from 'fast-check';
import {describe, it} from 'mocha';
import {createBodyBuffers} from '@papayaflow/caller';

// Guards against bodies that fill the memory together, although each is as short as the configuration asks.
describe('the bytes of the bodies that an entry holds', () => {
	it('never exceed their limit, and are free again when a call has ended', () => {
		fc.assert(fc.property(fc.array(fc.record({body: fc.nat({max: 7}), bytes: fc.option(fc.nat({max: 400}))}), {maxLength: 100}), steps => {
			const limit = 1000;
			const buffers = createBodyBuffers(limit, () => 0);
			const heldBytes = Array.from({length: 8}, () => 0);
			const bodies = heldBytes.map(() => buffers.open());
			for (const {body, bytes} of steps) {
				const total = heldBytes.reduce((sum, held) => sum + held, 0);
				if (bytes === null) {
					bodies[body].release();
					expect(bodies[body].add(1), 'after its call has ended').to.equal(false);
					bodies[body] = buffers.open();
					heldBytes[body] = 0;
				} else if (bodies[body].add(bytes)) {
					heldBytes[body] += bytes;
					expect(total + bytes).to.be.at.most(limit);
				} else {
					expect(total + bytes).to.be.above(limit);
				}
			}
		}), {seed: 37, numRuns: 500});
	});

	// Guards against callers that stop short of the end of their bodies, and for whom all others are refused until their deadlines.
	it('are those of bodies that arrive fast: over the limit, the slowest one that has been arriving for a second gives way', () => {
		let nowMs = 0;
		const buffers = createBodyBuffers(1000, () => nowMs);
		const evicted: string[] = [];
		const open = (name: string, bytes: number) => {
			const body = buffers.open();
			body.beginArrival(() => {
				evicted.push(name);
			});
			expect(body.add(bytes), name).to.equal(true);
			return body;
		};

		const whole = open('whole', 100);
		whole.endArrival();
		open('slow', 300);
		const fast = open('fast', 500);
		nowMs = 900;
		const early = buffers.open();
		expect(early.add(200), 'before a second has passed').to.equal(false);
		nowMs = 1100;
		open('next', 200);
		expect(evicted).to.deep.equal(['slow']);
		expect(buffers.bytes()).to.equal(800);
		expect(fast.add(300), 'itself is not given up').to.equal(false);
		expect(whole.add(200)).to.equal(true);
	});
});

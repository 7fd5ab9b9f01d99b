import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createTicker} from '@papayaflow/peer';

describe('the ticker of a process', () => {
	// Guards against one faulty check that ends the heartbeats of all connections.
	it('calls all checks although one of them throws', async () => {
		const errors: unknown[] = [];
		const ticker = createTicker(error => errors.push(error));
		let calls = 0;
		const stops = [
			ticker.add(() => {
				throw new Error('faulty');
			}),
			ticker.add(() => {
				calls++;
			}),
		];
		await sleep(600);
		for (const stop of stops) {
			stop();
		}

		expect(calls).to.be.at.least(2);
		expect(errors).to.have.length(calls);
	});
});

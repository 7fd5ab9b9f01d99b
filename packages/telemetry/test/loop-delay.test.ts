import {setTimeout as sleep} from 'node:timers/promises';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createLog, createMetrics, sampleLoopDelay} from '@papayaflow/telemetry';

describe('event loop sampling', () => {
	it('records the time for which the event loop was blocked', async () => {
		const metrics = createMetrics();
		const sampling = new AbortController();
		sampleLoopDelay({
			metrics, log: createLog({}, 'error'), monotonicMs: () => performance.now(), signal: sampling.signal,
		});
		await sleep(50);
		const endMs = performance.now() + 600;
		while (performance.now() < endMs) {
			// Blocks the event loop.
		}

		await sleep(20);
		sampling.abort();
		expect(metrics.quantileMs('event_loop_delay', 1)).to.be.greaterThan(250);
	});
});

import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createBufferCollector} from '@papayaflow/inbound';

// Guards against a process that exceeds the memory of its machine with buffers that it no longer uses.
describe('the collector of buffers', () => {
	it('keeps the bytes of buffers that are no longer used below a part of a small machine\'s memory', () => {
		const onAllocated = createBufferCollector();
		const before = process.memoryUsage().arrayBuffers;
		let most = 0;
		for (let count = 0; count < 8000; count++) {
			const {length} = Buffer.allocUnsafeSlow(65_536);
			onAllocated(length);
			most = Math.max(most, process.memoryUsage().arrayBuffers - before);
		}

		expect(most).to.be.at.most(48 * 1_048_576);
	});

	it('does so too with buffers that were in use for some time', () => {
		const onAllocated = createBufferCollector();
		const before = process.memoryUsage().arrayBuffers;
		const used: Uint8Array[] = [];
		let most = 0;
		for (let count = 0; count < 8000; count++) {
			used[count % 768] = Buffer.allocUnsafeSlow(65_536);
			onAllocated(65_536);
			most = Math.max(most, process.memoryUsage().arrayBuffers - before);
		}

		expect(most).to.be.at.most((48 + 48) * 1_048_576);
	});
});

import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createLineSink} from '../src/sink.js';

describe('line sink', () => {
	const createTestSink = (clock: {nowMs: number}): {lines: string[]; write: (line: string, isUrgent?: boolean) => void} => {
		const lines: string[] = [];
		const sink = createLineSink({writer: {write: text => lines.push(text)}, nowMs: () => clock.nowMs});
		return {
			lines,
			write(line, isUrgent = false) {
				sink.write(line, isUrgent);
			},
		};
	};

	it('drops lines beyond the burst limit and reports their number before the next line it writes', () => {
		const clock = {nowMs: 0};
		const {lines, write} = createTestSink(clock);
		for (let i = 0; i < 2000; i++) {
			write('{}');
		}

		expect(lines).to.have.length(1200);
		clock.nowMs = 1000;
		write('{"a":1}');
		expect(lines.slice(1200)).to.deep.equal(['{"message":"log lines dropped","dropped":800}\n', '{"a":1}\n']);
	});

	it('writes urgent lines beyond the burst limit', () => {
		const {lines, write} = createTestSink({nowMs: 0});
		for (let i = 0; i < 1300; i++) {
			write('{}');
		}

		write('{"error":1}', true);
		expect(lines.at(-1)).to.equal('{"error":1}\n');
	});
});

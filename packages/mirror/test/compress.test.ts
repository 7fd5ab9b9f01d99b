import {Buffer} from 'node:buffer';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {compressEntry, expandEntry} from '@papayaflow/mirror';

const entryOf = (value: string): {key: string; value: Uint8Array; revision: number} => ({key: 'op/config', value: Buffer.from(value), revision: 7});

describe('the copy of an entry', () => {
	// Load pattern: a configuration of 250 to 1,500 routes changes, and every process copies it over links that carry streams. Uncompressed copies delayed the events of streams at all entries.
	it('takes at most a fifth of the bytes of a configuration with hundreds of routes', () => {
		const routes = Array.from({length: 250}, (_, index) => ({
			name: `r-${(index * 7919).toString(36)}`, host: `ficu${index % 9}.example`, prefix: `/pufi${index * 31}/`, route_kind: 'streaming', timeout_ms: 8000, target_latency_ms: 503, priority: 1,
			service: 'huvo11a', max_attempts: 2, public: false, sticky: true, resumable: true, target_gap_ms: 150,
		}));
		const entry = entryOf(JSON.stringify({version: 7, routes}));
		const copied = compressEntry(entry);
		expect(copied.value.length).to.be.below(entry.value.length / 5);
		expect(expandEntry(copied)).to.deep.equal(entry);
	});

	it('passes on what it received without compressing it again', () => {
		const copied = compressEntry(entryOf('a'.repeat(10_000)));
		const expanded = expandEntry({...copied})!;
		expect(compressEntry(expanded).value).to.equal(copied.value);
	});

	it('leaves a short value as it is', () => {
		const entry = entryOf('{"service":"llm"}');
		expect(compressEntry(entry)).to.equal(entry);
		expect(expandEntry(entry)).to.equal(entry);
	});

	// Guards against a process that ends because a peer sent bytes that can't be expanded, or few bytes that expand to very many.
	it('is given up if its value can not be expanded or is longer than 8 MB', () => {
		expect(expandEntry({...entryOf('no deflate stream'), encoding: 'deflate'})).to.equal(undefined);
		expect(expandEntry(compressEntry(entryOf('a'.repeat(9_000_000))))).to.equal(undefined);
		expect(expandEntry({...entryOf('x'), encoding: 'other' as 'deflate'})).to.equal(undefined);
	});
});

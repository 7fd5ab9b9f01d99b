import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {encodeFrame, frameKinds, type Frame} from '@papayaflow/peer';
import {expect} from 'chai';
import * as fc from 'fast-check';
import {
	after, before, describe, it,
} from 'mocha';
import {loadSite, startSite, type Site} from './site.js';

const fields = [
	'id', 'ask', 'notice', 'stream', 'streams', 'load', 'formation', 'unit', 'counts', 'guarded', 'after', 'changedAt', 'copy', 'target', 'perSecond', 'seen', 'limit', 'suspicions', 'isNear', 'everyMs', 'role', 'instance',
];

const oddValue = fc.oneof(fc.jsonValue({maxDepth: 3}), fc.double(), fc.constantFrom(null, undefined, -1, 1e308, Number.NaN, [], {}, {kind: 'prepare'}, {entries: [{}], keys: [7], revision: 'x'}));

const oddFrame = fc.record({kind: fc.constantFrom(...frameKinds)}).chain(({kind}) => fc.dictionary(fc.constantFrom(...fields), oddValue, {maxKeys: 4}).map(rest => ({kind, ...rest}) as unknown as Frame));

const helloOf = (role: 'entry' | 'sidecar'): Frame => ({
	kind: 'hello', version: 1, role, instance: 'odd', incarnation: 'x', zone: 'z', sentMs: 0,
});

// Guards against a frame that ends the process which receives it; it costs only its connection.
describe('a sidecar that gets odd frames', () => {
	let site: Site;

	before(async () => {
		site = await startSite({entries: 1, ranks: 3, plains: 1});
	});

	after(async () => {
		await site.stop();
	});

	it('runs on and coordinates its group', async () => {
		const frames = fc.sample(oddFrame, {numRuns: 400, seed: 37});
		for (const [index, frame] of frames.entries()) {
			const {child, port} = site.sidecars[index % site.sidecars.length];
			const socket = connect({host: child.spawnargs[child.spawnargs.indexOf('--address') + 1], port});
			socket.on('error', () => undefined);
			await once(socket, 'connect');
			socket.write(encodeFrame(helloOf(index % 2 === 0 ? 'entry' : 'sidecar')));
			socket.write(encodeFrame(frame));
			socket.end(new Uint8Array(index % 3 === 0 ? [0, 0, 0, 9, 0xFF] : []));
			socket.resume();
		}

		await sleep(1500);
		for (const {name, child} of site.sidecars) {
			expect(child.exitCode, name).to.equal(null);
		}

		const results = await loadSite(site, 'model', {perSecond: 30, ms: 1000});
		expect(results.filter(({status}) => status !== 200)).to.deep.equal([]);
	}).timeout(30_000);
});

import {applyChanges, mapInTurn, type LayeredMap} from '@papayaflow/experts';
import {encodeFrame, type MapUpdate, type Peer} from '@papayaflow/peer';
import {seededRandom} from '@papayaflow/standins';
import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {createMapReceiver, createMapSender} from '../src/map-transfer.js';

const peerOf = (instance: string): Peer => ({
	hello: {
		kind: 'hello', version: 1, role: 'sidecar', instance, incarnation: 'x', zone: 'z', sentMs: 0,
	},
	host: '', send: () => undefined, close: () => undefined,
});

const [layers, ranks, expertsPerLayer] = [12, 64, 256];

/** Replaces one expert of `count` ranks. */
function changeMap(map: LayeredMap, count: number, random: () => number): LayeredMap {
	const next = map.map(layer => [...layer]);
	for (let i = 0; i < count; i++) {
		const [layer, rank] = [Math.floor(random() * layers), Math.floor(random() * ranks)];
		const expert = Math.floor(random() * expertsPerLayer);
		if (!next[layer][rank].includes(expert)) {
			next[layer][rank] = [...next[layer][rank].slice(1), expert].toSorted((a, b) => a - b);
		}
	}

	return next;
}

const sizeOf = (update: MapUpdate): number => encodeFrame({
	kind: 'command', id: 1, guarded: {fencingToken: 1, formation: 1, command: {kind: 'prepare', version: 2, map: update}},
}).length;

describe('the transfer of maps', () => {
	it('yields the sent map after any sequence of maps, also when the connection is replaced', () => {
		fc.assert(fc.property(fc.integer(), fc.array(fc.record({count: fc.integer({min: 0, max: 80}), isNewConnection: fc.boolean()}), {maxLength: 8}), (seed, steps) => {
			const random = seededRandom(seed);
			const [{describe: send}, receive] = [createMapSender(), createMapReceiver()];
			let map = mapInTurn({layers, ranks, expertsPerLayer});
			let [there, here] = [peerOf('rank'), peerOf('coordinator')];
			for (const {count, isNewConnection} of steps) {
				if (isNewConnection) {
					[there, here] = [peerOf('rank'), peerOf('coordinator')];
				}

				map = changeMap(map, count, random);
				expect(receive(here, send(there, map))).to.deep.equal(map);
			}
		}), {numRuns: 20, seed: 5});
	});

	// Guards against a map that a rank derives from another one than its coordinator: it would be prepared under the same version as the right map.
	it('yields no map that the sender does not have, and the whole map once the sender has been told', () => {
		const random = seededRandom(3);
		const [{describe: send, forget}, receive] = [createMapSender(), createMapReceiver()];
		const [there, here] = [peerOf('rank'), peerOf('coordinator')];
		const first = changeMap(mapInTurn({layers, ranks, expertsPerLayer}), 20, random);
		const second = changeMap(first, 20, random);
		expect(receive(here, send(there, first))).to.deep.equal(first);
		receive(here, createMapSender().describe(peerOf('other'), changeMap(first, 5, random)));
		expect(receive(here, send(there, second)), 'after another map on the connection').to.equal(undefined);
		forget(there);
		expect(receive(here, send(there, second)), 'sent again').to.deep.equal(second);
	});

	// Load pattern: ranks that are still armed refuse the next map, which is sent to each of them every few milliseconds.
	it('takes hardly any bytes for a map that is sent again', () => {
		const {describe: send} = createMapSender();
		const peer = peerOf('rank');
		const map = changeMap(mapInTurn({layers, ranks, expertsPerLayer}), 100, seededRandom(1));
		send(peer, map);
		expect(sizeOf(send(peer, map))).to.be.below(200);
	});

	// Load pattern: the map of 64 ranks with 12 layers changes every few seconds, and each rank gets it over one link of 4 Mbit/s.
	it('takes at most a fifth of a second of such a link for a change of a hundred experts', () => {
		const random = seededRandom(1);
		const {describe: send} = createMapSender();
		const map = changeMap(mapInTurn({layers, ranks, expertsPerLayer}), 100, random);
		const peers = Array.from({length: ranks}, (_, rank) => peerOf(`rank-${rank}`));
		const bytes = peers.map(peer => sizeOf(send(peer, map))).reduce((a, b) => a + b, 0);
		expect(bytes).to.be.at.most(4_200_000 / 8 / 5);
	});

	it('reports a description that does not fit, and takes the next whole one', () => {
		const receive = createMapReceiver();
		const peer = peerOf('coordinator');
		expect(receive(peer, {base: 'previous', changes: []}), 'nothing before').to.equal(undefined);
		for (const changes of [[9, 0, 0, 0], [0, 9, 0, 0], [0, 0, 5, 1], [0, 0]]) {
			expect(applyChanges(mapInTurn({layers: 1, ranks: 2, expertsPerLayer: 4}), changes), String(changes)).to.equal(undefined);
		}

		const wholeMap = [[[0], [1]]] as unknown as MapUpdate;
		const hugeMap: MapUpdate = {
			base: 'inTurn', layers: 1e9, ranks: 1, expertsPerLayer: 1, changes: [],
		};
		expect([receive(peer, wholeMap), receive(peer, hugeMap)], 'of another shape').to.deep.equal([undefined, undefined]);
		expect(receive(peer, {
			base: 'inTurn', layers: 1, ranks: 2, expertsPerLayer: 3, changes: [0, 1, 1, 2, 0],
		})).to.deep.equal([[[0, 2], [1, 2]]]);
	});
});

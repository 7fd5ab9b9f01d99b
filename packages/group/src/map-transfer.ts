import {createHash} from 'node:crypto';
import {
	applyChanges, changesBetween, mapInTurn, sortedMap, type LayeredMap, type MapChanges,
} from '@papayaflow/experts';
import {type MapUpdate, type Peer} from '@papayaflow/peer';

export type MapSender = {
	readonly describe: (peer: Peer, map: LayeredMap) => MapUpdate;
	readonly forget: (peer: Peer) => void;
};

/**
Creates the function that describes a map to a peer by its differences to the last map
sent on the same connection, or to the map in turn if it is the first one. The frames of
a connection arrive in order or not at all, so the peer has that map. A whole map has
thousands of numbers, and one for each rank would fill the link of the coordinator, over
which it also places requests.

A process needs one sender for all its connections, since the peer has one last map for
each. `forget` makes the next map on a connection a whole one, for a peer that has not
understood the last.

Load pattern: the expert map of a group of dozens of ranks changes every few seconds.

@example
const {describe} = createMapSender();
peer.send({kind: 'command', id, guarded: {...guarded, command: {kind: 'prepare', version, map: describe(peer, map)}}});
*/
export function createMapSender(): MapSender {
	const sent = new WeakMap<Peer, LayeredMap>();
	const digestOf = createMapDigest();
	/** The last result, since most ranks get the same one. */
	let last: {readonly base: LayeredMap; readonly map: LayeredMap; readonly changes: MapChanges} | undefined;
	let inTurn: {readonly map: LayeredMap; readonly layers: number; readonly ranks: number; readonly expertsPerLayer: number} | undefined;

	const changesOf = (base: LayeredMap, map: LayeredMap): MapChanges => {
		if (last?.base !== base || last.map !== map) {
			last = {base, map, changes: changesBetween(base, map)};
		}

		return last.changes;
	};

	const describe = (peer: Peer, map: LayeredMap): MapUpdate => {
		const base = sent.get(peer);
		sent.set(peer, map);
		const digest = digestOf(map);
		if (base?.length === map.length && base[0].length === map[0].length) {
			return {base: 'previous', changes: changesOf(base, map), digest};
		}

		const [layers, ranks, expertsPerLayer] = [map.length, map[0].length, 1 + Math.max(...map[0].flat())];
		if (inTurn?.layers !== layers || inTurn.ranks !== ranks || inTurn.expertsPerLayer !== expertsPerLayer) {
			const shape = {layers, ranks, expertsPerLayer};
			inTurn = {...shape, map: mapInTurn(shape)};
		}

		return {
			base: 'inTurn', layers, ranks, expertsPerLayer, changes: changesOf(inTurn.map, map), digest,
		};
	};

	return {
		describe,
		forget(peer) {
			sent.delete(peer);
		},
	};
}

/**
Creates the function that returns the map that a peer describes; `undefined` if its
description doesn't fit the last map from that connection or leads to another map than the
peer has. The lists of experts are sorted.

@example
const readMap = createMapReceiver();
const map = readMap(peer, update);
*/
export function createMapReceiver(): (peer: Peer, update: MapUpdate) => LayeredMap | undefined {
	const received = new WeakMap<Peer, LayeredMap>();
	const digestOf = createMapDigest();
	return (peer, update) => {
		const base = isMapUpdate(update) ? (update.base === 'previous' ? received.get(peer) : mapInTurn(update)) : undefined;
		const map = base && applyChanges(base, update.changes);
		if (!map || (update.digest !== undefined && update.digest !== digestOf(map))) {
			received.delete(peer);
			return undefined;
		}

		received.set(peer, map);
		return map;
	};
}

/** Creates a function that returns a digest of a map, computed once for each map. Equal maps have equal digests, in whichever order they list the experts. */
function createMapDigest(): (map: LayeredMap) => string {
	const digests = new WeakMap<LayeredMap, string>();
	return map => {
		const known = digests.get(map) ?? createHash('sha1').update(JSON.stringify(sortedMap(map))).digest('base64');
		digests.set(map, known);
		return known;
	};
}

/** Whether a value from a peer has the shape of an update. A sidecar of an earlier version sends a whole map in its place. */
function isMapUpdate(value: MapUpdate): boolean {
	const isCount = (count: unknown): boolean => Number.isInteger(count) && (count as number) > 0 && (count as number) <= maxMapDimension;
	return Array.isArray(value.changes) && (value.base === 'previous' || (value.base === 'inTurn' && isCount(value.layers) && isCount(value.ranks) && isCount(value.expertsPerLayer)));
}

/** The largest number of layers, ranks or experts that a description may state, so that a malformed one fills no memory. */
const maxMapDimension = 4096;

/** Creates a function that returns `sortedMap` of a map, computed once for each map. */
export function createMapSorter(): (map: LayeredMap) => LayeredMap {
	const sorted = new WeakMap<LayeredMap, LayeredMap>();
	return map => {
		const known = sorted.get(map) ?? sortedMap(map);
		sorted.set(map, known);
		return known;
	};
}

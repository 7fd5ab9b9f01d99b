import {Buffer} from 'node:buffer';
import {maxDemandAgeMs, type DemandSizes} from './demand-memory.js';
import {type KnownDemand} from './demand-tracker.js';

/** The longest record that is written, in bytes. Every process that watches the store receives it. */
export const maxDemandBytes = 6144;

const formatVersion = 1;
const headerBytes = 21;
const maxByte = 255;

/**
Encodes the demand of a group for the store: the format version, the number of layers and
of experts, the wall time, the mean intervals between shifts (0 for unknown ones), then a byte for
each expert, the square root of its share relative to the largest one of its layer. Returns
`undefined` if the record would be longer than `maxDemandBytes`.

@example
const bytes = encodeDemand(tracker.known(), Date.now());
*/
export function encodeDemand({shares, meanShiftIntervalMs = 0, meanLayerShiftIntervalMs = 0}: KnownDemand, wallMs: number): Uint8Array | undefined {
	const [layers, experts] = [shares.length, shares[0].length];
	if (headerBytes + (layers * experts) > maxDemandBytes) {
		return undefined;
	}

	const record = Buffer.alloc(headerBytes + (layers * experts));
	record.writeUInt8(formatVersion, 0);
	record.writeUInt16BE(layers, 1);
	record.writeUInt16BE(experts, 3);
	record.writeDoubleBE(wallMs, 5);
	record.writeUInt32BE(Math.round(meanShiftIntervalMs), 13);
	record.writeUInt32BE(Math.round(meanLayerShiftIntervalMs), 17);
	for (const [layer, layerShares] of shares.entries()) {
		const largest = Math.max(...layerShares);
		record.set(layerShares.map(share => Math.round(maxByte * Math.sqrt(share / largest))), headerBytes + (layer * experts));
	}

	return record;
}

/** A demand from the store, with the time since it was written, in milliseconds. */
export type DemandRecord = KnownDemand & {readonly ageMs: number};

/**
Decodes the demand of a group from the store. Returns `undefined` if it is of other
sizes or another format, or if its wall time differs by more than 60 s from the present one.

@example
const known = decodeDemand(bytes, {layers: 3, experts: 96}, Date.now());
*/
export function decodeDemand(bytes: Uint8Array, {layers, experts}: DemandSizes, wallMs: number): DemandRecord | undefined {
	if (bytes.length !== headerBytes + (layers * experts)) {
		return undefined;
	}

	const record = Buffer.from(bytes);
	const ageMs = wallMs - record.readDoubleBE(5);
	if (record.readUInt8(0) !== formatVersion || record.readUInt16BE(1) !== layers || record.readUInt16BE(3) !== experts || !(Math.abs(ageMs) <= maxDemandAgeMs)) {
		return undefined;
	}

	const shares = Array.from({length: layers}, (_, layer) => {
		const squares = Array.from(record.subarray(headerBytes + (layer * experts), headerBytes + ((layer + 1) * experts)), byte => byte * byte);
		const sum = squares.reduce((total, square) => total + square, 0);
		return squares.map(square => square / sum);
	});
	if (shares.some(([first]) => Number.isNaN(first))) {
		return undefined;
	}

	return {
		shares, ageMs, meanShiftIntervalMs: record.readUInt32BE(13) || undefined, meanLayerShiftIntervalMs: record.readUInt32BE(17) || undefined,
	};
}

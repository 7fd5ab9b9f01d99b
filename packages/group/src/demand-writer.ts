import {encodeDemand} from './demand-record.js';
import {type DemandTracker} from './demand-tracker.js';

/** The shortest time between two writes, in milliseconds. */
const minWriteIntervalMs = 5000;

/** The time after which a demand that has not changed is written again while counts arrive, in milliseconds: half the time after which a record is ignored. */
const refreshIntervalMs = 30_000;

/** How much the records of all groups of a service together may make up at each process that watches the store, in bytes per millisecond. */
const recordBytesPerMs = 1;

/** The length of a byte in an answer of the store, which encodes values as base64. */
const base64Ratio = 4 / 3;

/** The change of a demand from which it is written again: the part of the tokens that go to other experts. */
const minChange = 0.1;

export type DemandWriterOptions = {
	readonly tracker: DemandTracker;
	/** The number of groups of the service, each of which writes its demand. */
	readonly groups: () => number;
	/** Writes a record to the store; errors are left to it. */
	readonly write: (record: Uint8Array) => Promise<void>;
	readonly nowMs: () => number;
	/** The wall time, by which another process judges the age of the record. */
	readonly wallMs: () => number;
};

/**
Creates the function that writes the demand of a group to the store if it has changed since
the last write. Call it about once a second.

@example
const writeDemand = createDemandWriter(options);
await writeDemand();
*/
export function createDemandWriter({tracker, groups, write, nowMs, wallMs}: DemandWriterOptions): () => Promise<void> {
	let written: {readonly atMs: number; readonly bytes: number; readonly shares: ReadonlyArray<readonly number[]>} | undefined;
	let isWriting = false;
	return async () => {
		const now = nowMs();
		const intervalMs = Math.max(minWriteIntervalMs, (written?.bytes ?? 0) * base64Ratio * groups() / recordBytesPerMs);
		if (isWriting || now - tracker.updatedMs() > minWriteIntervalMs || (written && now - written.atMs < intervalMs)) {
			return;
		}

		const known = tracker.known();
		const isUnchanged = written !== undefined && changeBetween(written.shares, known.shares) < minChange && now - written.atMs < refreshIntervalMs;
		const record = isUnchanged ? undefined : encodeDemand(known, wallMs());
		if (!record) {
			return;
		}

		written = {atMs: now, bytes: record.length, shares: known.shares};
		isWriting = true;
		try {
			await write(record);
		} finally {
			isWriting = false;
		}
	};
}

/** Returns the part of the tokens that go to other experts, in the mean of the layers. */
function changeBetween(before: ReadonlyArray<readonly number[]>, after: ReadonlyArray<readonly number[]>): number {
	const distance = after.reduce((sum, shares, layer) => sum + shares.reduce((layerSum, share, expert) => layerSum + Math.abs(share - before[layer][expert]), 0), 0);
	return distance / 2 / after.length;
}

import {Buffer} from 'node:buffer';
import {type Store} from '@papayaflow/store';

const keyPrefix = 'papayaflow/experts/';

export type EpochResult = {readonly kind: 'acquired'; readonly epoch: number} | {readonly kind: 'unavailable'};

/**
Allocates the next epoch of a group by compare-and-swap. A lost reply of the
store wastes at most one epoch and has no other effect.

@example
const result = await acquireEpoch(store, 'notice-1', 'sidecar-1');
*/
export async function acquireEpoch(store: Store, group: string, holder: string): Promise<EpochResult> {
	const existing = await store.read(keyPrefix + group);
	if (existing.kind === 'unavailable') {
		return existing;
	}

	const epoch = (existing.kind === 'found' ? decodeEpoch(existing.entry.value) : 0) + 1;
	const writeResult = await store.write(keyPrefix + group, Buffer.from(JSON.stringify({epoch, holder})), {
		expected: existing.kind === 'found' ? existing.entry.revision : 0,
	});
	return writeResult.kind === 'written' ? {kind: 'acquired', epoch} : {kind: 'unavailable'};
}

/** Reads the highest epoch allocated for a group, 0 if there is none; `undefined` while the store can't be reached. */
export async function readEpoch(store: Store, group: string): Promise<number | undefined> {
	const existing = await store.read(keyPrefix + group);
	switch (existing.kind) {
		case 'found': {
			return decodeEpoch(existing.entry.value);
		}

		case 'absent': {
			return 0;
		}

		case 'unavailable': {
			return undefined;
		}
	}
}

function decodeEpoch(value: Uint8Array): number {
	return (JSON.parse(Buffer.from(value).toString()) as {epoch: number}).epoch;
}

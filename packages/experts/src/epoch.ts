import {Buffer} from 'node:buffer';
import {type Store} from '@papayaflow/store';

const keyPrefix = 'papayaflow/experts/';

export type EpochResult = {readonly kind: 'acquired'; readonly epoch: number} | {readonly kind: 'unavailable'};

/** The number of epochs that one group may use in one era of the store. */
const epochsPerEra = 1_000_000;

/**
Allocates the next epoch of a group by compare-and-swap. A lost reply of the
store wastes at most one epoch and has no other effect. An epoch is higher than all
epochs of earlier eras of the store, since the store may have lost the last ones of them.

@example
const result = await acquireEpoch(store, 'notice-1', 'sidecar-1');
*/
export async function acquireEpoch(store: Store, group: string, holder: string): Promise<EpochResult> {
	const existing = await store.read(keyPrefix + group);
	if (existing.kind === 'unavailable') {
		return existing;
	}

	const era = store.era();
	const last = existing.kind === 'found' ? decodeEpoch(existing.entry.value) : 0;
	const epoch = Math.max(last, era * epochsPerEra) + 1;
	const writeResult = await store.write(keyPrefix + group, Buffer.from(JSON.stringify({epoch, holder})), {
		expected: existing.kind === 'found' ? existing.entry.revision : 0,
	});
	return writeResult.kind === 'written' && store.era() === era ? {kind: 'acquired', epoch} : {kind: 'unavailable'};
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

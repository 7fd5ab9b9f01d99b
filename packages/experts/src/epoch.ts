import {Buffer} from 'node:buffer';
import {type Store} from '@papayaflow/store';

const prefix = 'papayaflow/experts/';

export type EpochResult = {readonly kind: 'taken'; readonly epoch: number} | {readonly kind: 'unavailable'};

/**
Takes the next epoch of a group by compare-and-swap. A lost answer costs an epoch
and nothing else.

@example
const result = await takeEpoch(store, 'notice-1', 'sidecar-1');
*/
export async function takeEpoch(store: Store, group: string, holder: string): Promise<EpochResult> {
	const present = await store.read(prefix + group);
	if (present.kind === 'unavailable') {
		return present;
	}

	const epoch = (present.kind === 'found' ? decodeEpoch(present.entry.value) : 0) + 1;
	const written = await store.write(prefix + group, Buffer.from(JSON.stringify({epoch, holder})), {
		expected: present.kind === 'found' ? present.entry.revision : 0,
	});
	return written.kind === 'written' ? {kind: 'taken', epoch} : {kind: 'unavailable'};
}

/** Reads the highest epoch given out for a group; `undefined` while the service can't be asked. */
export async function readEpoch(store: Store, group: string): Promise<number | undefined> {
	const present = await store.read(prefix + group);
	switch (present.kind) {
		case 'found': {
			return decodeEpoch(present.entry.value);
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

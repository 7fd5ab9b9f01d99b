import {demandPrefix} from '@papayaflow/platform';
import {type Store} from '@papayaflow/store';

/** The demand of the groups of a service, as the store holds it. */
export type DemandStore = {
	/** Reads the record of a group; `undefined` if there is none or the store can't be reached. */
	read(group: string): Promise<Uint8Array | undefined>;
	/** Writes the record of a group, unless another coordinator has written since the last read or the store can't be reached. */
	write(group: string, record: Uint8Array): Promise<void>;
};

/**
Creates the access to the demand records of a service.

@example
const demandStore = createDemandStore(store, () => 'notice');
*/
export function createDemandStore(store: Store, service: () => string | undefined): DemandStore {
	/** The revision of each record that this process has read or written last. */
	const revisions = new Map<string, number>();
	const keyOf = (group: string): string | undefined => {
		const name = service();
		return name && `${demandPrefix}${name}/${group}`;
	};

	const read = async (group: string): Promise<Uint8Array | undefined> => {
		const key = keyOf(group);
		if (key === undefined) {
			return undefined;
		}

		const result = await store.read(key);
		switch (result.kind) {
			case 'found': {
				revisions.set(group, result.entry.revision);
				return result.entry.value;
			}

			case 'absent': {
				revisions.set(group, 0);
				return undefined;
			}

			case 'unavailable': {
				return undefined;
			}
		}
	};

	return {
		read,
		async write(group, record) {
			if (!revisions.has(group)) {
				await read(group);
			}

			const [key, expected] = [keyOf(group), revisions.get(group)];
			if (key === undefined || expected === undefined) {
				return;
			}

			const result = await store.write(key, record, {expected});
			if (result.kind === 'written') {
				revisions.set(group, result.revision);
			} else {
				// The record is read again before the next write.
				revisions.delete(group);
			}
		},
	};
}

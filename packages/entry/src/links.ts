import {type Frame} from '@papayaflow/peer';
import {type Instance} from '@papayaflow/instances';
import {subset} from '@papayaflow/policy';
import {openLink, type Link, type LinkDeps} from './link.js';

/** The links of one entry: for each service a subset of its sidecars. */
export type Links = {
	/** Takes a new instance list: opens what is missing, retires what is gone. */
	update(instances: readonly Instance[], subsetSize: number): void;
	of(service: string): readonly Link[];
	/** Finds the link to one sidecar, opening it when the list names it outside the subset. */
	to(instance: string): Link | undefined;
	/** Every sidecar of a service that the list shows as live, linked or not. */
	sidecarsOf(service: string): readonly string[];
	broadcast(frame: Frame): void;
	/** The live entries on the list, this one included. */
	entries(): number;
	all(): readonly Link[];
	close(): void;
};

/**
Makes the set of links of one entry.

@example
const links = createLinks(deps);
links.update(instances, 20);
*/
export function createLinks(deps: LinkDeps): Links {
	const links = new Map<string, Link>();
	let sidecars = new Map<string, Instance>();
	let entries = 1;

	const open = (instance: Instance): Link => {
		const link = openLink({
			id: instance.id, service: instance.service ?? '', zone: instance.zone, address: instance.address, port: instance.port,
		}, deps);
		links.set(instance.id, link);
		return link;
	};

	const hasMoved = (link: Link, instance: Instance): boolean => link.sidecar.address !== instance.address || link.sidecar.port !== instance.port;

	return {
		update(instances, subsetSize) {
			const live = instances.filter(({role, state}) => role === 'sidecar' && state === 'live');
			sidecars = new Map(live.map(instance => [instance.id, instance]));
			entries = Math.max(1, instances.filter(({role, state}) => role === 'entry' && state === 'live').length);
			for (const [id, link] of links) {
				const instance = sidecars.get(id);
				if (!instance || hasMoved(link, instance)) {
					// What the list says is a hint: work in flight goes on to its end.
					link.retire();
					links.delete(id);
				}
			}

			for (const service of new Set(live.map(instance => instance.service))) {
				for (const instance of subset(deps.instance, live.filter(other => other.service === service), subsetSize)) {
					if (!links.has(instance.id)) {
						open(instance);
					}
				}
			}
		},
		of: service => [...links.values()].filter(link => link.sidecar.service === service),
		to(id) {
			const instance = sidecars.get(id);
			return links.get(id) ?? (instance && open(instance));
		},
		sidecarsOf: service => [...sidecars.values()].filter(instance => instance.service === service).map(({id}) => id),
		broadcast(frame) {
			for (const link of links.values()) {
				link.send(frame);
			}
		},
		entries: () => entries,
		all: () => [...links.values()],
		close() {
			for (const link of links.values()) {
				link.close();
			}
		},
	};
}

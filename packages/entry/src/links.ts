import {type Frame} from '@papayaflow/peer';
import {type Instance} from '@papayaflow/instances';
import {pickSubset} from '@papayaflow/policy';
import {openLink, type Link, type LinkDeps} from './link.js';

/** The links of one entry, to a subset of the sidecars of each service. */
export type Links = {
	/** Applies a new instance list: opens links to added sidecars and retires links to removed ones. */
	update(instances: readonly Instance[], subsetSize: number): void;
	forService(service: string): readonly Link[];
	/** Returns the link to one sidecar and opens it if the sidecar is listed but outside the subset. */
	toSidecar(instance: string): Link | undefined;
	/** Returns the ids of all sidecars of a service that are listed as live, with or without a link. */
	sidecarsOf(service: string): readonly string[];
	broadcast(frame: Frame): void;
	/** The number of entries listed as live, at least 1. */
	entries(): number;
	all(): readonly Link[];
	close(): void;
};

/**
Creates the links of one entry. There are none before the first `update`.

@example
const links = createLinks(deps);
links.update(instances, 20);
*/
export function createLinks(deps: LinkDeps): Links {
	const links = new Map<string, Link>();
	let sidecars = new Map<string, Instance>();
	let entries = 1;

	const openFor = (instance: Instance): Link => {
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
					// The list may be out of date, so attempts in flight run to completion.
					link.retire();
					links.delete(id);
				}
			}

			for (const service of new Set(live.map(instance => instance.service))) {
				for (const instance of pickSubset(deps.instance, live.filter(other => other.service === service), subsetSize)) {
					if (!links.has(instance.id)) {
						openFor(instance);
					}
				}
			}
		},
		forService: service => [...links.values()].filter(link => link.sidecar.service === service),
		toSidecar(id) {
			const instance = sidecars.get(id);
			return links.get(id) ?? (instance && openFor(instance));
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

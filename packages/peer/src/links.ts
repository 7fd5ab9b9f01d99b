import {
	maintainPeerLink, type PeerEvents, type PeerOptions,
} from './peer.js';

export type LinksOptions = {
	/** The port on which the peer of each host listens. */
	readonly port: number;
	readonly options: PeerOptions;
	readonly events: PeerEvents;
	/** Closes all links. */
	readonly signal: AbortSignal;
};

/**
Maintains a link to each host of a changing list. Pass the complete list to the
returned function: it opens links to new hosts and closes those to hosts that are no
longer listed.

@example
const setHosts = maintainHostLinks({port: 7340, options, events, signal});
setHosts(['10.1.0.42', '10.1.0.43']);
*/
export function maintainHostLinks({port, options, events, signal}: LinksOptions): (hosts: Iterable<string>) => void {
	const links = new Map<string, AbortController>();
	return hosts => {
		const wanted = new Set(hosts);
		for (const [host, link] of links) {
			if (!wanted.has(host)) {
				link.abort();
				links.delete(host);
			}
		}

		for (const host of wanted) {
			if (!links.has(host)) {
				const link = new AbortController();
				links.set(host, link);
				void maintainPeerLink({address: host, port}, options, events, AbortSignal.any([link.signal, signal]));
			}
		}
	};
}

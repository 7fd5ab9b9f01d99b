import {
	followPeer, type PeerEvents, type PeerOptions,
} from './peer.js';

export type LinksOptions = {
	/** The port at which each host's peer listens. */
	readonly port: number;
	readonly options: PeerOptions;
	readonly events: PeerEvents;
	/** Ends all links. */
	readonly signal: AbortSignal;
};

/**
Keeps a link to each host of a list that changes: call what it returns with the whole
list; links to hosts that are no longer in it end.

@example
const follow = followHosts({port: 7340, options, events, signal});
follow(['10.1.0.42', '10.1.0.43']);
*/
export function followHosts({port, options, events, signal}: LinksOptions): (hosts: Iterable<string>) => void {
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
				void followPeer({address: host, port}, options, events, AbortSignal.any([link.signal, signal]));
			}
		}
	};
}

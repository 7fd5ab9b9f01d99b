import {type Peer} from '@papayaflow/peer';
import {rendezvousOrder} from '@papayaflow/policy';

/** How long a process without the store waits for its preferred peer to announce a change that another peer has announced, in milliseconds: longer than the entries' polls of the store are apart. */
const preferredPeerWaitMs = 900;

/** How long a process that reads the store waits to get an announced change from there, in milliseconds: longer than its own polls are apart. */
const storeWaitMs = 1200;

/** How long a peer may take to send a copy, in milliseconds. A large configuration takes some hundred milliseconds on a thin link. */
const copyTimeoutMs = 1500;

/** The pause after each peer that is ahead was asked in vain, in milliseconds. */
const roundPauseMs = 1000;

export type PullOptions = {
	/** The name of this instance; different instances prefer different peers. */
	readonly instance: string;
	/** The availability zone of this instance. */
	readonly zone: string;
	/** The revision up to which this process knows all changes. */
	readonly revision: () => number;
	/** Whether the store answers this process, so that it normally gets changes from there. */
	readonly isStoreAvailable: () => boolean;
	readonly monotonicMs: () => number;
	/** Called for each pull that is sent. */
	readonly onPull: () => void;
};

/** Decides when this process pulls a copy, and from which peer. */
export type Puller = {
	/** Handles the announcement that a peer knows a change at this revision. */
	onKnown(peer: Peer, changedAt: number): void;
	/** To be called after a copy of a peer has been applied or rejected. */
	onCopy(peer: Peer): void;
	onDown(peer: Peer): void;
	/** Clears the pending timer when the process stops. */
	stop(): void;
};

/**
Creates the puller of one process. It pulls each change once: every instance prefers
another peer, entries before sidecars and those of its zone first, so that the copies of a change are spread over
the peers and their number grows with the number of instances only. It asks another
peer if the preferred one does not announce the change, does not answer in time or
disconnects. A process that the store serves pulls only what the store does not deliver.

Load pattern: dozens of peers announce the same change within a second, to processes
on thin links.

@example
const puller = createPuller({instance: 'side-1', zone: 'a', revision: () => mirror.revision(), isStoreAvailable: () => false, monotonicMs, onPull});
puller.onKnown(peer, 42);
*/
export function createPuller({instance, zone, revision, isStoreAvailable, monotonicMs, onPull}: PullOptions): Puller {
	const announced = new Map<Peer, number>();
	/** Peers that were asked since this process was last up to date, without success. */
	const tried = new Set<Peer>();
	let behindSinceMs: number | undefined;
	let asked: Peer | undefined;
	let timer: NodeJS.Timeout | undefined;

	const callLater = (callback: () => void, ms: number): void => {
		clearTimeout(timer);
		timer = setTimeout(callback, ms).unref();
	};

	const preferenceOrder = (): readonly Peer[] => {
		const byInstance = new Map([...announced.keys()].map(peer => [peer.hello.instance, peer]));
		const ordered = rendezvousOrder(instance, [...byInstance.keys()]).map(name => byInstance.get(name)!);
		const rankOf = ({hello}: Peer): number => (hello.role === 'entry' ? 0 : 2) + (hello.zone === zone ? 0 : 1);
		return ordered.toSorted((a, b) => rankOf(a) - rankOf(b));
	};

	const pullIfBehind = (): void => {
		const knownRevision = revision();
		if ([...announced.values()].every(changedAt => changedAt <= knownRevision)) {
			clearTimeout(timer);
			tried.clear();
			behindSinceMs = undefined;
			asked = undefined;
			return;
		}

		const now = monotonicMs();
		behindSinceMs ??= now;
		if (asked) {
			return;
		}

		if (isStoreAvailable() && now - behindSinceMs < storeWaitMs) {
			callLater(pullIfBehind, behindSinceMs + storeWaitMs - now);
			return;
		}

		const order = preferenceOrder();
		const next = order.find(peer => announced.get(peer)! > knownRevision && !tried.has(peer));
		if (!next) {
			tried.clear();
			callLater(pullIfBehind, roundPauseMs);
			return;
		}

		const isPreferred = next === order.at(0) || tried.size > 0;
		if (!isPreferred && now - behindSinceMs < preferredPeerWaitMs) {
			callLater(pullIfBehind, behindSinceMs + preferredPeerWaitMs - now);
			return;
		}

		asked = next;
		tried.add(next);
		onPull();
		next.send({kind: 'pull', after: revision(), accepts: 'deflate'});
		callLater(() => {
			asked = undefined;
			pullIfBehind();
		}, copyTimeoutMs);
	};

	return {
		onKnown(peer, changedAt) {
			announced.set(peer, changedAt);
			pullIfBehind();
		},
		onCopy(peer) {
			if (asked === peer) {
				asked = undefined;
				clearTimeout(timer);
			}

			pullIfBehind();
		},
		onDown(peer) {
			announced.delete(peer);
			tried.delete(peer);
			if (asked === peer) {
				asked = undefined;
				pullIfBehind();
			}
		},
		stop() {
			clearTimeout(timer);
		},
	};
}

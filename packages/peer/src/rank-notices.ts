import {type RankNotice} from './frame.js';
import {type DownCause, type Peer} from './peer.js';

/** The latest notices of the connected sidecars, indexed so that no look-up searches through all of them. */
export type RankNotices = {
	/** Stores the latest notice of a peer. */
	set(peer: Peer, notice: RankNotice): void;
	remove(peer: Peer, cause: DownCause): void;
	/** The latest notice of a connected peer; `undefined` before its first one. */
	of(peer: Peer): RankNotice | undefined;
	/** The connected peers of a group with their notices. */
	ofGroup(group: string): ReadonlyArray<readonly [Peer, RankNotice]>;
	/** A connected peer beside a target, given as `IP:PORT`. A sidecar may have two connections for a short time. */
	peerBeside(target: string): Peer | undefined;
	/** Whether the sidecar beside a target stopped responding (`silent`) and has not connected again. */
	isSilent(target: string): boolean;
	/** The peer that says that it coordinates a group; the one of the lowest rank if there are several. */
	coordinatorOf(group: string): Peer | undefined;
};

/**
Creates an empty table of notices.

@example
const notices = createRankNotices();
notices.set(peer, frame.notice);
notices.coordinatorOf('g0')?.send(request);
*/
export function createRankNotices(): RankNotices {
	const byPeer = new Map<Peer, RankNotice>();
	const byGroup = new Map<string, Map<Peer, RankNotice>>();
	const peerByTarget = new Map<string, Peer>();
	const silentTargets = new Set<string>();

	/** Removes the notice of a peer. Returns its target if no other connection to the sidecar beside it is left. */
	const take = (peer: Peer): string | undefined => {
		const notice = byPeer.get(peer);
		if (!notice) {
			return undefined;
		}

		byPeer.delete(peer);
		byGroup.get(notice.group)?.delete(peer);
		const other = [...byPeer].find(([, {target}]) => target === notice.target)?.[0];
		if (other) {
			peerByTarget.set(notice.target, other);
			return undefined;
		}

		peerByTarget.delete(notice.target);
		return notice.target;
	};

	return {
		set(peer, notice) {
			take(peer);
			byPeer.set(peer, notice);
			byGroup.set(notice.group, (byGroup.get(notice.group) ?? new Map<Peer, RankNotice>()).set(peer, notice));
			peerByTarget.set(notice.target, peer);
			silentTargets.delete(notice.target);
		},
		remove(peer, cause) {
			const target = take(peer);
			if (target !== undefined && cause === 'silent') {
				silentTargets.add(target);
			}
		},
		of: peer => byPeer.get(peer),
		ofGroup: group => [...byGroup.get(group) ?? []],
		peerBeside: target => peerByTarget.get(target),
		isSilent: target => silentTargets.has(target),
		coordinatorOf(group) {
			let lowest: {readonly peer: Peer; readonly rank: number} | undefined;
			for (const [peer, notice] of byGroup.get(group) ?? []) {
				if (notice.isCoordinator && (!lowest || notice.rank < lowest.rank)) {
					lowest = {peer, rank: notice.rank};
				}
			}

			return lowest?.peer;
		},
	};
}

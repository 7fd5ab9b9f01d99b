import {type DownCause, type Peer, type RankNotice} from '@papayaflow/peer';
import {type Member} from './remote-ranks.js';

/** The number of lowest ranks whose sidecars may coordinate the group: three, so that two may be down. */
export const candidateCount = 3;

/** The members of groups, as known from the rank notices that their sidecars have sent. */
export type Membership = {
	/** Stores the latest notice of a peer. */
	set(peer: Peer, notice: RankNotice): void;
	remove(peer: Peer, cause: DownCause): void;
	/** Whether a peer is a candidate to coordinate a group. A peer that has sent no notice yet counts as one. */
	isCandidate(peer: Peer, group: string | undefined): boolean;
	/** The member that has a rank of a group; `undefined` if none was ever known. After its sidecar disconnects, it has its last known target and no peer. */
	member(group: string, rank: number): Member | undefined;
	/** Whether the sidecar of a rank stopped responding (`silent`) and has not connected again. */
	isSilent(group: string, rank: number): boolean;
	/** The peers whose notices say that they coordinate a group. */
	coordinators(group: string): readonly Peer[];
	/** Whether the sidecar of a lower rank coordinates the group, according to its notice. */
	hasLowerCoordinator(group: string, rank: number): boolean;
	/** Whether the sidecar of a lower rank that is a candidate is connected. */
	hasLowerCandidate(group: string, rank: number): boolean;
};

/** Creates an empty membership table. */
export function createMembership(): Membership {
	const notices = new Map<Peer, RankNotice>();
	const noticesByGroup = new Map<string, Map<Peer, RankNotice>>();
	/** A connected peer for each rank, by `GROUP/RANK`. */
	const peerByRank = new Map<string, Peer>();
	const lastTargets = new Map<string, string>();
	/** The ranks, as `GROUP/RANK`, whose sidecars stopped responding (`silent`) and have not connected again. */
	const silentRanks = new Set<string>();
	const noticesOf = (group: string): ReadonlyArray<readonly [Peer, RankNotice]> => [...noticesByGroup.get(group) ?? []];

	/** Removes the notice of a peer. Returns it if no other connection to the same rank is left. */
	const takeNotice = (peer: Peer): RankNotice | undefined => {
		const notice = notices.get(peer);
		if (!notice) {
			return undefined;
		}

		const key = rankKey(notice.group, notice.rank);
		notices.delete(peer);
		noticesByGroup.get(notice.group)?.delete(peer);
		const other = noticesOf(notice.group).find(([, {rank}]) => rank === notice.rank)?.[0];
		if (other) {
			peerByRank.set(key, other);
			return undefined;
		}

		peerByRank.delete(key);
		return notice;
	};

	return {
		set(peer, notice) {
			takeNotice(peer);
			const key = rankKey(notice.group, notice.rank);
			notices.set(peer, notice);
			noticesByGroup.set(notice.group, (noticesByGroup.get(notice.group) ?? new Map<Peer, RankNotice>()).set(peer, notice));
			peerByRank.set(key, peer);
			lastTargets.set(key, notice.target);
			silentRanks.delete(key);
		},
		remove(peer, cause) {
			const notice = takeNotice(peer);
			// The sidecar may have connected again before its older connection ends.
			if (notice && cause === 'silent') {
				silentRanks.add(rankKey(notice.group, notice.rank));
			}
		},
		isCandidate(peer, group) {
			const notice = notices.get(peer);
			return notice === undefined || (notice.group === group && notice.rank < candidateCount);
		},
		member(group, rank) {
			const target = lastTargets.get(rankKey(group, rank));
			return target === undefined ? undefined : {rank, target, peer: peerByRank.get(rankKey(group, rank))};
		},
		isSilent: (group, rank) => silentRanks.has(rankKey(group, rank)),
		coordinators: group => noticesOf(group).filter(([, {isCoordinator}]) => isCoordinator).map(([peer]) => peer),
		hasLowerCoordinator: (group, rank) => noticesOf(group).some(([, notice]) => notice.rank < rank && notice.isCoordinator),
		hasLowerCandidate: (group, rank) => noticesOf(group).some(([, notice]) => notice.rank < rank && notice.rank < candidateCount),
	};
}

function rankKey(group: string, rank: number): string {
	return `${group}/${rank}`;
}

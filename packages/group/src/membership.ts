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
	const lastTargets = new Map<string, string>();
	/** The ranks, as `GROUP/RANK`, whose sidecars stopped responding (`silent`) and have not connected again. */
	const silentRanks = new Set<string>();
	const noticesOf = (group: string): ReadonlyArray<readonly [Peer, RankNotice]> => [...notices].filter(([, notice]) => notice.group === group);
	return {
		set(peer, notice) {
			notices.set(peer, notice);
			lastTargets.set(`${notice.group}/${notice.rank}`, notice.target);
			silentRanks.delete(`${notice.group}/${notice.rank}`);
		},
		remove(peer, cause) {
			const notice = notices.get(peer);
			notices.delete(peer);
			// The sidecar may have connected again before its older connection ends.
			if (notice && cause === 'silent' && !noticesOf(notice.group).some(([, {rank}]) => rank === notice.rank)) {
				silentRanks.add(`${notice.group}/${notice.rank}`);
			}
		},
		isCandidate(peer, group) {
			const notice = notices.get(peer);
			return notice === undefined || (notice.group === group && notice.rank < candidateCount);
		},
		member(group, rank) {
			const connected = noticesOf(group).find(([, notice]) => notice.rank === rank);
			if (connected) {
				return {rank, target: connected[1].target, peer: connected[0]};
			}

			const target = lastTargets.get(`${group}/${rank}`);
			return target === undefined ? undefined : {rank, target, peer: undefined};
		},
		isSilent: (group, rank) => silentRanks.has(`${group}/${rank}`),
		coordinators: group => noticesOf(group).filter(([, {isCoordinator}]) => isCoordinator).map(([peer]) => peer),
		hasLowerCoordinator: (group, rank) => noticesOf(group).some(([, notice]) => notice.rank < rank && notice.isCoordinator),
		hasLowerCandidate: (group, rank) => noticesOf(group).some(([, notice]) => notice.rank < rank && notice.rank < candidateCount),
	};
}

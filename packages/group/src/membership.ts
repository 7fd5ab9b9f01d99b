import {
	createRankNotices, type DownCause, type Peer, type RankNotice, type RankNotices,
} from '@papayaflow/peer';
import {LRUCache} from 'lru-cache';
import {type Member} from './remote-ranks.js';

/** The number of lowest ranks whose sidecars may coordinate the group: three, so that two may be down. */
export const candidateCount = 3;

/** The most targets whose group is remembered. */
const maxKnownTargets = 10_000;

/** How long the group of a target is remembered after its last notice, in milliseconds. The platform may form the groups differently. */
const groupValidMs = 600_000;

/** The members of groups, as known from the rank notices that their sidecars have sent. */
export type Membership = {
	/** Stores the latest notice of a peer. */
	set(peer: Peer, notice: RankNotice): void;
	remove(peer: Peer, cause: DownCause): void;
	/** Whether a peer is a candidate to coordinate a group. A peer that has sent no notice yet counts as one. */
	isCandidate(peer: Peer, group: string | undefined): boolean;
	/** The member that has a rank of a group; `undefined` if none was ever known. After its sidecar disconnects, it has its last known target and no peer. */
	member(group: string, rank: number): Member | undefined;
	/** The group of a target's rank according to the latest notice of its sidecar, also for some minutes after it has disconnected; `undefined` if there was none. */
	groupOf(target: string): string | undefined;
	/** Whether the sidecar of a rank stopped responding (`silent`) and has not connected again. */
	isSilent(group: string, rank: number): boolean;
	/** Whether all connected candidates of a group report the same state of it as this notice. */
	agrees(notice: RankNotice): boolean;
	/** The number of ranks of a group, of the given size, whose sidecars are connected. */
	connectedCount(group: string, size: number): number;
	/** The peers whose notices say that they coordinate a group. */
	coordinators(group: string): readonly Peer[];
	/** Whether the sidecar of a lower rank coordinates the group, according to its notice. */
	hasLowerCoordinator(group: string, rank: number): boolean;
	/** Whether the sidecar of a lower rank that is a candidate is connected. */
	hasLowerCandidate(group: string, rank: number): boolean;
};

/** Creates an empty membership table. */
export function createMembership(): Membership {
	const notices = createRankNotices();
	/** The last known target of each rank, by `GROUP/RANK`. */
	const lastTargets = new Map<string, string>();
	const lastGroups = new LRUCache<string, string>({max: maxKnownTargets, ttl: groupValidMs});
	const lastTargetOf = (group: string, rank: number): string | undefined => lastTargets.get(`${group}/${rank}`);
	return {
		set(peer, notice) {
			notices.set(peer, notice);
			lastGroups.set(notice.target, notice.group);
			lastTargets.set(`${notice.group}/${notice.rank}`, notice.target);
		},
		remove: notices.remove,
		groupOf(target) {
			const peer = notices.peerBeside(target);
			return (peer && notices.of(peer)?.group) ?? lastGroups.get(target);
		},
		isCandidate(peer, group) {
			const notice = notices.of(peer);
			return notice === undefined || (notice.group === group && notice.rank < candidateCount);
		},
		member(group, rank) {
			const target = lastTargetOf(group, rank);
			return target === undefined ? undefined : {rank, target, peer: peerOfRank(notices, {group, rank, target})};
		},
		isSilent(group, rank) {
			const target = lastTargetOf(group, rank);
			return target !== undefined && notices.isSilent(target);
		},
		agrees: ({group, formation, isOpen}) => notices.ofGroup(group).every(([, other]) => other.rank >= candidateCount || (other.formation === formation && other.isOpen === isOpen)),
		connectedCount: (group, size) => new Set(notices.ofGroup(group).map(([, {rank}]) => rank).filter(rank => rank < size)).size,
		coordinators: group => notices.ofGroup(group).filter(([, {isCoordinator}]) => isCoordinator).map(([peer]) => peer),
		hasLowerCoordinator: (group, rank) => notices.ofGroup(group).some(([, notice]) => notice.rank < rank && notice.isCoordinator),
		hasLowerCandidate: (group, rank) => notices.ofGroup(group).some(([, notice]) => notice.rank < rank && notice.rank < candidateCount),
	};
}

// A target may have another rank since the group formed anew; its sidecar must not get commands for the rank that it had before.
function peerOfRank(notices: RankNotices, {group, rank, target}: {readonly group: string; readonly rank: number; readonly target: string}): Peer | undefined {
	const peer = notices.peerBeside(target);
	const notice = peer && notices.of(peer);
	return notice?.group === group && notice.rank === rank ? peer : undefined;
}

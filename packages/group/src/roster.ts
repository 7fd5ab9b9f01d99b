import {type Peer, type RankNotice} from '@papayaflow/peer';
import {type Member} from './remote-ranks.js';

/** The lowest ranks whose sidecars may coordinate: three, so that two may be down. */
export const candidates = 3;

/** The sidecars of a group as they have told of themselves. */
export type Roster = {
	set(peer: Peer, notice: RankNotice): void;
	remove(peer: Peer): void;
	/** Whether a peer is a candidate of a group; also where it has not told of itself yet. */
	isCandidate(peer: Peer, group: string | undefined): boolean;
	/** A rank of a group; without a peer where its sidecar was there and is gone. */
	member(group: string, rank: number): Member | undefined;
	/** Those that coordinate a group, as they say. */
	coordinators(group: string): readonly Peer[];
	/** Whether a candidate of a lower rank coordinates, as it says. */
	lowerCoordinates(group: string, rank: number): boolean;
	/** Whether a candidate of a lower rank is there. */
	hasLower(group: string, rank: number): boolean;
};

/** Makes an empty roster. */
export function createRoster(): Roster {
	const notices = new Map<Peer, RankNotice>();
	const targets = new Map<string, string>();
	const of = (group: string): ReadonlyArray<readonly [Peer, RankNotice]> => [...notices].filter(([, notice]) => notice.group === group);
	return {
		set(peer, notice) {
			notices.set(peer, notice);
			targets.set(`${notice.group}/${notice.rank}`, notice.target);
		},
		remove(peer) {
			notices.delete(peer);
		},
		isCandidate(peer, group) {
			const told = notices.get(peer);
			return told === undefined || (told.group === group && told.rank < candidates);
		},
		member(group, rank) {
			const found = of(group).find(([, notice]) => notice.rank === rank);
			if (found) {
				return {rank, target: found[1].target, peer: found[0]};
			}

			const target = targets.get(`${group}/${rank}`);
			return target === undefined ? undefined : {rank, target, peer: undefined};
		},
		coordinators: group => of(group).filter(([, {isCoordinator}]) => isCoordinator).map(([peer]) => peer),
		lowerCoordinates: (group, rank) => of(group).some(([, notice]) => notice.rank < rank && notice.isCoordinator),
		hasLower: (group, rank) => of(group).some(([, notice]) => notice.rank < rank && notice.rank < candidates),
	};
}

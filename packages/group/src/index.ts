export {coordinate, type Coordination, type CoordinationDeps} from './coordination.js';
export {
	countedBetween, packCounts, unpackCounts, type PackedCounts, type RunningCounts,
} from './counts.js';
export {createDemandBoard, type DemandBoard} from './demand-board.js';
export {createPassMeter, type PassMeter} from './load.js';
export {keepMap, type MapKeeperDeps, type MapWeights} from './map-keeper.js';
export {
	followOwnRank, type CountedStretch, type OwnRank, type OwnRankOptions, type RankEngine,
} from './own-rank.js';
export {
	createRemoteRanks, type Member, type RemoteRanks, type RemoteRanksOptions,
} from './remote-ranks.js';
export {watchSkew, type SkewWatch} from './skew-watch.js';
export {createGroupSidecar, type GroupSidecar, type GroupSidecarDeps} from './sidecar.js';
export {createRoster, type Roster} from './roster.js';

export {startCoordination, type Coordination, type CoordinationDeps} from './coordination.js';
export {
	countsBetween, packCounts, unpackCounts, type CumulativeCounts, type PackedCounts,
} from './counts.js';
export {createDemandMemory, type DemandMemory, type DemandSizes} from './demand-memory.js';
export {
	decodeDemand, encodeDemand, maxDemandBytes, type DemandRecord,
} from './demand-record.js';
export {createDemandWriter, type DemandWriterOptions} from './demand-writer.js';
export {createDemandTracker, type DemandTracker, type KnownDemand} from './demand-tracker.js';
export {createPassMeter, type PassMeter} from './pass-meter.js';
export {balanceExperts, type ExpertBalancerDeps} from './expert-balancer.js';
export {type BalancingWeights} from './map-choice.js';
export {
	pollOwnRank, type IntervalCounts, type OwnRank, type OwnRankOptions, type RankEngine,
} from './own-rank.js';
export {
	createRemoteRanks, type Member, type RemoteRanks, type RemoteRanksOptions,
} from './remote-ranks.js';
export {createSkewMonitor, type SkewMonitor} from './skew-monitor.js';
export {
	createGroupSidecar, type GroupSidecar, type ColdRanks, type GroupSidecarDeps,
} from './sidecar.js';
export {createLinkChoice, type LinkChoice, type OwnGroup} from './link-choice.js';
export {nearestFirst} from './link-order.js';
export {createMembership, type Membership} from './membership.js';

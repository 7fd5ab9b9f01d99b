export {
	afterFailure, afterSuccess, healthy, withoutEjected, type EjectOptions, type Health, type TrackedTarget,
} from './eject.js';
export {
	createFairQueue, type FairQueue, type PushResult, type Queued,
} from './fair-queue.js';
export {
	estimateLoads, pickTarget, type AgedReport, type Candidate, type PickOptions,
} from './pick.js';
export {
	consumeQuota, type Bucket, type QuotaOptions, type QuotaResult,
} from './quota.js';
export {
	hashText, isReader, rendezvousFirst, rendezvousOrder, pickSubset, type ZonedNode,
} from './rendezvous.js';
export {createReturnSchedule, type ReturnSchedule, type ReturnWindow} from './returns.js';
export {coldShare, type ColdShare} from './cold-share.js';
export {claimShards, shardOfKey} from './shard.js';
export {createResendBudget, type ResendBudget, type ResendOptions} from './resend.js';
export {
	backoffMs, createRetryBudget, refusalRetryDelayMs, spreadRetryDelayMs, type RetryBudget,
} from './retry.js';
export {
	applyMoves, countCopies, initialMap, isComplete, rankLoads, skewOf, type ExpertMap, type LayerMove, type Move,
} from './expert-map.js';
export {
	uniformPopularity, updatePopularity, type Popularity, type PopularityOptions,
} from './popularity.js';
export {planLayers, type Layer} from './layers.js';
export {
	movesBetween, planFromScratch, planMoves, selectWorthwhileMoves, type Plan, type PlanOptions, type MoveCostOptions,
} from './rebalance.js';
export {
	createDemandEstimator, uniformDemand, type Demand, type DemandEstimator,
} from './demand.js';
export {groupCapacity, onTimePassMs, type GroupCapacityOptions} from './group-capacity.js';
export {
	createGroupAdmission, maxPlacementWaitMs, type GroupAdmission, type GroupAdmissionOptions, type GroupDecision, type GroupModel, type PlacementRequest, type RefusalRule,
	type GroupState, type DemandShifts,
} from './group-admission.js';
export {
	predictPassMs, tokenWorkMs, type PassModel, type RankWork,
} from './pass-time.js';
export {balancingNeed} from './balancing.js';
export {
	skewOfLayer, skewOfLayers, spreadExperts, spreadExpertsInSteps, type LayerLoad, type Placement, type Spread, type SpreadOptions,
} from './spread.js';

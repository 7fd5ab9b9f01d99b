export {
	recover, switchMap, type CoordinatorOptions, type RecoverResult, type SwitchResult,
} from './coordinator.js';
export {readEpoch, takeEpoch, type EpochResult} from './epoch.js';
export {createRankGate, type RankGate} from './gate.js';
export {
	type RankOrder, type RankReply, type Ranks, type RankState, type Scheduled,
} from './order.js';

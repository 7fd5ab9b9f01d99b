export {
	recover, switchMap, type CoordinatorOptions, type RecoverResult, type SwitchResult,
} from './coordinator.js';
export {readEpoch, acquireEpoch, type EpochResult} from './epoch.js';
export {createRankGate, type RankGate} from './gate.js';
export {
	type RankOrder, type RankReply, type Ranks, type RankState, type ScheduledMap,
} from './order.js';
export {
	applyChanges, changesBetween, mapInTurn, sortedMap, type MapChanges,
} from './map-changes.js';
export type {
	CommandReply, CommandResult, GuardedCommand, LayeredMap, PassCommand, PassRanks, RankExperts, RankView,
} from './pass-command.js';
export {
	resolvePass, switchPass, type PassSwitchOptions, type PassSwitchResult, type ResolveResult,
} from './pass-switch.js';

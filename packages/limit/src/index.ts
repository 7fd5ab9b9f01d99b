export {
	afterAnswer, unlimited, type Belief, type NamedLimit,
} from './belief.js';
export {createBeliefs, limitChanges, type Beliefs} from './beliefs.js';
export {
	createColdTargets, createEntryEstimate, type ColdReservation, type ColdTargets, type ColdTargetsOptions,
} from './cold.js';
export {
	createDispenser, type AnnouncedLimit, type Dispenser, type DispenserOptions, type PermitDecision, type SeenLimit,
} from './dispenser.js';
export {type TargetLifetime} from './lifetimes.js';
export {
	createEngineChoice, ownedTargets, type Fleet, type OwnedTarget,
} from './owner.js';
export {createPauses, type NamedPause, type Pauses} from './pause.js';
export {
	createPermits, permitResults, type DispenserLink, type Permit, type Permits, type PermitsOptions,
} from './permits.js';

export {
	afterAnswer, unlimited, type Belief, type NamedLimit,
} from './belief.js';
export {
	createBeliefs, limitChanges, type Beliefs, type BeliefSource, type TargetLifetime,
} from './beliefs.js';
export {createBucket, type Bucket, type BucketOptions} from './bucket.js';
export {
	createDispenser, type AnnouncedLimit, type Dispenser, type DispenserOptions, type PermitDecision, type SeenLimit,
} from './dispenser.js';
export {
	createEngineChoice, ownedTargets, type Fleet, type OwnedTarget,
} from './owner.js';
export {createShare, type Share} from './share.js';
export {
	createPermits, permitResults, type DispenserLink, type Permit, type Permits, type PermitsOptions,
} from './permits.js';

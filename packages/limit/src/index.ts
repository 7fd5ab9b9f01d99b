export {
	afterAnswer, unlimited, type Belief, type NamedLimit,
} from './belief.js';
export {
	createBeliefs, limitChanges, type Beliefs, type BeliefSource, type TargetLifetime,
} from './beliefs.js';

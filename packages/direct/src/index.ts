export {
	createAnswerBuffers, type AnswerBuffers, type AnswerUse, type HeldBytes,
} from './buffers.js';
export {isRetryable, type Call} from './call.js';
export {
	endToEndHeaders, type AnswerHead, type CallerHead, type Dialect, type Generation, type NamedLeaving, type TargetHeaderOptions,
} from './dialect.js';
export {
	createCrashDetector, type CrashDetector, type CrashDetectorOptions, type LostRequest,
} from './crash.js';
export {createEventSplitter, type EventSplitter, type StreamEvent} from './events.js';
export {
	forward, type AdmittedCall, type ForwardResult, type ForwardDeps,
} from './forward.js';
export {
	createFront, type Front, type FrontDeps, type StopPlan,
} from './front.js';
export {
	candidatesOf, choosePlainTarget, createPlainPlacer, reservePlace, type ChoiceRequest, type PlainChoice, type PlainChoiceOptions, type Place, type PlaceResult, type PlaceRequest, type Placer,
} from './place.js';
export {
	createTargets, type Target, type TargetOutcome, type Targets,
} from './targets.js';
export {
	createExplainer, type Candidate, type Exclusion, type Explanation, type ExplainOptions, type ExplainReply,
} from './explain.js';
export {createPool, type Pool} from './pool.js';
export {
	chooseAvoided, createColdPlacer, type ColdLimits, type ColdPlacerOptions,
} from './cold-place.js';
export {createLimitedPlacer, type LimitedPlacerOptions} from './limit-place.js';
export {createGroupAvailability, type GroupAvailability, type GroupAvailabilityOptions} from './group-availability.js';
export {
	createGroupPlacer, type GroupChoice, type KnownGroup, type GroupPlacer, type GroupPlacerOptions,
} from './group-place.js';
export {createQuarantinedPlacer, subjectsOf, type QuarantinedPlacerOptions} from './quarantine-place.js';

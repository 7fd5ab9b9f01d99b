export {isRepeatable, type Call} from './call.js';
export {
	endToEnd, type AnswerHead, type CallerHead, type Dialect, type Generation, type TargetHeadOptions,
} from './dialect.js';
export {createEventSplitter, type EventSplitter, type StreamEvent} from './events.js';
export {
	forward, type Arrival, type Forwarded, type ForwardDeps,
} from './forward.js';
export {createFront, type Front, type FrontDeps} from './front.js';
export {
	createPlainPlacer, placeAt, type Place, type Placed, type PlaceNeed, type Placer,
} from './place.js';
export {
	createTargets, type Target, type TargetOutcome, type Targets,
} from './targets.js';
export {createGroupPlacer, type GroupPlacer, type GroupPlacerOptions} from './group-place.js';

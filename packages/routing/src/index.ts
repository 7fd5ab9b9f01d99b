export type {
	CallerLimits, CallKind, Configuration, EngineModel, ExpertModel, Organisation, Route, Service, Share,
} from './configuration.js';
export {
	createRouteTable, drawService, identify, type Identified, type RouteTable,
} from './match.js';
export {addressOf, isSameTarget, type TargetRecord} from './target.js';

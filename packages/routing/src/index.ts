export type {
	CallerLimits, CallKind, ColdService, Configuration, EngineModel, ExpertModel, Organisation, Route, Service, WeightedService,
} from './configuration.js';
export {
	createRouteTable, drawService, identifyCaller, type CallerIdentity, type RouteTable,
} from './match.js';
export {allowedZonesOf} from './region.js';
export {
	addressOf, isSameTarget, latestByAddress, type TargetRecord,
} from './target.js';

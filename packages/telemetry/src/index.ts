export {
	createLog, logLevels, type Log, type LogLevel,
} from './log.js';
export {
	containmentPlaces, createContainment, type Containment, type ContainmentPlace,
} from './containment.js';
export {createMetrics, type Metrics} from './metrics.js';
export {sampleLoopDelay, type LoopDelayOptions} from './loop-delay.js';
export {serveAdmin, type AdminReply, type AdminSources} from './admin.js';
export {reportClosedConnections} from './closed-connections.js';

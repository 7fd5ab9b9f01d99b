export {createBufferCollector, onBuffersAllocated} from './buffer-collector.js';
export {
	superviseServer, type Supervision, type SupervisionLimits, type SupervisionOptions,
} from './supervise.js';
export {closeReasons, type CloseReason} from './connection-table.js';

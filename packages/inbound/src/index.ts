export {
	closeReasons, superviseServer, type CloseReason, type Supervision, type SupervisionLimits, type SupervisionOptions,
} from './supervise.js';

export {
	lossReasons, refusalReasons, type LossReason, type Outcome, type RefusalReason, type ResponseHead,
} from './outcome.js';

export {
	createClaims, type Claim, type ClaimResult, type Claims,
} from './claim.js';
export {createLease, type Lease, type LeaseOptions} from './lease.js';
export {type LogRecord, type RecordedAnswer, type Segment} from './segment.js';
export {type ShardOptions} from './shard.js';

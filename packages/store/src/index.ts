export {connectStore, type GatewayOptions} from './gateway.js';
export type {
	Change, ChangesResult, Entry, LeaseResult, ListResult, ReadResult, RenewResult, Store, Transaction, TransactionResult, Unavailable, WriteOptions, WriteResult,
} from './store.js';
export {withTimeLimit} from './time-limit.js';

import {hashText} from './rendezvous.js';

/**
The number of shards of a service's claim log. It must not be changed, and is
therefore no setting: a key that moved to another shard would find no claim there and
its request would run again.
*/
export const claimShards = 8;

/**
Returns the shard of a service's claim log that holds a key, the same in every process.

@example
const shard = shardOfKey('ayamoni', 'pay-17');
*/
export function shardOfKey(organisation: string, key: string): number {
	return hashText(`${organisation}/${key}`) % claimShards;
}

import {hashText} from './rendezvous.js';

/**
The parts of a service's log of claims. It is no setting: a key that fell into
another part would find no claim there and run again.
*/
export const claimShards = 8;

/**
The part of a service's log that holds a key, the same on every process.

@example
const shard = shardOfKey('ayamoni', 'pay-17');
*/
export function shardOfKey(organisation: string, key: string): number {
	return hashText(`${organisation}/${key}`) % claimShards;
}

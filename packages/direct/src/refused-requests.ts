import {createHash} from 'node:crypto';
import {LRUCache} from 'lru-cache';
import {type Call} from './call.js';

/** How long a refused request is remembered, in milliseconds. Callers return within a third of their deadline. */
const maxAgeMs = 10_000;

/** The most refused requests that an entry remembers. */
const maxRequests = 8192;

/** The requests that were refused lately, by which an entry tells a caller that returns from one that calls for the first time. */
export type RefusedRequests = {
	/** Records a refused request with the time since its caller first sent it, in milliseconds. */
	add(identity: string, waitedMs: number): void;
	/** Returns the time since a caller first sent a request that was refused, in milliseconds; `undefined` if it was not refused lately. */
	waitedMs(identity: string): number | undefined;
};

/**
Creates an empty record of refused requests.

@example
const refused = createRefusedRequests(() => performance.now());
refused.add('Zk3vUe0rPls', 72);
refused.waitedMs('Zk3vUe0rPls'); // 72 and the time since
*/
export function createRefusedRequests(nowMs: () => number): RefusedRequests {
	const firstSentMs = new LRUCache<string, {readonly sentMs: number; readonly refusedMs: number}>({max: maxRequests});
	return {
		add(identity, waitedMs) {
			const refusedMs = nowMs();
			const sentMs = refusedMs - waitedMs;
			const earlier = firstSentMs.get(identity);
			firstSentMs.set(identity, {sentMs: Math.min(sentMs, earlier && refusedMs - earlier.refusedMs <= maxAgeMs ? earlier.sentMs : sentMs), refusedMs});
		},
		waitedMs(identity) {
			const record = firstSentMs.get(identity);
			return record && nowMs() - record.refusedMs <= maxAgeMs ? nowMs() - record.sentMs : undefined;
		},
	};
}

/**
Returns the identity that a generation keeps when its caller sends it again under
another request id, or `undefined` if the call states no parts of its prompt. Callers
of the same organisation with the same prompt have the same identity.

@example
generationIdentity(call); // 'Zk3vUe0rPls'
*/
export function generationIdentity({organisation, path, generation}: Call): string | undefined {
	if (!generation || generation.parts.length === 0) {
		return undefined;
	}

	const {promptTokens, maxAnswerTokens, parts} = generation;
	return createHash('sha1')
		.update(JSON.stringify([organisation, path, promptTokens, maxAnswerTokens, parts]))
		.digest('base64url')
		.slice(0, identityLength);
}

/** The length of an identity in characters of six bits each, with which a collision among the remembered requests is unlikely. */
const identityLength = 11;

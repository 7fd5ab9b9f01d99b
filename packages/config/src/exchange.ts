import {type Follower, type Update} from './follower.js';

/** The messages by which two processes bring each other up to date. */
export type ConfigMessage
	= | {readonly kind: 'revision'; readonly revision: number; readonly ageMs: number; readonly sentMs: number}
		| {readonly kind: 'pullConfig'; readonly have: readonly string[]}
		| {readonly kind: 'config'; readonly update: Update};

/** The clocks of a process, in milliseconds. */
export type Clock = {
	/** A clock that never goes back. */
	readonly monotonicMs: () => number;
};

/** Says this process's revision and how fresh it is. */
export function revisionMessage(follower: Follower, clock: Clock): ConfigMessage {
	const nowMs = clock.monotonicMs();
	return {
		kind: 'revision', revision: follower.revision(), ageMs: nowMs - follower.confirmedAtMs(), sentMs: nowMs,
	};
}

/**
Answers a message of a peer. Whoever is behind pulls, whoever is ahead is pulled
from, so that a change reaches every process along the connections that stand.

@example
const reply = onConfigMessage(frame, follower, clock);
if (reply) connection.send(reply);
*/
export function onConfigMessage(message: ConfigMessage, follower: Follower, clock: Clock): ConfigMessage | undefined {
	switch (message.kind) {
		case 'revision': {
			const nowMs = clock.monotonicMs();
			if (follower.heard(message.revision, nowMs - message.ageMs) === 'behind') {
				return pull(follower, nowMs);
			}

			return message.revision < follower.revision() ? revisionMessage(follower, clock) : undefined;
		}

		case 'pullConfig': {
			const update = follower.updateFor(message.have);
			return update && {kind: 'config', update};
		}

		case 'config': {
			const result = follower.offer(message.update);
			if (result === 'incomplete') {
				return {kind: 'pullConfig', have: []};
			}

			return follower.isBehind() ? pull(follower, clock.monotonicMs()) : undefined;
		}
	}
}

function pull(follower: Follower, nowMs: number): ConfigMessage | undefined {
	return follower.takePull(nowMs) ? {kind: 'pullConfig', have: follower.have()} : undefined;
}

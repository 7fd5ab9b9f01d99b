import {type Follower, type ConfigUpdate} from './follower.js';

/** The messages with which two processes exchange configuration. */
export type ConfigMessage
	= | {readonly kind: 'revision'; readonly revision: number; readonly ageMs: number; readonly sentMs: number}
		| {readonly kind: 'pullConfig'; readonly have: readonly string[]}
		| {readonly kind: 'config'; readonly update: ConfigUpdate};

/** The monotonic clock of a process, in milliseconds. */
export type Clock = {
	readonly monotonicMs: () => number;
};

/** Creates the message with the revision applied here and the time since it was last known to be current. */
export function revisionMessage(follower: Follower, clock: Clock): ConfigMessage {
	const nowMs = clock.monotonicMs();
	return {
		kind: 'revision', revision: follower.revision(), ageMs: nowMs - follower.confirmedAtMs(), sentMs: nowMs,
	};
}

/**
Handles a message of a peer and returns the reply, if any. The process with the
lower revision pulls from the other one, so that a change reaches every process
over the open connections.

@example
const reply = onConfigMessage(frame, follower, clock);
if (reply) connection.send(reply);
*/
export function onConfigMessage(message: ConfigMessage, follower: Follower, clock: Clock): ConfigMessage | undefined {
	switch (message.kind) {
		case 'revision': {
			const nowMs = clock.monotonicMs();
			if (follower.noteRevision(message.revision, nowMs - message.ageMs) === 'behind') {
				return createPullMessage(follower, nowMs);
			}

			return message.revision < follower.revision() ? revisionMessage(follower, clock) : undefined;
		}

		case 'pullConfig': {
			const update = follower.updateFor(message.have);
			return update && {kind: 'config', update};
		}

		case 'config': {
			const result = follower.applyUpdate(message.update);
			if (result === 'incomplete') {
				return {kind: 'pullConfig', have: []};
			}

			return follower.isBehind() ? createPullMessage(follower, clock.monotonicMs()) : undefined;
		}
	}
}

function createPullMessage(follower: Follower, nowMs: number): ConfigMessage | undefined {
	return follower.startPull(nowMs) ? {kind: 'pullConfig', have: follower.have()} : undefined;
}

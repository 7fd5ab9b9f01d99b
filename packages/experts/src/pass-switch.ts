import {
	type LayeredMap, type PassCommand, type PassRanks, type RankView,
} from './pass-command.js';

/** Number of attempts to hold a pass. An attempt fails when the pass begins before the hold command arrives. */
const maxHoldAttempts = 4;

/** Number of arm commands sent to a rank that does not answer. The group may be waiting at the held pass meanwhile. */
const maxArmAttempts = 8;

/** Number of commands sent to a rank that does not answer, to establish the fencing token on it. */
const maxFenceAttempts = 4;

/** Interval between two reads of a rank's state, and between two attempts of a command, in milliseconds. */
const pollIntervalMs = 25;

export type PassSwitchOptions = {
	readonly ranks: PassRanks;
	readonly fencingToken: number;
	readonly formation: number;
	/** Index of the rank that holds the group, preferably the rank on the coordinator's machine. */
	readonly holder: number;
	/**
	Chooses the pass to hold, given the last pass that has begun. With
	`hasMissingReplies` it should choose a later pass, so that commands can be sent
	again before the group has to wait. Each call under one fencing token must return
	a higher pass than the call before: the release of an earlier hold may be obeyed
	late, and would release the group in the middle of a switch if the pass were the
	same.
	*/
	readonly chooseHoldPass: (lastBegunPass: number, hasMissingReplies: boolean) => number;
	readonly prepareTimeoutMs: number;
	readonly nowMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/**
	Time limit for the abort of a switch and for the release of a held group, in
	milliseconds each. When it runs out, the group stays held until the next
	`resolvePass`.
	*/
	readonly decideTimeoutMs: number;
	/** Whether this coordinator should start no further work. A switch that already holds the group is still completed or aborted. */
	readonly isStopped: () => boolean;
};

/**
Outcome of a switch. `switched`: every rank uses the map from `pass` on.
`abandoned`: no rank will use the map. `superseded`: another coordinator has a higher
fencing token, or the group has a new formation. `stuck`: the outcome could not be
confirmed by every rank, and the group may still be held; call `resolvePass`.

`preparedMs` is the duration of the prepare phase, and `heldMs` the time from the hold
of the group to its release.
*/
export type PassSwitchResult
	= | {readonly kind: 'switched'; readonly pass: number; readonly preparedMs: number; readonly heldMs: number}
		| {readonly kind: 'abandoned'; readonly at: 'prepare' | 'hold' | 'arm'}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'stuck'};

type PhaseResult = 'done' | 'failed' | 'superseded';

/**
Switches every rank of a group to a new expert map at the same pass, much like a
two-phase commit. It prepares the map on every rank, lets one rank hold the group
before a pass, and arms every rank for that pass. It releases the group once every
rank has reported that it is armed.

If a rank does not report this, the switch is aborted before the group is released:
every rank is disarmed and prepares the map in use, `current`, as `version + 1`. An
arm command for `version` that arrives late then has no effect. The next switch must
use a version above `version + 1`.

@example
const result = await switchPass({version: 4, map, current}, options);
*/
export async function switchPass(
	{version, map, current}: {readonly version: number; readonly map: LayeredMap; readonly current: LayeredMap},
	options: PassSwitchOptions,
): Promise<PassSwitchResult> {
	const startedMs = options.nowMs();
	const replies = {hasMissing: false};
	const prepareResult = await prepareAllRanks(version, map, replies, options);
	if (prepareResult !== 'done') {
		return prepareResult === 'superseded' ? {kind: 'superseded'} : {kind: 'abandoned', at: 'prepare'};
	}

	const preparedMs = options.nowMs() - startedMs;
	const pass = await holdUpcomingPass(replies.hasMissing, options);
	if (typeof pass === 'string') {
		return pass === 'superseded' ? {kind: 'superseded'} : {kind: 'abandoned', at: 'hold'};
	}

	const heldAtMs = options.nowMs();
	// Releasing the group with a rank that is not armed would start a pass with two maps. (pass-switch.pml: unanimous)
	if (await armAllRanks(version, pass, options)) {
		const isReleased = await releaseGroup(pass, options);
		return isReleased
			? {
				kind: 'switched', pass, preparedMs, heldMs: options.nowMs() - heldAtMs,
			}
			: {kind: 'stuck'};
	}

	const abortResult = await abortOnAllRanks(version, current, options);
	if (abortResult !== 'done') {
		return abortResult === 'superseded' ? {kind: 'superseded'} : {kind: 'stuck'};
	}

	const isReleased = await releaseGroup(pass, options);
	return isReleased ? {kind: 'abandoned', at: 'arm'} : {kind: 'stuck'};
}

/**
Outcome of `resolvePass`. `superseded`: another coordinator has a higher fencing token,
the group has a new formation, or this coordinator was stopped. `unreachable`: a rank
did not answer, so the switch may still be unfinished.
*/
export type ResolveResult
	/** The group is not held and no rank is armed. The next switch must use a version above `newestVersion` and hold a pass after `held`. */
	= | {readonly kind: 'clear'; readonly newestVersion: number; readonly held: number}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'unreachable'};

/**
Completes or aborts the switch that an earlier coordinator left unfinished, or a
switch of this coordinator that ended as `stuck`. The fencing token must not have been
used before.

Every rank accepts the new token first, so that no earlier command can change the
states of the ranks after they have been read. If every rank is armed for the held pass,
the group is released and the switch takes effect. Otherwise the switch is aborted on
every rank before the group is released.

@example
const resolved = await resolvePass(current, options);
*/
export async function resolvePass(current: LayeredMap, options: PassSwitchOptions): Promise<ResolveResult> {
	// Until every rank has accepted the token, an older command may still change the states to be read. (pass-switch.pml: fenceFirst)
	const fenceResult = await fenceAllRanks(options);
	if (fenceResult !== 'done') {
		return fenceResult === 'superseded' ? {kind: 'superseded'} : {kind: 'unreachable'};
	}

	let lastHeldPass = 0;
	while (!options.isStopped()) {
		const views = await readAllViews(options);
		if (!views) {
			return {kind: 'unreachable'};
		}

		if (views.some(view => view.formation !== options.formation)) {
			return {kind: 'superseded'};
		}

		const newest = Math.max(...views.map(view => Math.max(view.mapVersion, view.prepared ?? 0, view.armed?.version ?? 0)));
		const armed = views.find(view => view.armed)?.armed;
		const holder = views.find(view => view.held !== undefined);
		if (!holder && !armed) {
			return {kind: 'clear', newestVersion: newest, held: lastHeldPass};
		}

		if (!holder) {
			// The group has been released, so every rank is armed. The ranks switch when new work starts the pass.
			await options.sleep(pollIntervalMs);
			continue;
		}

		const pass = holder.held!;
		lastHeldPass = Math.max(lastHeldPass, pass);
		const isUnanimous = armed !== undefined && views.every(view => isArmed(view, armed.version, pass));
		const abortResult = isUnanimous ? 'done' : await abortOnAllRanks(newest, current, options);
		if (abortResult !== 'done') {
			return abortResult === 'superseded' ? {kind: 'superseded'} : {kind: 'unreachable'};
		}

		await options.ranks.order(holder.rank, withFencing({kind: 'release', pass}, options));
	}

	return {kind: 'superseded'};
}

/**
Prepares a map on every rank and waits until each has copied its experts. Sets
`replies.hasMissing` when the result of a command is unknown.
*/
async function prepareAllRanks(version: number, map: LayeredMap, replies: {hasMissing: boolean}, options: PassSwitchOptions): Promise<PhaseResult> {
	const deadlineMs = options.nowMs() + options.prepareTimeoutMs;
	const results = await Promise.all(rankIndexes(options).map(async (rank): Promise<PhaseResult> => {
		let reply = await options.ranks.command(rank, withFencing({kind: 'prepare', version, map}, options));
		while (!options.isStopped() && options.nowMs() < deadlineMs) {
			replies.hasMissing ||= reply.result === 'unknown';
			if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
				return 'superseded';
			}

			if (reply.view?.prepared === version) {
				return 'done';
			}

			await options.sleep(pollIntervalMs);
			const view = await options.ranks.readView(rank);
			// A rank that is not copying experts and has not prepared the map did not receive the command.
			reply = view && !view.isCopying && view.prepared !== version
				? await options.ranks.command(rank, withFencing({kind: 'prepare', version, map}, options))
				: {result: 'obeyed', view};
		}

		return 'failed';
	}));
	return worstResult(results);
}

/** Holds the group before a pass that has not begun, and returns that pass. */
async function holdUpcomingPass(hasMissingReplies: boolean, options: PassSwitchOptions): Promise<number | 'failed' | 'superseded'> {
	for (let i = 0; i < maxHoldAttempts && !options.isStopped(); i++) {
		const view = await options.ranks.readView(options.holder);
		if (!view?.isOpen) {
			return 'failed';
		}

		const pass = options.chooseHoldPass(view.pass, hasMissingReplies);
		const reply = await options.ranks.command(options.holder, withFencing({kind: 'hold', pass}, options));
		if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
			return 'superseded';
		}

		// Only the state that the rank reports proves the hold, since commands and replies may be lost. (pass-switch.pml: heldSeen)
		if (reply.view?.held !== undefined) {
			return reply.view.held;
		}
	}

	return 'failed';
}

/**
Aborts a switch on every rank: disarms the rank and prepares the map in use under a
higher version, so that a late arm command for `version` has no effect.
*/
async function abortOnAllRanks(version: number, current: LayeredMap, options: PassSwitchOptions): Promise<PhaseResult> {
	const deadlineMs = options.nowMs() + options.decideTimeoutMs;
	const results = await Promise.all(rankIndexes(options).map(async (rank): Promise<PhaseResult> => {
		while (options.nowMs() < deadlineMs) {
			const disarmReply = await options.ranks.command(rank, withFencing({kind: 'disarm', version}, options));
			if (disarmReply.result === 'fenced' || isOtherFormation(disarmReply.view, options)) {
				return 'superseded';
			}

			const prepareReply = await options.ranks.command(rank, withFencing({kind: 'prepare', version: version + 1, map: current}, options));
			const {view} = prepareReply;
			if (view && view.armed === undefined && (view.prepared ?? 0) > version) {
				return 'done';
			}

			// The held pass has begun with this map on every rank before the rank could be disarmed, so there is nothing to abort.
			if (view?.mapVersion === version) {
				return 'done';
			}

			await options.sleep(pollIntervalMs);
		}

		return 'failed';
	}));
	return worstResult(results);
}

/**
Establishes the fencing token on every rank, which then rejects commands with lower
tokens. The command that carries the token releases pass 0. That pass is never held, so
the command has no other effect.
*/
async function fenceAllRanks(options: PassSwitchOptions): Promise<PhaseResult> {
	const results = await Promise.all(rankIndexes(options).map(async (rank): Promise<PhaseResult> => {
		for (let i = 0; i < maxFenceAttempts; i++) {
			const result = await options.ranks.order(rank, withFencing({kind: 'release', pass: 0}, options));
			if (result === 'obeyed') {
				return 'done';
			}

			if (result === 'fenced') {
				return 'superseded';
			}
		}

		return 'failed';
	}));
	return worstResult(results);
}

/** Releases the hold of the group at `pass`; `false` when the release is not confirmed in time or another coordinator or formation has taken over. */
async function releaseGroup(pass: number, options: PassSwitchOptions): Promise<boolean> {
	const deadlineMs = options.nowMs() + options.decideTimeoutMs;
	while (options.nowMs() < deadlineMs) {
		const reply = await options.ranks.command(options.holder, withFencing({kind: 'release', pass}, options));
		if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
			return false;
		}

		if (reply.view && reply.view.held === undefined) {
			return true;
		}

		await options.sleep(pollIntervalMs);
	}

	return false;
}

/**
Arms every rank, and sends the command again to a rank that does not report that it is
armed. Returns `false` when a rank rejects the command or does not confirm it in any
attempt.
*/
async function armAllRanks(version: number, pass: number, options: PassSwitchOptions): Promise<boolean> {
	const armed = await Promise.all(rankIndexes(options).map(async rank => {
		for (let i = 0; i < maxArmAttempts; i++) {
			const reply = await options.ranks.command(rank, withFencing({kind: 'arm', version, pass}, options));
			if (isArmed(reply.view, version, pass)) {
				return true;
			}

			if (reply.result === 'refused' || reply.result === 'fenced') {
				return false;
			}
		}

		return false;
	}));
	return armed.every(Boolean);
}

async function readAllViews({ranks}: PassSwitchOptions): Promise<readonly RankView[] | undefined> {
	const views = await Promise.all(Array.from({length: ranks.count}, async (_, rank) => ranks.readView(rank)));
	return views.every(view => view !== undefined) ? views : undefined;
}

function rankIndexes({ranks}: PassSwitchOptions): readonly number[] {
	return Array.from({length: ranks.count}, (_, rank) => rank);
}

function withFencing(command: PassCommand, {fencingToken, formation}: PassSwitchOptions) {
	return {command, fencingToken, formation};
}

function isArmed(view: RankView | undefined, version: number, pass: number): boolean {
	return view?.armed?.version === version && view.armed.pass === pass;
}

function isOtherFormation(view: RankView | undefined, {formation}: PassSwitchOptions): boolean {
	return view !== undefined && view.formation !== formation;
}

function worstResult(results: readonly PhaseResult[]): PhaseResult {
	if (results.includes('superseded')) {
		return 'superseded';
	}

	return results.includes('failed') ? 'failed' : 'done';
}

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
	Time limit for the abort of a switch, for the release of a held group and for
	`resolvePass`, in milliseconds each. When it runs out, the group stays held until the
	next `resolvePass`.
	*/
	readonly decideTimeoutMs: number;
	/** Whether this coordinator should start no further work. A switch that already holds the group is still completed or aborted. */
	readonly isStopped: () => boolean;
};

/**
Outcome of a switch. `switched`: every rank uses the map from `pass` on.
`abandoned`: no rank will use the map. `superseded`: another coordinator has a higher
fencing token, or the group has a new formation. `stuck`: the outcome could not be
confirmed by every rank, and the group may still be held; call `resolvePass`. Its `at`
names the phase that could not be ended.

`preparedMs` is the duration of the prepare phase, and `heldMs` the time from the hold
of the group to its release.
*/
export type PassSwitchResult
	= | {readonly kind: 'switched'; readonly pass: number; readonly preparedMs: number; readonly heldMs: number}
		| {readonly kind: 'abandoned'; readonly at: 'prepare' | 'hold' | 'arm'}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'stuck'; readonly at: 'abort' | 'release'};

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
			: {kind: 'stuck', at: 'release'};
	}

	const deadlineMs = options.nowMs() + options.decideTimeoutMs;
	const abortResult = await sealAllRanks({
		newestVersion: version, map: current, deadlineMs, armedVersion: () => version,
	}, options);
	if (abortResult !== 'done') {
		return abortResult === 'superseded' ? {kind: 'superseded'} : {kind: 'stuck', at: 'abort'};
	}

	const isReleased = await releaseGroup(pass, options);
	return isReleased ? {kind: 'abandoned', at: 'arm'} : {kind: 'stuck', at: 'release'};
}

/**
Outcome of `resolvePass`. `superseded`: another coordinator has a higher fencing token,
the group has a new formation, or this coordinator was stopped. `unresolved`: the ranks
could not all be brought to the state that `clear` describes, so the switch may still be
unfinished; `at` names the phase that could not be ended and `views` contains the last
known state of each rank.
*/
export type ResolveResult
	/** The group is not held and no rank is armed. All ranks use the map `mapVersion`. The next switch must use a version above `newestVersion` and hold a pass after `held`. */
	= | {readonly kind: 'clear'; readonly newestVersion: number; readonly mapVersion: number; readonly held: number}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'unresolved'; readonly at: 'fence' | 'read' | 'map' | 'abort' | 'release'; readonly views: ReadonlyArray<RankView | undefined>};

/**
Completes or aborts the switches that earlier coordinators left unfinished, or a switch
of this coordinator that ended as `stuck`. The fencing token must not have been used
before. `readMap` reads the map of a version in use, which an abort prepares again;
`undefined` while it can't be read.

Every rank accepts the new token first, so that no earlier command can change the
states of the ranks after they have been read. If every rank is armed for the same
version and pass, the group is released and the switch takes effect. Otherwise every
rank is disarmed, whichever version it is armed for, before the group is released. Ranks
that are armed while nobody holds the group are held first.

@example
const resolved = await resolvePass(async () => current, options);
*/
export async function resolvePass(readMap: (version: number) => Promise<LayeredMap | undefined>, options: PassSwitchOptions): Promise<ResolveResult> {
	// Until every rank has accepted the token, an older command may still change the states to be read. (pass-switch.pml: fenceFirst)
	const fenceResult = await fenceAllRanks(options);
	if (fenceResult !== 'done') {
		return fenceResult === 'superseded' ? {kind: 'superseded'} : {kind: 'unresolved', at: 'fence', views: await readAllViews(options)};
	}

	let lastHeldPass = 0;
	let lastBegunPass = -1;
	let progressedMs = options.nowMs();
	let isAborting = false;
	let phase: 'map' | 'release' = 'release';
	while (!options.isStopped()) {
		const views = await readAllViews(options);
		if (!isComplete(views)) {
			return {kind: 'unresolved', at: 'read', views};
		}

		if (views.some(view => view.formation !== options.formation)) {
			return {kind: 'superseded'};
		}

		const assessment = assessViews(views);
		const {
			newestVersion, mapVersion, holders, earliestArmedPass,
		} = assessment;
		if (assessment.begunPass > lastBegunPass) {
			lastBegunPass = assessment.begunPass;
			progressedMs = options.nowMs();
		}

		const waitedMs = options.nowMs() - progressedMs;
		const step = chooseStep(assessment, {isAborting, isIdle: waitedMs >= options.decideTimeoutMs / 2});
		if (step === 'none') {
			return {
				kind: 'clear', newestVersion, mapVersion, held: lastHeldPass,
			};
		}

		if (waitedMs >= options.decideTimeoutMs) {
			return {kind: 'unresolved', at: phase, views};
		}

		lastHeldPass = Math.max(lastHeldPass, ...holders.map(({pass}) => pass));
		isAborting ||= step === 'hold' || step === 'abort';
		if (step === 'hold') {
			await holdAtHolder(earliestArmedPass!, views[options.holder].held, options);
			continue;
		}

		const map = step === 'abort' ? await readMap(mapVersion) : undefined;
		phase = step === 'abort' && !map ? 'map' : 'release';
		if (step === 'wait' || phase === 'map') {
			await options.sleep(pollIntervalMs);
			continue;
		}

		const abortResult = map
			? await sealAllRanks({
				newestVersion, map, deadlineMs: progressedMs + options.decideTimeoutMs, armedVersion: rank => views[rank].armed?.version,
			}, options)
			: 'done';
		if (abortResult !== 'done') {
			return abortResult === 'superseded' ? {kind: 'superseded'} : {kind: 'unresolved', at: 'abort', views: await readAllViews(options)};
		}

		await releaseAll(holders, options);
	}

	return {kind: 'superseded'};
}

/**
The next step of a resolution: `none` if there is nothing to resolve, `wait` until the
ranks switch, `hold` the group before the earliest pass for which a rank is armed, `abort`
the switches, or `release` the group.
*/
type ResolveStep = 'none' | 'wait' | 'hold' | 'abort' | 'release';

function chooseStep(
	{holders, earliestArmedPass, isUnanimous, isHeldInTime}: Assessment,
	{isAborting, isIdle}: {readonly isAborting: boolean; readonly isIdle: boolean},
): ResolveStep {
	const isHeld = holders.length > 0;
	if (!isHeld && earliestArmedPass === undefined) {
		return 'none';
	}

	// Ranks that are all armed for one pass switch when work starts it. If none comes, the switch is aborted. (pass-resolve.pml: idleEnd)
	if (isUnanimous && !isAborting && (isHeld || !isIdle)) {
		return isHeld ? 'release' : 'wait';
	}

	// If the pass began while only some ranks were disarmed, it would begin with two maps. (pass-resolve.pml: heldFirst)
	return isHeldInTime ? 'abort' : 'hold';
}

/** What the states of all ranks say together. */
type Assessment = {
	/** The highest version that any rank knows. */
	readonly newestVersion: number;
	/** The highest version in use. */
	readonly mapVersion: number;
	/** The last pass that has begun. */
	readonly begunPass: number;
	/** The ranks that hold the group, and the pass that each holds. */
	readonly holders: ReadonlyArray<{readonly rank: number; readonly pass: number}>;
	/** The earliest pass for which a rank is armed; `undefined` if none is. */
	readonly earliestArmedPass: number | undefined;
	/** Whether all ranks are armed for the same version and pass. */
	readonly isUnanimous: boolean;
	/** Whether no pass for which a rank is armed can begin until a hold is released. */
	readonly isHeldInTime: boolean;
};

function assessViews(views: readonly RankView[]): Assessment {
	const holders = views.flatMap(({rank, held}) => held === undefined ? [] : [{rank, pass: held}]);
	const armed = views.flatMap(view => view.armed ?? []);
	const [first] = armed;
	const earliestArmedPass = armed.length === 0 ? undefined : Math.min(...armed.map(({pass}) => pass));
	return {
		newestVersion: Math.max(...views.map(view => Math.max(view.mapVersion, view.prepared ?? 0, view.armed?.version ?? 0))),
		mapVersion: Math.max(...views.map(view => view.mapVersion)),
		begunPass: Math.max(...views.map(({pass}) => pass)),
		holders,
		earliestArmedPass,
		isUnanimous: armed.length === views.length && armed.every(({version, pass}) => version === first.version && pass === first.pass),
		isHeldInTime: holders.some(({pass}) => earliestArmedPass === undefined || pass <= earliestArmedPass),
	};
}

async function releaseAll(holders: Assessment['holders'], options: PassSwitchOptions): Promise<void> {
	const results = await Promise.all(holders.map(async ({rank, pass}) => options.ranks.order(rank, withFencing({kind: 'release', pass}, options))));
	if (results.some(result => result !== 'obeyed')) {
		await options.sleep(pollIntervalMs);
	}
}

/** Makes the holder hold the group before `pass`. A rank holds one pass at a time, so the one that it holds already is released first. */
async function holdAtHolder(pass: number, heldPass: number | undefined, options: PassSwitchOptions): Promise<void> {
	if (heldPass !== undefined) {
		await options.ranks.order(options.holder, withFencing({kind: 'release', pass: heldPass}, options));
	}

	if (await options.ranks.order(options.holder, withFencing({kind: 'hold', pass}, options)) !== 'obeyed') {
		await options.sleep(pollIntervalMs);
	}
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

type SealOptions = {
	/** The highest version that any rank knows. */
	readonly newestVersion: number;
	/** The map in use, which is prepared again. */
	readonly map: LayeredMap;
	readonly deadlineMs: number;
	/** The version that a rank is armed for, as far as it is known. */
	readonly armedVersion: (rank: number) => number | undefined;
};

/**
Disarms every rank and prepares the map in use under a version above `newestVersion`, so
that a late arm command for any version up to that one has no effect. A rank is disarmed
from the version that it reports, since the ranks may be armed for different ones, and a
command that disarms another version succeeds without effect.
*/
async function sealAllRanks({newestVersion, map, deadlineMs, armedVersion}: SealOptions, options: PassSwitchOptions): Promise<PhaseResult> {
	const results = await Promise.all(rankIndexes(options).map(async (rank): Promise<PhaseResult> => {
		let armed = armedVersion(rank);
		let sealDistance = 1;
		let isAccepted = false;
		while (options.nowMs() < deadlineMs) {
			const command: PassCommand = armed === undefined ? {kind: 'prepare', version: newestVersion + sealDistance, map} : {kind: 'disarm', version: armed};
			const {result, view} = await options.ranks.command(rank, withFencing(command, options));
			if (result === 'fenced' || isOtherFormation(view, options)) {
				return 'superseded';
			}

			if (view && isSealed(view, newestVersion)) {
				return 'done';
			}

			const wasArmed = armed !== undefined;
			armed = view ? view.armed?.version : armed;
			isAccepted ||= command.kind === 'prepare' && result === 'obeyed';
			// A rank doesn't report the version that it is copying, and refuses every lower one.
			sealDistance *= command.kind === 'prepare' && result === 'refused' && armed === undefined && !isAccepted ? 2 : 1;
			if (wasArmed === (armed !== undefined)) {
				await options.sleep(pollIntervalMs);
			}
		}

		return 'failed';
	}));
	return worstResult(results);
}

/** Whether no command for a version up to `newestVersion` can arm the rank any more. */
function isSealed(view: RankView, newestVersion: number): boolean {
	return view.armed === undefined && ((view.prepared ?? 0) > newestVersion || view.mapVersion >= newestVersion);
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

async function readAllViews({ranks}: PassSwitchOptions): Promise<ReadonlyArray<RankView | undefined>> {
	return Promise.all(Array.from({length: ranks.count}, async (_, rank) => ranks.readView(rank)));
}

function isComplete(views: ReadonlyArray<RankView | undefined>): views is readonly RankView[] {
	return views.every(view => view !== undefined);
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

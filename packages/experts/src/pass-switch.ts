import {
	type LayeredMap, type PassCommand, type PassRanks, type RankView,
} from './pass-command.js';

/** Passes that are tried to be held, since one may begin before the command comes. */
const holdTries = 4;

/** How often a rank is told to arm that does not answer: the group waits meanwhile. */
const armTries = 8;

/** How often a rank is told a token that does not answer. */
const fenceTries = 4;

/** Pause between two looks at ranks that copy, and before a command is given again, in milliseconds. */
const pauseMs = 25;

export type PassSwitchOptions = {
	readonly ranks: PassRanks;
	readonly fencingToken: number;
	readonly formation: number;
	/** The rank that holds the group, best the one beside the coordinator. */
	readonly holder: number;
	/**
	Names the pass to hold when `begun` is the last one begun; further ahead where
	orders went unanswered, so that ranks can be told again before the group has to
	wait. It must name a higher one each time for the life of a token: the release of
	an earlier hold may be obeyed late, and would let the group go in the middle of a
	switch.
	*/
	readonly passAfter: (begun: number, hasSilence: boolean) => number;
	readonly prepareTimeoutMs: number;
	readonly nowMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** How long a held group is worked on before it is left to the next resolution, in milliseconds. */
	readonly decideTimeoutMs: number;
	/** Whether this coordinator should begin nothing more. What holds the group is still ended. */
	readonly isStopped: () => boolean;
};

/**
How a switch ends. `switched`: every rank uses the map from one pass on. `abandoned`:
no rank will use it. `superseded`: another coordinator, or a new formation of the
group, decides. `stuck`: a rank could not be reached to say either; `resolve` it.
*/
export type PassSwitchResult
	= | {readonly kind: 'switched'; readonly pass: number; readonly preparedMs: number; readonly heldMs: number}
		| {readonly kind: 'abandoned'; readonly at: 'prepare' | 'hold' | 'arm'}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'stuck'};

type Step = 'done' | 'failed' | 'superseded';

/**
Brings every rank to a map in one pass. The map is prepared on every rank; one rank
holds the group before a pass; every rank is armed for that pass; only when each has
shown that it is armed does the group go on. Where one has not, the map is taken back
from every rank by a higher version before the group goes on, so that no command
that is obeyed late can arm it.

`current` is the map in use, which the higher version repeats.

@example
const result = await switchPass({version: 4, map, current}, options);
*/
export async function switchPass(
	{version, map, current}: {readonly version: number; readonly map: LayeredMap; readonly current: LayeredMap},
	options: PassSwitchOptions,
): Promise<PassSwitchResult> {
	const startedMs = options.nowMs();
	const silence = {isHeard: false};
	const prepared = await prepareAll(version, map, silence, options);
	if (prepared !== 'done') {
		return prepared === 'superseded' ? {kind: 'superseded'} : {kind: 'abandoned', at: 'prepare'};
	}

	const preparedMs = options.nowMs() - startedMs;
	const pass = await holdAhead(silence.isHeard, options);
	if (typeof pass === 'string') {
		return pass === 'superseded' ? {kind: 'superseded'} : {kind: 'abandoned', at: 'hold'};
	}

	const heldAtMs = options.nowMs();
	// Unanimous, or not at all. (pass-switch.pml: unanimous)
	if (await armAll(version, pass, options)) {
		const released = await release(pass, options);
		return released
			? {
				kind: 'switched', pass, preparedMs, heldMs: options.nowMs() - heldAtMs,
			}
			: {kind: 'stuck'};
	}

	const withdrawn = await withdrawAll(version, current, options);
	if (withdrawn !== 'done') {
		return withdrawn === 'superseded' ? {kind: 'superseded'} : {kind: 'stuck'};
	}

	const released = await release(pass, options);
	return released ? {kind: 'abandoned', at: 'arm'} : {kind: 'stuck'};
}

export type ResolveResult
	/** The group is not held and nothing is armed; maps of higher versions than `newest` can be prepared, passes after `held` held. */
	= | {readonly kind: 'clear'; readonly newest: number; readonly held: number}
		| {readonly kind: 'superseded'}
		| {readonly kind: 'unreachable'};

/**
Takes the ranks over from an earlier coordinator, or from an own switch that got
stuck; the token must be one that was not used before. Every rank hears of the new
token first, so that nothing of before can change what is seen after that. Then, if
every rank is armed for the held pass, the group goes on; else the map is taken back
from all of them before it does.

@example
const resolved = await resolvePass(current, options);
*/
export async function resolvePass(current: LayeredMap, options: PassSwitchOptions): Promise<ResolveResult> {
	// What is seen before every rank has heard of the token may change by an older order. (pass-switch.pml: fenceFirst)
	const fenced = await fenceAll(options);
	if (fenced !== 'done') {
		return fenced === 'superseded' ? {kind: 'superseded'} : {kind: 'unreachable'};
	}

	let heldLast = 0;
	while (!options.isStopped()) {
		const views = await lookAll(options);
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
			return {kind: 'clear', newest, held: heldLast};
		}

		if (!holder) {
			// Let go: then every rank is armed, and the pass begins with the next work.
			await options.sleep(pauseMs);
			continue;
		}

		const pass = holder.held!;
		heldLast = Math.max(heldLast, pass);
		const isUnanimous = armed !== undefined && views.every(view => isArmed(view, armed.version, pass));
		const decided = isUnanimous ? 'done' : await withdrawAll(newest, current, options);
		if (decided !== 'done') {
			return decided === 'superseded' ? {kind: 'superseded'} : {kind: 'unreachable'};
		}

		await options.ranks.order(holder.rank, guard({kind: 'release', pass}, options));
	}

	return {kind: 'superseded'};
}

async function prepareAll(version: number, map: LayeredMap, silence: {isHeard: boolean}, options: PassSwitchOptions): Promise<Step> {
	const untilMs = options.nowMs() + options.prepareTimeoutMs;
	const results = await Promise.all(ranksOf(options).map(async (rank): Promise<Step> => {
		let reply = await options.ranks.command(rank, guard({kind: 'prepare', version, map}, options));
		while (!options.isStopped() && options.nowMs() < untilMs) {
			silence.isHeard ||= reply.result === 'unknown';
			if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
				return 'superseded';
			}

			if (reply.view?.prepared === version) {
				return 'done';
			}

			await options.sleep(pauseMs);
			const view = await options.ranks.look(rank);
			// A rank that neither copies nor has the map did not hear of it.
			reply = view && !view.isCopying && view.prepared !== version
				? await options.ranks.command(rank, guard({kind: 'prepare', version, map}, options))
				: {result: 'obeyed', view};
		}

		return 'failed';
	}));
	return worst(results);
}

async function holdAhead(hasSilence: boolean, options: PassSwitchOptions): Promise<number | 'failed' | 'superseded'> {
	for (let i = 0; i < holdTries && !options.isStopped(); i++) {
		const view = await options.ranks.look(options.holder);
		if (!view?.isOpen) {
			return 'failed';
		}

		const pass = options.passAfter(view.pass, hasSilence);
		const reply = await options.ranks.command(options.holder, guard({kind: 'hold', pass}, options));
		if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
			return 'superseded';
		}

		// Only what the rank itself shows counts: an answer may be lost, and so may a command. (pass-switch.pml: heldSeen)
		if (reply.view?.held !== undefined) {
			return reply.view.held;
		}
	}

	return 'failed';
}

/** Takes a map back from every rank: after a higher version is prepared, no late command can arm the lower one. */
async function withdrawAll(version: number, current: LayeredMap, options: PassSwitchOptions): Promise<Step> {
	const untilMs = options.nowMs() + options.decideTimeoutMs;
	const results = await Promise.all(ranksOf(options).map(async (rank): Promise<Step> => {
		while (options.nowMs() < untilMs) {
			const disarmed = await options.ranks.command(rank, guard({kind: 'disarm', version}, options));
			if (disarmed.result === 'fenced' || isOtherFormation(disarmed.view, options)) {
				return 'superseded';
			}

			const sealed = await options.ranks.command(rank, guard({kind: 'prepare', version: version + 1, map: current}, options));
			const {view} = sealed;
			if (view && view.armed === undefined && (view.prepared ?? 0) > version) {
				return 'done';
			}

			// The pass had begun with the map before it could be taken back; then it has begun so on every rank.
			if (view?.mapVersion === version) {
				return 'done';
			}

			await options.sleep(pauseMs);
		}

		return 'failed';
	}));
	return worst(results);
}

/** Tells every rank the token by a command that changes nothing: no pass before the first is held. */
async function fenceAll(options: PassSwitchOptions): Promise<Step> {
	const results = await Promise.all(ranksOf(options).map(async (rank): Promise<Step> => {
		for (let i = 0; i < fenceTries; i++) {
			const result = await options.ranks.order(rank, guard({kind: 'release', pass: 0}, options));
			if (result === 'obeyed') {
				return 'done';
			}

			if (result === 'fenced') {
				return 'superseded';
			}
		}

		return 'failed';
	}));
	return worst(results);
}

async function release(pass: number, options: PassSwitchOptions): Promise<boolean> {
	const untilMs = options.nowMs() + options.decideTimeoutMs;
	while (options.nowMs() < untilMs) {
		const reply = await options.ranks.command(options.holder, guard({kind: 'release', pass}, options));
		if (reply.result === 'fenced' || isOtherFormation(reply.view, options)) {
			return false;
		}

		if (reply.view && reply.view.held === undefined) {
			return true;
		}

		await options.sleep(pauseMs);
	}

	return false;
}

/** Arms every rank, each a few times where it does not show that it is armed. */
async function armAll(version: number, pass: number, options: PassSwitchOptions): Promise<boolean> {
	const armed = await Promise.all(ranksOf(options).map(async rank => {
		for (let i = 0; i < armTries; i++) {
			const reply = await options.ranks.command(rank, guard({kind: 'arm', version, pass}, options));
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

async function lookAll({ranks}: PassSwitchOptions): Promise<readonly RankView[] | undefined> {
	const views = await Promise.all(Array.from({length: ranks.count}, async (_, rank) => ranks.look(rank)));
	return views.every(view => view !== undefined) ? views : undefined;
}

function ranksOf({ranks}: PassSwitchOptions): readonly number[] {
	return Array.from({length: ranks.count}, (_, rank) => rank);
}

function guard(command: PassCommand, {fencingToken, formation}: PassSwitchOptions) {
	return {command, fencingToken, formation};
}

function isArmed(view: RankView | undefined, version: number, pass: number): boolean {
	return view?.armed?.version === version && view.armed.pass === pass;
}

function isOtherFormation(view: RankView | undefined, {formation}: PassSwitchOptions): boolean {
	return view !== undefined && view.formation !== formation;
}

function worst(results: readonly Step[]): Step {
	if (results.includes('superseded')) {
		return 'superseded';
	}

	return results.includes('failed') ? 'failed' : 'done';
}

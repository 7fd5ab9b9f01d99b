import {
	resolvePass, switchPass, type LayeredMap, type PassSwitchOptions, type RankView,
} from '@papayaflow/experts';
import {type Demand} from '@papayaflow/policy';
import {type ExpertModel} from '@papayaflow/routing';
import {type Log, type Metrics} from '@papayaflow/telemetry';
import {type DemandTracker} from './demand-tracker.js';
import {chooseMapChange, type BalancingWeights} from './map-choice.js';
import {summarizeRanks} from './rank-summary.js';
import {type RemoteRanks} from './remote-ranks.js';

/** How many passes the held pass comes after the last pass that has begun. Arming all ranks takes less than a pass, so the group seldom has to wait. */
const holdLeadPasses = 2;

/** The number used instead of `holdLeadPasses` when replies to commands are missing, since commands may then have to be sent several times. */
const holdLeadPassesWhenRepliesMissing = 10;

/** How often the demand is checked for a shift, in milliseconds. */
const demandCheckIntervalMs = 60;

/** The delay before the next plan after a plan that did not change the map, in milliseconds. A demand shift ends the delay. Making a plan takes some milliseconds of CPU time. */
const replanIntervalMs = 900;

/** The delay before a retry when no token could be acquired or a rank could not be reached, in milliseconds. */
const retryDelayMs = 300;

/** How long a planned switch waits for the first pass with the map of the last one, and how often it looks, in milliseconds. */
const maxPassWaitMs = 400;
const passPollMs = 25;

/** How often the map is read under one token. Only then another one is acquired, since each takes two calls to the store. */
const maxMapReads = 5;

/** The time between demand shifts that is assumed until two shifts have been observed, in milliseconds. */
const defaultShiftIntervalMs = 4000;

/** How long a rank may take to copy the experts that a new map adds to it before the switch is abandoned, in milliseconds. */
const prepareTimeoutMs = 6000;

/** How long a superseded coordinator that still coordinates waits before it acquires another token, in milliseconds. */
const supersededDelayMs = 1000;

/** The time limit for the abort of a switch and for the release of a held group, in milliseconds each. A switch that exceeds it ends as stuck. The coordinator then acquires a new token and reads the state of all ranks again. */
const decideTimeoutMs = 3000;

/** The map versions of a coordinator start at its token times this number, so that they are higher than those of earlier coordinators. */
const versionsPerToken = 10_000;

/** The shortest time between two plans, as a multiple of the time that was spent on the last one. A demand that seems to shift all the time must not keep the processor busy with plans. */
const planRestRatio = 4;

/** The weight of a new measurement in the moving average of the time that a preparation takes beside its copies. */
const overheadWeight = 0.3;

/** The most time that one measurement adds, in milliseconds. A preparation in which a rank leaves an order unanswered takes much longer, and the next one seldom does. */
const maxOverheadMs = 400;

/** A map in use on every rank. */
type VersionedMap = {readonly version: number; readonly map: LayeredMap};

export type ExpertBalancerDeps = {
	readonly ranks: RemoteRanks;
	readonly ownRank: number;
	readonly tracker: DemandTracker;
	readonly model: ExpertModel;
	readonly weights: BalancingWeights;
	/** Acquires a new fencing token; `undefined` if it could not be acquired. */
	readonly acquireToken: () => Promise<number | undefined>;
	/** Waits until it is known how each rank can be reached, for a bounded time. */
	readonly waitForMembers: () => Promise<void>;
	/** Reads the current map from the ranks; `undefined` unless every rank returns its part of the same version. */
	readonly readMap: () => Promise<VersionedMap | undefined>;
	readonly formation: number;
	readonly view: () => RankView | undefined;
	readonly log: Log;
	readonly metrics: Metrics;
	readonly nowMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	/** Lets other work of the process run, in the midst of a plan. */
	readonly yieldTurn: () => Promise<void>;
	/**
	How much a lower skew is worth now, from 0 to 1: 0 while passes are so short that every
	stream is on time anyway, 1 when they are about as long as the streams allow.
	*/
	readonly need: () => number;
	readonly isStopped: () => boolean;
	/** Called with the current map and its version whenever it becomes known or changes, so that the pass time can be predicted from it. */
	readonly onMap: (map: LayeredMap, version: number) => void;
};

/**
Balances the experts of one formation of a group over its ranks until `isStopped`
returns true. It acquires a fencing token, resolves any switch that an earlier
coordinator left unfinished, then switches to a better map each time that one is
worth its copies. If it is superseded, it starts over with a new token.

@example
await balanceExperts(deps);
*/
export async function balanceExperts(deps: ExpertBalancerDeps): Promise<void> {
	let known: VersionedMap | undefined;
	const onMap = (map: LayeredMap, version: number): void => {
		known = {version, map};
		deps.onMap(map, version);
	};

	while (!deps.isStopped()) {
		// The store is asked while the members connect.
		const [token] = await Promise.all([waitForToken(deps), deps.waitForMembers()]);
		if (token === undefined) {
			return;
		}

		// If two sidecars coordinate at once, the one of the higher rank steps down when it receives the other's notice. If this sidecar still coordinates after the delay, it continues with a new token.
		const result = await balanceWithToken(token, known, {...deps, onMap});
		if (result === 'superseded') {
			await deps.sleep(supersededDelayMs);
		}
	}
}

/** Balances the experts under one fencing token until the coordinator is stopped or superseded, or a switch gets stuck. */
async function balanceWithToken(token: number, known: VersionedMap | undefined, deps: ExpertBalancerDeps): Promise<'stuck' | 'superseded'> {
	const {log, metrics} = deps;
	let lastHeldPass = 0;
	const options: PassSwitchOptions = {
		ranks: deps.ranks, fencingToken: token, formation: deps.formation, holder: deps.ownRank, prepareTimeoutMs, decideTimeoutMs,
		nowMs: deps.nowMs, sleep: deps.sleep, isStopped: deps.isStopped,
		chooseHoldPass(lastBegun, hasMissingReplies) {
			lastHeldPass = Math.max(lastHeldPass + 1, lastBegun + (hasMissingReplies ? holdLeadPassesWhenRepliesMissing : holdLeadPasses));
			return lastHeldPass;
		},
	};
	log.info({token, formation: deps.formation, sinceStartMs: Math.round(deps.nowMs())}, 'acquired a fencing token for balancing experts');
	const takeover = await takeOver(options, known, deps);
	if (typeof takeover === 'string') {
		await deps.sleep(retryDelayMs);
		return takeover;
	}

	let {map} = takeover;
	lastHeldPass = takeover.held;
	let version = Math.max(token * versionsPerToken, takeover.newest);
	let overheadMs = 0;
	/** The first pass with the map of the last switch, and whether the group has been found not to begin it. */
	let firstPass = 0;
	let isIdle = false;
	let plannedAtMs = Number.NEGATIVE_INFINITY;
	let restUntilMs = Number.NEGATIVE_INFINITY;
	deps.onMap(map, takeover.version);
	while (!deps.isStopped()) {
		await deps.sleep(demandCheckIntervalMs);
		// A hold command that timed out may still have been executed, so that the group is held although no switch is running.
		if (deps.view()?.held !== undefined) {
			log.warn({token, held: deps.view()?.held}, 'group is held although no switch is running; resolving it with a new token');
			return 'stuck';
		}

		if (isIdle && (deps.view()?.pass ?? firstPass) < firstPass) {
			continue;
		}

		isIdle = false;
		deps.tracker.settle(deps.nowMs());
		const demands = deps.tracker.demands();
		const isDue = hasShiftedSince(demands, plannedAtMs) || deps.nowMs() - plannedAtMs >= replanIntervalMs;
		if (!isDue || deps.nowMs() < restUntilMs) {
			continue;
		}

		plannedAtMs = deps.nowMs();
		const {chosen, workMs, ...considered} = await chooseMapChange(map, demands, {overheadMs, shiftMs: deps.tracker.meanLayerShiftIntervalMs() ?? defaultShiftIntervalMs, nowMs: plannedAtMs}, deps);
		const planMs = deps.nowMs() - plannedAtMs;
		metrics.latency('map_plan', planMs);
		restUntilMs = deps.nowMs() + (workMs * planRestRatio);
		if (considered.plans.length > 0) {
			log.info({
				formation: deps.formation, token, planMs: Math.round(planMs), workMs: Math.round(workMs), need: round(considered.need), skew: round(considered.skew),
				copies: chosen?.copies ?? 0, mostPerRank: chosen?.mostPerRank ?? 0, plans: considered.plans, demandAgeMs: demandAgesMs(demands, deps.nowMs())[0], reports: demands[0].reports,
			}, 'map planned');
		}

		if (!chosen || deps.isStopped()) {
			continue;
		}

		// The ranks take the last map with its first pass and refuse another one until then. An idle group doesn't begin it.
		if (!(await waitForPass(firstPass, deps))) {
			isIdle = true;
			plannedAtMs = Number.NEGATIVE_INFINITY;
			continue;
		}

		// `switchPass` aborts a switch by preparing the map in use as the next version, so every second version is left for that.
		version += 2;
		const result = await switchPass({version, map: chosen.placements, current: map}, options);
		metrics.count('map_switches', {result: result.kind});
		log.info({
			version, formation: deps.formation, token, result, copies: chosen.copies, mostPerRank: chosen.mostPerRank,
			skewBefore: round(chosen.skewBefore), skewAfter: round(chosen.skewAfter), demandAgeMs: demandAgesMs(demands, deps.nowMs()), sinceStartMs: Math.round(deps.nowMs()),
		}, 'map switch ended');
		switch (result.kind) {
			case 'switched': {
				metrics.count('experts_moved', {}, chosen.copies);
				metrics.latency('map_prepare', result.preparedMs);
				metrics.latency('map_hold', result.heldMs);
				const measuredMs = result.preparedMs - (deps.model.copyMs * chosen.mostPerRank);
				overheadMs += (Math.min(maxOverheadMs, Math.max(0, measuredMs)) - overheadMs) * overheadWeight;
				map = chosen.placements;
				firstPass = result.pass;
				plannedAtMs = Number.NEGATIVE_INFINITY;
				deps.onMap(map, version);
				break;
			}

			case 'abandoned': {
				await deps.sleep(retryDelayMs);
				break;
			}

			case 'superseded':
			case 'stuck': {
				return result.kind;
			}
		}
	}

	return 'superseded';
}

/** Waits until the own rank has begun a pass, for a few times as long as passes take. Returns whether it has; also `true` if the rank does not tell. */
async function waitForPass(pass: number, {ranks, ownRank, nowMs, sleep, isStopped}: ExpertBalancerDeps): Promise<boolean> {
	const deadlineMs = nowMs() + maxPassWaitMs;
	while (!isStopped()) {
		const view = await ranks.readView(ownRank);
		if ((view?.pass ?? pass) >= pass) {
			return true;
		}

		if (nowMs() >= deadlineMs) {
			return false;
		}

		await sleep(passPollMs);
	}

	return false;
}

function hasShiftedSince(demands: readonly Demand[], sinceMs: number): boolean {
	return demands.some(({shiftedAtMs}) => shiftedAtMs !== undefined && shiftedAtMs > sinceMs);
}

async function waitForToken({acquireToken, isStopped, sleep}: ExpertBalancerDeps): Promise<number | undefined> {
	while (!isStopped()) {
		const token = await acquireToken();
		if (token !== undefined) {
			return token;
		}

		await sleep(retryDelayMs);
	}

	return undefined;
}

/** The state in which a coordinator takes the ranks over: the current map, the highest version that a rank knows and the last held pass. */
type TakeoverState = VersionedMap & {readonly newest: number; readonly held: number};

async function takeOver(options: PassSwitchOptions, known: VersionedMap | undefined, deps: ExpertBalancerDeps): Promise<TakeoverState | 'stuck' | 'superseded'> {
	const {
		readMap, log, metrics, formation, isStopped, sleep, nowMs,
	} = deps;
	// A group may be held, and a map that is known need not be read meanwhile.
	let mapBefore = known ?? await readMap();
	for (let reads = 1; !mapBefore && reads < maxMapReads && !isStopped(); reads++) {
		await sleep(retryDelayMs);
		mapBefore = isStopped() ? undefined : await readMap();
	}

	if (isStopped()) {
		return 'stuck';
	}

	// A group may be held until a switch is resolved, which needs the map only for an abort.
	if (!mapBefore) {
		log.warn({formation, token: options.fencingToken, reads: maxMapReads}, 'could not read the current map from every rank before resolving an earlier switch');
	}

	const readMapOf = async (version: number): Promise<LayeredMap | undefined> => {
		const found = mapBefore?.version === version ? mapBefore : await readMap();
		return found?.version === version ? found.map : undefined;
	};

	const startedMs = nowMs();
	const resolved = await resolvePass(readMapOf, options);
	metrics.count('pass_resolutions', {result: resolved.kind});
	metrics.latency('pass_resolution', nowMs() - startedMs);
	if (resolved.kind !== 'clear') {
		log.warn({
			formation, result: resolved.kind, token: options.fencingToken, tookMs: Math.round(nowMs() - startedMs),
			...(resolved.kind === 'unresolved' && {at: resolved.at, ranks: summarizeRanks(resolved.views)}),
		}, 'could not resolve the switch that an earlier coordinator may have left; retrying with a new token');
		return resolved.kind === 'superseded' ? 'superseded' : 'stuck';
	}

	// Resolving may have completed a switch.
	const map = mapBefore?.version === resolved.mapVersion ? mapBefore : await readMap();
	return map ? {...map, newest: resolved.newestVersion, held: resolved.held} : 'stuck';
}

function demandAgesMs(demands: readonly Demand[], nowMs: number): ReadonlyArray<number | undefined> {
	return demands.map(({shiftedAtMs}) => shiftedAtMs === undefined ? undefined : Math.round(nowMs - shiftedAtMs));
}

function round(value: number): number {
	return Math.round(value * 100) / 100;
}

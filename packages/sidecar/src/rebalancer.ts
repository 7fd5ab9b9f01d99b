import {type Preset} from '@papayaflow/config';
import {
	recover, switchMap, takeEpoch, type CoordinatorOptions, type Ranks, type SwitchResult,
} from '@papayaflow/experts';
import {
	evenPopularity, planLayers, withReport, type LayerMove, type Popularity,
} from '@papayaflow/policy';
import {type Store} from '@papayaflow/store';
import {type ExpertReport} from '@papayaflow/target';
import {type Log, type Metrics} from '@papayaflow/telemetry';

const reportWeight = 0.3;
const reportJump = 0.5;
const goodSkew = 1.01;
const retryPauseMs = 500;
const supersededPauseMs = 10_000;

export type RebalancerDeps = {
	readonly store: Store;
	readonly group: string;
	readonly instance: string;
	readonly ranks: Ranks;
	/** Asks the group's engine for its experts' loads. */
	readonly report: () => Promise<ExpertReport | undefined>;
	readonly settings: () => Preset['rebalancing'] | undefined;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly isStopped: () => boolean;
};

type Watched = {readonly popularity: readonly Popularity[]; readonly report: ExpertReport; readonly atMs: number};

/**
Coordinates the expert map of one group, as one task: takes an epoch, finishes
what an earlier coordinator left undecided, then moves experts where it pays.
Resolves when it is stopped.

@example
void runRebalancer(deps);
*/
export async function runRebalancer(deps: RebalancerDeps): Promise<void> {
	while (!deps.isStopped()) {
		const taken = await takeEpoch(deps.store, deps.group, deps.instance);
		if (taken.kind === 'unavailable') {
			await deps.sleep(retryPauseMs);
			continue;
		}

		const options: CoordinatorOptions = {
			ranks: deps.ranks, epoch: taken.epoch, stepsAhead: deps.settings()?.stepsAhead ?? 1, isStopped: deps.isStopped,
			pause: async () => deps.sleep(retryPauseMs),
		};
		const recovered = await recover(options);
		if (recovered.kind === 'recovered') {
			deps.log.info({epoch: taken.epoch, version: recovered.version, finished: recovered.finished}, 'expert map taken over');
			await rebalance(recovered.version, options, deps);
		}

		// Someone else has a higher epoch; this process comes back only if that one is gone for long.
		await deps.sleep(supersededPauseMs);
	}
}

async function rebalance(lastVersion: number, options: CoordinatorOptions, deps: RebalancerDeps): Promise<void> {
	let version = lastVersion;
	let watched: Watched | undefined;
	while (!deps.isStopped()) {
		const settings = deps.settings();
		await deps.sleep(settings?.intervalMs ?? retryPauseMs);
		const report = await deps.report();
		const next = report && watch(watched, report, deps.monotonicMs());
		deps.metrics.count('expert_reports', {result: report ? (next ? 'used' : 'stale') : 'missing'});
		if (!report || !next) {
			continue;
		}

		deps.metrics.gauge('step_time_skew', report.skew);
		const moves = settings?.enabled && watched ? plan(watched, next, settings) : [];
		watched = next;
		if (!settings || moves.length === 0) {
			continue;
		}

		version++;
		const startedMs = deps.monotonicMs();
		const result = await switchMap({version, moves}, {...options, stepsAhead: settings.stepsAhead});
		note(result, moves.length, settings, deps);
		deps.metrics.latency('map_switch', deps.monotonicMs() - startedMs);
		deps.log.info({version, moves: moves.length, result: result.kind}, 'expert map switched');
		if (result.kind === 'superseded') {
			return;
		}
	}
}

// A report that shows no steps since the last one is old, and nothing is decided on it.
function watch(before: Watched | undefined, report: ExpertReport, atMs: number): Watched | undefined {
	if (!before || !isSuccessor(before.report, report)) {
		return {popularity: report.layers.map(({counts}) => evenPopularity(counts.length)), report, atMs};
	}

	if (report.step === before.report.step) {
		return undefined;
	}

	const popularity = report.layers.map(({counts}, layer) => {
		const fresh = counts.map((count, expert) => count - before.report.layers[layer].counts[expert]);
		return withReport(before.popularity[layer], fresh, {weight: reportWeight, jump: reportJump});
	});
	return {popularity, report, atMs};
}

// An engine that has started anew counts from zero again.
function isSuccessor(before: ExpertReport, report: ExpertReport): boolean {
	return before.layers.length === report.layers.length
		&& report.step >= before.step
		&& report.layers.every(({counts}, layer) => counts.length === before.layers[layer].counts.length);
}

function plan(before: Watched, now: Watched, settings: Preset['rebalancing']): readonly LayerMove[] {
	const steps = now.report.step - before.report.step;
	const stepMs = (now.atMs - before.atMs) / Math.max(1, steps);
	if (now.popularity.some(({reports}) => reports === 0)) {
		return [];
	}

	const layers = now.report.layers.map(({slots}, layer) => ({map: slots, shares: now.popularity[layer].shares}));
	return planLayers(layers, {maxMoves: settings.maxMoves, goodSkew}, {...settings, horizonSteps: settings.horizonMs / stepMs});
}

function note(result: SwitchResult, moves: number, settings: Preset['rebalancing'], deps: RebalancerDeps): void {
	deps.metrics.count('map_switches', {result: result.kind});
	if (result.kind === 'committed') {
		deps.metrics.count('experts_moved', {}, moves);
		deps.metrics.count('bytes_moved', {}, moves * settings.expertBytes);
	}
}

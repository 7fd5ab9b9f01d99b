import {type Preset} from '@papayaflow/config';
import {
	recover, switchMap, acquireEpoch, type CoordinatorOptions, type Ranks, type SwitchResult,
} from '@papayaflow/experts';
import {
	uniformPopularity, planLayers, updatePopularity, type LayerMove, type Popularity,
} from '@papayaflow/policy';
import {type Store} from '@papayaflow/store';
import {type ExpertReport} from '@papayaflow/target';
import {type Log, type Metrics} from '@papayaflow/telemetry';

/** Weight of a new report in the moving average of expert popularity. */
const reportWeight = 0.3;

/** Relative change of an expert's share above which the new report replaces the average. */
const reportJump = 0.5;

/** Skew of a layer's rank loads at or below which no further moves are planned for the layer. */
const goodSkew = 1.01;

/** Delay before an operation on the store or on a rank is retried. */
const retryDelayMs = 500;

/** Delay before this process coordinates again after another coordinator has taken a higher epoch. */
const supersededDelayMs = 10_000;

export type RebalancerDeps = {
	readonly store: Store;
	readonly group: string;
	readonly instance: string;
	readonly ranks: Ranks;
	/** Requests the expert loads from the group's engine; `undefined` without a valid report. */
	readonly report: () => Promise<ExpertReport | undefined>;
	readonly settings: () => Preset['rebalancing'] | undefined;
	readonly metrics: Metrics;
	readonly log: Log;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
	readonly isStopped: () => boolean;
};

type Observation = {readonly popularity: readonly Popularity[]; readonly report: ExpertReport; readonly atMs: number};

/**
Coordinates the expert map of one group in one task: takes an epoch, completes or
aborts the map switch of an earlier coordinator, then moves experts where the gain
exceeds the cost. Resolves once `isStopped` returns true.

@example
void runRebalancer(deps);
*/
export async function runRebalancer(deps: RebalancerDeps): Promise<void> {
	while (!deps.isStopped()) {
		const epochResult = await acquireEpoch(deps.store, deps.group, deps.instance);
		if (epochResult.kind === 'unavailable') {
			await deps.sleep(retryDelayMs);
			continue;
		}

		const options: CoordinatorOptions = {
			ranks: deps.ranks, epoch: epochResult.epoch, stepsAhead: deps.settings()?.stepsAhead ?? 1, isStopped: deps.isStopped,
			waitBeforeRetry: async () => deps.sleep(retryDelayMs),
		};
		const recovered = await recover(options);
		if (recovered.kind === 'recovered') {
			deps.log.info({epoch: epochResult.epoch, version: recovered.version, finished: recovered.finished}, 'started coordinating the expert map');
			await rebalance(recovered.version, options, deps);
		}

		// Another coordinator has a higher epoch, so this process waits long before it acquires the next epoch.
		await deps.sleep(supersededDelayMs);
	}
}

async function rebalance(lastVersion: number, options: CoordinatorOptions, deps: RebalancerDeps): Promise<void> {
	let version = lastVersion;
	let observation: Observation | undefined;
	while (!deps.isStopped()) {
		const settings = deps.settings();
		await deps.sleep(settings?.intervalMs ?? retryDelayMs);
		const report = await deps.report();
		const next = report && observe(observation, report, deps.monotonicMs());
		deps.metrics.count('expert_reports', {result: report ? (next ? 'used' : 'stale') : 'missing'});
		if (!report || !next) {
			continue;
		}

		deps.metrics.gauge('step_time_skew', report.skew);
		const moves = settings?.enabled && observation ? planObservedMoves(observation, next, settings) : [];
		observation = next;
		if (!settings || moves.length === 0) {
			continue;
		}

		version++;
		const startedMs = deps.monotonicMs();
		const result = await switchMap({version, moves}, {...options, stepsAhead: settings.stepsAhead});
		recordSwitch(result, moves.length, settings, deps);
		deps.metrics.latency('map_switch', deps.monotonicMs() - startedMs);
		deps.log.info({version, moves: moves.length, result: result.kind}, 'expert map switch ended');
		if (result.kind === 'superseded') {
			return;
		}
	}
}

// Returns `undefined` for a report without new steps since the last one: it is out of date and must not lead to moves.
function observe(before: Observation | undefined, report: ExpertReport, atMs: number): Observation | undefined {
	if (!before || !isSuccessor(before.report, report)) {
		return {popularity: report.layers.map(({counts}) => uniformPopularity(counts.length)), report, atMs};
	}

	if (report.step === before.report.step) {
		return undefined;
	}

	const popularity = report.layers.map(({counts}, layer) => {
		const newCounts = counts.map((count, expert) => count - before.report.layers[layer].counts[expert]);
		return updatePopularity(before.popularity[layer], newCounts, {weight: reportWeight, jumpRatio: reportJump});
	});
	return {popularity, report, atMs};
}

// A restarted engine counts from zero again, and its report can't be compared with the previous one.
function isSuccessor(before: ExpertReport, report: ExpertReport): boolean {
	return before.layers.length === report.layers.length
		&& report.step >= before.step
		&& report.layers.every(({counts}, layer) => counts.length === before.layers[layer].counts.length);
}

function planObservedMoves(before: Observation, now: Observation, settings: Preset['rebalancing']): readonly LayerMove[] {
	const steps = now.report.step - before.report.step;
	const stepMs = (now.atMs - before.atMs) / Math.max(1, steps);
	if (now.popularity.some(({reports}) => reports === 0)) {
		return [];
	}

	const layers = now.report.layers.map(({slots}, layer) => ({map: slots, shares: now.popularity[layer].shares}));
	return planLayers(layers, {maxMoves: settings.maxMoves, goodSkew}, {...settings, horizonSteps: settings.horizonMs / stepMs});
}

function recordSwitch(result: SwitchResult, moves: number, settings: Preset['rebalancing'], deps: RebalancerDeps): void {
	deps.metrics.count('map_switches', {result: result.kind});
	if (result.kind === 'committed') {
		deps.metrics.count('experts_moved', {}, moves);
		deps.metrics.count('bytes_moved', {}, moves * settings.expertBytes);
	}
}

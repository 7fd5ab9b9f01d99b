import {runClaims} from './claims.js';
import {runLimits} from './limits.js';
import {
	baselines, driftKinds, runPerfectKnowledge, runPolicy, createWeightedPolicy, type RebalanceRow,
} from './rebalance.js';
import {attemptsPerRequest, reconnectPeak, storeReadPeak} from './retries.js';
import {
	conditions, runRouting, type RoutingRun, type RoutingSize,
} from './routing.js';
import {runStepBudget} from './step-budget.js';
import {type Row, type Table} from './table.js';

const seed = 1;
const loadSkewBound = 1.1;
const perfectRatioBound = 1.05;
const movedRatioBound = 0.2;
const firstTokenBoundMs = 420;
const tokenGapTargetMs = 42;
const goodputRatioBound = 0.95;
const smallP95RatioBound = 1.2;
const attemptsBound = 1.1;
// A tenth of the 300 writes per second that the store can handle.
const storeWritesPerSecondBound = 30;

/** The rebalancing weights in the example presets of Ayamoni and Tisza. */
export const userWeights = {ayamoni: {skewWeight: 4, costWeight: 4}, tisza: {skewWeight: 1, costWeight: 16}} as const;

const defaultWeights = {skewWeight: 1, costWeight: 4};

/** Compares load skew, step-time skew and moves of the rebalancing policy with those of simple policies. */
export function rebalanceTables(): readonly Table[] {
	return [1, 0].flatMap(spare => driftKinds.map(drift => {
		const scenario = {drift, spare, seed};
		const perfect = runPerfectKnowledge(scenario);
		const fullReplan = runPolicy(baselines['full re-plan'], 'full re-plan', scenario);
		const otherPolicies = [perfect, runPolicy(baselines.never, 'never', scenario), fullReplan, runPolicy(baselines['threshold 1.2'], 'threshold 1.2', scenario)];
		const ours = runPolicy(createWeightedPolicy(defaultWeights), 'ours', scenario);
		const bound = spare === 1 ? loadSkewBound : perfect.loadSkew[1] * perfectRatioBound;
		return {
			title: `rebalancing, ${drift} drift, ${spare} spare slots a rank, 64 ranks, 256 experts, 1,800 s`,
			baseline: 'full re-plan',
			rows: [
				...skewRows(fullReplan, ours, bound),
				{
					what: 'experts moved', seed, baseline: fullReplan.moved, ours: ours.moved, bound: {most: fullReplan.moved * movedRatioBound}, unit: 'experts',
				},
				{
					what: 'bytes moved', seed, baseline: fullReplan.movedGigabytes, ours: ours.movedGigabytes, unit: 'GB',
				},
				{
					what: 'time of steps lost to moves', seed, baseline: fullReplan.lostMs, ours: ours.lostMs, unit: 'ms',
				},
				...otherPolicies.filter(row => row !== fullReplan).map(row => ({
					what: `load skew p95 of: ${row.policy} (${row.moved} moved)`, seed, baseline: row.loadSkew[1], ours: ours.loadSkew[1], unit: 'max/mean',
				})),
			],
		};
	}));
}

function skewRows(fullReplan: RebalanceRow, ours: RebalanceRow, p95Bound: number): readonly Row[] {
	const names = ['p50', 'p95', 'p99'];
	return [
		...names.map((name, index): Row => ({
			what: `load skew ${name}`, seed, baseline: fullReplan.loadSkew[index], ours: ours.loadSkew[index], unit: 'max/mean',
			...(name === 'p95' && {bound: {most: p95Bound}}),
		})),
		...names.map((name, index): Row => ({
			what: `step-time skew ${name}`, seed, baseline: fullReplan.stepSkew[index], ours: ours.stepSkew[index], unit: 'max/mean',
		})),
	];
}

/** Returns load skew and bytes moved for a range of cost weights, and for the weights in `userWeights`. */
export function weightCurve(): ReadonlyArray<{readonly costWeight: number; readonly skewP95: number; readonly gigabytes: number; readonly name: string}> {
	const points = [0.25, 1, 4, 16, 64, 256].map(costWeight => ({name: 'weights', skewWeight: 1, costWeight}));
	return [...points, {name: 'Ayamoni', ...userWeights.ayamoni}, {name: 'Tisza', ...userWeights.tisza}].map(({name, skewWeight, costWeight}) => {
		const row = runPolicy(createWeightedPolicy({skewWeight, costWeight}), name, {drift: 'slow', spare: 1, seed});
		return {
			name, costWeight: costWeight / skewWeight, skewP95: row.loadSkew[1], gigabytes: row.movedGigabytes,
		};
	});
}

const sizes: Readonly<Record<string, RoutingSize>> = {
	'12 replicas, 2 entries': {
		replicas: 12, entries: 2, subsetSize: 20, load: 0.7,
	},
	// Half load, because a service of three replicas must be able to lose one.
	'3 plain replicas, 2 entries': {
		replicas: 3, entries: 2, subsetSize: 20, load: 0.5,
	},
	'44 replicas of one model of 18, 370 entries': {
		replicas: 44, entries: 370, subsetSize: 20, load: 0.7,
	},
};

/** Compares time to the first token, cache hits and balance of the router with those of simple routers. */
export function routingTables(): readonly Table[] {
	return Object.entries(sizes).map(([name, size]) => ({
		title: `routing, ${name}, load ${size.load}`,
		baseline: 'round robin',
		rows: conditions.flatMap(condition => {
			const roundRobin = runRouting('round robin', condition, size, seed);
			const random = runRouting('random', condition, size, seed);
			const leastOutstanding = runRouting('least outstanding', condition, size, seed);
			const ours = runRouting('ours', condition, size, seed);
			const row = (what: string, of: (run: RoutingRun) => number, unit: string): Row => ({
				what: `${condition}: ${what}`, seed, baseline: of(roundRobin), ours: of(ours), unit,
			});
			// At a load of 0.7, the load exceeds the capacity that remains after the loss of a zone, so this condition has no bound on the first token.
			const bound = condition === 'zone lost' ? undefined : {most: firstTokenBoundMs};
			return [
				row('first token p50', ({p50}) => p50, 'ms'),
				{...row('first token p95', ({p95}) => p95, 'ms'), bound},
				row('first token p99', ({p99}) => p99, 'ms'),
				{...row('p95 against random', ({p95}) => p95, 'ms'), baseline: random.p95},
				{...row('p95 against least outstanding with full knowledge', ({p95}) => p95, 'ms'), baseline: leastOutstanding.p95},
				row('prefix-cache hits', ({cacheHitRatio}) => cacheHitRatio, 'of all'),
				row('imbalance', ({imbalance}) => imbalance, 'max/mean'),
				row('no first token within 3 s', ({lateRatio}) => lateRatio, 'of all'),
			];
		}),
	}));
}

/** Compares goodput under load, and the p95 time and in-time ratio of a small organisation while the total load is ten times the capacity. */
export async function limitsTable(): Promise<Table> {
	const small = 0.05;
	const run = async (kind: 'ours' | 'in order of arrival', load: number) => runLimits(kind, {load, small}, seed);
	const atCapacity = await run('ours', 1);
	const alone = await run('ours', small);
	const rows: Row[] = [];
	for (const load of [0.8, 1, 1.5, 3]) {
		const [simple, ours] = [await run('in order of arrival', load), await run('ours', load)];
		rows.push({
			what: `goodput at ${load} of capacity`, seed, baseline: simple.goodput, ours: ours.goodput, unit: 'answers/s in time',
			...(load === 3 && {bound: {least: atCapacity.goodput * goodputRatioBound}}),
		});
	}

	const [simple, ours] = [await run('in order of arrival', 10), await run('ours', 10)];
	rows.push(
		{
			what: 'small organisation beside one at 10 times: p95', seed, baseline: simple.smallP95Ms, ours: ours.smallP95Ms, bound: {most: alone.smallP95Ms * smallP95RatioBound}, unit: 'ms',
		},
		{
			what: 'small organisation: answered in time', seed, baseline: simple.smallInTimeRatio, ours: ours.smallInTimeRatio, unit: 'of its own',
		},
	);
	return {title: 'limits, one target of 32 places, deadline 4 s', baseline: 'in order of arrival', rows};
}

/** Compares the number of store writes with a baseline of two writes for each call (claim and outcome), and shows how long keyed calls wait for their claim. */
export async function claimsTable(): Promise<Table> {
	const rows: Row[] = [];
	for (const rate of [1, 10, 100, 500]) {
		const run = await runClaims(rate, seed);
		rows.push(
			{
				what: `${rate} keyed calls/s: writes to the store`, seed, baseline: 2 * rate, ours: run.writesPerSecond, bound: {most: storeWritesPerSecondBound}, unit: 'writes/s',
			},
			{
				what: `${rate} keyed calls/s: wait for the claim p50`, seed, baseline: Number.NaN, ours: run.waitP50Ms, unit: 'ms',
			},
			{
				what: `${rate} keyed calls/s: wait for the claim p95`, seed, baseline: Number.NaN, ours: run.waitP95Ms, unit: 'ms',
			},
		);
	}

	return {title: 'the log of claims of one service', baseline: 'a write each', rows};
}

/** Compares attempts per request, and the load peaks after an outage. */
export function retriesTable(): Table {
	const attempts = (failing: number): Row => ({
		what: `attempts for each request, ${failing * 100} % of attempts failing`, seed, baseline: attemptsPerRequest('three attempts', failing, seed),
		ours: attemptsPerRequest('ours', failing, seed), bound: {most: attemptsBound}, unit: 'attempts',
	});
	return {
		title: 'retries and coming back',
		baseline: 'simple',
		rows: [
			attempts(0.01),
			attempts(0.5),
			{
				what: '1,160 processes reconnect after 60 s: most in 0.1 s', seed, baseline: reconnectPeak('fixed pause', 60_000, seed), ours: reconnectPeak('ours', 60_000, seed), unit: 'connections',
			},
			{
				what: 'store reads after an outage: most in 0.1 s', seed, baseline: storeReadPeak('every process, fixed pause', seed), ours: storeReadPeak('ours', seed), unit: 'reads',
			},
		],
	};
}

/** Compares ways to admit batch work by predicted step time, as proposed for HyGen. Not part of the product. */
export function stepBudgetTable(): Table {
	const rows = [0.5, 0.8, 1, 1.3].flatMap((load): Row[] => {
		const priority = runStepBudget('priority', load, seed);
		const admission = runStepBudget('admission', load, seed);
		const engine = runStepBudget('budget', load, seed);
		return [
			{
				what: `load ${load}: time between tokens p95, admitted by the sidecar`, seed, baseline: priority.tokenGapP95Ms, ours: admission.tokenGapP95Ms, unit: `ms, target ${tokenGapTargetMs}`,
			},
			{
				what: `load ${load}: time between tokens p95, limited in the engine`, seed, baseline: priority.tokenGapP95Ms, ours: engine.tokenGapP95Ms, unit: `ms, target ${tokenGapTargetMs}`,
			},
			{
				what: `load ${load}: batch tokens, admitted by the sidecar`, seed, baseline: priority.batchTokensPerSecond, ours: admission.batchTokensPerSecond, unit: 'tokens/s',
			},
		];
	});
	return {title: 'experiment outside the product: batch work admitted by predicted step time', baseline: 'priority', rows};
}

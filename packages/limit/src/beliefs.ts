import {type Log, type Metrics} from '@papayaflow/telemetry';
import {
	afterAnswer, unlimited, type Belief, type NamedLimit,
} from './belief.js';
import {createLifetimeTable, type TargetLifetime} from './lifetimes.js';

/** The limits of all targets as this process believes them to be. */
export type Beliefs = {
	of(target: TargetLifetime): Belief;
	/** Takes in what an answer says; `sentMs` is when the answered request was sent. Returns whether the belief has changed. */
	observe(target: TargetLifetime, named: NamedLimit, sentMs: number): boolean;
	/** Takes over the limit that a peer announces, whatever this process believed. */
	adopt(target: TargetLifetime, perSecond: number | undefined, instance: string): void;
	/** The targets that are believed to have a limit. */
	limited(): readonly TargetLifetime[];
};

/**
Creates an empty table of beliefs. It logs and counts each change and each malformed value.

@example
const beliefs = createBeliefs({monotonicMs, metrics, log});
beliefs.observe(record, {kind: 'rate', perSecond: 2}, sentMs);
beliefs.of(record).perSecond; // 2
*/
export function createBeliefs({monotonicMs, metrics, log}: {readonly monotonicMs: () => number; readonly metrics: Metrics; readonly log: Log}): Beliefs {
	const known = createLifetimeTable<Belief>();

	const of = (target: TargetLifetime): Belief => known.get(target) ?? unlimited;

	/** `source` is `answer`, or the instance that announced the limit. */
	const replace = (target: TargetLifetime, belief: Belief, source: string): void => {
		const before = of(target);
		known.set(target, belief);
		const change = describeChange(before.perSecond, belief.perSecond);
		metrics.count('limit_changes', {change});
		metrics.gauge('limited_targets', limited().length);
		log.info({
			target: target.id, incarnation: target.incarnation, before: before.perSecond ?? null, perSecond: belief.perSecond ?? null,
			beforeAgeMs: Number.isFinite(before.learnedMs) ? Math.round(belief.learnedMs - before.learnedMs) : null, source,
		}, `limit of a target ${change}`);
	};

	const limited = (): readonly TargetLifetime[] => known.entries().filter(([, {perSecond}]) => perSecond !== undefined).map(([target]) => target);

	return {
		of,
		observe(target, named, sentMs) {
			if (named.kind === 'malformed') {
				metrics.count('limits_malformed');
				log.warn({target: target.id, value: named.text, perSecond: of(target).perSecond ?? null}, 'limit of a target malformed; the previous one stays in force');
			}

			const before = of(target);
			const after = afterAnswer(before, named, {sentMs, nowMs: monotonicMs()});
			if (after === before) {
				return false;
			}

			replace(target, after, 'answer');
			return true;
		},
		adopt(target, perSecond, instance) {
			if (of(target).perSecond !== perSecond) {
				replace(target, {perSecond, learnedMs: monotonicMs()}, instance);
			}
		},
		limited,
	};
}

/** The changes of a limit, which are the values of a metric's label. */
export const limitChanges = ['named', 'lowered', 'raised', 'lifted'] as const;

function describeChange(before: number | undefined, after: number | undefined): typeof limitChanges[number] {
	if (after === undefined) {
		return 'lifted';
	}

	if (before === undefined) {
		return 'named';
	}

	return after < before ? 'lowered' : 'raised';
}

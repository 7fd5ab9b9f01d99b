import {type Log, type Metrics} from '@papayaflow/telemetry';
import {
	afterAnswer, unlimited, type Belief, type NamedLimit,
} from './belief.js';

/** One lifetime of a target. A target that has restarted, or another one at its address, starts without a limit. */
export type TargetLifetime = {readonly id: string; readonly incarnation: number};

/** Where a belief comes from: an answer of the target itself, or the name of the instance that announced it. */
export type BeliefSource = {readonly kind: 'answer'} | {readonly kind: 'peer'; readonly instance: string};

/** The limits of all targets as this process believes them to be. */
export type Beliefs = {
	of(target: TargetLifetime): Belief;
	/** Takes in what an answer says; `sentMs` is when the answered request was sent. Returns whether the belief has changed. */
	observe(target: TargetLifetime, named: NamedLimit, sentMs: number): boolean;
	/** Takes over the limit that a peer announces, whatever this process believed. */
	adopt(target: TargetLifetime, perSecond: number | undefined, instance: string): void;
	/** The targets that are believed to have a limit. */
	limited(): readonly TargetLifetime[];
	/** Forgets all targets but these. */
	retain(targets: readonly TargetLifetime[]): void;
};

/**
Creates an empty table of beliefs. It logs and counts each change and each malformed value.

@example
const beliefs = createBeliefs({monotonicMs, metrics, log});
beliefs.observe(record, {kind: 'rate', perSecond: 2}, sentMs);
beliefs.of(record).perSecond; // 2
*/
export function createBeliefs({monotonicMs, metrics, log}: {readonly monotonicMs: () => number; readonly metrics: Metrics; readonly log: Log}): Beliefs {
	const known = new Map<string, {readonly target: TargetLifetime; readonly belief: Belief}>();

	const of = ({id, incarnation}: TargetLifetime): Belief => {
		const entry = known.get(id);
		return entry?.target.incarnation === incarnation ? entry.belief : unlimited;
	};

	const replace = (target: TargetLifetime, belief: Belief, source: BeliefSource): void => {
		const before = of(target);
		known.set(target.id, {target, belief});
		const change = describeChange(before.perSecond, belief.perSecond);
		metrics.count('limit_changes', {change});
		metrics.gauge('limited_targets', limited().length);
		log.info({
			target: target.id, incarnation: target.incarnation, before: before.perSecond ?? null, perSecond: belief.perSecond ?? null,
			beforeAgeMs: Number.isFinite(before.learnedMs) ? Math.round(belief.learnedMs - before.learnedMs) : null, source: source.kind === 'peer' ? source.instance : source.kind,
		}, `limit of a target ${change}`);
	};

	const limited = (): readonly TargetLifetime[] => [...known.values()].filter(({belief}) => belief.perSecond !== undefined).map(({target}) => target);

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

			replace(target, after, {kind: 'answer'});
			return true;
		},
		adopt(target, perSecond, instance) {
			if (of(target).perSecond !== perSecond) {
				replace(target, {perSecond, learnedMs: monotonicMs()}, {kind: 'peer', instance});
			}
		},
		limited,
		retain(targets) {
			const incarnations = new Map(targets.map(({id, incarnation}) => [id, incarnation]));
			for (const [id, {target}] of known) {
				if (incarnations.get(id) !== target.incarnation) {
					known.delete(id);
				}
			}

			metrics.gauge('limited_targets', limited().length);
		},
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

import {type Log, type Metrics} from '@papayaflow/telemetry';
import {createLifetimeTable, type TargetLifetime} from './lifetimes.js';

/** What the head of a target's refusal says about when the target takes requests again. */
export type NamedPause
	= | {readonly kind: 'none'}
		| {readonly kind: 'pause'; readonly ms: number}
	/** The value is no number of seconds; `text` is its beginning. */
		| {readonly kind: 'malformed'; readonly text: string};

/** The longest pause that is kept, in milliseconds. A target that names more is asked again once in this time. */
const maxPauseMs = 3_600_000;

/** The times before which targets take no requests of this process. */
export type Pauses = {
	/** Takes in what a refusal says. A later refusal can lengthen a pause but never shortens it. */
	observe(target: TargetLifetime, named: NamedPause): void;
	/** How long a target takes no requests, in milliseconds; 0 if it takes them now. */
	waitMs(target: TargetLifetime): number;
	/** The targets that take no requests now. */
	blocked(): readonly TargetLifetime[];
};

/**
Creates an empty table of pauses. A pause belongs to one lifetime of a target and to
this process alone. It outlasts the target's registration, which may lapse and come back
within the same lifetime.

@example
const pauses = createPauses({monotonicMs, metrics, log});
pauses.observe(record, {kind: 'pause', ms: 2000});
pauses.waitMs(record); // 2000
*/
export function createPauses({monotonicMs, metrics, log}: {readonly monotonicMs: () => number; readonly metrics: Metrics; readonly log: Log}): Pauses {
	const paused = createLifetimeTable<number>();

	const removeEnded = (): void => {
		const now = monotonicMs();
		paused.retain(paused.entries().filter(([, untilMs]) => untilMs > now).map(([target]) => target));
		metrics.gauge('paused_targets', paused.entries().length);
	};

	const waitMs = (target: TargetLifetime): number => Math.max(0, (paused.get(target) ?? 0) - monotonicMs());

	return {
		observe({id, incarnation}, named) {
			if (named.kind === 'malformed') {
				metrics.count('pauses_malformed');
				log.warn({target: id, value: named.text}, 'pause of a target malformed; it is ignored');
			}

			if (named.kind !== 'pause') {
				return;
			}

			removeEnded();
			const ms = Math.min(named.ms, maxPauseMs);
			const beforeMs = waitMs({id, incarnation});
			if (ms <= beforeMs) {
				return;
			}

			paused.set({id, incarnation}, monotonicMs() + ms);
			metrics.count('target_pauses');
			metrics.gauge('paused_targets', paused.entries().length);
			log.info({
				target: id, incarnation, beforeMs: Math.round(beforeMs), pauseMs: Math.round(ms), source: 'answer',
			}, 'target takes no requests for a while');
		},
		waitMs,
		blocked() {
			if (paused.entries().length > 0) {
				removeEnded();
			}

			return paused.entries().map(([target]) => target);
		},
	};
}

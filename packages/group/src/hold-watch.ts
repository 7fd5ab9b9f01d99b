import {type RankView} from '@papayaflow/experts';
import {type Log, type Metrics} from '@papayaflow/telemetry';

/** The duration from which a hold is logged and counted, in milliseconds. A switch holds a group for a fraction of a pass; callers leave streams that have no event for two seconds. */
const longHoldMs = 1000;

/** Observes how long a rank holds its group. */
export type HoldWatch = {
	/** Handles a new view of the rank. */
	onView(view: RankView): void;
};

/**
Creates the watch for the rank beside a coordinator, which holds the group during a
switch. Each hold counts in `group_hold_ms`, and one that lasts for a second also in
`long_holds_total`, with a log line when it has lasted so long and when it ends.

@example
const watch = createHoldWatch({nowMs, log, metrics});
watch.onView(view);
*/
export function createHoldWatch({nowMs, log, metrics}: {readonly nowMs: () => number; readonly log: Log; readonly metrics: Metrics}): HoldWatch {
	let hold: {readonly pass: number; readonly sinceMs: number; readonly isLong: boolean} | undefined;
	return {
		onView({group, formation, pass, held, armed}) {
			if (hold && held !== hold.pass) {
				const heldMs = Math.round(nowMs() - hold.sinceMs);
				metrics.latency('group_hold', heldMs);
				if (hold.isLong) {
					log.info({
						group, formation, held: hold.pass, heldMs,
					}, 'long hold of the group has ended');
				}

				hold = undefined;
			}

			if (held === undefined) {
				return;
			}

			hold ??= {pass: held, sinceMs: nowMs(), isLong: false};
			if (!hold.isLong && nowMs() - hold.sinceMs >= longHoldMs) {
				hold = {...hold, isLong: true};
				metrics.count('long_holds');
				log.warn({
					group, formation, held, pass, armed: armed ?? null, heldMs: Math.round(nowMs() - hold.sinceMs),
				}, 'group is held for long');
			}
		},
	};
}

/**
The recent health of one target, as in a circuit breaker: the number of failed calls
in a row, the time at which its ejection ends in milliseconds (0 if it was never
ejected), and whether the next call after that is a trial, whose failure ejects the
target again.
*/
export type Health = {readonly failures: number; readonly ejectedUntilMs: number; readonly isTrial: boolean};

export const healthy: Health = {failures: 0, ejectedUntilMs: 0, isTrial: false};

export type EjectOptions = {readonly ejectAfterFailures: number; readonly ejectMs: number; readonly maxEjectedRatio: number};

/** A target with its health and the tokens of this process's own work outstanding there. */
export type TrackedTarget = {readonly health: Health; readonly ownTokens: number};

/** Returns the health after a call that the target answered. */
export function afterSuccess(): Health {
	return healthy;
}

/**
Returns the health after a call that failed at the target. After `ejectAfterFailures`
failures in a row, or one failed trial, the target is ejected for `ejectMs`.

@example
health = afterFailure(health, nowMs, {ejectAfterFailures: 5, ejectMs: 5000, maxEjectedRatio: 0.5});
*/
export function afterFailure(health: Health, nowMs: number, options: EjectOptions): Health {
	const failures = health.failures + 1;
	return health.isTrial || failures >= options.ejectAfterFailures
		? {failures, ejectedUntilMs: nowMs + options.ejectMs, isTrial: true}
		: {...health, failures};
}

/**
Returns the targets that are not ejected. At most `maxEjectedRatio` of all targets are
left out, since a failure of most targets at once is unlikely to be caused by the
targets. If more are ejected, those whose ejection ends first are used again. After its
ejection a target is tried with one call at a time: it is left out while a call of this
process is outstanding there.
*/
export function withoutEjected<T extends TrackedTarget>(targets: readonly T[], nowMs: number, options: EjectOptions): readonly T[] {
	const healthOf = ({health}: T): Health => health;
	const isEjected = (target: T): boolean => target.health.ejectedUntilMs > nowMs || (target.health.isTrial && target.ownTokens > 0);
	const ejected = targets.filter(target => isEjected(target));
	const maxEjected = Math.floor(targets.length * options.maxEjectedRatio);
	const excluded = new Set(ejected.toSorted((a, b) => healthOf(b).ejectedUntilMs - healthOf(a).ejectedUntilMs).slice(0, maxEjected));
	return targets.filter(target => !excluded.has(target));
}

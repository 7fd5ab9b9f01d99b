/** How one target has fared lately. */
export type Health = {readonly failures: number; readonly ejectedUntilMs: number; readonly isTrial: boolean};

export const healthy: Health = {failures: 0, ejectedUntilMs: 0, isTrial: false};

export type EjectOptions = {readonly ejectAfterFailures: number; readonly ejectMs: number; readonly maxEjectedRatio: number};

/** A target with its health and this process's own work there, in tokens. */
export type Watched = {readonly health: Health; readonly ownTokens: number};

/** The health after a call that the target answered. */
export function afterSuccess(): Health {
	return healthy;
}

/**
The health after a call that failed at the target. After `ejectAfterFailures` in
a row, or one failed trial, the target is left out for `ejectMs`.

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
Leaves out the ejected targets, but never more than `maxEjectedRatio` of them:
when most fail, the cause is not the targets. The ones ejected longest come back
first. A target whose time is over gets its trial by one call at a time: it is left
out while a call of this process is there.
*/
export function withoutEjected<T extends Watched>(targets: readonly T[], nowMs: number, options: EjectOptions): readonly T[] {
	const healthOf = ({health}: T): Health => health;
	const isOut = (target: T): boolean => target.health.ejectedUntilMs > nowMs || (target.health.isTrial && target.ownTokens > 0);
	const ejected = targets.filter(target => isOut(target));
	const allowed = Math.floor(targets.length * options.maxEjectedRatio);
	const out = new Set(ejected.toSorted((a, b) => healthOf(b).ejectedUntilMs - healthOf(a).ejectedUntilMs).slice(0, allowed));
	return targets.filter(target => !out.has(target));
}

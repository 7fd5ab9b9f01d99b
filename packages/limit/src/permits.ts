import {type Log, type Metrics} from '@papayaflow/telemetry';
import {isLowerLimit, type NamedLimit} from './belief.js';
import {type Beliefs} from './beliefs.js';
import {sendRate} from './bucket.js';
import {type AnnouncedLimit, type PermitDecision, type SeenLimit} from './dispenser.js';
import {createLifetimeTable, type TargetLifetime} from './lifetimes.js';
import {createShare, type Share} from './share.js';

/** How long a permission is valid, in milliseconds from when it was asked for: a round trip and the opening of a connection. */
const permitMs = 250;

/** How long an entry waits for a decision, in milliseconds. */
const replyTimeoutMs = 150;

/** How long after a missing reply an entry sends the target nothing, in milliseconds. */
const silentRetryMs = 500;

/**
How long an entry that can't reach the dispenser of a target sends the target nothing, in
milliseconds. The dispenser needs this time to notice the lost connection and to keep
back the share that the entry then uses.
*/
const shareDelayMs = 2000;

/** The connection to a dispenser, which is the sidecar beside the target or one chosen for it. */
export type DispenserLink = {
	/** The name of the dispenser's instance. */
	readonly instance: string;
	ask(id: string, target: TargetLifetime, perSecond: number): void;
	report(seen: SeenLimit): void;
};

/** The permission to send one request. */
export type Permit = {
	/** Uses the permission for the request that is about to be written. Returns `false` if the permission has ended or was used before. */
	use(): boolean;
};

export type PermitsOptions = {
	readonly beliefs: Beliefs;
	/** Returns the link to the dispenser of a target; `undefined` while it is not connected or the target is not registered. */
	readonly dispenserOf: (target: TargetLifetime) => DispenserLink | undefined;
	/** The number of entries among which a target's rate is divided while its dispenser can't be reached. */
	readonly entries: () => number;
	readonly monotonicMs: () => number;
	/**
	The time of day in milliseconds. The monotonic clock stands still while a machine is
	suspended, so a permission also ends by the time of day. A jump of the clock can only end it early.
	*/
	readonly wallMs: () => number;
	readonly random: () => number;
	readonly metrics: Metrics;
	readonly log: Log;
};

/** The entry's side of the limits: what it believes, and the permissions that it asks for. */
export type Permits = {
	/** How long no request may be sent to a target, in milliseconds; 0 if one may be sent or asked for now. */
	waitMs(target: TargetLifetime): number;
	/** The targets to which no request may be sent now. */
	blocked(): readonly TargetLifetime[];
	/** Gets the permission to send one request now; `undefined` after a denial, whose duration `waitMs` returns. */
	acquire(target: TargetLifetime, requestId: string): Promise<Permit | undefined>;
	/** Takes in the limit in an answer; `sentMs` is when the answered request was sent. */
	onAnswer(target: TargetLifetime, named: NamedLimit, sentMs: number): void;
	/** Takes in the limit that a dispenser announces. */
	onAnnounced(link: DispenserLink, limit: AnnouncedLimit): void;
	onDecision(id: string, decision: PermitDecision): void;
	/** The names of the dispensers that this entry depends on. */
	dispensers(): ReadonlySet<string>;
};

/** What an entry knows about a limited target beyond the limit itself. */
type LimitedTarget = {
	blockedUntilMs: number;
	/** The version of the limit by the target's dispenser; `undefined` while the dispenser has not confirmed what this entry believes. */
	version: number | undefined;
	/** Ends when the last ask has been decided; the asks of an entry for one target are made one after the other. */
	lastAsk: Promise<unknown>;
	/** This entry's own share of the rate, and since when the dispenser can't be reached; `undefined` while it can. */
	share: {readonly sinceMs: number; readonly turns: Share} | undefined;
};

const always: Permit = {use: () => true};

/**
Creates the entry's side of the limits. While the dispenser of a target can't be
reached, the entry sends its equal share of the rate (`createShare`).

@example
const permits = createPermits(options);
const permit = await permits.acquire(target, 'r-1');
if (permit?.use()) send();
*/
export function createPermits({beliefs, dispenserOf, entries, monotonicMs, wallMs, random, metrics, log}: PermitsOptions): Permits {
	const targets = createLifetimeTable<LimitedTarget>();
	const pendingDecisions = new Map<string, (decision: PermitDecision | undefined) => void>();
	let askCount = 0;

	const stateOf = (target: TargetLifetime): LimitedTarget => {
		const known = targets.get(target);
		if (known) {
			return known;
		}

		const state: LimitedTarget = {
			blockedUntilMs: Number.NEGATIVE_INFINITY, version: undefined, lastAsk: Promise.resolve(), share: undefined,
		};
		targets.set(target, state);
		return state;
	};

	const waitMs = (target: TargetLifetime): number => beliefs.of(target).perSecond === undefined ? 0 : Math.max(0, stateOf(target).blockedUntilMs - monotonicMs());

	const block = (state: LimitedTarget, ms: number): void => {
		state.blockedUntilMs = monotonicMs() + ms;
	};

	const report = (target: TargetLifetime, basis: number | undefined): void => {
		const {perSecond} = beliefs.of(target);
		dispenserOf(target)?.report({target, ...(perSecond !== undefined && {perSecond}), ...(basis !== undefined && {basis})});
	};

	const createPermit = (): Permit => {
		const startMs = monotonicMs();
		const startWallMs = wallMs();
		let isUsed = false;
		return {
			use() {
				if (isUsed) {
					return false;
				}

				isUsed = true;
				const isValid = monotonicMs() - startMs < permitMs && Math.abs(wallMs() - startWallMs) < permitMs;
				if (isValid) {
					metrics.count('sent_under_limit');
				} else {
					metrics.count('permits', {result: 'expired'});
				}

				return isValid;
			},
		};
	};

	const takeShare = (target: TargetLifetime, state: LimitedTarget, perSecond: number): Permit | undefined => {
		state.share ??= {sinceMs: monotonicMs(), turns: createShare({monotonicMs, random})};
		const {sinceMs, turns} = state.share;
		const delayMs = sinceMs + shareDelayMs - monotonicMs();
		if (delayMs > 0) {
			block(state, delayMs);
			return undefined;
		}

		const isTaken = turns.tryTake(sendRate(perSecond), entries());
		metrics.count('permits', {result: isTaken ? 'share' : 'shareSpent'});
		if (!isTaken) {
			block(state, turns.waitMs());
			return undefined;
		}

		log.info({target: target.id, perSecond, entries: entries()}, 'request sent from the own share of a limit; its dispenser is not connected');
		return createPermit();
	};

	const askDispenser = async (link: DispenserLink, target: TargetLifetime, requestId: string, perSecond: number): Promise<PermitDecision | undefined> => new Promise(resolve => {
		// A request may ask several times; a late reply to an earlier ask must not count for a later one.
		const id = `${requestId}/${askCount++}`;
		const settle = (decision: PermitDecision | undefined): void => {
			clearTimeout(timer);
			pendingDecisions.delete(id);
			resolve(decision);
		};

		const timer = setTimeout(settle, replyTimeoutMs, undefined);
		pendingDecisions.set(id, settle);
		link.ask(id, target, perSecond);
	});

	const acquireNext = async (target: TargetLifetime, state: LimitedTarget, requestId: string): Promise<Permit | undefined> => {
		const {perSecond} = beliefs.of(target);
		if (perSecond === undefined) {
			return always;
		}

		if (waitMs(target) > 0) {
			return undefined;
		}

		const link = dispenserOf(target);
		if (!link) {
			return takeShare(target, state, perSecond);
		}

		state.share = undefined;
		const permit = createPermit();
		const decision = await askDispenser(link, target, requestId, perSecond);
		if (!decision?.isGranted) {
			metrics.count('permits', {result: decision ? 'denied' : 'silent'});
			block(state, decision?.retryMs ?? silentRetryMs);
			return undefined;
		}

		metrics.count('permits', {result: 'granted'});
		return permit;
	};

	return {
		waitMs,
		blocked: () => beliefs.limited().filter(target => waitMs(target) > 0),
		async acquire(target, requestId) {
			if (beliefs.of(target).perSecond === undefined) {
				return always;
			}

			const state = stateOf(target);
			const previous = state.lastAsk;
			const next = (async () => {
				await previous;
				return acquireNext(target, state, requestId);
			})();
			state.lastAsk = next;
			return next;
		},
		onAnswer(target, named, sentMs) {
			if (!beliefs.observe(target, named, sentMs)) {
				return;
			}

			const state = stateOf(target);
			const basis = state.version;
			state.version = undefined;
			report(target, basis);
		},
		onAnnounced(link, {target, perSecond, version}) {
			const state = stateOf(target);
			const isHigher = isLowerLimit(beliefs.of(target).perSecond, perSecond);
			const isDispenser = dispenserOf(target)?.instance === link.instance;
			// The dispenser may have been cut off since the target named the lower limit to this entry; and a sidecar that grants no longer may not know it yet.
			if (isHigher && (!isDispenser || state.version === undefined)) {
				report(target, undefined);
				return;
			}

			state.version = isDispenser ? version : state.version;
			beliefs.adopt(target, perSecond, link.instance);
		},
		onDecision(id, decision) {
			pendingDecisions.get(id)?.(decision);
		},
		dispensers: () => new Set(beliefs.limited().flatMap(target => dispenserOf(target)?.instance ?? [])),
	};
}

/** The results of asking for a permission, which are the values of a metric's label. */
export const permitResults = ['granted', 'denied', 'silent', 'share', 'shareSpent', 'expired'] as const;

import {type Answer, type Call} from '@papayaflow/caller';
import {type Preset} from '@papayaflow/config';
import {type Outcome, type RefusalReason} from '@papayaflow/outcome';
import {type PeerRequest} from '@papayaflow/peer';
import {backoffMs, type RetryBudget} from '@papayaflow/policy';
import {type Metrics} from '@papayaflow/telemetry';
import {chooseOwner, chooseTarget, type OwnerCache} from './choose.js';
import {type AttemptResult, type Link} from './link.js';
import {type Links} from './links.js';

const noTargetRetryAfterMs = 1000;

/** Limits the `wrongOwner` redirects that are followed for one call. */
const maxOwnerRedirects = 4;

/** Mean delay between attempts while waiting for the lease of an unreachable owner to expire. */
const ownerRetryDelayMs = 200;

/** Time beyond the lease duration that another sidecar gets to take over the shard. */
const ownerTakeoverMarginMs = 1000;

export type ForwardDeps = {
	readonly links: Links;
	readonly owners: OwnerCache;
	readonly budget: RetryBudget;
	readonly metrics: Metrics;
	readonly zone: string;
	readonly random: () => number;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
};

/** An accepted call, together with the writer of its answer. */
export type ForwardRequest = {
	readonly call: Call;
	readonly answer: Answer;
	/** Aborts with a `LossReason` on a timeout, a closed connection of the caller or a shutdown. */
	readonly signal: AbortSignal;
	/** The preset in force when the call arrived, used until the call ends. */
	readonly preset: Preset;
};

/** The outcome of a call, with the fields that its log line needs. */
export type ForwardResult = {readonly outcome: Outcome; readonly attempts: number; readonly target: string | undefined};

type FailedAttempt = Exclude<AttemptResult, {kind: 'answered'}>;

/** Whether a call needs a recorded claim on its idempotency key before it runs. */
export function isKeyed(call: Call): boolean {
	return call.key !== undefined && !call.idempotent;
}

/**
Forwards a call to a sidecar and streams its answer back, retrying within the
preset's limits. A refusal proves that the attempt did not run, so the call may go
to another target. After a loss only idempotent or keyed calls are retried, and no
call is retried after its answer has begun.

@example
const {outcome} = await forward({call, answer, signal, preset}, deps);
*/
export async function forward(request: ForwardRequest, deps: ForwardDeps): Promise<ForwardResult> {
	const {call, answer, signal, preset} = request;
	const {metrics, budget} = deps;
	const startedMs = deps.monotonicMs();
	const triedIds = new Set<string>();
	const nonOwners = new Set<string>();
	let hasLoss = false;
	let redirects = 0;
	let attempts = 0;
	let target: string | undefined;
	let lastFailure: FailedAttempt = {kind: 'refused', reason: 'noTarget', retryAfterMs: noTargetRetryAfterMs};
	budget.onRequest(preset.retries.budgetRatio);

	while (attempts < preset.retries.maxAttempts) {
		const link = chooseLink(request, triedIds, deps);
		// When every usable sidecar has been tried, `chooseOwner` returns a tried one again. A sidecar in `nonOwners` has
		// released its lease and never owns a shard again.
		if (!link || nonOwners.has(link.sidecar.id)) {
			break;
		}

		target = link.sidecar.id;
		triedIds.add(target);
		attempts++;
		const remainingMs = call.deadlineMs - (deps.monotonicMs() - startedMs);
		const result = await link.attempt(toPeerRequest(call, remainingMs), answer, signal);
		recordOwner(request, {link, result, nonOwners}, deps);
		if (result.kind === 'answered') {
			return {outcome: result, attempts, target};
		}

		lastFailure = result;
		hasLoss ||= mayHaveRun(call, result);
		const redirectAction = isWrongOwner(result) ? nextAfterWrongOwner(result, {redirects, nonOwners, waitedMs: deps.monotonicMs() - startedMs}, request, deps) : 'giveUp';
		if (redirectAction !== 'giveUp') {
			redirects += redirectAction === 'ask' ? 1 : 0;
			attempts--;
			triedIds.clear();
			for (const id of nonOwners) {
				triedIds.add(id);
			}

			metrics.count('retries', {reason: redirectAction === 'wait' ? 'ownerGone' : 'wrongOwner'});
			if (redirectAction === 'wait') {
				await deps.sleep(ownerRetryDelayMs * (0.5 + deps.random()));
			}

			continue;
		}

		if (!isRetryable(request, result) || attempts >= preset.retries.maxAttempts) {
			break;
		}

		// A sidecar that refuses with `wrongOwner` has done no work, so this retry takes nothing from the retry budget.
		if (result.reason !== 'wrongOwner' && !budget.tryTake()) {
			metrics.count('retries_denied', {reason: result.reason});
			break;
		}

		metrics.count('retries', {reason: result.reason});
		await deps.sleep(backoffMs(attempts, {baseMs: preset.retries.baseBackoffMs, maxMs: preset.retries.maxBackoffMs, random: deps.random}));
	}

	return {outcome: finalOutcome(call, lastFailure, hasLoss), attempts, target};
}

function chooseLink({call, preset}: ForwardRequest, triedIds: ReadonlySet<string>, deps: ForwardDeps): Link | undefined {
	return isKeyed(call)
		? chooseOwner(call, triedIds, deps)
		: chooseTarget(call, {triedIds, preset}, deps);
}

type LinkAttempt = {readonly link: Link; readonly result: AttemptResult; readonly nonOwners: Set<string>};

function recordOwner({call}: ForwardRequest, {link, result, nonOwners}: LinkAttempt, {owners}: ForwardDeps): void {
	if (!isKeyed(call)) {
		return;
	}

	if (result.kind === 'refused' && result.reason === 'wrongOwner' && result.owner === undefined) {
		nonOwners.add(link.sidecar.id);
	}

	const isOwner = result.kind === 'answered' || (result.kind === 'refused' && result.reason !== 'wrongOwner' && result.reason !== 'connectionLost');
	owners.record(call, isOwner ? link.sidecar.id : (result.kind === 'refused' ? result.owner : undefined));
}

function isWrongOwner(result: FailedAttempt): result is Extract<FailedAttempt, {kind: 'refused'}> {
	return result.kind === 'refused' && result.reason === 'wrongOwner';
}

type RedirectState = {readonly redirects: number; readonly nonOwners: ReadonlySet<string>; readonly waitedMs: number};

// Decides how a call continues after a `wrongOwner` refusal. A refusal without an owner means that the sidecar has
// released its lease, so another sidecar is asked. A refusal with an owner redirects the call to that owner. If the
// owner is not connected or has released its lease, but the store has just confirmed it, the call waits a limited time
// for its lease to expire, because only the next owner of the shard can report whether a call with the key has run.
// After `giveUp` the call may still be retried as after any other refusal.
function nextAfterWrongOwner(
	{owner, standing}: Extract<FailedAttempt, {kind: 'refused'}>,
	{redirects, nonOwners, waitedMs}: RedirectState,
	{preset, signal}: ForwardRequest,
	{links}: ForwardDeps,
): 'askOther' | 'ask' | 'wait' | 'giveUp' {
	if (owner === undefined) {
		return signal.aborted ? 'giveUp' : 'askOther';
	}

	if (links.toSidecar(owner)?.connected && !nonOwners.has(owner)) {
		return redirects < maxOwnerRedirects ? 'ask' : 'giveUp';
	}

	return standing && !signal.aborted && waitedMs < preset.idempotency.leaseMs + ownerTakeoverMarginMs ? 'wait' : 'giveUp';
}

// A sidecar that answers `notOwner` or `notAsked` has not dispatched the call.
function mayHaveRun(call: Call, result: FailedAttempt): boolean {
	return result.kind === 'lost' && !(isKeyed(call) && (result.reason === 'notOwner' || result.reason === 'notAsked'));
}

// After an attempt that may have run, a later refusal proves only that its own attempt did not run, so the outcome stays unknown.
function finalOutcome(call: Call, lastFailure: FailedAttempt, hasLoss: boolean): Outcome {
	const {reason, retryAfterMs, detail} = lastFailure;
	if (lastFailure.kind === 'lost') {
		return {
			kind: 'unknown', reason: lastFailure.reason, retryAfterMs, detail,
		};
	}

	if (hasLoss) {
		return {
			kind: 'unknown', reason: 'connectionLost', retryAfterMs, detail: `then refused: ${reason}`,
		};
	}

	// No attempt of this call has run, but only the owner of the key's shard can report that no call with the key has run.
	if (isKeyed(call) && !ownerRefusalReasons.has(lastFailure.reason)) {
		return {
			kind: 'unknown', reason: 'notOwner', retryAfterMs, detail: `the owner of the key could not be asked: ${reason}`,
		};
	}

	return {
		kind: 'notRun', reason: lastFailure.reason, retryAfterMs, detail,
	};
}

// A sidecar refuses a keyed call for one of these reasons only if it owns, or has owned, the shard of the key.
const ownerRefusalReasons: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
	'queueFull', 'deadlineTooShort', 'deadlinePassed', 'targetLeaving', 'targetUnreachable', 'storeUnavailable', 'withdrawn', 'keyReused',
]);

const retryableAtAnotherTarget: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['queueFull', 'targetLeaving', 'targetUnreachable', 'deadlineTooShort', 'connectionLost']);

const retryableAtAnotherOwner: ReadonlySet<string> = new Set<string>(['targetLeaving', 'wrongOwner', 'connectionLost', 'notOwner', 'notAsked']);

function isRetryable({call, answer, signal}: ForwardRequest, result: FailedAttempt): boolean {
	if (signal.aborted || answer.begun) {
		return false;
	}

	// The owner finds an earlier attempt with the same key in its log, so a retry cannot run the call twice.
	if (isKeyed(call)) {
		return retryableAtAnotherOwner.has(result.reason);
	}

	return result.kind === 'refused'
		? retryableAtAnotherTarget.has(result.reason)
		: call.idempotent && (result.reason === 'connectionLost' || result.reason === 'targetLost');
}

function toPeerRequest(call: Call, remainingMs: number): PeerRequest {
	const {service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens} = call;
	return {
		service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens,
		deadlineMs: Math.max(0, remainingMs),
		...(isKeyed(call) && {key: call.key}),
	};
}

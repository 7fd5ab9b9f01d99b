import {type Answer, type Call} from '@papayaflow/caller';
import {type Preset} from '@papayaflow/config';
import {type Outcome, type RefusalReason} from '@papayaflow/outcome';
import {type PeerRequest} from '@papayaflow/peer';
import {backoffMs, type RetryBudget} from '@papayaflow/policy';
import {type Metrics} from '@papayaflow/telemetry';
import {chooseOwner, chooseTarget, type Owners} from './choose.js';
import {type AttemptResult, type Link} from './link.js';
import {type Links} from './links.js';

const noTargetRetryMs = 1000;
const maxOwnerHops = 4;
const ownerPauseMs = 200;
const ownerMarginMs = 1000;

export type ForwardDeps = {
	readonly links: Links;
	readonly owners: Owners;
	readonly budget: RetryBudget;
	readonly metrics: Metrics;
	readonly zone: string;
	readonly random: () => number;
	readonly monotonicMs: () => number;
	readonly sleep: (ms: number) => Promise<void>;
};

/** A call that has been let in, with where its answer goes. */
export type Arrival = {
	readonly call: Call;
	readonly answer: Answer;
	/** Fires with the reason when the call is given up. */
	readonly signal: AbortSignal;
	/** The preset that was in force when it came. */
	readonly preset: Preset;
};

/** How a call ended, with what the log tells of it. */
export type Forwarded = {readonly outcome: Outcome; readonly attempts: number; readonly target: string | undefined};

type Failed = Exclude<AttemptResult, {kind: 'answered'}>;

/** Whether a call has its claim recorded before it runs. */
export function isKeyed(call: Call): boolean {
	return call.key !== undefined && !call.idempotent;
}

/**
Brings a call to a target and its answer back. A refusal is a proof that the
attempt did not run, so another target may be asked; after a loss only idempotent
or keyed work is sent again, and only while nothing of an answer has gone out.

@example
const {outcome} = await forward({call, answer, signal, preset}, deps);
*/
export async function forward(arrival: Arrival, deps: ForwardDeps): Promise<Forwarded> {
	const {call, answer, signal, preset} = arrival;
	const {metrics, budget} = deps;
	const startedMs = deps.monotonicMs();
	const tried = new Set<string>();
	const disowned = new Set<string>();
	let hasLoss = false;
	let hops = 0;
	let attempts = 0;
	let target: string | undefined;
	let last: Failed = {kind: 'refused', reason: 'noTarget', retryAfterMs: noTargetRetryMs};
	budget.onRequest(preset.retries.budgetRatio);

	while (attempts < preset.retries.maxAttempts) {
		const link = chooseLink(arrival, tried, deps);
		if (!link) {
			break;
		}

		target = link.sidecar.id;
		tried.add(target);
		attempts++;
		const remainingMs = call.deadlineMs - (deps.monotonicMs() - startedMs);
		const result = await link.attempt(peerRequest(call, remainingMs), answer, signal);
		learnOwner(arrival, {link, result, disowned}, deps);
		if (result.kind === 'answered') {
			return {outcome: result, attempts, target};
		}

		last = result;
		hasLoss ||= mayHaveRun(call, result);
		const next = isSentOn(result) ? sentOn(result, {hops, disowned, waitedMs: deps.monotonicMs() - startedMs}, arrival, deps) : 'giveUp';
		if (next !== 'giveUp') {
			hops += next === 'ask' ? 1 : 0;
			attempts--;
			tried.clear();
			for (const id of disowned) {
				tried.add(id);
			}

			metrics.count('retries', {reason: next === 'ask' ? 'wrongOwner' : 'ownerGone'});
			await deps.sleep(next === 'ask' ? 0 : ownerPauseMs * (0.5 + deps.random()));
			continue;
		}

		if (!mayRetry(arrival, result) || attempts >= preset.retries.maxAttempts) {
			break;
		}

		// A sidecar that owns no keys has done no work, so the next one is asked whatever is left of the budget.
		if (result.reason !== 'wrongOwner' && !budget.tryTake()) {
			metrics.count('retries_denied', {reason: result.reason});
			break;
		}

		metrics.count('retries', {reason: result.reason});
		await deps.sleep(backoffMs(attempts, {baseMs: preset.retries.baseBackoffMs, maxMs: preset.retries.maxBackoffMs, random: deps.random}));
	}

	return {outcome: finalOutcome(call, last, hasLoss), attempts, target};
}

function chooseLink({call, preset}: Arrival, tried: ReadonlySet<string>, deps: ForwardDeps): Link | undefined {
	return isKeyed(call)
		? chooseOwner(call, tried, deps)
		: chooseTarget(call, {tried, preset}, deps);
}

type Learned = {readonly link: Link; readonly result: AttemptResult; readonly disowned: Set<string>};

function learnOwner({call}: Arrival, {link, result, disowned}: Learned, {owners}: ForwardDeps): void {
	if (!isKeyed(call)) {
		return;
	}

	if (result.kind === 'refused' && result.reason === 'wrongOwner' && result.owner === undefined) {
		disowned.add(link.sidecar.id);
	}

	const isOwner = result.kind === 'answered' || (result.kind === 'refused' && result.reason !== 'wrongOwner' && result.reason !== 'connectionLost');
	owners.learn(call, isOwner ? link.sidecar.id : (result.kind === 'refused' ? result.owner : undefined));
}

function isSentOn(result: Failed): result is Extract<Failed, {kind: 'refused'}> {
	return result.kind === 'refused' && result.reason === 'wrongOwner' && result.owner !== undefined;
}

type SentOn = {readonly hops: number; readonly disowned: ReadonlySet<string>; readonly waitedMs: number};

// An owner that the store still names but that is gone, or that has given its keys up, is waited for: its lease ends, and the next one can say what became of the key.
function sentOn({owner = '', standing}: Extract<Failed, {kind: 'refused'}>, {hops, disowned, waitedMs}: SentOn, {preset, signal}: Arrival, {links}: ForwardDeps): 'ask' | 'wait' | 'giveUp' {
	if (links.to(owner)?.connected && !disowned.has(owner)) {
		return hops < maxOwnerHops ? 'ask' : 'giveUp';
	}

	return standing && !signal.aborted && waitedMs < preset.idempotency.leaseMs + ownerMarginMs ? 'wait' : 'giveUp';
}

// What a sidecar that does not own the key's shard could not say, it did not run either.
function mayHaveRun(call: Call, result: Failed): boolean {
	return result.kind === 'lost' && !(isKeyed(call) && (result.reason === 'notOwner' || result.reason === 'notAsked'));
}

// Silence is never "not run": after one attempt that may have run, a later refusal proves nothing of the request.
function finalOutcome(call: Call, last: Failed, hasLoss: boolean): Outcome {
	const {reason, retryAfterMs, detail} = last;
	if (last.kind === 'lost') {
		return {
			kind: 'unknown', reason: last.reason, retryAfterMs, detail,
		};
	}

	if (hasLoss) {
		return {
			kind: 'unknown', reason: 'connectionLost', retryAfterMs, detail: `then refused: ${reason}`,
		};
	}

	// The owner of a key may say that it has not run; nobody else may, whatever became of this attempt.
	if (isKeyed(call) && !ownersWord.has(last.reason)) {
		return {
			kind: 'unknown', reason: 'notOwner', retryAfterMs, detail: `the owner of the key could not be asked: ${reason}`,
		};
	}

	return {
		kind: 'notRun', reason: last.reason, retryAfterMs, detail,
	};
}

const ownersWord: ReadonlySet<RefusalReason> = new Set<RefusalReason>([
	'queueFull', 'deadlineTooShort', 'deadlinePassed', 'targetLeaving', 'targetUnreachable', 'storeUnavailable', 'withdrawn', 'keyReused',
]);

const worthAnotherTarget: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['queueFull', 'targetLeaving', 'targetUnreachable', 'deadlineTooShort', 'connectionLost']);

const worthAnotherOwner: ReadonlySet<string> = new Set<string>(['targetLeaving', 'wrongOwner', 'connectionLost', 'notOwner', 'notAsked']);

function mayRetry({call, answer, signal}: Arrival, result: Failed): boolean {
	if (signal.aborted || answer.begun) {
		return false;
	}

	// With a key the log at the owner tells a second arrival from the first, so asking again is safe.
	if (isKeyed(call)) {
		return worthAnotherOwner.has(result.reason);
	}

	return result.kind === 'refused'
		? worthAnotherTarget.has(result.reason)
		: call.idempotent && (result.reason === 'connectionLost' || result.reason === 'targetLost');
}

function peerRequest(call: Call, remainingMs: number): PeerRequest {
	const {service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens} = call;
	return {
		service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens,
		deadlineMs: Math.max(0, remainingMs),
		...(isKeyed(call) && {key: call.key}),
	};
}

import {type Answer, type Call} from '@papayaflow/caller';
import {type Preset} from '@papayaflow/config';
import {type Outcome, type RefusalReason} from '@papayaflow/outcome';
import {type PeerRequest} from '@papayaflow/peer';
import {
	backoffMs, hashText, pickTarget, rendezvousOrder, withoutEjected, type RetryBudget,
} from '@papayaflow/policy';
import {type Metrics} from '@papayaflow/telemetry';
import {type AttemptResult, type Link} from './link.js';
import {type Links} from './links.js';

const noTargetRetryMs = 1000;
const maxOwnerHops = 3;

export type ForwardDeps = {
	readonly links: Links;
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

type Choice = {readonly call: Call; readonly preset: Preset; readonly tried: ReadonlySet<string>; readonly owner: string | undefined};

/** How a call ended, with what the log tells of it. */
export type Forwarded = {readonly outcome: Outcome; readonly attempts: number; readonly target: string | undefined};

/**
Brings a call to a target and its answer back. A refusal is a proof that the
attempt did not run, so another target may be asked; after a loss only idempotent
or keyed work is sent again, and only while nothing of an answer has gone out.

@example
const {outcome} = await forward({call, answer, signal, preset}, deps);
*/
export async function forward({call, answer, signal, preset}: Arrival, deps: ForwardDeps): Promise<Forwarded> {
	const {metrics, budget} = deps;
	const startedMs = deps.monotonicMs();
	const tried = new Set<string>();
	let hasLoss = false;
	let owner: string | undefined;
	let hops = 0;
	let attempts = 0;
	let last: AttemptResult = {kind: 'refused', reason: 'noTarget', retryAfterMs: noTargetRetryMs};
	let target: string | undefined;
	budget.onRequest(preset.retries.budgetRatio);

	while (attempts < preset.retries.maxAttempts) {
		const link = chooseLink({
			call, tried, owner, preset,
		}, deps);
		if (!link) {
			break;
		}

		target = link.sidecar.id;
		tried.add(target);
		attempts++;
		const remainingMs = call.deadlineMs - (deps.monotonicMs() - startedMs);
		last = await link.attempt(peerRequest(call, remainingMs), answer, signal);
		if (last.kind === 'answered') {
			return {outcome: last, attempts, target};
		}

		hasLoss ||= last.kind === 'lost';
		if (last.kind === 'refused' && last.owner !== undefined && hops < maxOwnerHops) {
			owner = last.owner;
			hops++;
			attempts--;
			tried.delete(owner);
			metrics.count('retries', {reason: 'wrongOwner'});
			continue;
		}

		owner = undefined;
		if (!mayRetry(call, last, answer, signal) || attempts >= preset.retries.maxAttempts) {
			break;
		}

		if (!budget.tryTake()) {
			metrics.count('retries_denied', {reason: last.reason});
			break;
		}

		metrics.count('retries', {reason: last.reason});
		await deps.sleep(backoffMs(attempts, {baseMs: preset.retries.baseBackoffMs, maxMs: preset.retries.maxBackoffMs, random: deps.random}));
	}

	return {outcome: finalOutcome(last, hasLoss), attempts, target};
}

// Silence is never "not run": after one attempt that may have run, a later refusal proves nothing of the request.
function finalOutcome(last: Exclude<AttemptResult, {kind: 'answered'}>, hasLoss: boolean): Outcome {
	const {retryAfterMs, detail} = last;
	if (last.kind === 'lost') {
		return {
			kind: 'unknown', reason: last.reason, retryAfterMs, detail,
		};
	}

	return hasLoss
		? {
			kind: 'unknown', reason: 'connectionLost', retryAfterMs, detail: `then refused: ${last.reason}`,
		}
		: {
			kind: 'notRun', reason: last.reason, retryAfterMs, detail,
		};
}

const refusalsWorthAnotherTarget: ReadonlySet<RefusalReason> = new Set<RefusalReason>(['queueFull', 'targetLeaving', 'targetUnreachable', 'deadlineTooShort', 'wrongOwner', 'connectionLost']);

function mayRetry(call: Call, result: Exclude<AttemptResult, {kind: 'answered'}>, answer: Answer, signal: AbortSignal): boolean {
	if (signal.aborted || answer.begun) {
		return false;
	}

	if (result.kind === 'refused') {
		const isKeyed = call.key !== undefined && !call.idempotent;
		return isKeyed ? result.reason === 'targetUnreachable' || result.reason === 'targetLeaving' : refusalsWorthAnotherTarget.has(result.reason);
	}

	// With a key the log at the owner tells a second arrival from the first, so asking again is safe.
	const isSettledByLog = call.key !== undefined && result.reason === 'connectionLost';
	return call.idempotent ? result.reason === 'connectionLost' || result.reason === 'targetLost' : isSettledByLog;
}

function chooseLink(choice: Choice, deps: ForwardDeps): Link | undefined {
	const {call, preset, tried} = choice;
	if (!call.idempotent && call.key !== undefined) {
		return chooseOwner(call.key, choice, deps);
	}

	const nowMs = deps.monotonicMs();
	const usable = deps.links.of(call.service).filter(link => link.usable && !tried.has(link.sidecar.id));
	const links = withoutEjected(usable, link => link.health, nowMs, preset.routing);
	const byId = new Map(links.map(link => [link.sidecar.id, link]));
	const candidates = links.map(link => ({
		id: link.sidecar.id, zone: link.sidecar.zone, ownTokens: link.ownTokens, report: link.report, sinceMs: link.sinceMs,
	}));
	const picked = pickTarget(candidates, {
		...preset.routing, nowMs, random: deps.random, zone: deps.zone, affinityKey: call.affinityKey,
	});
	return picked && byId.get(picked.id);
}

// Keyed work goes to the owner of its shard; who is asked first is the same at every entry, so that owners settle.
function chooseOwner(key: string, {call, owner, tried, preset}: Choice, deps: ForwardDeps): Link | undefined {
	if (owner !== undefined) {
		const link = deps.links.to(owner);
		if (link?.connected) {
			return link;
		}
	}

	const shard = shardOf(call.organisation, key, preset.idempotency.shards);
	const order = rendezvousOrder(`${call.service}/${shard}`, deps.links.sidecarsOf(call.service));
	const links = order.map(id => deps.links.to(id)).filter(link => link?.usable);
	return links.find(link => !tried.has(link!.sidecar.id)) ?? links.at(0);
}

/** The shard of the idempotency log that holds a key. */
export function shardOf(organisation: string, key: string, shards: number): number {
	return hashText(`${organisation}/${key}`) % shards;
}

function peerRequest(call: Call, remainingMs: number): PeerRequest {
	const {service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens} = call;
	return {
		service, method, path, headers, body, organisation, priority, requestId, idempotent, tokens,
		deadlineMs: Math.max(0, remainingMs),
		...(!idempotent && call.key !== undefined && {key: call.key}),
	};
}

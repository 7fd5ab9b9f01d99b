import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Preset} from '@papayaflow/config';
import {
	type Claim, type ClaimResult, type Claims, type RecordedAnswer,
} from '@papayaflow/idempotency';
import {type Frame, type PeerRequest} from '@papayaflow/peer';
import {shardOfKey} from '@papayaflow/policy';
import {type AdmissionResult} from './admission.js';
import {
	admit, dispatch, reportOutcome, type ServeDeps,
} from './dispatch.js';
import {
	reportLost, refuse, refusedRetryMs, type ReceivedAttempt,
} from './reply.js';

type KeyedAttempt = {readonly id: string; readonly fingerprint: string; readonly claims: Claims; readonly deadlineMs: number};

/** Serves an attempt that carries an idempotency key: looks the key up, claims it, and dispatches the call only with the claim recorded. */
export async function serveKeyed(received: ReceivedAttempt, key: string, {deadlineMs, preset}: {deadlineMs: number; preset: Preset}, deps: ServeDeps): Promise<void> {
	const {request} = received;
	const claims = deps.claimsOf(shardOfKey(request.organisation, key));
	const id = `${request.organisation}/${key}`;
	const fingerprint = requestFingerprint(request);
	const keyed: KeyedAttempt = {
		id, fingerprint, claims, deadlineMs,
	};
	const lookup = await claims.lookUp(id, fingerprint);
	if (lookup.kind !== 'fresh') {
		await answerFromClaim(received, lookup, keyed, deps);
		return;
	}

	// This process owns the shard and has just found the key to be new, so no earlier attempt with the key has run either and `refused` is correct. (sealed-log.pml: current)
	if (deadlineMs <= deps.monotonicMs()) {
		refuse(received, {reason: 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	const admissionResult = await admit(received, deadlineMs, preset, deps);
	if (admissionResult.kind === 'refused') {
		refuse(received, admissionResult, deps);
		return;
	}

	const result = await claims.claim(id, fingerprint);
	if (result.kind !== 'claimed') {
		admissionResult.release(false);
		await answerFromClaim(received, result, keyed, deps);
		return;
	}

	if (deadlineMs <= deps.monotonicMs() || deps.isLeaving()) {
		admissionResult.release(false);
		refuse(received, {reason: deps.isLeaving() ? 'targetLeaving' : 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		await result.claim.withdrawn();
		return;
	}

	await runClaimed(received, result.claim, admissionResult, deps);
}

// A claimed call is not cancelled when its caller disconnects: its outcome is recorded for the next attempt with the key.
async function runClaimed(received: ReceivedAttempt, claim: Claim, admitted: Extract<AdmissionResult, {kind: 'admitted'}>, deps: ServeDeps): Promise<void> {
	const recorder = createRecorder(received, deps.preset()?.idempotency.maxRecordedBytes ?? 0);
	const outcome = await dispatch({...received, send: recorder.send}, new AbortController().signal, deps);
	admitted.release(outcome.kind === 'answered');
	reportOutcome(received, outcome, deps);
	switch (outcome.kind) {
		case 'answered': {
			await claim.done(recorder.answer());
			break;
		}

		case 'notRun': {
			await claim.withdrawn();
			break;
		}

		case 'unknown': {
			claim.lost();
			break;
		}
	}
}

async function answerFromClaim(received: ReceivedAttempt, result: ClaimResult, keyed: KeyedAttempt, deps: ServeDeps): Promise<void> {
	const {
		id, fingerprint, claims, deadlineMs,
	} = keyed;
	deps.metrics.count('claims', {result: result.kind});
	switch (result.kind) {
		case 'replay': {
			replay(received, result.answer);
			return;
		}

		case 'inProgress': {
			await waitUntilEnded(result.ended, deadlineMs - deps.monotonicMs(), received.signal);
			const later = await claims.lookUp(id, fingerprint);
			if (later.kind === 'inProgress') {
				reportLost(received, 'timeout', deps, 'the same key is still running');
			} else if (later.kind === 'fresh') {
				refuse(received, {reason: 'withdrawn', retryAfterMs: refusedRetryMs, detail: 'the call with this key did not run'}, deps);
			} else {
				await answerFromClaim(received, later, keyed, deps);
			}

			return;
		}

		case 'reused': {
			refuse(received, {reason: 'keyReused', retryAfterMs: refusedRetryMs, detail: 'this key came before with another request'}, deps);
			return;
		}

		case 'ranUnrecorded': {
			reportLost(received, 'claimedEarlier', deps, `it ran and was answered with status ${result.status}, but the answer was too large to keep`);
			return;
		}

		case 'claimedEarlier': {
			reportLost(received, 'claimedEarlier', deps);
			return;
		}

		case 'elsewhere': {
			refuse(received, {
				reason: 'wrongOwner', retryAfterMs: refusedRetryMs, owner: result.holder, standing: result.standing,
			}, deps);
			return;
		}

		case 'notRun': {
			refuse(received, {reason: 'storeUnavailable', retryAfterMs: refusedRetryMs}, deps);
			return;
		}

		case 'unknown':
		case 'claimed': {
			reportLost(received, 'notOwner', deps);
		}
	}
}

function replay({attempt, send}: ReceivedAttempt, answer: RecordedAnswer): void {
	send({
		kind: 'head', attempt, status: answer.status, headers: {...answer.headers, 'idempotency-replayed': 'true'},
	});
	send({kind: 'data', attempt, bytes: answer.body});
	send({kind: 'end', attempt, length: answer.body.length});
}

// Forwards the answer's frames and keeps a copy for the log, of at most `maxBytes + 1` bytes:
// with the extra byte the copy exceeds the limit, so that `done` records only the status of the answer.
function createRecorder(received: ReceivedAttempt, maxBytes: number): {send: (frame: Frame) => void; answer: () => RecordedAnswer} {
	let status = 0;
	let headers: Readonly<Record<string, string>> = {};
	const chunks: Uint8Array[] = [];
	let receivedBytes = 0;
	return {
		send(frame) {
			if (frame.kind === 'head') {
				status = frame.status;
				headers = frame.headers;
			} else if (frame.kind === 'data') {
				const remainingBytes = maxBytes + 1 - receivedBytes;
				chunks.push(frame.bytes.subarray(0, Math.max(0, remainingBytes)));
				receivedBytes += frame.bytes.length;
			}

			received.send(frame);
		},
		answer: () => ({status, headers, body: Buffer.concat(chunks)}),
	};
}

function requestFingerprint({method, path, body}: PeerRequest): string {
	return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64').slice(0, 16);
}

async function waitUntilEnded(ended: Promise<void>, ms: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, Math.max(0, ms));
		const finish = (): void => {
			clearTimeout(timer);
			resolve();
		};

		signal.addEventListener('abort', finish, {once: true});
		void ended.then(finish);
	});
}

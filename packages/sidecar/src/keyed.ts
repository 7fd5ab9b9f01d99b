import {Buffer} from 'node:buffer';
import {createHash} from 'node:crypto';
import {type Preset} from '@papayaflow/config';
import {
	type Claim, type ClaimResult, type Claims, type RecordedAnswer,
} from '@papayaflow/idempotency';
import {type Frame, type PeerRequest} from '@papayaflow/peer';
import {shardOfKey} from '@papayaflow/policy';
import {type Admitted} from './admission.js';
import {
	admit, dispatch, report, type ServeDeps,
} from './dispatch.js';
import {
	lose, refuse, refusedRetryMs, type Arrived,
} from './reply.js';

type Keyed = {readonly id: string; readonly print: string; readonly claims: Claims; readonly deadlineMs: number};

/** Serves an attempt that carries a key: looks, claims, and dispatches only what it has claimed. */
export async function serveKeyed(arrived: Arrived, key: string, {deadlineMs, preset}: {deadlineMs: number; preset: Preset}, deps: ServeDeps): Promise<void> {
	const {request} = arrived;
	const claims = deps.claimsOf(shardOfKey(request.organisation, key));
	const id = `${request.organisation}/${key}`;
	const print = fingerprint(request);
	const keyed: Keyed = {
		id, print, claims, deadlineMs,
	};
	const looked = await claims.look(id, print);
	if (looked.kind !== 'fresh') {
		await answerKnown(arrived, looked, keyed, deps);
		return;
	}

	// The owner has just said that the key is new, so a refusal here is true of the key. (sealed-log.pml: current)
	if (deadlineMs <= deps.monotonicMs()) {
		refuse(arrived, {reason: 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		return;
	}

	const admitted = await admit(arrived, deadlineMs, preset, deps);
	if (admitted.kind === 'refused') {
		refuse(arrived, admitted, deps);
		return;
	}

	const result = await claims.claim(id, print);
	if (result.kind !== 'claimed') {
		admitted.release(false);
		await answerKnown(arrived, result, keyed, deps);
		return;
	}

	if (deadlineMs <= deps.monotonicMs() || deps.isLeaving()) {
		admitted.release(false);
		refuse(arrived, {reason: deps.isLeaving() ? 'targetLeaving' : 'deadlinePassed', retryAfterMs: refusedRetryMs}, deps);
		await result.claim.withdrawn();
		return;
	}

	await runClaimed(arrived, result.claim, admitted, deps);
}

// A caller that goes away does not stop keyed work: its outcome is recorded for the next arrival of the key.
async function runClaimed(arrived: Arrived, claim: Claim, admitted: Extract<Admitted, {kind: 'admitted'}>, deps: ServeDeps): Promise<void> {
	const recorder = createRecorder(arrived, deps.preset()?.idempotency.maxRecordedBytes ?? 0);
	const outcome = await dispatch({...arrived, send: recorder.send}, new AbortController().signal, deps);
	admitted.release(outcome.kind === 'answered');
	report(arrived, outcome, deps);
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

async function answerKnown(arrived: Arrived, known: ClaimResult, keyed: Keyed, deps: ServeDeps): Promise<void> {
	const {
		id, print, claims, deadlineMs,
	} = keyed;
	deps.metrics.count('claims', {result: known.kind});
	switch (known.kind) {
		case 'replay': {
			replay(arrived, known.answer);
			return;
		}

		case 'inProgress': {
			await waitFor(known.ended, deadlineMs - deps.monotonicMs(), arrived.signal);
			const later = await claims.look(id, print);
			if (later.kind === 'inProgress') {
				lose(arrived, 'timeout', deps, 'the same key is still running');
			} else if (later.kind === 'fresh') {
				refuse(arrived, {reason: 'withdrawn', retryAfterMs: refusedRetryMs, detail: 'the call with this key did not run'}, deps);
			} else {
				await answerKnown(arrived, later, keyed, deps);
			}

			return;
		}

		case 'reused': {
			refuse(arrived, {reason: 'keyReused', retryAfterMs: refusedRetryMs, detail: 'this key came before with another request'}, deps);
			return;
		}

		case 'ranUnrecorded': {
			lose(arrived, 'claimedEarlier', deps, `it ran and was answered with status ${known.status}, but the answer was too large to keep`);
			return;
		}

		case 'claimedEarlier': {
			lose(arrived, 'claimedEarlier', deps);
			return;
		}

		case 'elsewhere': {
			refuse(arrived, {
				reason: 'wrongOwner', retryAfterMs: refusedRetryMs, owner: known.holder, standing: known.standing,
			}, deps);
			return;
		}

		case 'notRun': {
			refuse(arrived, {reason: 'storeUnavailable', retryAfterMs: refusedRetryMs}, deps);
			return;
		}

		case 'unknown':
		case 'claimed': {
			lose(arrived, 'notOwner', deps);
		}
	}
}

function replay({attempt, send}: Arrived, answer: RecordedAnswer): void {
	send({
		kind: 'head', attempt, status: answer.status, headers: {...answer.headers, 'idempotency-replayed': 'true'},
	});
	send({kind: 'data', attempt, bytes: answer.body});
	send({kind: 'end', attempt, length: answer.body.length});
}

// Passes an answer's frames on and keeps them for the log, one byte past the most that is recorded at the longest.
function createRecorder(arrived: Arrived, maxBytes: number): {send: (frame: Frame) => void; answer: () => RecordedAnswer} {
	let status = 0;
	let headers: Readonly<Record<string, string>> = {};
	const chunks: Uint8Array[] = [];
	let kept = 0;
	return {
		send(frame) {
			if (frame.kind === 'head') {
				status = frame.status;
				headers = frame.headers;
			} else if (frame.kind === 'data') {
				const room = maxBytes + 1 - kept;
				chunks.push(frame.bytes.subarray(0, Math.max(0, room)));
				kept += frame.bytes.length;
			}

			arrived.send(frame);
		},
		answer: () => ({status, headers, body: Buffer.concat(chunks)}),
	};
}

function fingerprint({method, path, body}: PeerRequest): string {
	return createHash('sha256').update(`${method} ${path}\n`).update(body).digest('base64').slice(0, 16);
}

async function waitFor(ended: Promise<void>, ms: number, signal: AbortSignal): Promise<void> {
	await new Promise<void>(resolve => {
		const timer = setTimeout(resolve, Math.max(0, ms));
		const stop = (): void => {
			clearTimeout(timer);
			resolve();
		};

		signal.addEventListener('abort', stop, {once: true});
		void ended.then(stop);
	});
}

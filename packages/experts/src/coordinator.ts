import {type LayerMove} from '@papayaflow/policy';
import {
	type RankOrder, type RankReply, type Ranks, type RankState,
} from './order.js';

export type CoordinatorOptions = {
	readonly ranks: Ranks;
	/** Fencing token of this coordinator, allocated in the key-value service. */
	readonly epoch: number;
	/** Number of steps from the last step of the rank that is furthest ahead to the step at which a map takes effect. */
	readonly stepsAhead: number;
	/** Waits before an order that was not accepted is sent again. */
	readonly waitBeforeRetry: () => Promise<void>;
	/** Whether this coordinator should stop, because it shuts down or knows of a higher epoch. */
	readonly isStopped: () => boolean;
};

export type SwitchResult
	= | {readonly kind: 'committed'; readonly step: number}
		| {readonly kind: 'aborted'; readonly at: 'prepare' | 'hold'}
	/** Another coordinator has a higher epoch, or this one was stopped. The next coordinator completes or aborts the switch. */
		| {readonly kind: 'superseded'};

export type RecoverResult
	= | {readonly kind: 'recovered'; readonly version: number; readonly finished: 'none' | 'committed' | 'aborted'}
		| {readonly kind: 'superseded'};

/**
Switches all ranks to another expert map, much like a two-phase commit. The map is
prepared on every rank, held by every rank at the same step, and only then committed. If
a rank refuses or does not reply, the switch is aborted. The decision is sent again
until every rank has accepted it.

@example
const result = await switchMap({version: 4, moves}, options);
*/
export async function switchMap({version, moves}: {readonly version: number; readonly moves: readonly LayerMove[]}, options: CoordinatorOptions): Promise<SwitchResult> {
	const {epoch} = options;
	const prepareReplies = await sendAll({
		kind: 'prepare', epoch, version, moves,
	}, options);
	if (!prepareReplies.every(reply => reply?.accepted)) {
		return abort(version, 'prepare', options);
	}

	const highestStep = Math.max(...prepareReplies.map(reply => reply!.state.step));
	const step = highestStep + options.stepsAhead;
	const holdReplies = await sendAll({
		kind: 'hold', epoch, version, step,
	}, options);
	// A rank that does not hold the map may already be past the step, so a commit needs every hold. (expert-map.pml: unanimous)
	if (!holdReplies.every(reply => reply?.accepted)) {
		return abort(version, 'hold', options);
	}

	const commitReplies = await sendAllUntilAccepted({kind: 'commit', epoch, version}, options);
	return commitReplies ? {kind: 'committed', step} : {kind: 'superseded'};
}

/**
Takes over the ranks from an earlier coordinator. Every rank first promises to refuse
lower epochs, so that orders of the earlier coordinator can't change the states after
they have been read. A map that any rank has committed is then committed on all ranks,
and a map that is only held is aborted on all ranks.

@example
const recovered = await recover(options);
*/
export async function recover(options: CoordinatorOptions): Promise<RecoverResult> {
	const {epoch} = options;
	const replies = await sendAllUntilAccepted({kind: 'promise', epoch}, options);
	if (!replies) {
		return {kind: 'superseded'};
	}

	const states = replies.map(reply => reply.state);
	const newestVersion = Math.max(...states.map(state => newestVersionOf(state)));
	const committedVersion = Math.max(...states.map(state => Math.max(state.committed, state.next?.version ?? 0)));
	const hasUndecidedRank = states.some(state => state.held !== undefined);
	const isPartlyCommitted = states.some(state => Math.max(state.committed, state.next?.version ?? 0) !== committedVersion);
	if (!hasUndecidedRank && !isPartlyCommitted) {
		return {kind: 'recovered', version: newestVersion, finished: 'none'};
	}

	// A commit on any rank means that every rank has held the map, and that some ranks may already use it. (expert-map.pml: anyCommitted)
	const pendingVersion = states.find(state => state.held !== undefined)?.held?.version ?? committedVersion;
	const order: RankOrder = pendingVersion <= committedVersion ? {kind: 'commit', epoch, version: pendingVersion} : {kind: 'abort', epoch, version: pendingVersion};
	const decisionReplies = await sendAllUntilAccepted(order, options);
	return decisionReplies ? {kind: 'recovered', version: newestVersion, finished: order.kind === 'commit' ? 'committed' : 'aborted'} : {kind: 'superseded'};
}

async function abort(version: number, at: 'prepare' | 'hold', options: CoordinatorOptions): Promise<SwitchResult> {
	const abortReplies = await sendAllUntilAccepted({kind: 'abort', epoch: options.epoch, version}, options);
	return abortReplies ? {kind: 'aborted', at} : {kind: 'superseded'};
}

async function sendAll(order: RankOrder, {ranks}: CoordinatorOptions): Promise<ReadonlyArray<RankReply | undefined>> {
	return Promise.all(Array.from({length: ranks.count}, async (_, rank) => ranks.order(rank, order)));
}

/** Sends an order to every rank until it is accepted; `undefined` when a rank has promised a higher epoch or the coordinator is stopped. */
async function sendAllUntilAccepted(order: RankOrder, options: CoordinatorOptions): Promise<readonly RankReply[] | undefined> {
	const replies = await Promise.all(Array.from({length: options.ranks.count}, async (_, rank) => sendUntilAccepted(rank, order, options)));
	return replies.every(reply => reply !== undefined) ? replies : undefined;
}

async function sendUntilAccepted(rank: number, order: RankOrder, {ranks, epoch, waitBeforeRetry, isStopped}: CoordinatorOptions): Promise<RankReply | undefined> {
	while (!isStopped()) {
		const reply = await ranks.order(rank, order);
		if (reply?.accepted) {
			return reply;
		}

		if (reply && reply.state.promised > epoch) {
			return undefined;
		}

		await waitBeforeRetry();
	}

	return undefined;
}

function newestVersionOf(state: RankState): number {
	return Math.max(state.committed, state.prepared, state.aborted, state.held?.version ?? 0, state.next?.version ?? 0);
}

import {type LayerMove} from '@papayaflow/policy';
import {
	type RankOrder, type RankReply, type Ranks, type RankState,
} from './order.js';

export type CoordinatorOptions = {
	readonly ranks: Ranks;
	/** This coordinator's fencing number, taken from the key-value service. */
	readonly epoch: number;
	/** How many steps ahead of the furthest rank a map comes in force. */
	readonly stepsAhead: number;
	/** Pause before an order that got no reply is given again. */
	readonly pause: () => Promise<void>;
	/** Whether this coordinator should stop: it shuts down or knows of a higher epoch. */
	readonly isStopped: () => boolean;
};

export type SwitchResult
	= | {readonly kind: 'committed'; readonly step: number}
		| {readonly kind: 'aborted'; readonly at: 'prepare' | 'hold'}
	/** Another coordinator has a higher epoch, or this one was stopped; the other one finishes. */
		| {readonly kind: 'superseded'};

export type RecoverResult
	= | {readonly kind: 'recovered'; readonly version: number; readonly finished: 'none' | 'committed' | 'aborted'}
		| {readonly kind: 'superseded'};

/**
Brings the ranks to another expert map. The map is prepared on every rank, held
by every rank at one step, and only then committed; a rank that refuses or does
not reply aborts it. What is decided is told until every rank has heard it.

@example
const result = await switchMap({version: 4, moves}, options);
*/
export async function switchMap({version, moves}: {readonly version: number; readonly moves: readonly LayerMove[]}, options: CoordinatorOptions): Promise<SwitchResult> {
	const {epoch} = options;
	const prepared = await orderAll({
		kind: 'prepare', epoch, version, moves,
	}, options);
	if (!prepared.every(reply => reply?.accepted)) {
		return abort(version, 'prepare', options);
	}

	const furthest = Math.max(...prepared.map(reply => reply!.state.step));
	const step = furthest + options.stepsAhead;
	const held = await orderAll({
		kind: 'hold', epoch, version, step,
	}, options);
	// Unanimous or not at all: one rank without the hold may already be past the step. (expert-map.pml: unanimous)
	if (!held.every(reply => reply?.accepted)) {
		return abort(version, 'hold', options);
	}

	const told = await tellAll({kind: 'commit', epoch, version}, options);
	return told ? {kind: 'committed', step} : {kind: 'superseded'};
}

/**
Takes the ranks over from an earlier coordinator. Every rank promises this epoch
first, so that nothing of the earlier one can change what is seen; then a map that
any rank has committed is committed everywhere, and one that is only held is
aborted everywhere.

@example
const recovered = await recover(options);
*/
export async function recover(options: CoordinatorOptions): Promise<RecoverResult> {
	const {epoch} = options;
	const replies = await tellAll({kind: 'promise', epoch}, options);
	if (!replies) {
		return {kind: 'superseded'};
	}

	const states = replies.map(reply => reply.state);
	const newest = Math.max(...states.map(state => newestVersion(state)));
	const chosen = Math.max(...states.map(state => Math.max(state.committed, state.next?.version ?? 0)));
	const isUndecided = states.some(state => state.held !== undefined);
	const isPartial = states.some(state => Math.max(state.committed, state.next?.version ?? 0) !== chosen);
	if (!isUndecided && !isPartial) {
		return {kind: 'recovered', version: newest, finished: 'none'};
	}

	// Committed anywhere means that every rank had held it, and that some may use it by now. (expert-map.pml: anyCommitted)
	const open = states.find(state => state.held !== undefined)?.held?.version ?? chosen;
	const order: RankOrder = open <= chosen ? {kind: 'commit', epoch, version: open} : {kind: 'abort', epoch, version: open};
	const told = await tellAll(order, options);
	return told ? {kind: 'recovered', version: newest, finished: order.kind === 'commit' ? 'committed' : 'aborted'} : {kind: 'superseded'};
}

async function abort(version: number, at: 'prepare' | 'hold', options: CoordinatorOptions): Promise<SwitchResult> {
	const told = await tellAll({kind: 'abort', epoch: options.epoch, version}, options);
	return told ? {kind: 'aborted', at} : {kind: 'superseded'};
}

async function orderAll(order: RankOrder, {ranks}: CoordinatorOptions): Promise<ReadonlyArray<RankReply | undefined>> {
	return Promise.all(Array.from({length: ranks.count}, async (_, rank) => ranks.order(rank, order)));
}

// Tells each rank until it accepts; `undefined` when a rank refuses, since it then has promised a higher epoch.
async function tellAll(order: RankOrder, options: CoordinatorOptions): Promise<readonly RankReply[] | undefined> {
	const told = await Promise.all(Array.from({length: options.ranks.count}, async (_, rank) => tell(rank, order, options)));
	return told.every(reply => reply !== undefined) ? told : undefined;
}

async function tell(rank: number, order: RankOrder, {ranks, epoch, pause, isStopped}: CoordinatorOptions): Promise<RankReply | undefined> {
	while (!isStopped()) {
		const reply = await ranks.order(rank, order);
		if (reply?.accepted) {
			return reply;
		}

		if (reply && reply.state.promised > epoch) {
			return undefined;
		}

		await pause();
	}

	return undefined;
}

function newestVersion(state: RankState): number {
	return Math.max(state.committed, state.prepared, state.aborted, state.held?.version ?? 0, state.next?.version ?? 0);
}

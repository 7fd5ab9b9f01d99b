import {type Store} from '@papayaflow/store';
import {chunkPreset} from './chunk.js';
import {
	chunkKey, decodeHead, emptyHead, encodeHead, headKey, withInForce, withPreset, type Change, type Head,
} from './head.js';
import {type Preset} from './preset.js';

const maxSwapAttempts = 5;

/** The author, the id and the time of a change. `changeId` finds the outcome of the change when the answer to its write was lost. */
export type ChangeAuthor = {readonly by: string; readonly changeId: string; readonly nowMs: number};

/** A new body for a preset. `editedFrom` is the hash of the body that was edited, `undefined` for a new preset. */
export type PresetEdit = {readonly name: string; readonly preset: Preset; readonly editedFrom: string | undefined};

export type ChangeRefusal = 'exists' | 'noSuchPreset' | 'editedMeanwhile' | 'switchedMeanwhile';

/**
The result of a change. `refused` carries the current head. `unknown` means that
the key-value service did not confirm the change, which may have taken effect. To
find out, repeat the change with the same change id or call `settleChange`.
*/
export type ChangeResult
	= | {readonly kind: 'accepted'; readonly head: Head}
		| {readonly kind: 'refused'; readonly reason: ChangeRefusal; readonly head: Head}
		| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string};

type Proposal = {readonly kind: 'propose'; readonly head: Head} | {readonly kind: 'refuse'; readonly reason: ChangeRefusal};

export type HeadResult
	= | {readonly kind: 'read'; readonly head: Head; readonly storeRevision: number}
		| {readonly kind: 'unavailable'; readonly detail: string};

/** Reads the head. An absent head is returned as the empty head at store revision 0. */
export async function readHead(store: Store): Promise<HeadResult> {
	const result = await store.read(headKey);
	switch (result.kind) {
		case 'found': {
			const head = decodeHead(result.entry.value);
			return head ? {kind: 'read', head, storeRevision: result.entry.revision} : {kind: 'unavailable', detail: 'the stored head is malformed'};
		}

		case 'absent': {
			return {kind: 'read', head: emptyHead, storeRevision: 0};
		}

		case 'unavailable': {
			return result;
		}
	}
}

/**
Saves a new body for a preset. `editedFrom` is the hash of the body that the edit
started from, `undefined` for a new preset. If the preset has changed since, the
edit is refused and the current body stays.

@example
const result = await savePreset(store, {name: 'peak', preset, editedFrom: undefined}, author);
*/
export async function savePreset(store: Store, {name, preset, editedFrom}: PresetEdit, author: ChangeAuthor): Promise<ChangeResult> {
	const {body, chunks} = chunkPreset(preset);
	for (const [hash, bytes] of chunks) {
		const written = await store.write(chunkKey(hash), bytes, {expected: 0});
		if (written.kind === 'unknown' && !await isStored(store, hash)) {
			// The head must not refer to a chunk that may be missing, so this attempt changes nothing.
			// An earlier attempt with the same change id may have taken effect, though.
			return resolveOrUnknown(store, author, `chunk ${hash}: ${written.detail}`);
		}
	}

	return swapHead(store, author, head => {
		const current = Object.hasOwn(head.presets, name) ? head.presets[name] : undefined;
		if (current === editedFrom) {
			return {kind: 'propose', head: withPreset(head, name, body, createChange(author, `saved ${name}`))};
		}

		return {kind: 'refuse', reason: editedFrom === undefined ? 'exists' : (current === undefined ? 'noSuchPreset' : 'editedMeanwhile')};
	});
}

/**
Puts a preset in force. `seenRevision` is the revision that the operator's decision
is based on. The switch is refused if another switch was made after that revision;
edits of presets in between don't matter.
*/
export async function usePreset(store: Store, name: string, seenRevision: number, author: ChangeAuthor): Promise<ChangeResult> {
	return swapHead(store, author, head => {
		if (!Object.hasOwn(head.presets, name)) {
			return {kind: 'refuse', reason: 'noSuchPreset'};
		}

		const wasSwitched = head.recent.some(change => change.revision > seenRevision && change.body === undefined);
		// Without a history back to `seenRevision`, a switch after it can't be ruled out.
		const isHistoryTruncated = (head.recent.at(0)?.revision ?? 0) > seenRevision + 1;
		if (wasSwitched || isHistoryTruncated) {
			return {kind: 'refuse', reason: 'switchedMeanwhile'};
		}

		return {kind: 'propose', head: withInForce(head, name, createChange(author, `put ${name} in force`))};
	});
}

/** Finds out whether a change whose answer was lost has taken effect. */
export async function settleChange(store: Store, changeId: string): Promise<ChangeResult | {readonly kind: 'notFound'; readonly head: Head}> {
	const result = await readHead(store);
	if (result.kind === 'unavailable') {
		return {kind: 'unknown', changeId, detail: result.detail};
	}

	return result.head.recent.some(change => change.id === changeId)
		? {kind: 'accepted', head: result.head}
		: {kind: 'notFound', head: result.head};
}

async function swapHead(store: Store, author: ChangeAuthor, propose: (head: Head) => Proposal): Promise<ChangeResult> {
	let detail = '';
	for (let attempt = 0; attempt < maxSwapAttempts; attempt++) {
		const current = await readHead(store);
		if (current.kind === 'unavailable') {
			detail = current.detail;
			continue;
		}

		// Checked before proposing, because an earlier attempt whose answer was lost may have taken effect. (head.pml: settled)
		if (current.head.recent.some(change => change.id === author.changeId)) {
			return {kind: 'accepted', head: current.head};
		}

		const proposal = propose(current.head);
		if (proposal.kind === 'refuse') {
			return {kind: 'refused', reason: proposal.reason, head: current.head};
		}

		// The compare-and-swap expects the revision that was read, so that no other change is overwritten. (head.pml: swap)
		const written = await store.write(headKey, encodeHead(proposal.head), {expected: current.storeRevision});
		if (written.kind === 'written') {
			return {kind: 'accepted', head: proposal.head};
		}

		detail = written.kind === 'unknown' ? written.detail : 'another change took effect first';
	}

	return {kind: 'unknown', changeId: author.changeId, detail};
}

async function resolveOrUnknown(store: Store, author: ChangeAuthor, detail: string): Promise<ChangeResult> {
	const outcome = await settleChange(store, author.changeId);
	return outcome.kind === 'accepted' ? outcome : {kind: 'unknown', changeId: author.changeId, detail};
}

async function isStored(store: Store, hash: string): Promise<boolean> {
	const result = await store.read(chunkKey(hash));
	return result.kind === 'found';
}

function createChange(author: ChangeAuthor, what: string): Omit<Change, 'revision'> {
	return {
		id: author.changeId, atMs: author.nowMs, by: author.by, what,
	};
}

import {type Store} from '@papayaflow/store';
import {chunkPreset} from './chunk.js';
import {
	chunkKey, decodeHead, emptyHead, encodeHead, headKey, withInForce, withPreset, type Change, type Head,
} from './head.js';
import {type Preset} from './preset.js';

const settleAttempts = 5;

/** Who changes the configuration, with the id by which a lost answer is settled. */
export type Author = {readonly by: string; readonly changeId: string; readonly nowMs: number};

/** A new body for a preset. */
export type Edit = {readonly name: string; readonly preset: Preset; readonly editedFrom: string | undefined};

export type ChangeRefusal = 'exists' | 'noSuchPreset' | 'editedMeanwhile' | 'switchedMeanwhile';

/**
How a change ends. `refused` names the head that is in force instead. `unknown`
is said only while the key-value service can't be asked; asking again with the
same change id settles it.
*/
export type ChangeResult
	= | {readonly kind: 'accepted'; readonly head: Head}
		| {readonly kind: 'refused'; readonly reason: ChangeRefusal; readonly head: Head}
		| {readonly kind: 'unknown'; readonly changeId: string; readonly detail: string};

type Proposal = {readonly kind: 'propose'; readonly head: Head} | {readonly kind: 'refuse'; readonly reason: ChangeRefusal};

export type HeadResult
	= | {readonly kind: 'read'; readonly head: Head; readonly storeRevision: number}
		| {readonly kind: 'unavailable'; readonly detail: string};

/** Reads the head; an absent one reads as the empty head at store revision 0. */
export async function readHead(store: Store): Promise<HeadResult> {
	const result = await store.read(headKey);
	switch (result.kind) {
		case 'found': {
			const head = decodeHead(result.entry.value);
			return head ? {kind: 'read', head, storeRevision: result.entry.revision} : {kind: 'unavailable', detail: 'malformed head'};
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
Gives a preset a new body. `editedFrom` is the hash of the body that the edit
started from, `undefined` for a new preset; where another operator was faster the
edit is refused and the winner's body stays.

@example
const result = await savePreset(store, {name: 'peak', preset, editedFrom: undefined}, author);
*/
export async function savePreset(store: Store, {name, preset, editedFrom}: Edit, author: Author): Promise<ChangeResult> {
	const {body, chunks} = chunkPreset(preset);
	for (const [hash, bytes] of chunks) {
		const written = await store.write(chunkKey(hash), bytes, {expected: 0});
		if (written.kind === 'unknown' && !await isStored(store, hash)) {
			// Without its body the head can't name it: nothing was changed, but a lost answer of an earlier try may be out.
			return settle(store, author, `chunk ${hash}: ${written.detail}`);
		}
	}

	return swapHead(store, author, head => {
		const present = Object.hasOwn(head.presets, name) ? head.presets[name] : undefined;
		if (present === editedFrom) {
			return {kind: 'propose', head: withPreset(head, name, body, changeOf(author, `saved ${name}`))};
		}

		return {kind: 'refuse', reason: editedFrom === undefined ? 'exists' : (present === undefined ? 'noSuchPreset' : 'editedMeanwhile')};
	});
}

/**
Puts a preset in force. `seenRevision` is the revision that the operator decided
on; a switch made meanwhile refuses this one. Edits of presets do not.
*/
export async function usePreset(store: Store, name: string, seenRevision: number, author: Author): Promise<ChangeResult> {
	return swapHead(store, author, head => {
		if (!Object.hasOwn(head.presets, name)) {
			return {kind: 'refuse', reason: 'noSuchPreset'};
		}

		const wasSwitched = head.recent.some(change => change.revision > seenRevision && change.body === undefined);
		const isOutOfSight = (head.recent.at(0)?.revision ?? 0) > seenRevision + 1;
		if (wasSwitched || isOutOfSight) {
			return {kind: 'refuse', reason: 'switchedMeanwhile'};
		}

		return {kind: 'propose', head: withInForce(head, name, changeOf(author, `put ${name} in force`))};
	});
}

/** Finds out what became of a change whose answer was lost. */
export async function settleChange(store: Store, changeId: string): Promise<ChangeResult | {readonly kind: 'notFound'; readonly head: Head}> {
	const result = await readHead(store);
	if (result.kind === 'unavailable') {
		return {kind: 'unknown', changeId, detail: result.detail};
	}

	return result.head.recent.some(change => change.id === changeId)
		? {kind: 'accepted', head: result.head}
		: {kind: 'notFound', head: result.head};
}

async function swapHead(store: Store, author: Author, propose: (head: Head) => Proposal): Promise<ChangeResult> {
	let detail = '';
	for (let attempt = 0; attempt < settleAttempts; attempt++) {
		const present = await readHead(store);
		if (present.kind === 'unavailable') {
			detail = present.detail;
			continue;
		}

		// Looked for before proposing: a try whose answer was lost may have taken effect. (head.pml: settled)
		if (present.head.recent.some(change => change.id === author.changeId)) {
			return {kind: 'accepted', head: present.head};
		}

		const proposal = propose(present.head);
		if (proposal.kind === 'refuse') {
			return {kind: 'refused', reason: proposal.reason, head: present.head};
		}

		// The swap expects the revision that was read, so no other change is overwritten. (head.pml: swap)
		const written = await store.write(headKey, encodeHead(proposal.head), {expected: present.storeRevision});
		if (written.kind === 'written') {
			return {kind: 'accepted', head: proposal.head};
		}

		detail = written.kind === 'unknown' ? written.detail : 'lost the race';
	}

	return {kind: 'unknown', changeId: author.changeId, detail};
}

async function settle(store: Store, author: Author, detail: string): Promise<ChangeResult> {
	const settled = await settleChange(store, author.changeId);
	return settled.kind === 'accepted' ? settled : {kind: 'unknown', changeId: author.changeId, detail};
}

async function isStored(store: Store, hash: string): Promise<boolean> {
	const result = await store.read(chunkKey(hash));
	return result.kind === 'found';
}

function changeOf(author: Author, what: string): Omit<Change, 'revision'> {
	return {
		id: author.changeId, atMs: author.nowMs, by: author.by, what,
	};
}

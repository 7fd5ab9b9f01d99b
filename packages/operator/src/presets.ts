import {
	checkPreset, chunkKey, chunksOf, joinPreset, readHead, type Head, type Preset,
} from '@papayaflow/config';
import {type Store} from '@papayaflow/store';

export type FetchResult
	= | {readonly kind: 'fetched'; readonly preset: Preset; readonly body: string; readonly head: Head}
		| {readonly kind: 'noSuchPreset'; readonly head: Head}
		| {readonly kind: 'unavailable'; readonly detail: string};

/**
Fetches a preset from the key-value service, by the name it has in the head.

@example
const result = await fetchPreset(store, 'peak');
*/
export async function fetchPreset(store: Store, name: string): Promise<FetchResult> {
	const result = await readHead(store);
	if (result.kind === 'unavailable') {
		return result;
	}

	const {head} = result;
	if (!Object.hasOwn(head.presets, name)) {
		return {kind: 'noSuchPreset', head};
	}

	const body = head.presets[name];
	return fetchBody(store, body, head);
}

/** Fetches a preset by the hash of its body, as `history` names it. */
export async function fetchBody(store: Store, body: string, head: Head): Promise<FetchResult> {
	const chunks = new Map<string, Uint8Array>();
	const fetchChunk = async (hash: string): Promise<boolean> => {
		const read = await store.read(chunkKey(hash));
		if (read.kind !== 'found') {
			return false;
		}

		chunks.set(hash, read.entry.value);
		return true;
	};

	if (!await fetchChunk(body)) {
		return {kind: 'unavailable', detail: `the body ${body} can't be read`};
	}

	const fetched = await Promise.all((chunksOf(body, chunks) ?? []).map(async hash => fetchChunk(hash)));
	const checked = checkPreset(joinPreset(body, chunks));
	if (fetched.includes(false) || checked.kind === 'invalid') {
		return {kind: 'unavailable', detail: `the body ${body} is not whole`};
	}

	return {
		kind: 'fetched', preset: checked.preset, body, head,
	};
}

/** One field that differs between two documents. */
export type Difference = {readonly path: string; readonly before: unknown; readonly after: unknown};

/**
Lists the fields in which two presets differ.

@example
diffPresets(ordinary, peak); // [{path: 'retries.maxAttempts', before: 3, after: 2}]
*/
export function diffPresets(before: unknown, after: unknown, path = ''): readonly Difference[] {
	const isBranch = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null;
	if (!isBranch(before) || !isBranch(after)) {
		return before === after ? [] : [{path, before, after}];
	}

	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
	return names.flatMap(name => diffPresets(before[name], after[name], path === '' ? name : `${path}.${name}`));
}

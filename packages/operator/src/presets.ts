import {
	checkPreset, chunkKey, requiredChunks, joinPreset, readHead, type Head, type Preset,
} from '@papayaflow/config';
import {type Store} from '@papayaflow/store';

export type FetchResult
	= | {readonly kind: 'fetched'; readonly preset: Preset; readonly body: string; readonly head: Head}
		| {readonly kind: 'noSuchPreset'; readonly head: Head}
		| {readonly kind: 'unavailable'; readonly detail: string};

/**
Fetches a preset from the key-value service by its name in the head.

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

/** Fetches a preset by the hash of its body, as listed by the `history` command. */
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
		return {kind: 'unavailable', detail: `the manifest ${body} of the preset could not be read`};
	}

	const fetched = await Promise.all((requiredChunks(body, chunks) ?? []).map(async hash => fetchChunk(hash)));
	const checked = checkPreset(joinPreset(body, chunks));
	if (fetched.includes(false) || checked.kind === 'invalid') {
		return {kind: 'unavailable', detail: `the preset body ${body} is incomplete or invalid`};
	}

	return {
		kind: 'fetched', preset: checked.preset, body, head,
	};
}

/** A field whose value differs between two presets. */
export type Difference = {readonly path: string; readonly before: unknown; readonly after: unknown};

/**
Lists the fields whose values differ between two presets.

@example
diffPresets(ordinary, peak); // [{path: 'retries.maxAttempts', before: 3, after: 2}]
*/
export function diffPresets(before: unknown, after: unknown, path = ''): readonly Difference[] {
	const isObject = (value: unknown): value is Readonly<Record<string, unknown>> => typeof value === 'object' && value !== null;
	if (!isObject(before) || !isObject(after)) {
		return before === after ? [] : [{path, before, after}];
	}

	const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].toSorted();
	return names.flatMap(name => diffPresets(before[name], after[name], path === '' ? name : `${path}.${name}`));
}

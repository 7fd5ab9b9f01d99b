import {Buffer} from 'node:buffer';
import * as z from 'zod';

/** The key of the head in the key-value service. */
export const headKey = 'papayaflow/config/head';

const chunkPrefix = 'papayaflow/config/chunk/';
const maxRecentChanges = 100;

const changeSchema = z.object({
	id: z.string(),
	revision: z.number(),
	atMs: z.number(),
	by: z.string(),
	what: z.string(),
	body: z.string().optional(),
});

const headSchema = z.object({
	revision: z.number(),
	inForce: z.string().optional(),
	presets: z.record(z.string(), z.string()),
	recent: z.array(changeSchema),
});

/** One accepted change, as the command `preset history` shows it. */
export type Change = Readonly<z.infer<typeof changeSchema>>;

/**
The head of the configuration: the names of the presets with the hashes of their
bodies, and the name of the preset in force. It changes only by compare-and-swap,
so a change is accepted exactly when the swap of the head takes effect.
*/
export type Head = {
	/** Counts the accepted changes. A process never returns to a lower revision. */
	readonly revision: number;
	readonly inForce?: string;
	readonly presets: Readonly<Record<string, string>>;
	readonly recent: readonly Change[];
};

export const emptyHead: Head = {revision: 0, presets: {}, recent: []};

/** Returns the key of a chunk. */
export function chunkKey(hash: string): string {
	return chunkPrefix + hash;
}

/** Encodes a head for the key-value service and for peers. */
export function encodeHead(head: Head): Uint8Array {
	return Buffer.from(JSON.stringify(head));
}

/** Decodes a head. Returns `undefined` when the bytes are not a valid head. */
export function decodeHead(bytes: Uint8Array): Head | undefined {
	try {
		const parsed = headSchema.safeParse(JSON.parse(Buffer.from(bytes).toString()));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}

/** Creates the next head, in which a preset has a new body. */
export function withPreset(head: Head, name: string, body: string, change: Omit<Change, 'revision'>): Head {
	return nextHead({...head, presets: {...head.presets, [name]: body}}, {...change, body});
}

/** Creates the next head, in which another preset is in force. */
export function withInForce(head: Head, name: string, change: Omit<Change, 'revision'>): Head {
	return nextHead({...head, inForce: name}, change);
}

/** The hash of the body in force; `undefined` until a preset has been put in force. */
export function bodyInForce(head: Head): string | undefined {
	return head.inForce === undefined ? undefined : head.presets[head.inForce];
}

function nextHead(head: Head, change: Omit<Change, 'revision'>): Head {
	const revision = head.revision + 1;
	return {...head, revision, recent: [...head.recent, {...change, revision}].slice(-maxRecentChanges)};
}

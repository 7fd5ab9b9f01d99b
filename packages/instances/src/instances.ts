import {setTimeout as sleep} from 'node:timers/promises';
import {Agent, request} from 'undici';
import * as z from 'zod';

const requestTimeoutMs = 2000;

const instanceSchema = z.object({
	id: z.string(),
	role: z.enum(['entry', 'sidecar']),
	service: z.string().optional(),
	group: z.string().optional(),
	zone: z.string(),
	address: z.string(),
	port: z.number(),
	adminPort: z.number(),
	state: z.enum(['live', 'leaving']),
});

const instanceListSchema = z.object({instances: z.array(instanceSchema)});

/** A process of this project as the platform's instance list shows it. */
export type Instance = Readonly<z.infer<typeof instanceSchema>>;

export type InstancesResult
	= | {readonly kind: 'listed'; readonly instances: readonly Instance[]}
		| {readonly kind: 'unchanged'}
		| {readonly kind: 'unavailable'; readonly detail: string};

export type InstanceClient = {
	/** Fetches the list; `unchanged` if it has not changed since the last successful call. */
	fetch(): Promise<InstancesResult>;
};

/**
Creates a client of the platform's list of live and leaving instances. The list may be
out of date, so what an instance itself reports takes precedence over it.

@example
const client = createInstanceClient('http://127.0.0.1:2380');
const result = await client.fetch();
*/
export function createInstanceClient(url: string): InstanceClient {
	const dispatcher = new Agent({connections: 1, connect: {timeout: requestTimeoutMs}});
	let etag = '';
	return {
		async fetch() {
			try {
				const res = await request(`${url}/v1/instances`, {
					dispatcher, headers: {'if-none-match': etag}, signal: AbortSignal.timeout(requestTimeoutMs),
				});
				if (res.statusCode === 304) {
					await res.body.dump();
					return {kind: 'unchanged'};
				}

				const parsed = instanceListSchema.safeParse(await res.body.json());
				if (!parsed.success) {
					return {kind: 'unavailable', detail: 'malformed list'};
				}

				etag = String(res.headers.etag ?? '');
				return {kind: 'listed', instances: parsed.data.instances};
			} catch (error) {
				return {kind: 'unavailable', detail: error instanceof Error ? error.message : String(error)};
			}
		},
	};
}

/**
Polls the list until `signal` is aborted and calls `onChange` with each new list; failed
fetches are skipped. The delay between two fetches is `intervalMs` with a random
jitter of up to a quarter either way, so that processes started together do not fetch
at the same time.
*/
export async function pollInstances(
	client: InstanceClient,
	options: {readonly intervalMs: number; readonly random: () => number; readonly signal: AbortSignal},
	onChange: (instances: readonly Instance[]) => void,
): Promise<void> {
	while (!options.signal.aborted) {
		const result = await client.fetch();
		if (result.kind === 'listed') {
			onChange(result.instances);
		}

		await sleep(options.intervalMs * (0.75 + (options.random() / 2)), undefined, {signal: options.signal}).catch(() => undefined);
	}
}

import * as z from 'zod';

const highestPriority = 9;
const ms = (fallback: number, least = 1, most = 86_400_000) => z.number().int().min(least).max(most).default(fallback);
const count = (fallback: number, least = 0, most = 1_000_000) => z.number().int().min(least).max(most).default(fallback);
const ratio = (fallback: number, most = 1) => z.number().min(0).max(most).default(fallback);
const name = z.string().regex(/^[\w.\-]{1,64}$/v);

/** What the operators say of a service and its targets. */
export const serviceSchema = z.strictObject({
	kind: z.enum(['model', 'plain']),
	/** Whether the targets refuse an order that carries an old fencing number. */
	fencing: z.enum(['checked', 'ignored']).default('ignored'),
	/** Calls that one target serves at once. */
	concurrency: count(32, 1, 10_000),
	/** Calls that wait before one target. */
	queueLimit: count(256, 0, 100_000),
});

/** Which service a caller's request goes to. The first route that fits is taken. */
export const routeSchema = z.strictObject({
	methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
	pathPrefix: z.string().startsWith('/').max(256),
	service: name,
	/** Whether the call may run more than once. */
	idempotent: z.boolean(),
});

export const organisationSchema = z.strictObject({
	/** The organisation's share where targets are full. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Requests a second over all entries. */
	requestsPerSecond: z.number().min(0.01).max(1_000_000).default(100),
	/** Requests that may come at once over all entries. */
	burst: z.number().min(1).max(1_000_000).default(200),
});

/** The schema of a preset: one checked document that says how the whole system behaves. */
export const presetSchema = z.strictObject({
	description: z.string().max(1000).default(''),
	services: z.record(name, serviceSchema),
	routes: z.array(routeSchema).max(1000).default([]),
	organisations: z.strictObject({
		default: organisationSchema.default(organisationSchema.parse({})),
		named: z.record(name, organisationSchema).default({}),
	}).prefault({}),
	limits: z.strictObject({
		maxBodyBytes: count(1_048_576, 1, 4_194_304),
		/** Bytes that a slow caller may leave unread before its call is cancelled. */
		maxUnreadBytes: count(4_194_304, 65_536, 67_108_864),
	}).prefault({}),
	timeouts: z.strictObject({
		requestMs: ms(60_000),
		connectMs: ms(1000),
		/** Time without a byte from a target after which its answer is given up. */
		idleMs: ms(15_000),
	}).prefault({}),
	retries: z.strictObject({
		maxAttempts: count(3, 1, 10),
		/** Retries that are allowed for each request, on average. */
		budgetRatio: ratio(0.09),
		baseBackoffMs: ms(20),
		maxBackoffMs: ms(1000),
	}).prefault({}),
	routing: z.strictObject({
		/** Sidecars of each service that one entry keeps connections to. */
		subsetSize: count(20, 2, 1000),
		/** Bytes of the prompt that decide which target has it cached. */
		affinityBytes: count(512, 0, 65_536),
		/** How far over the mean load a target may be and still be taken for its cache. */
		affinityLoadFactor: z.number().min(1).max(10).default(1.25),
		reportMaxAgeMs: ms(2000),
		/** Extra load, as a ratio of the near zone's, before a far zone is taken. */
		zoneBias: ratio(0.3, 10),
		ejectAfterFailures: count(5, 1, 1000),
		ejectMs: ms(5000),
		maxEjectedRatio: ratio(0.5),
		slowStartMs: ms(10_000, 0),
	}).prefault({}),
	idempotency: z.strictObject({
		keyHeader: z.string().regex(/^[a-z\-]{1,64}$/v).default('idempotency-key'),
		leaseMs: ms(9000, 1000),
		/** Time over which claims are gathered into one write. */
		batchMs: ms(5, 1, 1000),
		/** Writes a second for each part of a service's log, beyond a burst of 20. */
		writesPerSecond: z.number().min(0.1).max(1000).default(3.5),
		maxRecordedBytes: count(32_768, 0, 262_144),
		/** How long a key is kept; one that comes later than that counts as new. */
		retentionMs: ms(86_400_000, 60_000, 604_800_000),
	}).prefault({}),
	drain: z.strictObject({
		/** How long work in flight may go on after its process was told to stop. */
		graceMs: ms(30_000, 0, 3_600_000),
		/** How long an entry goes on serving after it says that it is not ready. */
		lingerMs: ms(3000, 0, 600_000),
	}).prefault({}),
	rebalancing: z.strictObject({
		enabled: z.boolean().default(true),
		intervalMs: ms(5000, 100),
		/** Time over which a move has to pay for itself. */
		horizonMs: ms(60_000, 1000),
		skewWeight: z.number().min(0).max(1000).default(1),
		costWeight: z.number().min(0).max(1000).default(4),
		/** Experts that one switch may move. */
		maxMoves: count(64, 0, 4096),
		/** How many steps ahead of the ranks a new map comes in force. */
		stepsAhead: count(32, 1, 100_000),
		/** How long a rank may take to load its part of a map and to answer. */
		orderTimeoutMs: ms(5000),
		/** The part of a step's time that grows with the load of the heaviest rank, at skew 1. */
		loadMs: z.number().min(0).max(10_000).default(2),
		/** What one moved expert costs the group's steps. */
		moveMs: z.number().min(0).max(10_000).default(2),
		/** The size of one expert's weights. */
		expertBytes: count(44_000_000, 1, 1_000_000_000_000),
	}).prefault({}),
	/** What a process does that can't learn whether its preset is the one in force. */
	whenStale: z.enum(['serve', 'refuse']).default('serve'),
	staleAfterMs: ms(180_000, 1000),
}).check(context => {
	for (const [index, route] of context.value.routes.entries()) {
		if (!Object.hasOwn(context.value.services, route.service)) {
			context.issues.push({
				code: 'custom', message: `no such service: "${route.service}"`, path: ['routes', index, 'service'], input: route.service,
			});
		}
	}
});

/** A whole preset, with every default filled in. */
export type Preset = z.infer<typeof presetSchema>;
export type Service = z.infer<typeof serviceSchema>;
export type Route = z.infer<typeof routeSchema>;
export type Organisation = z.infer<typeof organisationSchema>;

export type PresetProblem = {readonly path: string; readonly message: string};

export type PresetResult
	= | {readonly kind: 'valid'; readonly preset: Preset}
		| {readonly kind: 'invalid'; readonly problems: readonly PresetProblem[]};

/**
Checks a preset and fills in the defaults. Unknown fields are problems, so that a
misspelt one is not silently left at its default.

@example
const result = checkPreset(JSON.parse(text));
if (result.kind === 'invalid') …
*/
export function checkPreset(document: unknown): PresetResult {
	const parsed = presetSchema.safeParse(document);
	if (parsed.success) {
		return {kind: 'valid', preset: parsed.data};
	}

	return {
		kind: 'invalid',
		problems: parsed.error.issues.map(issue => ({path: issue.path.join('.'), message: issue.message})),
	};
}

/** Finds the limits and weight of an organisation; one that is not named gets the default. */
export function organisationOf(preset: Preset, organisation: string): Organisation {
	return Object.hasOwn(preset.organisations.named, organisation)
		? preset.organisations.named[organisation]
		: preset.organisations.default;
}

/** Finds the route of a request by method and path; `undefined` when there is none. */
export function routeOf(preset: Preset, method: string, path: string): Route | undefined {
	return preset.routes.find(route => path.startsWith(route.pathPrefix) && route.methods.includes(method as Route['methods'][number]));
}

/** The lowest priority, 9; 0 is the highest. */
export const lowestPriority = highestPriority;

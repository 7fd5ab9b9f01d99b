import * as z from 'zod';

const maxPriorityNumber = 9;
const ms = (defaultValue: number, min = 1, max = 86_400_000) => z.number().int().min(min).max(max).default(defaultValue);
const count = (defaultValue: number, min = 0, max = 1_000_000) => z.number().int().min(min).max(max).default(defaultValue);
const ratio = (defaultValue: number, max = 1) => z.number().min(0).max(max).default(defaultValue);
const nameSchema = z.string().regex(/^[\w.\-]{1,64}$/v);

/** The settings of a service and its targets. */
export const serviceSchema = z.strictObject({
	kind: z.enum(['model', 'plain']),
	/** Whether the targets reject an order with an outdated fencing token. */
	fencing: z.enum(['checked', 'ignored']).default('ignored'),
	/** Maximum number of calls that one target serves concurrently. */
	concurrency: count(32, 1, 10_000),
	/** Maximum number of calls queued for one target. */
	queueLimit: count(256, 0, 100_000),
});

/** Maps requests to a service. The first route that matches a request is used. */
export const routeSchema = z.strictObject({
	methods: z.array(z.enum(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE'])).min(1),
	pathPrefix: z.string().startsWith('/').max(256),
	service: nameSchema,
	/** Whether it is safe to run the call more than once. */
	idempotent: z.boolean(),
});

export const organisationSchema = z.strictObject({
	/** The organisation's relative share of the capacity when targets are saturated. */
	weight: z.number().min(0.01).max(1000).default(1),
	/** Requests per second, over all entries together. */
	requestsPerSecond: z.number().min(0.01).max(1_000_000).default(100),
	/** Requests that may arrive in one burst, over all entries together. */
	burst: z.number().min(1).max(1_000_000).default(200),
});

/** The schema of a preset, the document that holds the settings of the whole system. */
export const presetSchema = z.strictObject({
	description: z.string().max(1000).default(''),
	services: z.record(nameSchema, serviceSchema),
	routes: z.array(routeSchema).max(1000).default([]),
	organisations: z.strictObject({
		default: organisationSchema.default(organisationSchema.parse({})),
		named: z.record(nameSchema, organisationSchema).default({}),
	}).prefault({}),
	limits: z.strictObject({
		maxBodyBytes: count(1_048_576, 1, 4_194_304),
		/** Bytes of an answer that a slow caller may leave unread before its call is cancelled. */
		maxUnreadBytes: count(4_194_304, 65_536, 67_108_864),
	}).prefault({}),
	timeouts: z.strictObject({
		requestMs: ms(60_000),
		connectMs: ms(1000),
		/** Time without a byte from a target after which the call is aborted. */
		idleMs: ms(15_000),
	}).prefault({}),
	retries: z.strictObject({
		maxAttempts: count(3, 1, 10),
		/** Retry budget: the allowed ratio of retries to requests. */
		budgetRatio: ratio(0.09),
		baseBackoffMs: ms(20),
		maxBackoffMs: ms(1000),
	}).prefault({}),
	routing: z.strictObject({
		/** Number of sidecars of each service to which one entry keeps connections. */
		subsetSize: count(20, 2, 1000),
		/** Length of the prompt prefix, in bytes, that determines the preferred target, which probably has the prefix cached. */
		affinityBytes: count(512, 0, 65_536),
		/** Highest load of a target, as a multiple of the mean load, at which the target is still preferred for its cache. */
		affinityLoadFactor: z.number().min(1).max(10).default(1.25),
		reportMaxAgeMs: ms(2000),
		/** Extra load of the local zone, as a ratio, at which a target in another zone is preferred. */
		zoneBias: ratio(0.3, 10),
		ejectAfterFailures: count(5, 1, 1000),
		ejectMs: ms(5000),
		maxEjectedRatio: ratio(0.5),
		slowStartMs: ms(10_000, 0),
	}).prefault({}),
	idempotency: z.strictObject({
		keyHeader: z.string().regex(/^[a-z\-]{1,64}$/v).default('idempotency-key'),
		leaseMs: ms(9000, 1000),
		/** Time for which claims are collected into one write. */
		batchMs: ms(5, 1, 1000),
		/** Writes per second to each shard of a service's log, after an initial burst of 20. */
		writesPerSecond: z.number().min(0.1).max(1000).default(3.5),
		maxRecordedBytes: count(32_768, 0, 262_144),
		/** How long a key is kept. A key that is used again after that time counts as new. */
		retentionMs: ms(86_400_000, 60_000, 604_800_000),
	}).prefault({}),
	drain: z.strictObject({
		/** How long in-flight calls may continue after their process was asked to stop. */
		graceMs: ms(30_000, 0, 3_600_000),
		/** How long an entry continues to serve after its readiness check starts to fail. */
		lingerMs: ms(3000, 0, 600_000),
	}).prefault({}),
	rebalancing: z.strictObject({
		enabled: z.boolean().default(true),
		intervalMs: ms(5000, 100),
		/** Time within which the benefit of a move must exceed its cost. */
		horizonMs: ms(60_000, 1000),
		skewWeight: z.number().min(0).max(1000).default(1),
		costWeight: z.number().min(0).max(1000).default(4),
		/** Maximum number of experts that one switch of the map moves. */
		maxMoves: count(64, 0, 4096),
		/** Number of steps between the current step of the ranks and the step at which a new map takes effect. */
		stepsAhead: count(32, 1, 100_000),
		/** Time limit for a rank to load its part of a map and to reply. */
		orderTimeoutMs: ms(5000),
		/** The load-dependent part of the step time at skew 1, in milliseconds; it is proportional to the load of the most loaded rank. */
		loadMs: z.number().min(0).max(10_000).default(2),
		/** Step time that the group loses for each moved expert. */
		moveMs: z.number().min(0).max(10_000).default(2),
		/** The size of the weights of one expert, in bytes. */
		expertBytes: count(44_000_000, 1, 1_000_000_000_000),
	}).prefault({}),
	/** Whether a process continues to serve when it can't confirm that its preset is the one in force. */
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
Checks a preset and fills in the defaults. An unknown field is reported as a
problem, so that a misspelt field is not silently replaced by its default.

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

/** Returns the limits and the weight of an organisation, or the default ones for an organisation that the preset does not name. */
export function findOrganisation(preset: Preset, organisation: string): Organisation {
	return Object.hasOwn(preset.organisations.named, organisation)
		? preset.organisations.named[organisation]
		: preset.organisations.default;
}

/** Finds the first route that matches the method and path of a request. Returns `undefined` when none does. */
export function findRoute(preset: Preset, method: string, path: string): Route | undefined {
	return preset.routes.find(route => path.startsWith(route.pathPrefix) && route.methods.includes(method as Route['methods'][number]));
}

/** The number of the lowest priority, 9. The highest priority is 0. */
export const lowestPriority = maxPriorityNumber;

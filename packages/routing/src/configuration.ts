/**
How the requests of a route may be retried: `idempotent` requests may run more than
once, `nonIdempotent` requests at most once. The response to a `stream` request is a
series of events.
*/
export type CallKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that receives a part of a route's requests in proportion to `weight`. */
export type WeightedService = {readonly service: string; readonly weight: number};

/** The services, limits and latency objectives for the requests of one host and path prefix. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** The start of the path; begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly weightedServices: readonly WeightedService[];
	readonly kind: CallKind;
	/** The maximum number of targets to which one request is sent. */
	readonly maxAttempts: number;
	/** The maximum deadline of a request, and the default if the caller sets none, in milliseconds. */
	readonly timeoutMs: number;
	/** The latency objective, in milliseconds: the time to the complete response, or to the first event of a stream. */
	readonly objectiveMs: number;
	/** The latency objective between two events of a stream, in milliseconds; a longer gap counts as late. */
	readonly gapObjectiveMs: number | undefined;
	/** 0 is the highest. */
	readonly priority: number;
	/** Whether requests are accepted without a key. */
	readonly isPublic: boolean;
	/** Whether a broken stream may be resumed at another target. */
	readonly isResumable: boolean;
	/** The regions whose targets the requests may reach; absent if they may reach all. */
	readonly allowedRegions?: readonly string[];
};

/** The capacity and timing figures that are published for the engines of a model. */
export type EngineModel = {
	/** The number of requests for which one rank generates tokens at the same time. */
	readonly slots: number;
	/** The number of tokens that fit into the memory of one rank. */
	readonly memoryTokens: number;
	/** The number of token steps in a pass that generates tokens. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	/** The time that each generating request adds to a step, in milliseconds. */
	readonly sequenceMs: number;
	/** The time that 1,000 context tokens of generating requests add to a step, in milliseconds. */
	readonly contextMsPerThousand: number;
	readonly prefillTokensPerMs: number;
	/** The time that prefill takes for each million pairs of a prompt token and an earlier token, in milliseconds. */
	readonly pairsMsPerMillion: number;
	/** The maximum number of prompt tokens that one step reads. */
	readonly chunkTokens: number;
	/** The age of a target's report when another instance requests it, in milliseconds. */
	readonly reportLagMs: number;
	/** The mean prompt length, in tokens. */
	readonly usualPromptTokens: number;
	/** The mean length of a generated response, in tokens. */
	readonly usualAnswerTokens: number;
	/** The figures for expert maps, which assign experts to ranks; `undefined` if the engine has no expert maps. */
	readonly experts: ExpertModel | undefined;
};

export type ExpertModel = {
	/** The number of layers that have an expert map of their own. */
	readonly layers: number;
	readonly expertsPerLayer: number;
	/** The number of experts that a rank holds in each layer. */
	readonly slotsPerRank: number;
	/** The maximum number of experts per layer that one map preparation may copy to a rank. */
	readonly maxNewPerLayer: number;
	/** The fraction of the work per token that the experts do, from 0 to 1. */
	readonly workShare: number;
	/** The size of one expert's weights, in gigabytes. */
	readonly expertGigabytes: number;
	/** The time a rank needs to copy one expert, in milliseconds. */
	readonly copyMs: number;
	/** The time a group needs to form again after it lost a rank, in milliseconds. */
	readonly formationMs: number;
};

/** How long the targets of a service are cold after a start during traffic, in milliseconds, and how many requests one of them may get in a second meanwhile. */
export type ColdService = {readonly startMs: number; readonly perSecond: number};

export type Service = {
	readonly name: string;
	/** The maximum number of connections that one target accepts from all clients together. */
	readonly maxConnections: number;
	readonly engine: EngineModel | undefined;
	/** The limits of cold targets; absent if the targets of the service are never cold. */
	readonly cold?: ColdService;
};

/** Limits on the size of requests and on the timing of callers' connections. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type Organisation = {
	readonly name: string;
	readonly priority: number | undefined;
	/** The regions whose targets the requests may reach; absent if they may reach all. */
	readonly allowedRegions?: readonly string[];
};

/**
One version of the operators' configuration. The route, the key and the organisation
of a request are all looked up in the same version.
*/
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Organisations by key; `undefined` if requests carry no keys. */
	readonly organisations: ReadonlyMap<string, Organisation> | undefined;
};

/**
What a route's requests may suffer: `idempotent` ones may run more than once;
`nonIdempotent` ones at most once; a `stream` is a series of events.
*/
export type CallKind = 'idempotent' | 'nonIdempotent' | 'stream';

/** A service that takes a share of a route's requests. */
export type Share = {readonly service: string; readonly weight: number};

/** Where the requests of one host and path prefix go, and what they are owed. */
export type Route = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly pathPrefix: string;
	readonly shares: readonly Share[];
	readonly kind: CallKind;
	/** Targets to which one request may be sent. */
	readonly maxAttempts: number;
	/** How long the operators want a request kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** The latency objective: to the whole answer, or to a stream's first event, in milliseconds. */
	readonly objectiveMs: number;
	/** The longest pause between two events of a stream that still counts as on time, in milliseconds. */
	readonly gapObjectiveMs: number | undefined;
	/** 0 is the highest. */
	readonly priority: number;
	/** Whether a request needs no key. */
	readonly isPublic: boolean;
	/** Whether a stream that broke may go on at another target. */
	readonly isResumable: boolean;
};

/** The published figures of the engines of a model. */
export type EngineModel = {
	/** Requests that one rank writes for at once. */
	readonly slots: number;
	/** Tokens that one rank's memory holds. */
	readonly memoryTokens: number;
	/** Token steps of a pass in which anything is written. */
	readonly stepsPerPass: number;
	readonly stepMs: number;
	/** What one writing request adds to a step, in milliseconds. */
	readonly sequenceMs: number;
	/** What 1,000 tokens of a writing request's context add to a step, in milliseconds. */
	readonly contextMsPerThousand: number;
	readonly prefillTokensPerMs: number;
	/** What a million pairs of a prompt token and an earlier one add, in milliseconds. */
	readonly pairsMsPerMillion: number;
	/** Prompt tokens that one step reads at most. */
	readonly chunkTokens: number;
	/** How old a target's report is when it is asked from elsewhere, in milliseconds. */
	readonly reportLagMs: number;
	/** The mean request, in tokens. */
	readonly usualPromptTokens: number;
	readonly usualAnswerTokens: number;
	/** What there is to say of expert maps; `undefined` for an engine without. */
	readonly experts: ExpertModel | undefined;
};

export type ExpertModel = {
	/** Layers that have a map of their own. */
	readonly layers: number;
	readonly expertsPerLayer: number;
	/** Experts that a rank holds in a layer. */
	readonly slotsPerRank: number;
	/** Experts new to a rank that one preparation may bring in a layer. */
	readonly maxNewPerLayer: number;
	/** The part of the work for tokens that the experts do, 0 to 1. */
	readonly workShare: number;
	/** The size of one expert's weights, in gigabytes. */
	readonly expertGigabytes: number;
	/** How long a rank takes to copy one expert, in milliseconds. */
	readonly copyMs: number;
	/** How long a group takes to form again after it lost a rank, in milliseconds. */
	readonly formMs: number;
};

export type Service = {
	readonly name: string;
	/** Connections that one target accepts from all callers together. */
	readonly maxConnections: number;
	readonly engine: EngineModel | undefined;
};

/** What callers may send, and for how long a connection may rest. */
export type CallerLimits = {
	readonly maxHeaderBytes: number;
	readonly maxBodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

export type Organisation = {readonly name: string; readonly priority: number | undefined};

/**
One version of what the operators have put in force. A request's route, its key
and its organisation are all looked up in the same one.
*/
export type Configuration = {
	readonly version: number;
	readonly routes: readonly Route[];
	readonly services: ReadonlyMap<string, Service>;
	readonly limits: CallerLimits;
	/** Organisations by key; `undefined` where requests carry no keys. */
	readonly organisations: ReadonlyMap<string, Organisation> | undefined;
};

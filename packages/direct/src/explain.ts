import {type RefusalReason} from '@papayaflow/outcome';
import {
	allowedZonesOf, drawService, identifyCaller, type Route, type RouteTable,
} from '@papayaflow/routing';
import {mayReach} from './call.js';
import {chooseAvoided, type ColdLimits} from './cold-place.js';
import {type GroupPlacer, type KnownGroup} from './group-place.js';
import {refusalIfAllRestricted, restrictedTargets, type Restrictions} from './limit-place.js';
import {choosePlainTarget, type PlainChoiceOptions} from './place.js';
import {type Target, type ZonedCall} from './targets.js';

/** Why a target is no candidate for a request now, and for how long if that is known. */
export type Exclusion = {readonly reason: string; readonly forMs?: number};

/** One target of the service; it is a candidate if nothing excludes it. */
export type Candidate = {
	readonly target: string;
	readonly zone: string;
	readonly group: string | undefined;
	readonly inFlight: number;
	readonly latencyMs: number | undefined;
	readonly excludedBy: readonly Exclusion[];
};

/** Where a request would be sent now. */
export type ExplainedChoice
	= | {readonly kind: 'target'; readonly target: string; readonly group?: string | undefined; readonly by: 'lowest cost' | 'own share of the group'}
		/** The coordinator would be asked, and would choose among the ranks of its group. */
		| {readonly kind: 'coordinator'; readonly group: string | undefined; readonly coordinator: string}
		/** The entry would hold the request for a group that is closed or has just formed, for at most this long. */
		| {readonly kind: 'held'; readonly groups: readonly string[]; readonly maxMs: number}
		| {readonly kind: 'refused'; readonly reason: RefusalReason; readonly retryAfterMs?: number; readonly detail?: string};

export type Explanation = {
	readonly route: string;
	readonly routeKind: string;
	readonly service: string;
	/** The services of the route with their weights; each request draws one. */
	readonly services: ReadonlyArray<{readonly service: string; readonly weight: number}>;
	readonly organisation: string | undefined;
	readonly priority: number;
	readonly version: number;
	readonly candidates: readonly Candidate[];
	readonly groups: readonly KnownGroup[];
	readonly choice: ExplainedChoice;
};

/** The answer to `GET /explain`. */
export type ExplainReply = {readonly status: number; readonly body: Explanation | {readonly reason: string; readonly detail: string}};

export type ExplainOptions = PlainChoiceOptions & Restrictions & ColdLimits & {
	/** Whether the targets of an availability zone get no new requests, by order of the operator. */
	readonly isEvacuated: (zone: string) => boolean;
	readonly regionByZone: ReadonlyMap<string, string>;
	readonly table: () => RouteTable | undefined;
	readonly isEngine: (service: string) => boolean;
	readonly groupPlacer: Pick<GroupPlacer, 'groupOf' | 'groups' | 'isClosed' | 'preview'>;
};

/** What the rules know of a request beside the target. */
type RuleContext = {
	readonly options: ExplainOptions;
	readonly call: ZonedCall;
	/** The ids of the targets that are left out because they are cold. */
	readonly avoided: ReadonlySet<string>;
	/** The targets that take requests of the service, in any region; among several at one address the latest. */
	readonly serving: ReadonlySet<Target>;
	/** The targets left to choose from after all exclusions; `undefined` for a service of engines. */
	readonly usable: ReadonlySet<Target> | undefined;
};

/** Returns whether the reason applies to a target, or for how many milliseconds it does. */
type Rule = (target: Target, context: RuleContext) => boolean | number;

/** The reasons that may exclude a target, in the order in which they are listed. A new reason is one line. */
const rules: Readonly<Record<string, Rule>> = {
	gone: ({isGone}) => isGone,
	leaving: ({isLeaving}) => isLeaving,
	unreachable: ({isReachable}) => !isReachable,
	evacuated: ({record}, {options}) => options.isEvacuated(record.zone),
	regionNotAllowed: ({record}, {call}) => !mayReach(call, record.zone),
	paused: ({record}, {options}) => options.pauses.waitMs(record),
	limited: ({record}, {options}) => options.permits.waitMs(record),
	/** It may get no request now, or others of the service are not cold. */
	cold: ({record}, {options, avoided}) => options.cold.waitMs(record) || avoided.has(record.id),
	groupClosed: (target, {options}) => options.groupPlacer.isClosed(target),
	/** Another target is registered at its address. */
	superseded: (target, {serving}) => target.isServing && target.isReachable && !serving.has(target),
};

/** Returns the reason for a target that placement leaves out although no rule applies: a plain one has failed lately, and any other does not serve. */
function reasonsWithoutRule(target: Target, {serving, usable}: RuleContext): readonly Exclusion[] {
	if (!serving.has(target)) {
		return [{reason: 'notServing'}];
	}

	return usable && !usable.has(target) ? [{reason: 'ejected'}] : [];
}

/**
Creates the function that explains where an entry would send a request now, and why. It
uses the functions that place requests, but reserves, sends and changes nothing. It does
not ask the coordinator of a group, and it does not check the prompt or the body.

@example
const explain = createExplainer(options);
explain(new URLSearchParams({host: 'h.example', path: '/model/x', key: 'k'}));
*/
export function createExplainer(options: ExplainOptions): (query: URLSearchParams) => ExplainReply {
	const {targets, groupPlacer} = options;

	type Choice = {readonly choice: ExplainedChoice; readonly usable: readonly Target[] | undefined; readonly avoided: readonly string[]};

	const choose = (call: ZonedCall & {readonly route: Route}): Choice => {
		const restricted = new Set(restrictedTargets(options));
		const cold = chooseAvoided(call, restricted, options);
		const avoided = cold.kind === 'refused' ? [] : cold.ids;
		const request = {...call, tried: new Set<string>(), excluded: new Set([...restricted, ...avoided])};
		const {usable, best} = options.isEngine(call.service) ? {usable: undefined, best: undefined} : choosePlainTarget(request, options);
		const refusal = restricted.size > 0 ? refusalIfAllRestricted(targets.servingTargets(call).map(({record}) => record), restricted, options) : undefined;
		if (refusal) {
			return {choice: refusal, usable, avoided};
		}

		if (cold.kind === 'refused') {
			return {choice: cold, usable, avoided};
		}

		if (usable) {
			return {choice: best ? {kind: 'target', target: best.record.id, by: 'lowest cost'} : {kind: 'refused', reason: targets.absenceReason(call)}, usable, avoided};
		}

		const choice = groupPlacer.preview(request);
		return {
			choice: choice.kind === 'target'
				? {
					kind: 'target', target: choice.target.record.id, group: choice.group, by: 'own share of the group',
				}
				: choice,
			usable, avoided,
		};
	};

	const explainTarget = (target: Target, context: RuleContext): Candidate => {
		const excludedBy = Object.entries(rules).flatMap(([reason, appliesTo]) => {
			const result = appliesTo(target, context);
			if (result === true) {
				return [{reason}];
			}

			return result === false || result === 0 ? [] : [{reason, forMs: Math.ceil(result)}];
		});
		return {
			target: target.record.id, zone: target.record.zone, group: groupPlacer.groupOf(target), inFlight: target.inFlight,
			latencyMs: target.latencyMs === undefined ? undefined : Math.round(target.latencyMs), excludedBy: excludedBy.length > 0 ? excludedBy : reasonsWithoutRule(target, context),
		};
	};

	return query => {
		const host = query.get('host');
		const path = query.get('path');
		if (!host || !path) {
			return {status: 400, body: {reason: 'badRequest', detail: 'host and path are required'}};
		}

		const table = options.table();
		if (!table) {
			return {status: 503, body: {reason: 'configurationStale', detail: 'the entry has no configuration yet'}};
		}

		const route = table.routeOf(host, path);
		const service = route && drawService(route, options.random);
		if (!route || service === undefined) {
			return {status: 404, body: {reason: 'noRoute', detail: `no route for ${host}${path} in version ${table.configuration.version}`}};
		}

		const identified = identifyCaller(table.configuration, route, query.get('key') ?? undefined);
		if (identified.kind === 'unknownKey') {
			return {status: 401, body: {reason: 'unknownKey', detail: `route ${route.name} is not public, and no organisation has this key`}};
		}

		const organisation = identified.kind === 'organisation' ? identified.organisation : undefined;
		const call = {service, route, allowedZones: allowedZonesOf(options.regionByZone, [route.allowedRegions, organisation?.allowedRegions])};
		const {choice, usable, avoided} = choose(call);
		const context: RuleContext = {
			options, call, avoided: new Set(avoided), serving: new Set(targets.servingTargets({service})), usable: usable && new Set(usable),
		};
		return {
			status: 200,
			body: {
				route: route.name, routeKind: route.kind, service, services: route.weightedServices, organisation: organisation?.name, priority: organisation?.priority ?? route.priority,
				version: table.configuration.version, choice, groups: options.isEngine(service) ? groupPlacer.groups(service) : [],
				candidates: targets.all().filter(({record}) => record.service === service).map(target => explainTarget(target, context)),
			},
		};
	};
}

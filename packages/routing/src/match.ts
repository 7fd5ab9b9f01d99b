import {type Configuration, type Organisation, type Route} from './configuration.js';

/** Finds the route of a request. */
export type RouteTable = {
	readonly configuration: Configuration;
	/** Returns the route of `host` with the longest prefix that matches `path`, or `undefined` if none matches. */
	routeOf(host: string, path: string): Route | undefined;
};

/**
Indexes the routes of a configuration by host, longest path prefix first.

@example
const table = createRouteTable(configuration);
const route = table.routeOf('pay.example', '/notes/7');
*/
export function createRouteTable(configuration: Configuration): RouteTable {
	const byHost = new Map<string, Route[]>();
	for (const route of configuration.routes) {
		const host = route.host.toLowerCase();
		byHost.set(host, [...(byHost.get(host) ?? []), route]);
	}

	for (const [host, routes] of byHost) {
		byHost.set(host, routes.toSorted((a, b) => b.pathPrefix.length - a.pathPrefix.length));
	}

	return {
		configuration,
		routeOf(host, path) {
			const hostName = host.toLowerCase();
			const routes = byHost.get(hostName) ?? byHost.get(withoutPort(hostName)) ?? [];
			const [pathname] = path.split('?', 1);
			return routes.find(route => pathname.startsWith(route.pathPrefix));
		},
	};
}

/** The organisation of a request, or why there is none. */
export type CallerIdentity
	= | {readonly kind: 'organisation'; readonly organisation: Organisation}
		| {readonly kind: 'anonymous'}
		| {readonly kind: 'unknownKey'};

/**
Finds the organisation of a key. Every request is anonymous if the configuration has
no organisations. On a public route, a request without a known key is anonymous.

@example
const identified = identifyCaller(configuration, route, 'k-123');
*/
export function identifyCaller({organisations}: Configuration, {isPublic}: Route, key: string | undefined): CallerIdentity {
	if (!organisations) {
		return {kind: 'anonymous'};
	}

	const organisation = key === undefined ? undefined : organisations.get(key);
	if (organisation) {
		return {kind: 'organisation', organisation};
	}

	return isPublic ? {kind: 'anonymous'} : {kind: 'unknownKey'};
}

/** Picks a service of the route at random in proportion to the weights. Returns `undefined` if every weight is 0. */
export function drawService({weightedServices}: Route, random: () => number): string | undefined {
	const total = weightedServices.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = random() * total;
	for (const {service, weight} of weightedServices) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return weightedServices.findLast(({weight}) => weight > 0)?.service;
}

function withoutPort(host: string): string {
	return host.replace(/:\d+$/v, '');
}

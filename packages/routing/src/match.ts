import {type Configuration, type Organisation, type Route} from './configuration.js';

/** Finds the route of a request. */
export type RouteTable = {
	readonly configuration: Configuration;
	/** The route with the longest prefix of the path among those of the host. */
	routeOf(host: string, path: string): Route | undefined;
};

/**
Arranges the routes of a configuration by host and length of prefix.

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
			const name = host.toLowerCase();
			const routes = byHost.get(name) ?? byHost.get(withoutPort(name)) ?? [];
			const [plain] = path.split('?', 1);
			return routes.find(route => plain.startsWith(route.pathPrefix));
		},
	};
}

/** Whom a request is for, or why that can't be told. */
export type Identified
	= | {readonly kind: 'organisation'; readonly organisation: Organisation}
		| {readonly kind: 'anonymous'}
		| {readonly kind: 'unknownKey'};

/**
Finds the organisation that holds a key. Where the configuration names none, and
on public routes, a request without a known key is anonymous.

@example
const identified = identify(configuration, route, 'k-123');
*/
export function identify({organisations}: Configuration, {isPublic}: Route, key: string | undefined): Identified {
	if (!organisations) {
		return {kind: 'anonymous'};
	}

	const organisation = key === undefined ? undefined : organisations.get(key);
	if (organisation) {
		return {kind: 'organisation', organisation};
	}

	return isPublic ? {kind: 'anonymous'} : {kind: 'unknownKey'};
}

/** Draws the service of a request by the weights of its route; `undefined` when every weight is 0. */
export function drawService({shares}: Route, random: () => number): string | undefined {
	const total = shares.reduce((sum, {weight}) => sum + weight, 0);
	let mark = random() * total;
	for (const {service, weight} of shares) {
		mark -= weight;
		if (mark < 0) {
			return service;
		}
	}

	return shares.findLast(({weight}) => weight > 0)?.service;
}

function withoutPort(host: string): string {
	return host.replace(/:\d+$/v, '');
}

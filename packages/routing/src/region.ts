/**
Returns the availability zones whose targets a request may reach: those that lie in a
region of every list. A zone whose region is not known is in no list. Returns
`undefined` if the request may reach all zones, since there is no list.

@example
allowedZonesOf(new Map([['a', 'west'], ['b', 'east']]), [['west'], undefined]); // Set {'a'}
*/
export function allowedZonesOf(regionByZone: ReadonlyMap<string, string>, lists: ReadonlyArray<readonly string[] | undefined>): ReadonlySet<string> | undefined {
	const present = lists.filter(list => list !== undefined);
	return present.length === 0 ? undefined : new Set([...regionByZone].filter(([, region]) => present.every(list => list.includes(region))).map(([zone]) => zone));
}

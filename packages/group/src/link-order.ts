import {type TargetRecord} from '@papayaflow/routing';

const bitsPerByte = 8;

/**
Orders the targets of a service by how likely they are to be in the group of `own`: those
in its availability zone first, and among them those with the nearest addresses. Ids tell
nothing, since each start of a target has a new one.

@example
const [nearest] = nearestFirst(records, own);
*/
export function nearestFirst(records: readonly TargetRecord[], own: Pick<TargetRecord, 'zone' | 'host'>): readonly TargetRecord[] {
	const ownNumber = hostNumber(own.host);
	const ordered = records.map(record => ({record, isElsewhere: record.zone !== own.zone, distance: Math.abs(hostNumber(record.host) - ownNumber)}));
	return ordered.toSorted((a, b) => Number(a.isElsewhere) - Number(b.isElsewhere) || a.distance - b.distance).map(({record}) => record);
}

/** Returns an IPv4 address as a number; `NaN`, which orders nothing, for any other host. */
function hostNumber(host: string): number {
	return host.split('.').reduce((number, part) => (number * (2 ** bitsPerByte)) + Number(part), 0);
}

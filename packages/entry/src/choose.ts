import {type Call} from '@papayaflow/caller';
import {type Preset} from '@papayaflow/config';
import {
	pickTarget, rendezvousOrder, shardOfKey, withoutEjected,
} from '@papayaflow/policy';
import {type Link} from './link.js';
import {type Links} from './links.js';

/** The owners of the shards of the idempotency log, as far as this entry has seen them. */
export type OwnerCache = {
	/** Returns the instance last seen or reported as the owner of the shard of the call's key. */
	ownerOf(call: Call): string | undefined;
	/** Records the owner of the shard of the call's key; `undefined` removes the entry. */
	record(call: Call, owner: string | undefined): void;
};

/**
Creates an empty owner cache. A hit saves a redirect and a read of the store. A stale
entry does no harm, because a sidecar that does not own the shard refuses the attempt.

@example
const owners = createOwnerCache();
*/
export function createOwnerCache(): OwnerCache {
	const owners = new Map<string, string>();
	return {
		ownerOf: call => owners.get(shardName(call)),
		record(call, owner) {
			if (owner === undefined) {
				owners.delete(shardName(call));
			} else {
				owners.set(shardName(call), owner);
			}
		},
	};
}

/**
Chooses the sidecar for a keyed call: the cached owner, or else the first usable
sidecar in rendezvous order, preferring sidecars that have not been tried. The order
is the same at every entry, so that all entries send the keys of a shard to the same
sidecar and the shard does not change owners. Returns `undefined` when no sidecar is
usable.
*/
export function chooseOwner(
	call: Call,
	triedIds: ReadonlySet<string>,
	{links, owners}: {readonly links: Links; readonly owners: OwnerCache},
): Link | undefined {
	const cachedOwner = owners.ownerOf(call);
	const link = cachedOwner === undefined || triedIds.has(cachedOwner) ? undefined : links.toSidecar(cachedOwner);
	if (link?.connected) {
		return link;
	}

	const usable = rendezvousOrder(shardName(call), links.sidecarsOf(call.service))
		.map(id => links.toSidecar(id))
		.filter(other => other?.usable);
	return usable.find(other => !triedIds.has(other!.sidecar.id)) ?? usable.at(0);
}

/** Chooses a target for a call that any target of its service may run. Returns `undefined` when no untried target is usable. */
export function chooseTarget(
	call: Call,
	{triedIds, preset}: {readonly triedIds: ReadonlySet<string>; readonly preset: Preset},
	{links, zone, random, monotonicMs}: {readonly links: Links; readonly zone: string; readonly random: () => number; readonly monotonicMs: () => number},
): Link | undefined {
	const nowMs = monotonicMs();
	const usable = links.forService(call.service).filter(link => link.usable && !triedIds.has(link.sidecar.id));
	const healthy = withoutEjected(usable, nowMs, preset.routing);
	const byId = new Map(healthy.map(link => [link.sidecar.id, link]));
	const candidates = healthy.map(link => ({
		id: link.sidecar.id, zone: link.sidecar.zone, ownTokens: link.ownTokens, report: link.report, sinceMs: link.openedMs,
	}));
	const chosen = pickTarget(candidates, {
		...preset.routing, nowMs, random, zone, affinityKey: call.affinityKey,
	});
	return chosen && byId.get(chosen.id);
}

function shardName(call: Call): string {
	return `${call.service}/${shardOfKey(call.organisation, call.key ?? '')}`;
}

import {type Call} from '@papayaflow/caller';
import {type Preset} from '@papayaflow/config';
import {
	pickTarget, rendezvousOrder, shardOfKey, withoutEjected,
} from '@papayaflow/policy';
import {type Link} from './link.js';
import {type Links} from './links.js';

/** What an entry has learned of who owns the shards of the idempotency log. */
export type Owners = {
	/** The instance that last showed or was named as the owner of a key's shard. */
	of(call: Call): string | undefined;
	/** Notes the owner of a key's shard; `undefined` forgets it. */
	learn(call: Call, owner: string | undefined): void;
};

/**
Makes an empty memory of owners. It saves a hop and a look at the store, and is
never relied on: a sidecar that is not the owner says so.

@example
const owners = createOwners();
*/
export function createOwners(): Owners {
	const owners = new Map<string, string>();
	return {
		of: call => owners.get(shardName(call)),
		learn(call, owner) {
			if (owner === undefined) {
				owners.delete(shardName(call));
			} else {
				owners.set(shardName(call), owner);
			}
		},
	};
}

/**
Chooses the sidecar to ask about a key: the owner as far as it is known, else the
first by rendezvous hashing that was not tried, which is the same at every entry,
so that owners settle.
*/
export function chooseOwner(
	call: Call,
	tried: ReadonlySet<string>,
	{links, owners}: {readonly links: Links; readonly owners: Owners},
): Link | undefined {
	const known = owners.of(call);
	const link = known === undefined || tried.has(known) ? undefined : links.to(known);
	if (link?.connected) {
		return link;
	}

	const usable = rendezvousOrder(shardName(call), links.sidecarsOf(call.service))
		.map(id => links.to(id))
		.filter(other => other?.usable);
	return usable.find(other => !tried.has(other!.sidecar.id)) ?? usable.at(0);
}

/** Chooses a target for work that any target of its service may run; `undefined` when none is left. */
export function chooseTarget(
	call: Call,
	{tried, preset}: {readonly tried: ReadonlySet<string>; readonly preset: Preset},
	{links, zone, random, monotonicMs}: {readonly links: Links; readonly zone: string; readonly random: () => number; readonly monotonicMs: () => number},
): Link | undefined {
	const nowMs = monotonicMs();
	const usable = links.of(call.service).filter(link => link.usable && !tried.has(link.sidecar.id));
	const healthy = withoutEjected(usable, nowMs, preset.routing);
	const byId = new Map(healthy.map(link => [link.sidecar.id, link]));
	const candidates = healthy.map(link => ({
		id: link.sidecar.id, zone: link.sidecar.zone, ownTokens: link.ownTokens, report: link.report, sinceMs: link.sinceMs,
	}));
	const picked = pickTarget(candidates, {
		...preset.routing, nowMs, random, zone, affinityKey: call.affinityKey,
	});
	return picked && byId.get(picked.id);
}

function shardName(call: Call): string {
	return `${call.service}/${shardOfKey(call.organisation, call.key ?? '')}`;
}

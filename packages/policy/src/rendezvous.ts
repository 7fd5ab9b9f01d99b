const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Hashes a text to 32 bits, the same on every process. */
export function hashText(text: string): number {
	let hash = fnvOffset;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.codePointAt(i)!, fnvPrime);
	}

	// The last mixing spreads short texts that differ in their last letter alone.
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
Orders nodes by rendezvous hashing for a key: every process that knows the same
nodes gets the same order, and a node that goes moves only its own keys.

@example
const [owner, next] = rendezvousOrder('shard-3', ['a', 'b', 'c']);
*/
export function rendezvousOrder(key: string, nodes: readonly string[]): readonly string[] {
	// A long key is hashed once, not again with each node.
	const prefix = `${hashText(key)}\n`;
	return nodes
		.map(node => ({node, score: hashText(prefix + node)}))
		.toSorted((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
		.map(({node}) => node);
}

/** Something that stands in an availability zone. */
export type Placed = {readonly id: string; readonly zone: string};

/**
Picks the deterministic subset of `size` nodes that `self` talks to, spread
evenly over the availability zones. With fewer nodes than `size` it is all of them.

@example
const peers = subset('entry-1', sidecars, 20);
*/
export function subset<T extends Placed>(self: string, nodes: readonly T[], size: number): readonly T[] {
	if (nodes.length <= size) {
		return nodes;
	}

	const byZone = groupByZone(nodes);
	const queues = [...byZone.keys()].toSorted().map(zone => {
		const inZone = byZone.get(zone)!;
		const byId = new Map(inZone.map(node => [node.id, node]));
		return rendezvousOrder(self, [...byId.keys()]).map(id => byId.get(id)!);
	});

	const picked: T[] = [];
	for (let round = 0; picked.length < size; round++) {
		for (const queue of queues) {
			if (round < queue.length && picked.length < size) {
				picked.push(queue[round]);
			}
		}
	}

	return picked;
}

/**
Whether `self` is one of the `perZone` processes of its availability zone that
watch the key-value service, so that watches don't grow with the fleet.
*/
export function isReader(self: Placed, nodes: readonly Placed[], perZone: number): boolean {
	const inZone = nodes.filter(node => node.zone === self.zone).map(node => node.id);
	return rendezvousOrder(`reader/${self.zone}`, [...new Set([...inZone, self.id])]).slice(0, perZone).includes(self.id);
}

function groupByZone<T extends Placed>(nodes: readonly T[]): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const node of nodes) {
		const group = groups.get(node.zone) ?? [];
		group.push(node);
		groups.set(node.zone, group);
	}

	return groups;
}

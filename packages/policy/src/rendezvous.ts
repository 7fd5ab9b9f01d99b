const fnvOffset = 0x81_1C_9D_C5;
const fnvPrime = 0x01_00_01_93;

/** Hashes a text to an unsigned 32-bit integer, with the same result in every process. */
export function hashText(text: string): number {
	let hash = fnvOffset;
	for (let i = 0; i < text.length; i++) {
		hash = Math.imul(hash ^ text.codePointAt(i)!, fnvPrime);
	}

	// The final mixing spreads the hashes of short texts that differ only in their last character.
	hash = Math.imul(hash ^ (hash >>> 16), 0x85_EB_CA_6B);
	hash = Math.imul(hash ^ (hash >>> 13), 0xC2_B2_AE_35);
	return (hash ^ (hash >>> 16)) >>> 0;
}

/**
Orders nodes by rendezvous hashing for a key. Every process with the same nodes gets
the same order, and the removal of a node moves only the keys of that node.

@example
const [owner, next] = rendezvousOrder('shard-3', ['a', 'b', 'c']);
*/
export function rendezvousOrder(key: string, nodes: readonly string[]): readonly string[] {
	// Hashes a long key once instead of once per node.
	const prefix = `${hashText(key)}\n`;
	return nodes
		.map(node => ({node, score: hashText(prefix + node)}))
		.toSorted((a, b) => b.score - a.score || (a.node < b.node ? -1 : 1))
		.map(({node}) => node);
}

/**
Returns the first node of `rendezvousOrder` without sorting all of them; `undefined` if there is none.

@example
const owner = rendezvousFirst('shard-3', ['a', 'b', 'c']);
*/
export function rendezvousFirst(key: string, nodes: readonly string[]): string | undefined {
	const prefix = `${hashText(key)}\n`;
	let first: {readonly node: string; readonly score: number} | undefined;
	for (const node of nodes) {
		const score = hashText(prefix + node);
		if (!first || score > first.score || (score === first.score && node < first.node)) {
			first = {node, score};
		}
	}

	return first?.node;
}

/** A node in an availability zone. */
export type ZonedNode = {readonly id: string; readonly zone: string};

/**
Picks a deterministic subset of `size` nodes for `self` to connect to, spread evenly
over the availability zones. Returns all nodes if there are no more than `size`.

@example
const peers = pickSubset('entry-1', sidecars, 20);
*/
export function pickSubset<T extends ZonedNode>(self: string, nodes: readonly T[], size: number): readonly T[] {
	if (nodes.length <= size) {
		return nodes;
	}

	const byZone = groupByZone(nodes);
	const nodesByZone = [...byZone.keys()].toSorted().map(zone => {
		const inZone = byZone.get(zone)!;
		const byId = new Map(inZone.map(node => [node.id, node]));
		return rendezvousOrder(self, [...byId.keys()]).map(id => byId.get(id)!);
	});

	const picked: T[] = [];
	for (let round = 0; picked.length < size; round++) {
		for (const queue of nodesByZone) {
			if (round < queue.length && picked.length < size) {
				picked.push(queue[round]);
			}
		}
	}

	return picked;
}

/**
Returns whether `self` is one of the `perZone` processes of its availability zone that
watch the key-value service, so that the number of watches does not grow with the
number of processes.
*/
export function isReader(self: ZonedNode, nodes: readonly ZonedNode[], perZone: number): boolean {
	const inZone = nodes.filter(node => node.zone === self.zone).map(node => node.id);
	return rendezvousOrder(`reader/${self.zone}`, [...new Set([...inZone, self.id])]).slice(0, perZone).includes(self.id);
}

function groupByZone<T extends ZonedNode>(nodes: readonly T[]): Map<string, T[]> {
	const groups = new Map<string, T[]>();
	for (const node of nodes) {
		const group = groups.get(node.zone) ?? [];
		group.push(node);
		groups.set(node.zone, group);
	}

	return groups;
}

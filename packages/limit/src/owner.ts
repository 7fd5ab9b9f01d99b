import {rendezvousFirst} from '@papayaflow/policy';
import {addressOf, type TargetRecord} from '@papayaflow/routing';

/** The targets and those of them that are engines, each of which has a sidecar beside it. */
export type Fleet = {readonly targets: readonly TargetRecord[]; readonly isEngine: (target: TargetRecord) => boolean};

/** A target for which a process grants the permissions, because it runs beside it or because it was chosen. */
export type OwnedTarget = {readonly incarnation: number; readonly isBeside: boolean};

/**
Creates the choice of the engine whose sidecar grants the permissions for a target: the
target itself if it is an engine, otherwise an engine chosen by rendezvous hashing, so
that all processes with the same list of targets choose the same one. The choice is
`undefined` if there is no engine. Each plain target is hashed once; create a new choice
when the list of targets changes.

@example
const engineOf = createEngineChoice({targets: records, isEngine: ({service}) => service === 'llm'});
engineOf(ledger);
*/
export function createEngineChoice(fleet: Fleet): (target: TargetRecord) => TargetRecord | undefined {
	const chosen = new Map<string, TargetRecord | undefined>();
	const engines = servingEngines(fleet);
	return target => {
		if (fleet.isEngine(target)) {
			return target;
		}

		if (!chosen.has(target.id)) {
			chosen.set(target.id, chooseEngine(target, engines));
		}

		return chosen.get(target.id);
	};
}

/**
Returns the targets, by id, for which the sidecar beside the engine at `address` grants
the permissions.

@example
const owned = ownedTargets('10.1.0.42:8228', {targets: records, isEngine});
*/
export function ownedTargets(address: string, fleet: Fleet): ReadonlyMap<string, OwnedTarget> {
	const engineOf = createEngineChoice(fleet);
	const owned = new Map<string, OwnedTarget>();
	for (const target of fleet.targets) {
		const engine = engineOf(target);
		if (engine && addressOf(engine) === address) {
			owned.set(target.id, {incarnation: target.incarnation, isBeside: engine === target});
		}
	}

	return owned;
}

function servingEngines({targets, isEngine}: Fleet): ReadonlyMap<string, TargetRecord> {
	return new Map(targets.filter(target => target.state === 'serving' && isEngine(target)).map(target => [target.id, target]));
}

function chooseEngine(target: TargetRecord, engines: ReadonlyMap<string, TargetRecord>): TargetRecord | undefined {
	const id = rendezvousFirst(target.id, [...engines.keys()]);
	return id === undefined ? undefined : engines.get(id);
}

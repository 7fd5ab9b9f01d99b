import {rendezvousFirst} from '@papayaflow/policy';
import {addressOf, type TargetRecord} from '@papayaflow/routing';

/** The targets and those of them that are engines, each of which has a sidecar beside it. */
export type Fleet = {readonly targets: readonly TargetRecord[]; readonly isEngine: (target: TargetRecord) => boolean};

/** A target for which a process grants the permissions, because it runs beside it or because it was chosen. */
export type OwnedTarget = {readonly incarnation: number; readonly isBeside: boolean};

/**
Returns the engine whose sidecar grants the permissions for a target: the target itself
if it is an engine, otherwise an engine chosen by rendezvous hashing, so that all
processes with the same list of targets choose the same one. Returns `undefined` if
there is no engine.

@example
const engine = dispensingEngine(ledger, {targets: records, isEngine: ({service}) => service === 'llm'});
*/
export function dispensingEngine(target: TargetRecord, {targets, isEngine}: Fleet): TargetRecord | undefined {
	return isEngine(target) ? target : chooseEngine(target, servingEngines({targets, isEngine}));
}

/**
Returns the targets, by id, for which the sidecar beside the engine at `address` grants
the permissions.

@example
const owned = ownedTargets('10.1.0.42:8228', {targets: records, isEngine});
*/
export function ownedTargets(address: string, fleet: Fleet): ReadonlyMap<string, OwnedTarget> {
	const engines = servingEngines(fleet);
	const owned = new Map<string, OwnedTarget>();
	for (const target of fleet.targets) {
		const isBeside = fleet.isEngine(target);
		const engine = isBeside ? target : chooseEngine(target, engines);
		if (engine && addressOf(engine) === address) {
			owned.set(target.id, {incarnation: target.incarnation, isBeside});
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

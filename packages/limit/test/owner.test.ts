import {type TargetRecord} from '@papayaflow/routing';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createEngineChoice, ownedTargets, type Fleet} from '@papayaflow/limit';

const record = (service: string, index: number, state: 'serving' | 'leaving' = 'serving'): TargetRecord => ({
	id: `${service}-${index}`, incarnation: 1, registeredAt: 1, service, host: `10.0.0.${index}`, port: service === 'llm' ? 8000 : 9000, zone: 'z', slots: 8, state, warmingMs: 0,
});
const isEngine = ({service}: TargetRecord): boolean => service === 'llm';
const engines = Array.from({length: 12}, (_, index) => record('llm', index));
const plains = Array.from({length: 30}, (_, index) => record('ledger', index));
const fleet: Fleet = {targets: [...engines, ...plains], isEngine};

describe('the choice of a dispenser', () => {
	it('gives each target exactly one owner: its own sidecar, or one that all processes choose alike', () => {
		const owned = engines.map(({host, port}) => ownedTargets(`${host}:${port}`, fleet));
		const ids = owned.flatMap(targets => [...targets.keys()]);
		expect(ids.toSorted()).to.deep.equal(fleet.targets.map(({id}) => id).toSorted());
		for (const [index, targets] of owned.entries()) {
			expect(targets.get(`llm-${index}`)?.isBeside).to.equal(true);
		}
	});

	it('moves only the plain targets of an engine that leaves, and leaves an engine to its own sidecar', () => {
		const before = createEngineChoice(fleet);
		const leaving = record('llm', 3, 'leaving');
		const after = createEngineChoice({targets: [...engines.filter(({id}) => id !== leaving.id), leaving, ...plains], isEngine});
		expect(after(leaving)?.id).to.equal('llm-3');
		for (const target of plains) {
			const [old, next] = [before(target)?.id, after(target)?.id];
			expect(next).to.not.equal('llm-3');
			expect(next === old || old === 'llm-3').to.equal(true);
		}
	});

	it('is undefined without an engine', () => {
		expect(createEngineChoice({targets: plains, isEngine})(plains[0])).to.equal(undefined);
	});
});

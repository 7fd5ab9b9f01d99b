import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {
	createSuspicionRelay, createSuspicions, mergeSuspicions, type AgedSuspicion, type Suspicion, type Suspicions,
} from '../src/index.js';

const instances = ['instance-0', 'instance-1', 'instance-2'];
const crash = fc.record({
	target: fc.constantFrom('i-1', 'i-2', 'i-3'), atMs: fc.integer({min: 0, max: 5}).map(step => step * 10_000), isTrial: fc.boolean(), stopsGroup: fc.boolean(),
}).map(({stopsGroup, ...rest}) => ({...rest, ...(stopsGroup && {stopsGroup})}));
const suspicion: fc.Arbitrary<Suspicion> = fc.record({
	part: fc.constant('p'), round: fc.integer({min: 0, max: 2}), crashes: fc.uniqueArray(crash, {maxLength: 4, selector: ({target, atMs}) => `${target}/${atMs}`}), changedAtMs: fc.constant(0),
	trial: fc.option(fc.record({
		instance: fc.constantFrom(...instances), target: fc.constantFrom('i-1', 'i-2'), atMs: fc.integer({min: 0, max: 5}).map(step => step * 10_000), isOver: fc.boolean(),
	}), {nil: undefined}),
}).map(({trial, ...rest}) => ({...rest, crashes: rest.crashes.toSorted((a, b) => a.atMs - b.atMs || a.target.localeCompare(b.target)), ...(trial && {trial})}));

const normalized = ({round, crashes, trial}: Suspicion): unknown => ({
	round, trial, crashes: crashes.map(({target, atMs, isTrial, stopsGroup}) => `${target}/${atMs}/${isTrial}/${stopsGroup}`).toSorted(),
});

const normalizedAll = (table: Suspicions): unknown => table.all().map(known => normalized(known));

describe('merging suspicions', () => {
	it('gives the same result in any order, and however often', () => {
		fc.assert(fc.property(suspicion, suspicion, suspicion, (a, b, c) => {
			const inOrder = normalized(mergeSuspicions(mergeSuspicions(a, b), c));
			expect(normalized(mergeSuspicions(a, mergeSuspicions(b, c)))).to.deep.equal(inOrder);
			expect(normalized(mergeSuspicions(c, mergeSuspicions(b, a)))).to.deep.equal(inOrder);
			expect(normalized(mergeSuspicions(mergeSuspicions(mergeSuspicions(a, b), c), b))).to.deep.equal(inOrder);
		}), {seed: 1, numRuns: 2000});
	});

	it('leaves all instances with the same suspicions after reports that were lost, repeated and late, once all were connected', () => {
		const step = fc.record({
			from: fc.nat(2), to: fc.nat(2), what: suspicion, isLost: fc.boolean(), isRepeated: fc.boolean(), isLate: fc.boolean(),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 12}), steps => {
			const nowMs = (): number => 60_000;
			const tables: readonly Suspicions[] = instances.map(() => createSuspicions(nowMs));
			const late: Array<{readonly to: number; readonly sent: readonly AgedSuspicion[]}> = [];
			const inTime: typeof late = [];
			const deliver = (messages: typeof late): void => {
				for (const {to, sent} of messages.splice(0)) {
					tables[to].mergeAged(sent);
				}
			};

			for (const {from, to, what, isLost, isRepeated, isLate} of steps) {
				tables[from].merge(what);
				const sent = tables[from].aged(tables[from].all());
				const arrivals = isLost ? 0 : (isRepeated ? 2 : 1);
				for (let i = 0; i < arrivals; i++) {
					(isLate ? late : inTime).push({to, sent});
				}

				deliver(inTime);
			}

			deliver(late);
			const relay = createSuspicionRelay(nowMs);
			for (const table of tables) {
				relay.onReceived(table.aged(table.all()));
			}

			for (const table of tables) {
				table.mergeAged(relay.all());
			}

			const normalizedTables = tables.map(table => normalizedAll(table));
			expect(normalizedTables).to.deep.equal(tables.map(() => normalizedTables[0]));
		}), {seed: 1, numRuns: 1000});
	});
});

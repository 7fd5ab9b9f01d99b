import {expect} from 'chai';
import {describe, it} from 'mocha';
import {type TargetRecord} from '@papayaflow/routing';
import {createLinkChoice, nearestFirst} from '@papayaflow/group';

const [groups, ranks] = [3, 24];
const targets = Array.from({length: groups * ranks}, (_, index) => `10.0.0.${index}:80`);

type Start = {readonly groupOfTarget: (index: number) => number; readonly answers: (index: number) => boolean};

/** Lets a candidate of group 0 choose its links every 10 ms until its group is complete; the sidecars that answer are known 20 ms after they are linked. */
function playStart({groupOfTarget, answers}: Start): {readonly completeMs: number; readonly opened: number; readonly mostOpened: number} {
	const known = new Map<string, string>();
	const linkedMs = new Map<string, number>();
	let nowMs = 0;
	let mostOpened = 0;
	let opened = 0;
	const choice = createLinkChoice({groupOf: target => known.get(target), nowMs: () => nowMs});
	const members = targets.filter((_, index) => groupOfTarget(index) === 0 && answers(index));
	const isComplete = (): boolean => members.every(target => known.has(target));
	for (; !isComplete() && nowMs < 30_000; nowMs += 10) {
		const links = new Set(choice.choose(targets, {group: 'g0', isComplete: false}));
		const openedNow = [...links].filter(target => !linkedMs.has(target));
		opened += openedNow.length;
		mostOpened = Math.max(mostOpened, openedNow.length);
		for (const target of openedNow) {
			linkedMs.set(target, nowMs);
		}

		for (const [index, target] of targets.entries()) {
			if (links.has(target) && answers(index) && nowMs - linkedMs.get(target)! >= 20) {
				known.set(target, `g${groupOfTarget(index)}`);
			}
		}
	}

	return {completeMs: nowMs, opened, mostOpened};
}

describe('the links of a candidate at a start', () => {
	// Guards against connections that are opened and dropped by the hundred when all processes start at once.
	it('go to a few sidecars of unknown group at a time, and to hardly any in vain if the members come first', () => {
		const {completeMs, opened, mostOpened} = playStart({groupOfTarget: index => Math.floor(index / ranks), answers: () => true});
		expect(mostOpened).to.be.at.most(8);
		expect(opened).to.be.at.most(ranks + 8);
		expect(completeMs).to.be.below(300);
	});

	it('reach every member within five seconds although most other sidecars do not answer', () => {
		const {completeMs} = playStart({groupOfTarget: index => index % ranks === ranks - 1 ? 0 : 1, answers: index => index % ranks === ranks - 1});
		expect(completeMs).to.be.below(5000);
	});

	it('are those to the members alone once all of them are connected', () => {
		const choice = createLinkChoice({groupOf: target => target === targets[3] ? 'g0' : undefined, nowMs: () => 0});
		expect(choice.choose(targets, {group: 'g0', isComplete: false})).to.include(targets[3]).and.have.length(9);
		expect(choice.choose(targets, {group: 'g0', isComplete: true})).to.deep.equal([targets[3]]);
	});

	// Guards against an order by ids, which are new after each start of a target.
	it('go to the targets of the own availability zone first, and among these to those with the nearest addresses', () => {
		const recordOf = (host: string, zone: string): TargetRecord => ({
			id: `i-${host}`, incarnation: 0, registeredAt: 1, service: 's', host, port: 80, zone, slots: 8, state: 'serving', warmingMs: 0,
		});
		const records = [recordOf('10.1.0.9', 'b'), recordOf('10.2.1.1', 'a'), recordOf('10.2.0.250', 'a'), recordOf('10.2.0.8', 'a')];
		expect(nearestFirst(records, recordOf('10.2.1.3', 'a')).map(({host}) => host)).to.deep.equal(['10.2.1.1', '10.2.0.250', '10.2.0.8', '10.1.0.9']);
	});
});

import {createServer} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {listenOn} from '@papayaflow/standins';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {isSameTarget, type TargetRecord} from '@papayaflow/routing';
import {
	createPlainPlacer, createTargets, type Call, type PlaceResult, type Target, type Targets,
} from '@papayaflow/direct';

const record = (id: string, registeredAt: number, more: Partial<TargetRecord> = {}): TargetRecord => ({
	id, incarnation: 0, registeredAt, service: 's', host: '10.0.0.1', port: 80, zone: 'z', slots: 4, state: 'serving', warmingMs: 0, ...more,
});

const targetsOf = (...records: readonly TargetRecord[]): Targets => targetsOfServices(() => true, records);

const targetsOfServices = (isKnownService: (service: string) => boolean, records: readonly TargetRecord[]): Targets => {
	const targets = createTargets({
		connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => 0, isKnownService, onChange: () => undefined,
	});
	targets.update(records);
	return targets;
};

const servingIds = (targets: Targets): readonly string[] => targets.servingTargets({service: 's'}).map(({record: {id}}) => id);

describe('servingTargets() with several targets at one address', () => {
	it('returns the target that registered last, in any order of the records', () => {
		expect(servingIds(targetsOf(record('old', 1), record('new', 2)))).to.deep.equal(['new']);
		expect(servingIds(targetsOf(record('new', 2), record('old', 1)))).to.deep.equal(['new']);
		expect(servingIds(targetsOf(record('a', 1), record('b', 2, {port: 81})))).to.deep.equal(['a', 'b']);
	});

	// Guards against an entry of another writer that hides the target at its address for good.
	it('is not affected by a later registration for a service that no configuration names', () => {
		const targets = targetsOfServices(service => service === 's', [record('old', 1), record('foreign', 2, {service: 'nobody'})]);
		expect(servingIds(targets)).to.deep.equal(['old']);
	});

	it('returns the earlier target after the later one is marked as gone', () => {
		const targets = targetsOf(record('old', 1), record('new', 2));
		targets.byId('new')?.markGone(0);
		expect(servingIds(targets)).to.deep.equal(['old']);
	});

	it('returns none of them while the one that registered last is leaving', () => {
		expect(servingIds(targetsOf(record('old', 1), record('new', 2, {state: 'leaving'})))).to.deep.equal([]);
	});
});

describe('a target that says that it leaves', () => {
	it('takes no more requests, also when its registration lapses and comes back, until it starts again', () => {
		const targets = targetsOf(record('a', 1));
		targets.byId('a')?.markLeaving();
		expect(servingIds(targets)).to.deep.equal([]);
		expect(targets.departingAddresses('s')).to.deep.equal(['10.0.0.1:80']);
		targets.update([]);
		targets.update([record('a', 2)]);
		expect(servingIds(targets), 'registered again').to.deep.equal([]);
		targets.update([record('a', 3, {incarnation: 1})]);
		expect(servingIds(targets), 'started again').to.deep.equal(['a']);
	});

	// Guards against a coordinator that is told not to use the successor of a target that has left.
	it('does not keep requests from the next target at its address', () => {
		const targets = targetsOf(record('a', 1));
		targets.byId('a')?.markLeaving();
		targets.update([record('a', 1), record('b', 2)]);
		expect(servingIds(targets)).to.deep.equal(['b']);
		expect(targets.departingAddresses('s')).to.deep.equal([]);
	});
});

/** What is learned of a target, by a call that runs there, and what the next choice then sees of it. */
type Fact = {readonly name: string; readonly learn: (target: Target) => void; readonly seen: (target: Target) => unknown; readonly learned: unknown};

const facts: readonly Fact[] = [
	{
		name: 'that it leaves', learned: true, seen: ({isLeaving, isServing}) => isLeaving && !isServing,
		learn(target) {
			target.markLeaving();
		},
	},
	{
		name: 'that it accepts no connection', learned: false, seen: ({isReachable}) => isReachable,
		learn(target) {
			target.markUnreachable();
		},
	},
	{
		name: 'that its calls fail', learned: 1, seen: ({health}) => health.failures,
		learn(target) {
			target.startRequest()('failed');
		},
	},
	{
		name: 'how long its calls take', learned: 0, seen: ({latencyMs}) => latencyMs,
		learn(target) {
			target.startRequest()('served');
		},
	},
	{
		name: 'how many calls run there', learned: 1, seen: ({inFlight}) => inFlight,
		learn(target) {
			target.startRequest();
		},
	},
];

const moments = ['before its registration lapses', 'while it is not registered', 'when it is registered again'] as const;

// Guards against a request to a server that has said that it leaves: the answer of a call that ran while the registration lapsed marked an object that was no longer chosen from.
describe('what a call learns of a target', () => {
	let clockMs = 0;
	const play = (moment: typeof moments[number], learn: Fact['learn'], comingBack: TargetRecord): Target => {
		clockMs = 0;
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => clockMs, isKnownService: () => true, onChange: () => undefined,
		});
		targets.update([record('a', 1), record('b', 1, {port: 81})]);
		const heldByCall = targets.byId('a')!;
		const steps = [() => undefined, () => {
			targets.update([record('b', 1, {port: 81})]);
		}, () => {
			targets.update([comingBack, record('b', 1, {port: 81})]);
		}];
		for (const [index, step] of steps.entries()) {
			clockMs += 100;
			step();
			if (moments[index] === moment) {
				learn(heldByCall);
			}
		}

		const chosenFrom = targets.byId('a')!;
		// Ends its trials.
		targets.update([]);
		return chosenFrom;
	};

	for (const moment of moments) {
		for (const {name, learn, seen, learned} of facts) {
			it(`holds for its lifetime, learned ${moment}: ${name}`, () => {
				expect(seen(play(moment, learn, record('a', 2)))).to.equal(learned);
			});

			it(`says nothing of its next lifetime, learned ${moment}: ${name}`, () => {
				const next = play(moment, learn, record('a', 2, {incarnation: 1}));
				expect(seen(next)).to.not.equal(learned);
				expect([next.isServing, next.isReachable]).to.deep.equal([true, true]);
			});
		}

		// A registration that comes back is newer than the refusal of another target at its address.
		it(`ends when it registers again, learned ${moment}: that another target is at its address`, () => {
			const sentMs = 0;
			expect(play(moment, target => {
				target.markGone(sentMs);
			}, record('a', 2)).isServing).to.equal(true);
		});
	}

	it('is the same object for as many lapses as there are', () => {
		const targets = targetsOf(record('a', 1));
		const target = targets.byId('a');
		for (let revision = 2; revision < 10; revision++) {
			targets.update([]);
			targets.update([record('a', revision, {incarnation: revision % 2 === 0 ? 7 : 0})]);
		}

		expect(targets.byId('a')).to.equal(target);
	});

	it('is kept apart for another target at another address under its id', () => {
		const targets = targetsOf(record('a', 1));
		targets.byId('a')?.markUnreachable();
		targets.update([record('a', 2, {port: 99})]);
		expect(targets.byId('a')?.isReachable).to.equal(true);
		targets.update([record('a', 3)]);
		expect(targets.byId('a')?.isReachable).to.equal(false);
		targets.update([]);
	});
});

describe('a target that accepts no connection', () => {
	it('takes no requests until it accepts one, within a second of listening', async () => {
		const server = createServer();
		const port = await listenOn(server);
		server.close();
		const targets = targetsOf(record('closed', 1, {host: '127.0.0.1', port}), record('open', 1));
		targets.byId('closed')?.markUnreachable();
		expect(servingIds(targets)).to.deep.equal(['open']);
		expect(targets.departingAddresses('s'), 'told to coordinators').to.deep.equal([`127.0.0.1:${port}`]);
		await sleep(300);
		expect(servingIds(targets), 'after trials').to.deep.equal(['open']);
		server.listen(port, '127.0.0.1');
		for (let waitedMs = 0; waitedMs < 1000 && servingIds(targets).length < 2; waitedMs += 20) {
			await sleep(20);
		}

		expect(servingIds(targets), 'while it listens').to.deep.equal(['closed', 'open']);
		server.close();
		targets.update([]);
	});

	it('is tried again when its registration has lapsed and come back', async () => {
		const server = createServer();
		const port = await listenOn(server);
		const targets = targetsOf(record('a', 1, {host: '127.0.0.1', port}));
		targets.update([]);
		targets.update([record('a', 2, {host: '127.0.0.1', port})]);
		targets.byId('a')?.markUnreachable();
		targets.update([]);
		await sleep(150);
		targets.update([record('a', 3, {host: '127.0.0.1', port})]);
		expect(servingIds(targets)).to.deep.equal([]);
		await sleep(150);
		expect(servingIds(targets)).to.deep.equal(['a']);
		targets.update([]);
		server.close();
	});

	it('takes requests again when it has started anew', () => {
		const targets = targetsOf(record('a', 1));
		targets.byId('a')?.markUnreachable();
		targets.update([record('a', 2, {incarnation: 1})]);
		expect(servingIds(targets)).to.deep.equal(['a']);
		targets.update([]);
	});
});

describe('isSameTarget()', () => {
	// Guards against a target that becomes cold unnoticed, and against news of every heartbeat while it warms up.
	it('tells a target that becomes cold from one whose stated time runs down', () => {
		expect(isSameTarget(record('a', 1, {warmingMs: 3000}), record('a', 2, {warmingMs: 1800}))).to.equal(true);
		expect(isSameTarget(record('a', 2, {warmingMs: 1800}), record('a', 3))).to.equal(true);
		expect(isSameTarget(record('a', 3), record('a', 4, {warmingMs: 3000}))).to.equal(false);
	});
});

describe('a target that refused connections', () => {
	it('counts as started again when it accepts one, but not if it was only cut off', async () => {
		const server = createServer();
		const port = await listenOn(server);
		const restarted: string[] = [];
		const targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => 0, isKnownService: () => true, onChange: () => undefined,
			onRestarted: ({id}) => restarted.push(id),
		});
		targets.update([record('a', 1, {host: '127.0.0.1', port})]);
		targets.byId('a')?.markUnreachable();
		await waitUntilServing(targets);
		expect(restarted, 'after a connection that was not refused').to.deep.equal([]);
		server.close();
		targets.byId('a')?.markUnreachable();
		await sleep(100);
		server.listen(port, '127.0.0.1');
		await waitUntilServing(targets);
		expect(restarted).to.deep.equal(['a']);
		targets.update([]);
		server.close();
	});

	const waitUntilServing = async (targets: Targets): Promise<void> => {
		while (servingIds(targets).length === 0) {
			await sleep(10);
		}
	};
});

describe('a target in an evacuated zone', () => {
	const ejection = {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5};
	const evacuated = new Set<string>();
	let targets: Targets;

	beforeEach(() => {
		evacuated.clear();
		targets = createTargets({
			connectMs: 100, ejection, nowMs: () => 0, isKnownService: () => true, isEvacuated: zone => evacuated.has(zone), onChange: () => undefined,
		});
		targets.update([record('a', 1, {zone: 'a'}), record('b', 1, {zone: 'b', port: 81})]);
	});

	const place = async (allowedZones?: ReadonlySet<string>): Promise<PlaceResult> => {
		const placer = createPlainPlacer({
			targets, ejection, nowMs: () => 0, random: () => 0.5, zone: 'a',
		});
		const call: Partial<Call> = {service: 's', allowedZones};
		return placer({
			call: call as Call, hasBegun: false, tried: new Set(), excluded: new Set(), signal: new AbortController().signal,
		});
	};

	it('takes no requests until the zone is taken back, and coordinators are told the zone', () => {
		evacuated.add('a');
		expect(servingIds(targets)).to.deep.equal(['b']);
		expect([targets.closedZones({service: 's'}), targets.departingAddresses('s')]).to.deep.equal([['a'], []]);
		evacuated.clear();
		expect(servingIds(targets)).to.deep.equal(['a', 'b']);
	});

	// Guards against a request that was placed before the evacuation and reaches the target after its connection has opened.
	it('gets no request that was placed before', async () => {
		const placed = await place();
		expect(placed.kind === 'placed' && [placed.place.target.record.id, placed.place.mayStart()]).to.deep.equal(['a', true]);
		evacuated.add('a');
		expect(placed.kind === 'placed' && placed.place.mayStart()).to.equal(false);
	});

	it('is named as the cause of a refusal only if all targets of the service are in such zones', async () => {
		evacuated.add('a').add('b');
		expect(await place()).to.include({kind: 'refused', reason: 'zoneEvacuated'});
		expect(targets.absenceReason({service: 'unknown'})).to.equal('noTarget');
		targets.update([record('a', 1, {zone: 'a'}), record('c', 1, {zone: 'c', port: 82, state: 'leaving'})]);
		expect(await place()).to.include({kind: 'refused', reason: 'noTarget'});
	});

	it('is named as the cause of a refusal if all targets that the call may reach are in such zones', async () => {
		evacuated.add('a');
		expect(await place(new Set(['a']))).to.include({kind: 'refused', reason: 'zoneEvacuated'});
		expect(await place(new Set(['c']))).to.include({kind: 'refused', reason: 'noTargetInRegion'});
		expect(targets.closedZones({service: 's', allowedZones: new Set(['a', 'c'])})).to.deep.equal(['a', 'b']);
	});
});

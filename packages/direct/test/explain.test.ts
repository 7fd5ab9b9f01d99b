import {expect} from 'chai';
import {
	afterEach, beforeEach, describe, it,
} from 'mocha';
import {createRouteTable, type Route, type TargetRecord} from '@papayaflow/routing';
import {
	createExplainer, createTargets, type Candidate, type Explanation, type ExplainOptions, type ExplainReply, type GroupChoice, type Targets,
} from '@papayaflow/direct';

const routeOf = (name: string, service: string, isPublic: boolean): Route => ({
	name, host: 'h.example', pathPrefix: `/${name}/`, weightedServices: [{service, weight: 1}], kind: 'idempotent', maxAttempts: 2, timeoutMs: 1000, objectiveMs: 100,
	gapObjectiveMs: undefined, priority: 1, isPublic, isResumable: false,
});

const recordOf = (id: string, fields: Partial<TargetRecord> = {}): TargetRecord => ({
	id, incarnation: 1, registeredAt: 1, service: 'plain', host: '127.0.0.1', port: Number(id.slice(1)) + 1, zone: 'z', slots: 4, state: 'serving', warmingMs: 0, ...fields,
});

const isEvacuated = (zone: string): boolean => zone === 'evacuated';

const ejection = {ejectAfterFailures: 1, ejectMs: 1000, maxEjectedRatio: 0.5};

// These guard against an explanation that differs from what the entry does with a request, or that changes it.
describe('explain', () => {
	let targets: Targets;
	let pausedMs: ReadonlyMap<string, number>;
	let limitedMs: ReadonlyMap<string, number>;
	let coldMs: ReadonlyMap<string, number>;
	let groupChoice: GroupChoice;

	beforeEach(() => {
		pausedMs = new Map();
		limitedMs = new Map();
		coldMs = new Map();
		groupChoice = {kind: 'coordinator', group: 'g', coordinator: 'side-1'};
		targets = createTargets({
			connectMs: 100, ejection, nowMs: () => 0, isKnownService: () => true, isEvacuated, onChange: () => undefined,
		});
		targets.update([recordOf('t0'), recordOf('t1'), recordOf('t2'), recordOf('t3')]);
	});

	afterEach(() => {
		targets.update([]);
	});

	const table = createRouteTable({
		version: 7, services: new Map(),
		routes: [routeOf('plain', 'plain', true), routeOf('own', 'plain', false), routeOf('model', 'model', true), {...routeOf('west', 'plain', true), allowedRegions: ['west']}],
		organisations: new Map([['k', {name: 'acme', priority: 0}]]),
		limits: {
			maxHeaderBytes: 1, maxBodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1,
		},
	});

	const lifetimesOf = (byId: ReadonlyMap<string, unknown>): ReadonlyArray<{readonly id: string; readonly incarnation: number}> => [...byId.keys()].map(id => ({id, incarnation: 1}));

	const unused = (): never => {
		throw new Error('changes something');
	};

	const explain = (query: Readonly<Record<string, string>>, options: Partial<ExplainOptions> = {}): ExplainReply => createExplainer({
		targets, ejection, nowMs: () => 0, random: () => 0, zone: 'z', table: () => table, isEngine: service => service === 'model',
		permits: {
			blocked: () => lifetimesOf(limitedMs), waitMs: ({id}) => limitedMs.get(id) ?? 0, acquire: unused,
			onAnswer: unused, onAnnounced: unused, onDecision: unused, dispensers: unused,
		},
		pauses: {blocked: () => lifetimesOf(pausedMs), waitMs: ({id}) => pausedMs.get(id) ?? 0, observe: unused},
		cold: {
			isActive: () => coldMs.size > 0, isCold: ({id}) => coldMs.has(id), waitMs: ({id}) => coldMs.get(id) ?? 0,
			update: unused, onStated: unused, onStarted: unused, reserve: unused, tick: unused, status: unused,
		},
		avoidsCold: ({service}) => service !== 'model', isEvacuated, regionByZone: new Map([['z', 'west'], ['evacuated', 'west'], ['y', 'east']]),
		groupPlacer: {
			groupOf: () => 'g', groups: () => [], preview: () => groupChoice, isClosed: ({record}) => record.id === 't9',
		},
		...options,
	})(new URLSearchParams(query));

	const explainPlain = (): Explanation => explain({host: 'h.example', path: '/plain/x'}).body as Explanation;
	const reasons = ({candidates}: Explanation): Readonly<Record<string, Candidate['excludedBy']>> => Object.fromEntries(candidates.map(({target, excludedBy}) => [target, excludedBy]));

	it('names what excludes each target, and chooses one that nothing excludes', () => {
		targets.update([recordOf('t0'),
			recordOf('t1', {state: 'leaving'}),
			recordOf('t2'),
			recordOf('t3'),
			recordOf('t4'),
			recordOf('t5'),
			recordOf('t6'),
			recordOf('t7', {port: 1, registeredAt: 0})]);
		targets.byId('t2')!.markGone(0);
		targets.byId('t3')!.markUnreachable();
		targets.byId('t4')!.markLeaving();
		targets.byId('t5')!.startRequest()('failed');
		pausedMs = new Map([['t0', 250.5]]);
		const explained = explainPlain();
		expect(reasons(explained)).to.deep.equal({
			t0: [{reason: 'paused', forMs: 251}], t1: [{reason: 'leaving'}], t2: [{reason: 'gone'}], t3: [{reason: 'unreachable'}], t4: [{reason: 'leaving'}], t5: [{reason: 'ejected'}], t6: [],
			t7: [{reason: 'superseded'}],
		});
		expect(explained.choice).to.deep.equal({kind: 'target', target: 't6', by: 'lowest cost'});
		expect(targets.all().map(({inFlight}) => inFlight)).to.deep.equal([0, 0, 0, 0, 0, 0, 0, 0]);
	});

	it('names evacuated zones, regions that are not allowed, cold targets and closed groups', () => {
		targets.update([recordOf('t0', {zone: 'evacuated'}), recordOf('t1', {zone: 'y'}), recordOf('t2'), recordOf('t3'), recordOf('t4')]);
		coldMs = new Map([['t2', 20], ['t3', 0]]);
		const west = explain({host: 'h.example', path: '/west/x'}).body as Explanation;
		expect(reasons(west)).to.deep.equal({
			t0: [{reason: 'evacuated'}], t1: [{reason: 'regionNotAllowed'}], t2: [{reason: 'cold', forMs: 20}], t3: [{reason: 'cold'}], t4: [],
		});
		expect(west.choice).to.include({kind: 'target', target: 't4'});
		expect(reasons(explainPlain()).t1).to.deep.equal([]);
		targets.update([recordOf('t8', {service: 'model'}), recordOf('t9', {service: 'model'})]);
		expect(reasons(explain({host: 'h.example', path: '/model/x'}).body as Explanation)).to.deep.equal({t8: [], t9: [{reason: 'groupClosed'}]});
	});

	it('gives the reason of a refusal for which evacuated zones, regions or cold targets are the cause', () => {
		targets.update([recordOf('t0', {zone: 'evacuated'})]);
		expect(explainPlain().choice).to.deep.equal({kind: 'refused', reason: 'zoneEvacuated'});
		targets.update([recordOf('t1', {zone: 'y'})]);
		expect((explain({host: 'h.example', path: '/west/x'}).body as Explanation).choice).to.deep.equal({kind: 'refused', reason: 'noTargetInRegion'});
		coldMs = new Map([['t1', 40]]);
		expect(explainPlain().choice).to.include({kind: 'refused', reason: 'targetsCold', retryAfterMs: 40});
	});

	it('says that a request would be refused, with the earliest time, when all targets are restricted', () => {
		pausedMs = new Map([['t0', 300], ['t1', 300], ['t2', 300]]);
		limitedMs = new Map([['t3', 200]]);
		expect(explainPlain().choice).to.include({kind: 'refused', reason: 'rateLimited', retryAfterMs: 200});
		targets.update([]);
		expect(explainPlain().choice).to.deep.equal({kind: 'refused', reason: 'noTarget'});
	});

	it('names the coordinator that would be asked, or the target that the entry itself would choose', () => {
		targets.update([recordOf('t0', {service: 'model'})]);
		const query = {host: 'h.example', path: '/model/x', key: 'k'};
		expect(explain(query).body).to.deep.include({
			service: 'model', organisation: 'acme', priority: 0, version: 7, choice: {kind: 'coordinator', group: 'g', coordinator: 'side-1'},
		});
		groupChoice = {kind: 'target', target: targets.byId('t0')!, group: undefined};
		expect((explain(query).body as Explanation).choice).to.include({kind: 'target', target: 't0', by: 'own share of the group'});
	});

	it('distinguishes a missing parameter, an unknown route, an unknown key and an entry without a configuration', () => {
		expect(explain({host: 'h.example'})).to.have.property('status', 400);
		expect(explain({host: 'h.example', path: '/other'})).to.deep.include({status: 404}).and.have.nested.property('body.reason', 'noRoute');
		expect(explain({host: 'h.example', path: '/own/x', key: 'wrong'})).to.deep.include({status: 401}).and.have.nested.property('body.reason', 'unknownKey');
		expect(explain({host: 'h.example', path: '/plain/x'}, {table: () => undefined})).to.have.property('status', 503);
	});
});

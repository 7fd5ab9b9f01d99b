import {
	createBeliefs, createPauses, createPermits, type Pauses, type Permits,
} from '@papayaflow/limit';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {
	createLimitedPlacer, createTargets, reservePlace, type Call, type Placer, type PlaceResult, type Targets,
} from '@papayaflow/direct';

const ids = ['a', 'b', 'c'];

const call: Call = {
	requestId: 'r', service: 's', organisation: undefined, priority: 1, version: 1, method: 'GET', path: '/', rawHeaders: [], body: new Uint8Array(0), generation: undefined, sharedParts: [], subject: () => 'request:r',
	deadlineMs: 1000, arrivedMs: 0,
	route: {
		name: 'r', host: 'h', pathPrefix: '/', weightedServices: [], kind: 'idempotent', maxAttempts: 2, timeoutMs: 1000, objectiveMs: 20, gapObjectiveMs: undefined, priority: 1,
		isPublic: true, isResumable: false,
	},
};

describe('a placer with limits', () => {
	let targets: Targets;
	let permits: Permits;
	let pauses: Pauses;
	let place: () => Promise<PlaceResult>;
	let retryMs: number;
	let asks: string[];

	beforeEach(() => {
		const shared = {monotonicMs: () => 0, metrics: createMetrics(), log: createLog({}, 'error')};
		targets = createTargets({
			connectMs: 100, ejection: {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5}, nowMs: () => 0, isKnownService: () => true, onChange: () => undefined,
		});
		targets.update(ids.map((id, index) => ({
			id, incarnation: 1, registeredAt: 1, service: 's', host: `10.0.0.${index}`, port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
		})));
		pauses = createPauses(shared);
		retryMs = 800;
		asks = [];
		permits = createPermits({
			...shared, beliefs: createBeliefs(shared), entries: () => 4, wallMs: () => 0, random: () => 0.5,
			dispenserOf: ({id}) => ({
				instance: 'side',
				ask(askId) {
					asks.push(id);
					setImmediate(() => {
						permits.onDecision(askId, {isGranted: retryMs === 0, retryMs});
					});
				},
				report: () => undefined,
			}),
		});
		const first: Placer = async ({excluded}) => {
			const target = targets.servingTargets({service: 's'}).find(({record}) => !excluded.has(record.id));
			return target ? {kind: 'placed', place: reservePlace(target, call)} : {kind: 'refused', reason: 'noTarget', retryAfterMs: 1};
		};

		const limited = createLimitedPlacer({
			place: first, targets, permits, pauses, random: () => 0.5,
		});
		place = async () => limited({
			call, tried: new Set(), excluded: new Set(), hasBegun: false, signal: new AbortController().signal,
		});
	});

	const limit = (id: string): void => {
		permits.onAnswer({id, incarnation: 1}, {kind: 'rate', perSecond: 1}, 0);
	};

	it('chooses another target after a denial, and asks no more for the denied one until its time has come', async () => {
		limit('a');
		const [one, two] = [await place(), await place()];
		expect([one, two].map(result => result.kind === 'placed' && result.place.target.record.id)).to.deep.equal(['b', 'b']);
		expect(asks).to.deep.equal(['a']);
		expect(targets.byId('a')?.inFlight, 'the denied target has no request').to.equal(0);
	});

	it('uses a limited target when it has the permission, and says whether the request may still be sent', async () => {
		limit('a');
		retryMs = 0;
		const result = await place();
		expect(result.kind === 'placed' && [result.place.target.record.id, result.place.mayStart()]).to.deep.equal(['a', true]);
	});

	it('leaves out a target before the time that it has named', async () => {
		pauses.observe({id: 'a', incarnation: 1}, {kind: 'pause', ms: 5000});
		const result = await place();
		expect(result.kind === 'placed' && result.place.target.record.id).to.equal('b');
	});

	// Guards against a server that gets nothing after its start because of what it said in its earlier lifetime.
	it('uses a target that has started again, whatever it said before', async () => {
		limit('a');
		await place();
		expect(permits.waitMs({id: 'a', incarnation: 1}), 'denied').to.equal(800);
		pauses.observe({id: 'a', incarnation: 1}, {kind: 'pause', ms: 5000});
		targets.update(targets.all().map(({record}) => record.id === 'a' ? {...record, incarnation: 2} : record));
		const result = await place();
		expect(result.kind === 'placed' && result.place.target.record.id).to.equal('a');
	});

	it('sends no request to a target that names a later time while its connection opens, or says that it leaves', async () => {
		const [first, second] = [await place(), await place()];
		pauses.observe({id: 'a', incarnation: 1}, {kind: 'pause', ms: 5000});
		expect(first.kind === 'placed' && [first.place.target.record.id, first.place.mayStart()]).to.deep.equal(['a', false]);
		targets.byId('a')?.markLeaving();
		expect(second.kind === 'placed' && second.place.mayStart()).to.equal(false);
	});

	// Load pattern: some targets of a service are at their limits and the others have named a later time.
	it('refuses a call at once when limits and pauses leave no target, with the earliest time at which one takes it', async () => {
		limit('a');
		await place();
		pauses.observe({id: 'b', incarnation: 1}, {kind: 'pause', ms: 5000});
		pauses.observe({id: 'c', incarnation: 1}, {kind: 'pause', ms: 3000});
		expect(await place()).to.deep.equal({kind: 'refused', reason: 'rateLimited', retryAfterMs: 1200});
		pauses.observe({id: 'a', incarnation: 1}, {kind: 'pause', ms: 4000});
		expect(await place()).to.deep.equal({kind: 'refused', reason: 'targetsPaused', retryAfterMs: 4500});
	});

	// Load pattern: every target of a service is at its limit.
	it('refuses a call at once when no target may take it, with the time at which one may, spread over as much again', async () => {
		for (const id of ids) {
			limit(id);
		}

		expect(await place()).to.deep.equal({kind: 'refused', reason: 'rateLimited', retryAfterMs: 1200});
		expect(asks).to.deep.equal(ids);
		await place();
		expect(asks, 'a call that can\'t be served asks for nothing').to.deep.equal(ids);
	});
});

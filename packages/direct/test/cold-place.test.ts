import {createColdTargets, type ColdTargets} from '@papayaflow/limit';
import {type TargetRecord} from '@papayaflow/routing';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {
	createColdPlacer, createPlainPlacer, createTargets, type Call, type Place, type PlaceResult, type Placer,
} from '@papayaflow/direct';

const records = ['i-0', 'i-1'].map((id, index): TargetRecord => ({
	id, incarnation: 1, registeredAt: 1, service: 's', host: `10.0.0.${index}`, port: 80, zone: 'z', slots: 8, state: 'serving', warmingMs: 0,
}));
const ejection = {ejectAfterFailures: 3, ejectMs: 1000, maxEjectedRatio: 0.5};
const partOfCall: Partial<Call> = {service: 's'};

describe('a placer with cold targets', () => {
	let nowMs: number;
	let cold: ColdTargets;
	let place: (excluded?: ReadonlySet<string>, avoidsCold?: boolean, isCoordinated?: boolean) => Promise<PlaceResult>;

	beforeEach(() => {
		nowMs = 0;
		cold = createColdTargets({
			service: () => ({startMs: 3000, perSecond: 10}), share: () => ({spacingMs: 400, lapseMs: Number.POSITIVE_INFINITY}),
			monotonicMs: () => nowMs, random: () => 0.5, metrics: createMetrics(), log: createLog({}, 'error'),
		});
		const targets = createTargets({
			connectMs: 100, ejection, nowMs: () => nowMs, isKnownService: () => true, onChange: () => undefined,
		});
		targets.update(records);
		const plain = createPlainPlacer({
			targets, ejection, nowMs: () => nowMs, random: () => 0, zone: 'z',
		});
		// Chooses the first target that is not excluded, as a coordinator may.
		const first: Placer = async ({excluded}) => plain({...request, excluded: new Set([...excluded, ...(excluded.has('i-0') ? [] : ['i-1'])])});
		const request = {
			call: partOfCall as Call, hasBegun: false, tried: new Set<string>(), excluded: new Set<string>(), signal: new AbortController().signal,
		};
		place = async (excluded = new Set(), avoidsCold = true, isCoordinated = false) => createColdPlacer({
			place: first, targets, cold, avoidsCold: () => avoidsCold, isCoordinated: () => isCoordinated, random: () => 0.5,
		})({...request, excluded});
	});

	const idOf = (result: PlaceResult): string => result.kind === 'placed' ? result.place.target.record.id : result.reason;

	const placed = async (...args: Parameters<typeof place>): Promise<Place> => {
		const result = await place(...args);
		expect(result.kind).to.equal('placed');
		return (result as Extract<PlaceResult, {kind: 'placed'}>).place;
	};

	it('uses other targets while they take requests', async () => {
		cold.onStarted([records[0]]);
		expect(idOf(await place())).to.equal('i-1');
		nowMs = 3000;
		expect(idOf(await place())).to.equal('i-0');
	});

	// Guards against requests that wait for a cold rank whose share is used although other ranks are free.
	it('uses another target once the share of the cold one is used, if cold ones are not avoided', async () => {
		cold.onStarted([records[0]]);
		const first = await placed(new Set(), false);
		expect([first.target.record.id, first.mayStart()]).to.deep.equal(['i-0', true]);
		expect(idOf(await place(new Set(), false))).to.equal('i-1');
		nowMs = 400;
		expect(idOf(await place(new Set(), false))).to.equal('i-0');
	});

	// Guards against a group whose cold ranks get almost nothing after a loss of power: the share of each of many entries is far below what the coordinator allows in sum.
	it('applies no share of its own while coordinators place the calls', async () => {
		cold.onStarted(records);
		for (let count = 0; count < 5; count++) {
			expect((await placed(new Set(), false, true)).mayStart()).to.equal(true);
		}
	});

	it('refuses a call for which only cold targets are left that may get none, with the time at which one may', async () => {
		cold.onStarted(records);
		expect((await placed()).mayStart()).to.equal(true);
		nowMs = 100;
		expect((await placed()).mayStart()).to.equal(true);
		const refusal = await place();
		expect(refusal).to.include({kind: 'refused', reason: 'targetsCold'});
		expect(refusal.kind === 'refused' && refusal.retryAfterMs).to.be.within(300, 600);
		expect(idOf(await place(new Set(['i-0'])))).to.equal('targetsCold');
	});

	it('gives a cold target to the next call if the request was not sent', async () => {
		cold.onStarted([records[0]]);
		const others = new Set(['i-1']);
		const unsent = await placed(others);
		expect(idOf(await place(others))).to.equal('targetsCold');
		unsent.ended('neutral');
		expect(idOf(await place(others))).to.equal('i-0');
	});

	// Guards against requests that were placed on a warm target and reach it together after it has started again.
	it('sends no request beyond the share to a target that became cold after it was chosen', async () => {
		const places = [await placed(), await placed()];
		cold.onStarted([records[0]]);
		expect(places.map(({mayStart}) => mayStart())).to.deep.equal([true, false]);
	});
});

import {expect} from 'chai';
import fc from 'fast-check';
import {describe, it} from 'mocha';
import {seededRandom} from '@papayaflow/standins';
import {
	balancingNeed, createGroupAdmission, createResendBudget, maxPlacementWaitMs, skewOfLayers, predictPassMs, spreadExperts,
	type GroupAdmission, type GroupDecision, type GroupModel, type PlacementRequest, type DemandShifts,
} from '@papayaflow/policy';

const model: GroupModel = {
	stepsPerPass: 4, stepMs: 4, sequenceMs: 1, contextMsPerThousand: 0, prefillTokensPerMs: 50, pairsMsPerMillion: 0, chunkTokens: 500, expertShare: 0.8,
	slots: 8, memoryTokens: 20_000, usualAnswerTokens: 100,
};
const idle = {decodingRequests: 0, contextTokens: 0, prefillTokens: 0};

describe('predictPassMs', () => {
	it('returns 0 for a group without work', () => {
		expect(predictPassMs(model, [idle, idle], 2)).to.equal(0);
	});

	it('adds the non-expert work of the slowest rank and the expert work of the most loaded rank', () => {
		// The steps take 16 ms. One rank has 4 decoding requests with 16 ms of token work, of which a fifth is non-expert work of that rank and four fifths are expert work spread over two ranks.
		expect(predictPassMs(model, [{...idle, decodingRequests: 4}, idle], 1)).to.be.closeTo(16 + 3.2 + 6.4, 1e-9);
		expect(predictPassMs(model, [{...idle, decodingRequests: 4}, idle], 2)).to.be.closeTo(16 + 3.2 + 12.8, 1e-9);
	});

	it('counts no more prompt tokens than one pass can prefill', () => {
		const long = predictPassMs(model, [{...idle, prefillTokens: 100_000}], 1);
		expect(long).to.be.closeTo(16 + (2000 / 50), 1e-9);
	});
});

describe('group admission', () => {
	type Clock = {nowMs: number};

	const admissionOf = (clock: Clock, ranks = 2, shifts?: DemandShifts, isStalled = () => false): GroupAdmission => createGroupAdmission({
		model: () => model, openRanks: () => Array.from({length: ranks}, () => true), zones: () => Array.from({length: ranks}, (_, rank) => `zone-${rank}`),
		skew: () => 1, demandShifts: () => shifts, slowdown: () => 1, isStalled,
		nowMs: () => clock.nowMs, random: () => 0.5,
	});

	const makeRequest = (id: string, overrides: Partial<PlacementRequest> = {}): PlacementRequest => ({
		id, promptTokens: 100, answerTokens: 100, waitedMs: 0, objectiveMs: 500, gapMs: 40, deadlineMs: 8000, priority: 1, hasReturned: false, isResumed: false,
		zone: 'zone-0', excluded: new Set(), ...overrides,
	});

	const ask = (admission: GroupAdmission, asked: PlacementRequest): GroupDecision[] => {
		const decisions: GroupDecision[] = [];
		admission.ask(asked, decision => decisions.push(decision));
		return decisions;
	};

	// Load pattern: a group whose ranks lie in several availability zones, with charged traffic between them, is not full.
	it('places a request in the zone of its entry among ranks with equal work, and elsewhere if those have less', () => {
		const admission = admissionOf({nowMs: 0}, 3);
		const placedIn = (id: string, zone: string): number | undefined => {
			const [decision] = ask(admission, makeRequest(id, {zone}));
			return decision?.kind === 'placed' ? decision.rank : undefined;
		};

		expect([placedIn('a', 'zone-2'), placedIn('b', 'zone-1'), placedIn('c', 'zone-1'), placedIn('d', 'zone-1')]).to.deep.equal([2, 1, 0, 1]);
	});

	const fill = (admission: GroupAdmission): number => {
		let placed = 0;
		for (; placed < 100; placed++) {
			const [decision] = ask(admission, makeRequest(`fill-${placed}`));
			if (decision?.kind !== 'placed') {
				admission.ended(`fill-${placed}`);
				return placed;
			}

			admission.began(`fill-${placed}`);
		}

		return placed;
	};

	it('spreads two requests over two idle ranks', () => {
		const admission = admissionOf({nowMs: 0});
		const ranks = ['a', 'b'].map(id => ask(admission, makeRequest(id))[0]);
		expect(new Set(ranks.map(decision => decision.kind === 'placed' && decision.rank))).to.deep.equal(new Set([0, 1]));
	});

	// Guards against an idle group that refuses all requests: what was learned of its passes kept out the work that alone could correct it.
	it('places a request in a group in which nothing runs or waits, whatever was learned of the group', () => {
		fc.assert(fc.property(fc.record({
			ranks: fc.integer({min: 1, max: 64}),
			slowdown: fc.double({min: 0.1, max: 50, noNaN: true}),
			skew: fc.double({min: 1, max: 20, noNaN: true}),
			shifts: fc.option(fc.record({skew: fc.double({min: 1, max: 30, noNaN: true}), intervalMs: fc.double({min: 1, max: 10_000, noNaN: true})}), {nil: undefined}),
			before: fc.array(fc.record({
				afterMs: fc.integer({min: 0, max: 800}), priority: fc.integer({min: 0, max: 3}), promptTokens: fc.integer({min: 1, max: 5000}), hasReturned: fc.boolean(), hasBegun: fc.boolean(),
			}), {maxLength: 80}),
			priority: fc.integer({min: 0, max: 3}), promptTokens: fc.integer({min: 1, max: 5000}), gapMs: fc.integer({min: 20, max: 500}), hasReturned: fc.boolean(),
		}), ({ranks, slowdown, skew, shifts, before, ...last}) => {
			let nowMs = 0;
			const admission = createGroupAdmission({
				model: () => model, openRanks: () => Array.from({length: ranks}, () => true), zones: () => Array.from({length: ranks}, () => 'zone-0'),
				skew: () => skew, demandShifts: () => shifts, slowdown: () => slowdown, isStalled: () => false, nowMs: () => nowMs, random: () => 0.5,
			});
			for (const [index, {afterMs, hasBegun, ...request}] of before.entries()) {
				nowMs += afterMs;
				admission.ask(makeRequest(`before-${index}`, request), () => undefined);
				if (hasBegun) {
					admission.began(`before-${index}`);
				}
			}

			for (const index of before.keys()) {
				admission.ended(`before-${index}`);
			}

			expect(admission.state()).to.include({running: 0, waiting: 0});
			expect(ask(admission, makeRequest('last', last))[0]?.kind).to.equal('placed');
		}), {seed: 58, numRuns: 300});
	});

	it('refuses new requests while the group is stalled, and places resumed streams', () => {
		let isStalled = true;
		const admission = admissionOf({nowMs: 0}, 2, undefined, () => isStalled);
		expect(ask(admission, makeRequest('new'))[0]).to.include({kind: 'refused', reason: 'overloaded'});
		expect(ask(admission, makeRequest('returned', {hasReturned: true}))[0]).to.include({kind: 'refused', reason: 'overloaded'});
		expect(ask(admission, makeRequest('resumed', {isResumed: true}))[0].kind).to.equal('placed');
		isStalled = false;
		expect(ask(admission, makeRequest('later'))[0].kind).to.equal('placed');
	});

	it('places a request only if the next pass stays within the allowed pause', () => {
		const admission = admissionOf({nowMs: 0});
		const placed = fill(admission);
		expect(placed).to.be.within(5, 12);
		expect(admission.state().passMs).to.be.at.most(0.82 * 40);
	});

	// Guards against late streams after a burst: of all requests that a rank would prefill in one pass, only one counted as decoding afterwards.
	it('places no more requests at once than can decode together within the allowed pause', () => {
		const admission = admissionOf({nowMs: 0});
		const placed = Array.from({length: 40}, (_, index) => `burst-${index}`).filter(id => ask(admission, makeRequest(id, {promptTokens: 1}))[0]?.kind === 'placed');
		for (const id of placed) {
			admission.began(id);
		}

		expect(placed.length).to.be.above(4);
		expect(admission.state().passMs).to.be.at.most(0.82 * 40);
	});

	// Load pattern: some ranks of a group that is not full have just started.
	it('prefers ranks that are not cold, and places nothing on one that may get no request now', () => {
		let mayPlace = true;
		const admission = createGroupAdmission({
			model: () => model, openRanks: () => [true, true], zones: () => [], skew: () => 1, demandShifts: () => undefined, slowdown: () => 1, isStalled: () => false,
			isCold: rank => rank === 0, mayPlace: rank => rank !== 0 || mayPlace, nowMs: () => 0, random: () => 0.5,
		});
		const placeOn = (id: string): number | undefined => {
			const [decision] = ask(admission, makeRequest(id, {gapMs: 1000, promptTokens: 1, zone: 'none'}));
			admission.began(id);
			return decision?.kind === 'placed' ? decision.rank : undefined;
		};

		expect(['a', 'b', 'c', 'd', 'e'].map(id => placeOn(id)).filter(rank => rank === 1).length, 'of five requests').to.be.within(3, 4);
		mayPlace = false;
		expect(['f', 'g', 'h'].map(id => placeOn(id))).to.deep.equal([1, 1, 1]);
	});

	// Load pattern: a zone of a group that lies in several is evacuated, and its ranks only take part in the passes.
	it('counts only the ranks that accept requests as capacity, and all of them while none does', () => {
		let open = [true, true, true];
		const admission = createGroupAdmission({
			model: () => model, openRanks: () => open, zones: () => [], skew: () => 1, demandShifts: () => undefined, slowdown: () => 1, isStalled: () => false,
			nowMs: () => 0, random: () => 0.5,
		});
		ask(admission, makeRequest('a', {gapMs: 1000}));
		expect(admission.room()).to.equal(3 * model.slots);
		open = [true, false, true];
		expect(admission.room()).to.equal(2 * model.slots);
		open = [false, false, false];
		expect(admission.room()).to.equal(3 * model.slots);
	});

	it('reserves capacity for shifts of demand only if they are frequent', () => {
		const withoutShifts = fill(admissionOf({nowMs: 0}));
		const rareShifts = fill(admissionOf({nowMs: 0}, 2, {skew: 1.5, intervalMs: 60_000}));
		const frequentShifts = fill(admissionOf({nowMs: 0}, 2, {skew: 1.5, intervalMs: 500}));
		expect(rareShifts).to.equal(withoutShifts);
		expect(frequentShifts).to.be.below(withoutShifts);
	});

	it('refuses a request without capacity after a short wait, with a retry delay short enough to meet the objective', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock);
		fill(admission);
		clock.nowMs = 1000;
		admission.tick();
		const decisions = ask(admission, makeRequest('late'));
		expect(decisions).to.deep.equal([]);
		clock.nowMs += 61;
		admission.tick();
		const [decision] = decisions;
		expect(decision).to.include({kind: 'refused', reason: 'overloaded'});
		expect(decision.kind === 'refused' && decision.retryAfterMs).to.be.within(50, 250);
	});

	it('places a retried request before a first attempt if it can still meet its objective, and lets it wait longer', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock);
		fill(admission);
		const first = ask(admission, makeRequest('first'));
		const returned = ask(admission, makeRequest('returned', {hasReturned: true, waitedMs: 200}));
		admission.ended('fill-0');
		admission.tick();
		expect(returned[0]?.kind).to.equal('placed');
		expect(first).to.deep.equal([]);
		clock.nowMs = 70;
		admission.tick();
		expect(first[0]?.kind).to.equal('refused');
	});

	it('places the request of higher priority first if both can meet their objective', () => {
		const admission = admissionOf({nowMs: 0});
		fill(admission);
		const usual = ask(admission, makeRequest('usual', {hasReturned: true, waitedMs: 100}));
		const urgent = ask(admission, makeRequest('urgent', {priority: 0}));
		admission.ended('fill-0');
		admission.tick();
		expect([usual, urgent.map(({kind}) => kind)]).to.deep.equal([[], ['placed']]);
	});

	it('places a resumed stream at once, without checking the pass time', () => {
		const admission = admissionOf({nowMs: 0});
		fill(admission);
		const waiting = ask(admission, makeRequest('waiting'));
		admission.ended('fill-0');
		ask(admission, makeRequest('fill-0-again'));
		const resumed = ask(admission, makeRequest('resumed', {isResumed: true, waitedMs: 3000}));
		expect(resumed[0]?.kind).to.equal('placed');
		expect(waiting[0]?.kind).to.equal('placed');
	});

	it('places a request that can meet its objective before a late one', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock);
		fill(admission);
		const late = ask(admission, makeRequest('late', {hasReturned: true, waitedMs: 700}));
		const fresh = ask(admission, makeRequest('fresh'));
		admission.ended('fill-0');
		admission.tick();
		expect([fresh[0]?.kind, late.length]).to.deep.equal(['placed', 0]);
		admission.ended('fill-1');
		admission.tick();
		expect(late[0]?.kind).to.equal('placed');
	});

	// Guards against refusing a returned caller for good although capacity becomes free before it abandons the request.
	it('places a late returned request with leftover capacity within 1.5 s, and refuses it after that', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock);
		fill(admission);
		const [first, second] = ['a', 'b'].map(id => ask(admission, makeRequest(id, {hasReturned: true, waitedMs: 700})));
		clock.nowMs = 1400;
		admission.ended('fill-0');
		admission.tick();
		expect([first.map(({kind}) => kind), second]).to.deep.equal([['placed'], []]);
		clock.nowMs = 1500;
		admission.tick();
		expect(second[0]).to.include({kind: 'refused', rule: 'waitEnded'});
	});

	it('lets a returned request wait for less than callers wait for an event, but as long as it can be in time', () => {
		const wait = (objectiveMs: number, deadlineMs = 8000): number => maxPlacementWaitMs({objectiveMs, hasReturned: true, deadlineMs});
		expect([wait(500), wait(1003), wait(500, 900)]).to.deep.equal([1500, 1500, 900]);
		expect(wait(5000)).to.be.closeTo(3500, 1e-9);
	});

	// Load pattern: the callers of all streams of a group return at once and are late, while first attempts need all capacity.
	it('refuses late returned requests at once when more are waiting than can be placed during their wait', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock);
		fill(admission);
		const returned = Array.from({length: 100}, (_, i) => ask(admission, makeRequest(`returned-${i}`, {hasReturned: true, waitedMs: 3000})));
		const waitingCount = returned.filter(decisions => decisions.length === 0).length;
		expect(waitingCount).to.be.within(1, 40);
		expect(returned.at(-1)?.[0]).to.include({kind: 'refused', rule: 'lateQueueFull'});
		expect(ask(admission, makeRequest('in-time', {hasReturned: true, waitedMs: 100})), 'in time').to.deep.equal([]);
	});

	it('places a late returned request although an older one does not fit on any rank', () => {
		const admission = admissionOf({nowMs: 0});
		const large = ask(admission, makeRequest('large', {hasReturned: true, waitedMs: 900, promptTokens: 30_000}));
		const small = ask(admission, makeRequest('small', {hasReturned: true, waitedMs: 700}));
		expect([large, small.map(({kind}) => kind)]).to.deep.equal([[], ['placed']]);
	});

	describe('with several priorities', () => {
		const placedOf = (admission: GroupAdmission, name: string, priority: number, most = 100): number => {
			for (let count = 0; count < most; count++) {
				const id = `${name}-${count}`;
				if (ask(admission, makeRequest(id, {priority, gapMs: 200}))[0]?.kind !== 'placed') {
					admission.withdraw(id);
					return count;
				}

				admission.began(id);
			}

			return most;
		};

		/** Lets 20 urgent requests a second arrive for a second, and end at once. */
		const letUrgentArrive = (admission: GroupAdmission, clock: Clock, priority: number): void => {
			for (let i = 0; i < 20; i++) {
				clock.nowMs += 50;
				ask(admission, makeRequest(`earlier-${i}`, {priority, gapMs: 200}));
				admission.ended(`earlier-${i}`);
			}
		};

		// Load pattern: less urgent requests fill a group whose passes last longer than an urgent request waits, while urgent ones arrive regularly.
		it('keeps room for urgent requests that are expected until streams end', () => {
			const clock = {nowMs: 0};
			const admission = admissionOf(clock);
			letUrgentArrive(admission, clock, 0);
			expect(placedOf(admission, 'patient', 2)).to.be.within(12, 14);
			expect(placedOf(admission, 'urgent', 0)).to.be.within(2, 4);
		});

		it('keeps no room without arrivals of a more urgent priority', () => {
			const clock = {nowMs: 0};
			const admission = admissionOf(clock);
			letUrgentArrive(admission, clock, 2);
			expect(placedOf(admission, 'patient', 2)).to.equal(16);
			expect(placedOf(admissionOf(clock), 'patient', 2), 'new coordinator').to.equal(16);
		});

		// Guards against refusing an urgent request before the end of the pass in which less urgent streams end.
		it('lets an urgent first attempt wait for the end of a pass while less urgent requests arrive', () => {
			const clock = {nowMs: 0};
			const admission = admissionOf(clock);
			placedOf(admission, 'patient', 2);
			const urgent = ask(admission, makeRequest('urgent', {priority: 0, gapMs: 200}));
			const patient = ask(admission, makeRequest('patient', {priority: 2, gapMs: 200}));
			clock.nowMs = 150;
			admission.tick();
			expect([urgent, patient[0]?.kind]).to.deep.equal([[], 'refused']);
			admission.ended('patient-0');
			admission.tick();
			expect(urgent[0]?.kind).to.equal('placed');
		});

		it('keeps no room any more some seconds after the last urgent request', () => {
			const clock = {nowMs: 0};
			const admission = admissionOf(clock);
			letUrgentArrive(admission, clock, 0);
			clock.nowMs += 3000;
			expect(placedOf(admission, 'patient', 2)).to.equal(16);
		});

		// Load pattern: urgent requests alone exceed the capacity for seconds.
		it('places some requests of each priority while the most urgent one takes all capacity', () => {
			const clock = {nowMs: 0};
			const admission = admissionOf(clock);
			const placed = [0, 0];
			const running: Array<{readonly id: string; readonly untilMs: number}> = [];
			for (; clock.nowMs < 10_000; clock.nowMs += 10) {
				// All streams last equally long, so they end in the order in which they were placed.
				while (running.length > 0 && running[0].untilMs <= clock.nowMs) {
					admission.ended(running.shift()!.id);
				}

				admission.tick();
				for (const priority of clock.nowMs % 20 === 0 ? [0, 1] : [0]) {
					const id = `${priority}-${clock.nowMs}`;
					admission.ask(makeRequest(id, {priority, gapMs: 200}), ({kind}) => {
						if (kind === 'placed') {
							placed[priority]++;
							admission.began(id);
							running.push({id, untilMs: clock.nowMs + 400});
						}
					});
				}
			}

			const [urgentRatio, otherRatio] = [placed[0] / 1000, placed[1] / 500];
			expect(otherRatio).to.be.above((urgentRatio + otherRatio) / 2 / 4);
			expect(urgentRatio).to.be.above(otherRatio);
		});
	});

	// Guards against a second overload after an outage: all refused callers returned within 200 ms, and most second refusals are final.
	it('spreads the return of callers refused during an outage over a third of their remaining time', () => {
		const random = seededRandom(3);
		const admission = createGroupAdmission({
			model: () => model, openRanks: () => [false, false], zones: () => [],
			skew: () => 1, demandShifts: () => undefined, slowdown: () => 1, isStalled: () => false, nowMs: () => 0, random,
		});
		const delays = Array.from({length: 300}, (_, i) => ask(admission, makeRequest(`r-${i}`, {deadlineMs: 7500}))[0])
			.map(decision => decision.kind === 'refused' ? decision.retryAfterMs : Number.NaN);
		expect(Math.max(...delays)).to.be.within(2000, 2500);
		for (let fromMs = 0; fromMs < 2500; fromMs += 200) {
			expect(delays.filter(ms => ms >= fromMs && ms < fromMs + 200).length, `returns from ${fromMs} ms on`).to.be.at.most(45);
		}
	});

	it('places most requests in time when they arrive at 1.5 times the rate that the group can serve', () => {
		const clock = {nowMs: 0};
		const admission = admissionOf(clock, 4);
		const serviceMs = 600;
		const counts = {served: 0, inTime: 0};
		const running: Array<{id: string; untilMs: number}> = [];
		const pendingRequests: Array<{id: string; atMs: number; sentAtMs: number; hasReturned: boolean}> = [];
		let next = 0;
		for (; clock.nowMs < 20_000; clock.nowMs += 5) {
			// About 20 requests run at once for 600 ms each, so 33 a second can be served; 50 a second arrive.
			if (clock.nowMs % 20 === 0) {
				pendingRequests.push({
					id: `r-${next++}`, atMs: clock.nowMs, sentAtMs: clock.nowMs, hasReturned: false,
				});
			}

			for (const asked of pendingRequests.splice(0).filter(pending => {
				if (pending.atMs > clock.nowMs) {
					pendingRequests.push(pending);
				}

				return pending.atMs <= clock.nowMs;
			})) {
				admission.ask(makeRequest(asked.id, {hasReturned: asked.hasReturned, waitedMs: clock.nowMs - asked.sentAtMs, deadlineMs: 8000 - (clock.nowMs - asked.sentAtMs)}), decision => {
					if (decision.kind === 'placed') {
						counts.served++;
						counts.inTime += clock.nowMs - asked.sentAtMs <= 350 ? 1 : 0;
						running.push({id: asked.id, untilMs: clock.nowMs + serviceMs});
						admission.began(asked.id);
					} else if (!asked.hasReturned) {
						pendingRequests.push({
							...asked, id: `${asked.id}-again`, atMs: clock.nowMs + decision.retryAfterMs, hasReturned: true,
						});
					}
				});
			}

			for (const {id} of running.filter(({untilMs}) => untilMs <= clock.nowMs)) {
				admission.ended(id);
			}

			running.splice(0, running.length, ...running.filter(({untilMs}) => untilMs > clock.nowMs));
			admission.tick();
		}

		expect(counts.served).to.be.above(400);
		expect(counts.inTime / counts.served).to.be.above(0.85);
	});

	it('removes a request that has ended, also while it waits', () => {
		const admission = admissionOf({nowMs: 0});
		const placed = fill(admission);
		const waiting = ask(admission, makeRequest('gone'));
		admission.ended('gone');
		for (let i = 0; i < placed; i++) {
			admission.ended(`fill-${i}`);
		}

		admission.tick();
		expect(waiting).to.deep.equal([]);
		expect(admission.state().running).to.equal(0);
	});

	it('refuses a request at once if no rank accepts requests', () => {
		const admission = createGroupAdmission({
			model: () => model, openRanks: () => [false, false], zones: () => [],
			skew: () => 1, demandShifts: () => undefined, slowdown: () => 1, isStalled: () => false, nowMs: () => 0, random: () => 0.5,
		});
		expect(ask(admission, makeRequest('a'))[0]).to.include({kind: 'refused', reason: 'noTarget'});
	});

	it('places no request on a rank where it has failed or where it exceeds the memory', () => {
		const admission = admissionOf({nowMs: 0});
		const excluded = ask(admission, makeRequest('a', {excluded: new Set([0])}));
		expect(excluded[0]).to.deep.equal({kind: 'placed', rank: 1});
		const large = ask(admission, makeRequest('b', {promptTokens: 30_000}));
		expect(large).to.deep.equal([]);
	});

	it('counts running requests that another coordinator or the entry has placed', () => {
		const admission = admissionOf({nowMs: 0});
		for (let i = 0; i < 12; i++) {
			admission.recordRunning(`other-${i}`, {
				rank: i % 2, promptTokens: 100, answerTokens: 100, hasBegun: true,
			});
		}

		expect(ask(admission, makeRequest('a'))).to.deep.equal([]);
	});
});

describe('spreadExperts', () => {
	const ranks = 12;
	const experts = 96;
	const placement = Array.from({length: ranks}, (_, rank) => Array.from({length: experts / ranks}, (__, slot) => rank + (slot * ranks)));
	const options = {
		slotsPerRank: 11, maxNewPerLayer: 4, maxNewPerRank: 4, goodSkew: 1.05, leastGain: 0.02,
	};

	/** Returns Zipf-distributed shares, the greatest of which is that of the expert `first`. */
	const zipf = (first: number): number[] => {
		const weights = Array.from({length: experts}, (_, i) => 1 / (((i - first + experts) % experts) + 1));
		const sum = weights.reduce((a, b) => a + b, 0);
		return weights.map(weight => weight / sum);
	};

	it('needs few copies to balance a layer whose hottest expert has a fifth of the load', () => {
		const layers = [{placement, shares: zipf(18)}];
		expect(skewOfLayers(layers)).to.be.above(2.4);
		const spread = spreadExperts(layers, options);
		expect(spread.skewAfter).to.be.at.most(1.2);
		expect(spread.copies).to.be.at.most(24);
	});

	it('keeps every expert on some rank, none twice on a rank, and every rank within its slots', () => {
		let layers = [{placement, shares: zipf(18)}, {placement, shares: zipf(70)}];
		for (let first = 0; first < experts; first += 13) {
			const spread = spreadExperts(layers, options);
			for (const held of spread.placements) {
				expect(new Set(held.flat()).size).to.equal(experts);
				expect(held.every(list => list.length <= 11 && new Set(list).size === list.length)).to.equal(true);
			}

			layers = spread.placements.map((next, layer) => ({placement: next as number[][], shares: zipf(first + (layer * 40))}));
		}
	});

	it('adds no more new experts to a rank than allowed', () => {
		for (const maxNewPerRank of [1, 2]) {
			const spread = spreadExperts([{placement, shares: zipf(5)}, {placement, shares: zipf(50)}], {...options, maxNewPerRank});
			expect(spread.mostPerRank).to.be.at.most(maxNewPerRank);
			for (const [layer, held] of spread.placements.entries()) {
				const fresh = held.map((list, rank) => list.filter(expert => !placement[rank].includes(expert)).length);
				expect(Math.max(...fresh), `layer ${layer}`).to.be.at.most(maxNewPerRank);
			}
		}
	});

	it('moves nothing in a balanced layer', () => {
		expect(spreadExperts([{placement, shares: Array.from({length: experts}, () => 1 / experts)}], options).copies).to.equal(0);
	});
});

describe('balancingNeed', () => {
	// Load pattern: demand shifts every few seconds while a group is lightly loaded.
	it('is 0 for passes far below the allowed time, 1 near it, and grows in between', () => {
		expect([0, 0.4, 0.5, 0.8, 1.5].map(ratio => balancingNeed(ratio))).to.deep.equal([0, 0, 0, 1, 1]);
		expect(balancingNeed(0.65)).to.be.closeTo(0.5, 1e-9);
		expect(balancingNeed(undefined), 'not known').to.equal(1);
	});
});

describe('the resend budget', () => {
	it('limits the resends of all entries together over any window', () => {
		let now = 0;
		const entries = Array.from({length: 4}, () => createResendBudget({
			ratio: 0.2, slack: 90, entries: () => 4, windowMs: 10_000, nowMs: () => now,
		}));
		const resendTimes: number[] = [];
		const requestTimes: number[] = [];
		for (; now < 40_000; now += 20) {
			const entry = entries[(now / 20) % 4];
			entry.onRequest('s');
			requestTimes.push(now);
			if (entry.tryTake('s')) {
				resendTimes.push(now);
			}
		}

		for (let from = 0; from < 30_000; from += 500) {
			const inWindow = (times: number[]): number => times.filter(time => time >= from && time < from + 10_000).length;
			expect(inWindow(resendTimes)).to.be.at.most((0.2 * inWindow(requestTimes)) + 90);
		}

		expect(resendTimes.length).to.be.above(100);
	});

	it('counts each service separately', () => {
		const budget = createResendBudget({
			ratio: 0, slack: 2, entries: () => 1, windowMs: 1000, nowMs: () => 0,
		});
		expect([budget.tryTake('a'), budget.tryTake('a'), budget.tryTake('b')]).to.deep.equal([true, false, true]);
	});
});

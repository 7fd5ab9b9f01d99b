import {expect} from 'chai';
import {
	beforeEach, describe, it,
} from 'mocha';
import {createSuspicionRelay, requestSubject, type Quarantine} from '../src/index.js';
import {createInstances, type Instances} from './helper.js';

const minuteMs = 60_000;

describe('a quarantine', () => {
	let clock: {nowMs: number};
	let instances: Instances;
	let first: Quarantine;
	let second: Quarantine;

	beforeEach(() => {
		clock = {nowMs: 1000};
		instances = createInstances(2, {clock});
		[first, second] = instances.quarantines;
	});

	const crash = (quarantine: Quarantine, target: string, ...requests: ReadonlyArray<readonly string[]>): void => {
		quarantine.onCrash(target, requests.map(parts => ({parts})));
		instances.deliver();
	};

	const kinds = (parts: readonly string[]): readonly string[] => instances.quarantines.map(quarantine => quarantine.check(parts).kind);

	it('keeps the part that crashed a target from all instances, and no other part', () => {
		first.onBegun(['popular']);
		crash(first, 'i-1', ['popular', 'bad']);
		expect(kinds(['popular', 'bad'])).to.deep.equal(['refused', 'refused']);
		expect(kinds(['popular', 'other'])).to.deep.equal(['admitted', 'admitted']);
		expect(kinds([])).to.deep.equal(['admitted', 'admitted']);
	});

	it('suspects a part in the first place too', () => {
		crash(first, 'i-1', ['bad']);
		expect(kinds(['bad', 'other'])).to.deep.equal(['refused', 'refused']);
	});

	it('suspects no part with which an answer was begun in the last minute', () => {
		first.onBegun(['a', 'b']);
		clock.nowMs += minuteMs - 1;
		crash(first, 'i-1', ['a', 'b']);
		expect(kinds(['a', 'b'])).to.deep.equal(['admitted', 'admitted']);
		clock.nowMs += 2;
		crash(first, 'i-2', ['a', 'b']);
		expect(kinds(['a', 'b'])).to.deep.equal(['refused', 'refused']);
	});

	it('clears a part that another instance suspects if an answer was begun with it here', () => {
		second.onBegun(['a']);
		clock.nowMs += 1000;
		crash(first, 'i-1', ['a']);
		expect(kinds(['a'])).to.deep.equal(['admitted', 'admitted']);
	});

	it('tries the part that alone explains a crash after half a minute, one request at a time over all instances', () => {
		crash(first, 'i-1', ['bad']);
		clock.nowMs += 29_000;
		expect(kinds(['bad'])).to.deep.equal(['refused', 'refused']);
		clock.nowMs += 1000;
		expect(second.admit(['bad'], 'i-2').kind).to.equal('trial');
		instances.deliver();
		expect(kinds(['bad'])).to.deep.equal(['refused', 'refused']);
	});

	it('tries parts that may all have caused a crash after a second, one after the other', () => {
		crash(first, 'i-1', ['a', 'b'], ['c']);
		clock.nowMs += 1000;
		expect(first.admit(['a'], 'i-2').kind).to.equal('trial');
		instances.deliver();
		expect(kinds(['c'])).to.deep.equal(['refused', 'refused']);
		first.onBegun(['a']);
		instances.deliver();
		expect(kinds(['a'])).to.deep.equal(['admitted', 'admitted']);
		expect(second.admit(['c'], 'i-2').kind).to.equal('trial');
	});

	it('suspects no other part of a crash once a trial has shown which one causes crashes', () => {
		crash(first, 'i-1', ['a', 'bad']);
		clock.nowMs += 1000;
		first.admit(['bad'], 'i-2');
		instances.deliver();
		clock.nowMs += 300;
		crash(second, 'i-2', ['d']);
		expect(kinds(['bad'])).to.deep.equal(['refused', 'refused']);
		expect(kinds(['a'])).to.deep.equal(['admitted', 'admitted']);
		expect(kinds(['d']), 'fell with the trial').to.deep.equal(['admitted', 'admitted']);
	});

	it('blocks a part for five minutes after a crash in its trial, and five times as long after the next', () => {
		crash(first, 'i-1', ['bad']);
		for (const [pauseMs, target] of [[30_000, 'i-2'], [5 * minuteMs, 'i-3'], [25 * minuteMs, 'i-4']] as const) {
			clock.nowMs += pauseMs - 1;
			expect(kinds(['bad']), `before ${target}`).to.deep.equal(['refused', 'refused']);
			clock.nowMs += 1;
			expect(first.admit(['bad'], target).kind).to.equal('trial');
			instances.deliver();
			crash(first, target, ['bad']);
		}
	});

	it('clears a blocked part when an answer is begun with it', () => {
		crash(first, 'i-1', ['bad']);
		clock.nowMs += 30_000;
		first.admit(['bad'], 'i-2');
		crash(first, 'i-2', ['bad']);
		clock.nowMs += 5 * minuteMs;
		first.admit(['bad'], 'i-3');
		instances.deliver();
		first.onBegun(['bad']);
		instances.deliver();
		expect(kinds(['bad'])).to.deep.equal(['admitted', 'admitted']);
	});

	it('lets another request be the trial when one was not run, or has had no effect for three seconds', () => {
		crash(first, 'i-1', ['bad']);
		clock.nowMs += 30_000;
		first.admit(['bad'], 'i-2');
		instances.deliver();
		first.endTrial('bad');
		instances.deliver();
		expect(second.admit(['bad'], 'i-3').kind).to.equal('trial');
		instances.deliver();
		expect(kinds(['bad'])).to.deep.equal(['refused', 'refused']);
		clock.nowMs += 3000;
		expect(kinds(['bad'])).to.deep.equal(['trial', 'trial']);
	});

	it('counts a crash that two instances report as one', () => {
		crash(first, 'i-1', ['bad']);
		clock.nowMs += 500;
		crash(second, 'i-1', ['bad']);
		expect(first.status()).to.have.nested.property('[0].crashes.length', 1);
	});

	it('gives an instance that joins, or was cut off or frozen, what the others know', () => {
		const cutOff = new Set([1]);
		instances = createInstances(2, {clock, cutOff});
		[first, second] = instances.quarantines;
		crash(first, 'i-1', ['bad']);
		expect(kinds(['bad'])).to.deep.equal(['refused', 'admitted']);
		const relay = createSuspicionRelay(() => clock.nowMs);
		relay.onReceived(first.all());
		clock.nowMs += 5000;
		second.onReceived('relay', relay.all());
		const joined = instances.add();
		joined.onReceived('relay', relay.all());
		expect(kinds(['bad'])).to.deep.equal(['refused', 'refused', 'refused']);
		clock.nowMs += 25_000;
		expect(kinds(['bad']), 'the age of the crash is known').to.deep.equal(['trial', 'trial', 'trial']);
	});

	it('lets a clearing win over crashes that an instance without it still reports', () => {
		const stale = first;
		crash(stale, 'i-1', ['a']);
		const staleReport = stale.all();
		second.onBegun(['a']);
		instances.deliver();
		second.onReceived('instance-0', staleReport);
		expect(kinds(['a'])).to.deep.equal(['admitted', 'admitted']);
	});

	it('passes on what is news only, however many instances send it', () => {
		const relay = createSuspicionRelay(() => clock.nowMs);
		crash(first, 'i-1', ['bad']);
		expect(relay.onReceived(first.all())).to.have.length(1);
		clock.nowMs += 3;
		expect(relay.onReceived(second.all())).to.have.length(0);
	});

	it('clears one part or all of them for an operator, at all instances', () => {
		crash(first, 'i-1', ['a', 'b']);
		expect(second.clear('a')).to.equal(1);
		instances.deliver();
		expect([...kinds(['a']), ...kinds(['b'])]).to.deep.equal(['admitted', 'admitted', 'refused', 'refused']);
		expect(second.clear()).to.equal(1);
		instances.deliver();
		expect(kinds(['b'])).to.deep.equal(['admitted', 'admitted']);
	});

	it('keeps 256 parts at most, the latest ones', () => {
		for (let i = 0; i < 300; i++) {
			clock.nowMs += 10;
			crash(first, `i-${i}`, [`part-${i}`]);
		}

		expect(first.all()).to.have.length(256);
		expect([first.check(['part-0']).kind, first.check(['part-299']).kind]).to.deep.equal(['admitted', 'refused']);
	});

	describe('of requests that come again', () => {
		const idOf = (text: string): string => requestSubject({
			method: 'POST', path: '/pay', organisation: 'acme', body: new TextEncoder().encode(text),
		});
		const bad = idOf('bad');
		const sound = idOf('sound');

		// Guards against a request without shared parts that crashes target after target.
		it('keeps back a request that was at two targets when they crashed, at all instances', () => {
			crash(first, 'i-1', [bad]);
			expect(kinds([bad]), 'after one crash').to.deep.equal(['admitted', 'admitted']);
			clock.nowMs += 100;
			crash(second, 'i-2', [bad], [sound]);
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			expect(kinds([sound])).to.deep.equal(['admitted', 'admitted']);
		});

		it('lets all sound requests that fell with a target go on at once', () => {
			const fallen = Array.from({length: 8}, (_, i) => [idOf(`sound ${i}`)]);
			crash(first, 'i-1', [bad], ...fallen);
			for (const subjects of fallen) {
				expect(kinds(subjects)).to.deep.equal(['admitted', 'admitted']);
				second.onBegun(subjects);
			}

			instances.deliver();
			crash(first, 'i-2', [bad], fallen[0]);
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			expect(kinds(fallen[0]), 'it was answered between the two crashes').to.deep.equal(['admitted', 'admitted']);
		});

		it('tries a request that alone can explain its crashes after half a minute, and blocks it for five after another crash', () => {
			crash(first, 'i-1', [bad]);
			clock.nowMs += 3000;
			crash(first, 'i-2', [bad]);
			clock.nowMs += 29_999;
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			clock.nowMs += 1;
			expect(second.admit([bad], 'i-3').kind).to.equal('trial');
			instances.deliver();
			crash(second, 'i-3', [bad], [sound]);
			expect(kinds([sound]), 'fell with the trial').to.deep.equal(['admitted', 'admitted']);
			clock.nowMs += (5 * minuteMs) - 1;
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			clock.nowMs += 1;
			expect(kinds([bad])).to.deep.equal(['trial', 'trial']);
		});

		it('tries two requests that had the same crashes after a second, one after the other', () => {
			crash(first, 'i-1', [bad], [sound]);
			clock.nowMs += 3000;
			crash(first, 'i-2', [bad], [sound]);
			expect(kinds([sound])).to.deep.equal(['refused', 'refused']);
			clock.nowMs += 1000;
			expect(first.admit([sound], 'i-3').kind).to.equal('trial');
			instances.deliver();
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			first.onBegun([sound]);
			instances.deliver();
			expect(kinds([sound])).to.deep.equal(['admitted', 'admitted']);
		});

		// Guards against a second outage of all targets of a group, which costs far more than the one request that waits.
		it('keeps back a request after one crash if it alone can explain why a group stands still', () => {
			first.onCrash('i-1', [{parts: [bad]}], {stopsGroup: true});
			instances.deliver();
			expect(kinds([bad])).to.deep.equal(['refused', 'refused']);
			expect(kinds([sound])).to.deep.equal(['admitted', 'admitted']);
			second.onCrash('i-1', [{parts: [sound]}], {stopsGroup: true});
			instances.deliver();
			expect(kinds([bad]), 'another request fell with it').to.deep.equal(['admitted', 'admitted']);
			expect(kinds([sound])).to.deep.equal(['admitted', 'admitted']);
		});

		it('clears the parts of such a request, with which others are sound', () => {
			crash(first, 'i-1', ['rare', bad]);
			expect(kinds(['rare', sound])).to.deep.equal(['refused', 'refused']);
			clock.nowMs += 30_000;
			expect(kinds(['rare', bad]), 'a trial with it could not tell which of them it was').to.deep.equal(['refused', 'refused']);
			expect(first.admit(['rare', sound], 'i-2').kind).to.equal('trial');
			instances.deliver();
			first.onBegun(['rare', sound]);
			instances.deliver();
			expect(kinds(['rare', bad])).to.deep.equal(['admitted', 'admitted']);
			crash(second, 'i-3', ['rare', bad]);
			expect(kinds(['rare', bad])).to.deep.equal(['refused', 'refused']);
			expect(kinds(['rare', sound])).to.deep.equal(['admitted', 'admitted']);
		});

		// Guards against a digest of each body for hours after a crash.
		it('matters only while a request is suspected that was not cleared', () => {
			expect(instances.quarantines.map(quarantine => quarantine.knowsRequests())).to.deep.equal([false, false]);
			crash(first, 'i-1', [sound]);
			expect(instances.quarantines.map(quarantine => quarantine.knowsRequests())).to.deep.equal([true, true]);
			second.onBegun([sound]);
			instances.deliver();
			expect(instances.quarantines.map(quarantine => quarantine.knowsRequests())).to.deep.equal([false, false]);
			crash(first, 'i-2', [sound]);
			clock.nowMs += 121 * minuteMs;
			expect(first.knowsRequests(), 'after two hours').to.equal(false);
		});

		it('is cleared by an operator', () => {
			crash(first, 'i-1', [bad]);
			crash(first, 'i-2', [bad]);
			expect(first.clear(bad)).to.equal(1);
			instances.deliver();
			expect(kinds([bad])).to.deep.equal(['admitted', 'admitted']);
		});

		it('knows a request by its method, path, organisation and body', () => {
			const content = {
				method: 'POST', path: '/pay?a=1', organisation: 'acme', body: new Uint8Array([1, 2]),
			};
			expect(requestSubject({...content})).to.equal(requestSubject(content));
			const others = [{method: 'PUT'}, {path: '/pay?a=2'}, {organisation: undefined}, {body: new Uint8Array([1])}, {path: '/pay?a=1a', organisation: 'cme'}];
			expect(new Set(others.map(other => requestSubject({...content, ...other}))).add(requestSubject(content)).size).to.equal(others.length + 1);
		});
	});
});

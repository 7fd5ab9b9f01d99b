import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	createAdmission, type Admission, type Admitted, type Arrival,
} from '@papayaflow/sidecar';

const never = new AbortController().signal;

function admissionOf(concurrency: number, queueLimit: number): {admission: Admission; clock: {nowMs: number}} {
	const clock = {nowMs: 0};
	return {clock, admission: createAdmission({concurrency: () => concurrency, queueLimit: () => queueLimit, monotonicMs: () => clock.nowMs})};
}

function arrival(organisation: string, deadlineMs = 60_000, more: Partial<Arrival> = {}): Arrival {
	return {
		organisation, weight: 1, priority: 5, cost: 10, deadlineMs, signal: never, ...more,
	};
}

function release(admitted: Admitted): void {
	if (admitted.kind === 'admitted') {
		admitted.release(true);
	}
}

describe('admission', () => {
	it('lets as many run as there are places, and the next when one ends', async () => {
		const {admission} = admissionOf(1, 10);
		const first = await admission.admit(arrival('a'));
		const second = admission.admit(arrival('a'));
		expect(admission.state()).to.include({running: 1, queued: 1, outstandingTokens: 20});
		release(first);
		expect((await second).kind).to.equal('admitted');
	});

	it('refuses what is over the queue, of the organisation that floods', async () => {
		const {admission} = admissionOf(1, 3);
		await admission.admit(arrival('flood'));
		const flood = Array.from({length: 3}, async () => admission.admit(arrival('flood')));
		const small = admission.admit(arrival('small'));
		expect(await flood[2]).to.include({kind: 'refused', reason: 'queueFull'});
		expect(await Promise.race([small, Promise.resolve('waits')])).to.equal('waits');
	});

	it('refuses at once what can not make its deadline', async () => {
		const {admission, clock} = admissionOf(1, 10);
		const first = await admission.admit(arrival('a'));
		clock.nowMs = 100;
		release(first);
		const refused = await admission.admit(arrival('a', 150));
		expect(refused).to.include({kind: 'refused', reason: 'deadlineTooShort'});
	});

	it('refuses what waits as soon as it can no longer make its deadline', async () => {
		const {admission, clock} = admissionOf(1, 10);
		release(await admission.admit(arrival('a')));
		await admission.admit(arrival('a'));
		const waiting = admission.admit(arrival('a', 100));
		clock.nowMs = 200;
		expect(await waiting).to.include({kind: 'refused', reason: 'deadlineTooShort'});
	});

	it('forgets what waits when its caller goes away', async () => {
		const {admission} = admissionOf(1, 10);
		await admission.admit(arrival('a'));
		const controller = new AbortController();
		const waiting = admission.admit(arrival('a', 60_000, {signal: controller.signal}));
		controller.abort();
		expect(await waiting).to.include({kind: 'refused', reason: 'withdrawn'});
		expect(admission.state().queued).to.equal(0);
	});

	it('refuses all that waits and comes once the target leaves', async () => {
		const {admission} = admissionOf(1, 10);
		await admission.admit(arrival('a'));
		const waiting = admission.admit(arrival('a'));
		admission.close();
		expect(await waiting).to.include({reason: 'targetLeaving'});
		expect(await admission.admit(arrival('a'))).to.include({reason: 'targetLeaving'});
	});
});

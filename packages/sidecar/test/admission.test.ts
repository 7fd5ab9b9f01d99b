import {expect} from 'chai';
import {describe, it} from 'mocha';
import {
	createAdmission, type Admission, type AdmissionResult, type AdmissionRequest,
} from '@papayaflow/sidecar';

const neverAborted = new AbortController().signal;

function createTestAdmission(concurrency: number, queueLimit: number): {admission: Admission; clock: {nowMs: number}} {
	const clock = {nowMs: 0};
	return {clock, admission: createAdmission({concurrency: () => concurrency, queueLimit: () => queueLimit, monotonicMs: () => clock.nowMs})};
}

function arrival(organisation: string, deadlineMs = 60_000, more: Partial<AdmissionRequest> = {}): AdmissionRequest {
	return {
		organisation, weight: 1, priority: 5, cost: 10, deadlineMs, signal: neverAborted, ...more,
	};
}

function release(admitted: AdmissionResult): void {
	if (admitted.kind === 'admitted') {
		admitted.release(true);
	}
}

describe('createAdmission', () => {
	it('admits requests up to the concurrency limit, and the next one when a request ends', async () => {
		const {admission} = createTestAdmission(1, 10);
		const first = await admission.admit(arrival('a'));
		const second = admission.admit(arrival('a'));
		expect(admission.state()).to.include({running: 1, queued: 1, outstandingTokens: 20});
		release(first);
		expect((await second).kind).to.equal('admitted');
	});

	it('refuses a request of the organisation with the most queued work when the queue is full', async () => {
		const {admission} = createTestAdmission(1, 3);
		await admission.admit(arrival('flood'));
		const flood = Array.from({length: 3}, async () => admission.admit(arrival('flood')));
		const small = admission.admit(arrival('small'));
		expect(await flood[2]).to.include({kind: 'refused', reason: 'queueFull'});
		expect(await Promise.race([small, Promise.resolve('waits')])).to.equal('waits');
	});

	it('refuses at once a request that can\'t meet its deadline', async () => {
		const {admission, clock} = createTestAdmission(1, 10);
		const first = await admission.admit(arrival('a'));
		clock.nowMs = 100;
		release(first);
		const refused = await admission.admit(arrival('a', 150));
		expect(refused).to.include({kind: 'refused', reason: 'deadlineTooShort'});
	});

	it('refuses a queued request as soon as it can no longer meet its deadline', async () => {
		const {admission, clock} = createTestAdmission(1, 10);
		release(await admission.admit(arrival('a')));
		await admission.admit(arrival('a'));
		const waiting = admission.admit(arrival('a', 100));
		clock.nowMs = 200;
		expect(await waiting).to.include({kind: 'refused', reason: 'deadlineTooShort'});
	});

	it('removes a queued request when its caller disconnects', async () => {
		const {admission} = createTestAdmission(1, 10);
		await admission.admit(arrival('a'));
		const controller = new AbortController();
		const waiting = admission.admit(arrival('a', 60_000, {signal: controller.signal}));
		controller.abort();
		expect(await waiting).to.include({kind: 'refused', reason: 'withdrawn'});
		expect(admission.state().queued).to.equal(0);
	});

	it('refuses queued and new requests once the target is leaving', async () => {
		const {admission} = createTestAdmission(1, 10);
		await admission.admit(arrival('a'));
		const waiting = admission.admit(arrival('a'));
		admission.close();
		expect(await waiting).to.include({reason: 'targetLeaving'});
		expect(await admission.admit(arrival('a'))).to.include({reason: 'targetLeaving'});
	});
});

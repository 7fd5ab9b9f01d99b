import {expect} from 'chai';
import {beforeEach, describe, it} from 'mocha';
import {createRankNotices, type Peer} from '@papayaflow/peer';
import {createLog, createMetrics} from '@papayaflow/telemetry';
import {createGroupAvailability, type GroupAvailability} from '@papayaflow/direct';

const peers = [0, 1, 2].map(rank => ({host: `10.0.0.${rank}`, hello: {instance: `side-${rank}`}}) as unknown as Peer);

describe('the availability of a group', () => {
	let nowMs = 0;
	let notices = createRankNotices();
	let availability: GroupAvailability;

	beforeEach(() => {
		nowMs = 0;
		notices = createRankNotices();
		availability = createGroupAvailability({
			notices, monotonicMs: () => nowMs, metrics: createMetrics(), log: createLog({}, 'error'),
		});
	});

	const notify = (rank: number, formation: number, isOpen: boolean): void => {
		notices.set(peers[rank], {
			group: 'g', formation, rank, size: 3, isOpen, target: `10.0.0.${rank}:80`, isCoordinator: false, term: 0,
		});
		availability.update('g');
	};

	// Guards against requests to a group that stands still, because most of its sidecars have not read the state of their ranks again yet.
	it('is closed as soon as one sidecar says so, whatever the others said before', () => {
		notify(0, 1, true);
		notify(1, 1, true);
		expect(availability.isClosed('g')).to.equal(false);
		notify(1, 1, false);
		expect(availability.isClosed('g')).to.equal(true);
		notify(2, 1, true);
		expect(availability.isClosed('g')).to.equal(true);
	});

	it('is open when one sidecar reports a higher formation that is open, while others still report the closed one', () => {
		notify(0, 1, false);
		notify(1, 1, false);
		notify(2, 2, true);
		expect(availability.isClosed('g')).to.equal(false);
		expect(availability.hasJustFormed('g')).to.equal(true);
		nowMs += 2000;
		expect(availability.isSettled()).to.equal(true);
	});

	it('is not known to be closed once no sidecar of the group is connected', () => {
		notify(0, 1, false);
		notices.remove(peers[0], 'closed');
		availability.update('g');
		expect(availability.isClosed('g')).to.equal(false);
		expect(availability.isSettled()).to.equal(true);
	});

	it('is expected again after the time that a group takes to form, and after the mean of earlier outages once some are known', () => {
		notify(0, 1, false);
		expect(availability.remainingMs(['g'], 600)).to.equal(600);
		nowMs = 500;
		expect(availability.remainingMs(['g'], 600)).to.equal(200);
		nowMs = 2000;
		expect(availability.remainingMs(['g'], 600)).to.equal(1000);
		notify(0, 2, true);
		nowMs = 10_000;
		notify(0, 2, false);
		expect(availability.remainingMs(['g'], 600)).to.equal(2000);
	});

	it('ends a wait when the group opens, when the time is over and when the caller leaves', async () => {
		notify(0, 1, false);
		const signal = new AbortController();
		const ended: string[] = [];
		const waits = [
			(async () => {
				await availability.until(() => !availability.isClosed('g'), 5000, new AbortController().signal);
				ended.push('open');
			})(),
			(async () => {
				await availability.until(() => false, 5000, signal.signal);
				ended.push('left');
			})(),
			(async () => {
				await availability.until(() => false, 1, new AbortController().signal);
				ended.push('over');
			})(),
		];
		await waits[2];
		signal.abort();
		await waits[1];
		notify(0, 2, true);
		await Promise.all(waits);
		expect(ended).to.deep.equal(['over', 'left', 'open']);
	});

	it('holds back requests for a moment after a rank has refused one', () => {
		availability.onRefusal('s');
		expect(availability.holdMs('s')).to.equal(250);
		expect(availability.holdMs('other')).to.equal(0);
		nowMs = 250;
		expect(availability.holdMs('s')).to.equal(0);
	});
});

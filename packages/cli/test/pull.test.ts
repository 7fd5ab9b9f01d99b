import {setTimeout as sleep} from 'node:timers/promises';
import {type Peer} from '@papayaflow/peer';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createPuller, type Puller} from '../src/pull.js';

type TestPeer = {readonly peer: Peer; readonly pulls: number[]};

function createPeer(instance: string, role: 'entry' | 'sidecar' = 'entry', zone = 'z'): TestPeer {
	const pulls: number[] = [];
	return {
		pulls,
		peer: {
			hello: {
				kind: 'hello', version: 1, role, instance, incarnation: 'x', zone, sentMs: 0,
			},
			host: '', close: () => undefined,
			send(frame) {
				if (frame.kind === 'pull') {
					pulls.push(frame.after);
				}
			},
		},
	};
}

function createTestPuller(instance: string, {revision = (): number => 0, isStoreAvailable = (): boolean => false} = {}): Puller {
	return createPuller({
		instance, zone: 'z', revision, isStoreAvailable, monotonicMs: () => performance.now(), onPull: () => undefined,
	});
}

const pullCount = (peers: readonly TestPeer[]): number => peers.reduce((sum, {pulls}) => sum + pulls.length, 0);

describe('a puller', () => {
	// Load pattern: every sidecar of a large fleet copies a change, over charged links between zones.
	it('pulls from an entry of its own zone if one announces the change, and from another zone otherwise', () => {
		const peers = [createPeer('edge-0', 'entry', 'y'), createPeer('edge-1', 'entry', 'x'), createPeer('edge-2', 'entry', 'z'), createPeer('side-9', 'sidecar', 'z')];
		for (const [announcing, expected] of [[peers, 2], [peers.slice(0, 1), 0]] as const) {
			const puller = createTestPuller('side-1', {revision: () => 1});
			for (const {peer} of announcing) {
				puller.onKnown(peer, 1);
			}

			for (const {peer} of announcing) {
				puller.onKnown(peer, 2);
			}

			expect(peers.findIndex(({pulls}) => pulls.splice(0).length > 0)).to.equal(expected);
			puller.stop();
		}
	});

	// Guards against the copies of one change filling the link of the entry that announces it first.
	it('spreads the copies of one change over the entries, one for each sidecar', async () => {
		const entryCount = 14;
		const sidecarCount = 72;
		const pullsByEntry = Array.from({length: entryCount}, () => 0);
		for (let i = 0; i < sidecarCount; i++) {
			let revision = 5;
			const entries = Array.from({length: entryCount}, (_, index) => createPeer(`edge-${index}`));
			const puller = createTestPuller(`side-${i}`, {revision: () => revision});
			for (const {peer} of entries) {
				puller.onKnown(peer, 5);
			}

			for (const {peer} of entries) {
				puller.onKnown(peer, 6);
			}

			expect(pullCount(entries), 'copies for one sidecar').to.equal(1);
			const source = entries.findIndex(({pulls}) => pulls.length > 0);
			pullsByEntry[source]++;
			revision = 6;
			puller.onCopy(entries[source].peer);
			puller.stop();
		}

		expect(Math.max(...pullsByEntry), String(pullsByEntry)).to.be.at.most(3 * sidecarCount / entryCount);
	});

	it('waits for the preferred peer, and pulls from another one if that does not announce the change', async () => {
		const peers = ['edge-1', 'edge-2', 'edge-3'].map(instance => createPeer(instance));
		const puller = createTestPuller('side-1', {revision: () => 5});
		for (const {peer} of peers) {
			puller.onKnown(peer, 5);
		}

		for (const {peer} of peers) {
			puller.onKnown(peer, 6);
		}

		const preferred = peers.find(({pulls}) => pulls.length > 0)!;
		puller.stop();

		const others = peers.filter(peer => peer !== preferred);
		const second = createTestPuller('side-1', {revision: () => 5});
		for (const {peer} of peers) {
			second.onKnown(peer, 5);
		}

		second.onKnown(others[0].peer, 6);
		await sleep(100);
		expect(pullCount(others), 'before the wait ends').to.equal(0);
		await sleep(1000);
		expect(pullCount(others), 'after the wait').to.equal(1);
		second.stop();
	});

	it('asks another peer when the one it asked disconnects or does not answer', async () => {
		const peers = ['edge-1', 'edge-2', 'edge-3'].map(instance => createPeer(instance));
		const puller = createTestPuller('side-1');
		for (const {peer} of peers) {
			puller.onKnown(peer, 6);
		}

		expect(pullCount(peers)).to.equal(1);
		puller.onDown(peers.find(({pulls}) => pulls.length > 0)!.peer);
		expect(pullCount(peers), 'after the disconnection').to.equal(2);
		await sleep(1700);
		expect(peers.map(({pulls}) => pulls.length), 'after the time limit').to.deep.equal([1, 1, 1]);
		puller.stop();
	});

	it('asks again after every peer has sent a copy in vain', async () => {
		const entry = createPeer('edge-1');
		const puller = createTestPuller('side-1');
		puller.onKnown(entry.peer, 6);
		puller.onCopy(entry.peer);
		expect(entry.pulls, 'at once').to.have.length(1);
		await sleep(1200);
		expect(entry.pulls, 'after a pause').to.have.length(2);
		puller.stop();
	});

	it('pulls what the store does not deliver to a process that it serves otherwise', async () => {
		const entry = createPeer('side-1', 'sidecar');
		const puller = createTestPuller('edge-1', {isStoreAvailable: () => true});
		puller.onKnown(entry.peer, 6);
		await sleep(500);
		expect(entry.pulls).to.deep.equal([]);
		await sleep(1000);
		expect(entry.pulls).to.deep.equal([0]);
		puller.stop();
	});
});

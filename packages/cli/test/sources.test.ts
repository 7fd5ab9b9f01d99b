import {type Peer} from '@papayaflow/peer';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createSources, type Sources} from '../src/sources.js';

const maxSilenceMs = 2500;

const peerOf = (instance: string, zone = 'a', role: 'entry' | 'sidecar' = 'entry'): Peer => ({
	hello: {
		kind: 'hello', version: 1, role, instance, incarnation: 'x', zone, sentMs: 0,
	},
	host: '', close: () => undefined, send: () => undefined,
});

function createTestSources(options: {readonly instance?: string; readonly count?: () => number; readonly clock?: {nowMs: number}} = {}): Sources {
	const {instance = 'side-1', count = () => 3, clock = {nowMs: 0}} = options;
	return createSources({
		instance, zone: 'a', count, maxSilenceMs, monotonicMs: () => clock.nowMs, onChange: () => undefined,
	});
}

const followedOf = (sources: Sources, peers: readonly Peer[]): string[] => peers.filter(peer => sources.isFollowed(peer)).map(({hello}) => hello.instance);

describe('the choice of the peers that a process follows', () => {
	// Guards against work that grows with the number of peers.
	it('has a fixed number of peers, entries before sidecars, and one of them in another zone', () => {
		const entries = Array.from({length: 35}, (_, i) => peerOf(`edge-${i}`, 'abcde'[i % 5]));
		const others = Array.from({length: 9}, (_, i) => peerOf(`side-${i}`, 'a', 'sidecar'));
		const sources = createTestSources();
		for (const peer of [...others, ...entries]) {
			sources.onUp(peer);
		}

		sources.update();
		expect(followedOf(sources, others)).to.deep.equal([]);
		const zones = entries.filter(peer => sources.isFollowed(peer)).map(({hello}) => hello.zone).toSorted();
		expect(zones.slice(0, 2)).to.deep.equal(['a', 'a']);
		expect(zones).to.have.length(3);
		expect(zones[2]).to.not.equal('a');
	});

	it('spreads the processes over the peers', () => {
		const entries = Array.from({length: 35}, (_, i) => peerOf(`edge-${i}`, 'abcde'[i % 5]));
		const followers = new Map<string, number>();
		for (let i = 0; i < 192; i++) {
			const sources = createSources({
				instance: `side-${i}`, zone: 'abcde'[i % 5], count: () => 3, maxSilenceMs, monotonicMs: () => 0, onChange: () => undefined,
			});
			for (const peer of entries) {
				sources.onUp(peer);
			}

			sources.update();
			for (const name of followedOf(sources, entries)) {
				followers.set(name, (followers.get(name) ?? 0) + 1);
			}
		}

		// Each entry has 192 x 3 / 35 followers on average.
		expect(followers.size).to.equal(35);
		expect(Math.max(...followers.values())).to.be.below(3 * 192 * 3 / 35);
	});

	it('replaces a peer that is lost at once, and an entry that announces nothing after its longest silence', () => {
		const clock = {nowMs: 0};
		const entries = Array.from({length: 5}, (_, i) => peerOf(`edge-${i}`));
		const sources = createTestSources({clock});
		for (const peer of entries) {
			sources.onUp(peer);
		}

		sources.update();
		const [lost, silent, heard] = entries.filter(peer => sources.isFollowed(peer));
		sources.onDown(lost);
		expect(followedOf(sources, entries), 'after a loss').to.have.length(3).and.to.not.include(lost.hello.instance);
		clock.nowMs += maxSilenceMs + 1;
		for (const peer of entries.filter(peer => peer !== silent)) {
			sources.onAnnounced(peer);
		}

		sources.update();
		expect(followedOf(sources, entries), 'after a silence').to.have.length(3).and.to.include(heard.hello.instance).and.to.not.include(silent.hello.instance);
		sources.onAnnounced(silent);
		sources.update();
		expect(followedOf(sources, entries), 'heard again').to.include(silent.hello.instance);
	});

	it('has more peers while the process can not read the store itself', () => {
		let count = 3;
		const entries = Array.from({length: 35}, (_, i) => peerOf(`side-${i}`, 'abcde'[i % 5], 'sidecar'));
		const sources = createTestSources({instance: 'edge-1', count: () => count});
		for (const peer of entries) {
			sources.onUp(peer);
		}

		sources.update();
		expect(followedOf(sources, entries)).to.have.length(3);
		count = 16;
		sources.update();
		expect(followedOf(sources, entries)).to.have.length(16);
		count = 3;
		sources.update();
		expect(followedOf(sources, entries)).to.have.length(3);
	});

	// Guards against entries that no process follows any more because each of them was slow once.
	it('follows a silent entry again after a while, although it has been told to announce nothing', () => {
		const clock = {nowMs: 0};
		const entries = Array.from({length: 8}, (_, i) => peerOf(`edge-${i}`));
		const sources = createTestSources({clock});
		for (const peer of entries) {
			sources.onUp(peer);
		}

		sources.update();
		const silent = entries.find(peer => sources.isFollowed(peer))!;
		const others = entries.filter(peer => peer !== silent);
		const pass = (ms: number): void => {
			for (const endMs = clock.nowMs + ms; clock.nowMs < endMs; clock.nowMs += 500) {
				for (const peer of others) {
					sources.onAnnounced(peer);
				}

				sources.update();
			}
		};

		/** Disconnects one of the followed peers, so that another one is chosen. */
		const lose = (): void => {
			sources.onDown(others.find(peer => sources.isFollowed(peer))!);
		};

		pass(5000);
		lose();
		expect(sources.isFollowed(silent)).to.equal(false);
		pass(30_000);
		lose();
		expect(sources.isFollowed(silent)).to.equal(true);
	});
});

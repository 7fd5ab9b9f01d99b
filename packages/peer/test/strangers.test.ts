import {Socket} from 'node:net';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createStrangers} from '@papayaflow/peer';

// Guards against clients that take the descriptors of a sidecar by connecting to its port for peers.
describe('the accepted connections whose other end is not known', () => {
	it('are limited, the oldest one gives way, and those that have said who they are stay', () => {
		let closed = 0;
		const strangers = createStrangers(2, () => {
			closed++;
		});
		const [peer, silent, next, latest] = Array.from({length: 4}, () => new Socket());
		strangers.add(peer);
		strangers.remove(peer);
		for (const socket of [silent, next, latest]) {
			strangers.add(socket);
		}

		expect([peer, silent, next, latest].map(({destroyed}) => destroyed)).to.deep.equal([false, true, false, false]);
		expect(closed).to.equal(1);
	});
});

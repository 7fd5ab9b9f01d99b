import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createAnswerReceiver, type StreamProgress} from '../src/answer-receiver.js';
import {createAnswerBuffers} from '../src/buffers.js';
import {type AdmittedCall} from '../src/forward.js';
import {type Place} from '../src/place.js';

/** What a receiver uses once an event or an answer is whole. */
const unused = {place: {}, progress: {}} as unknown as {readonly place: Place; readonly progress: StreamProgress};

/** Returns what stays in use over several collections, in bytes. */
async function heldBytes(): Promise<number> {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	let held = Number.POSITIVE_INFINITY;
	for (let collections = 0; collections < 10; collections++) {
		collect();
		held = Math.min(held, process.memoryUsage().arrayBuffers);
		await sleep(20);
	}

	return held;
}

// Guards against answers that were given up for lack of memory and keep theirs: the connection to the target refers to the receiver until it is closed.
describe('the receiver of an answer', () => {
	for (const kind of ['idempotent', 'stream'] as const) {
		it(`holds nothing once it is released, on a route of kind ${kind}`, async () => {
			const before = await heldBytes();
			const admitted = {call: {route: {kind}}, answer: {}};
			const buffers = createAnswerBuffers(67_108_864);
			const receivers = Array.from({length: 10}, () => createAnswerReceiver(admitted as unknown as AdmittedCall, {
				...unused, held: buffers.open(() => undefined), onEvent: () => undefined,
			}));
			for (const receiver of receivers) {
				receiver.head({status: 200, rawHeaders: []} as unknown as Parameters<typeof receiver.head>[0]);
				receiver.data(Buffer.alloc(1_000_000, 'a'));
			}

			expect(await heldBytes() - before).to.be.at.least(9_000_000);
			for (const receiver of receivers) {
				receiver.release();
			}

			expect(await heldBytes() - before).to.be.at.most(1_048_576);
			expect(buffers.bytes('answers')).to.equal(0);
			expect(receivers).to.have.length(10);
		});
	}
});

import {expect} from 'chai';
import {describe, it} from 'mocha';
import {createReachability} from '../src/reachability.js';

/** Lets a reachability run its trials until `count` have begun; returns the delays before them. */
async function runTrials(count: number, accepted: (trial: number) => boolean): Promise<{readonly delaysMs: readonly number[]; readonly changes: readonly boolean[]; readonly mostAtOnce: number}> {
	const delaysMs: number[] = [];
	const changes: boolean[] = [];
	let running = 0;
	let mostAtOnce = 0;
	const reachability = createReachability({
		async tryConnect() {
			running++;
			mostAtOnce = Math.max(mostAtOnce, running);
			await Promise.resolve();
			running--;
			return accepted(delaysMs.length);
		},
		onChange: isReachable => changes.push(isReachable),
		async sleep(ms) {
			delaysMs.push(ms);
			if (delaysMs.length > count) {
				reachability.suspend();
			}
		},
	});
	for (let call = 0; call < 5; call++) {
		reachability.onUnreachable();
	}

	await new Promise(resolve => {
		setImmediate(resolve);
	});
	expect(reachability.isReachable()).to.equal(changes.at(-1));
	return {delaysMs, changes, mostAtOnce};
}

describe('the belief whether a target accepts connections', () => {
	it('has one trial at a time, each later than the one before, but within a second', async () => {
		const {delaysMs, changes, mostAtOnce} = await runTrials(8, () => false);
		expect(mostAtOnce).to.equal(1);
		expect(delaysMs).to.deep.equal(delaysMs.toSorted((a, b) => a - b));
		expect(delaysMs[1]).to.be.above(delaysMs[0]);
		expect(Math.max(...delaysMs)).to.be.below(1000);
		expect(changes).to.deep.equal([false]);
	});

	it('ends with the first trial that is accepted', async () => {
		const {delaysMs, changes} = await runTrials(8, trial => trial === 3);
		expect(delaysMs.length).to.equal(3);
		expect(changes).to.deep.equal([false, true]);
	});
});

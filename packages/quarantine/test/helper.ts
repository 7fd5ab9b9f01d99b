import {createLog, createMetrics} from '@papayaflow/telemetry';
import {createQuarantine, type AgedSuspicion, type Quarantine} from '../src/index.js';

/** Instances whose messages arrive when `deliver` is called, in the order in which they were sent. */
export type Instances = {
	readonly quarantines: readonly Quarantine[];
	/** Adds an instance that knows nothing yet. */
	add(): Quarantine;
	deliver(): void;
};

/**
Creates instances that tell each other what they learn. Messages are not delivered to the
instances in `cutOff`, nor from them.
*/
export function createInstances(count: number, {clock, cutOff = new Set()}: {readonly clock: {nowMs: number}; readonly cutOff?: ReadonlySet<number>}): Instances {
	const messages: Array<{readonly from: number; readonly suspicions: readonly AgedSuspicion[]}> = [];
	const quarantines: Quarantine[] = [];
	const add = (): Quarantine => {
		const index = quarantines.length;
		const quarantine = createQuarantine({
			instance: `instance-${index}`, monotonicMs: () => clock.nowMs, random: () => 0, metrics: createMetrics(), log: createLog({}, 'error'),
			announce(suspicions) {
				messages.push({from: index, suspicions});
			},
		});
		quarantines.push(quarantine);
		return quarantine;
	};

	for (let i = 0; i < count; i++) {
		add();
	}

	return {
		quarantines,
		add,
		deliver() {
			for (let message = messages.shift(); message; message = messages.shift()) {
				for (const [index, quarantine] of quarantines.entries()) {
					if (index !== message.from && !cutOff.has(index) && !cutOff.has(message.from)) {
						quarantine.onReceived(`instance-${message.from}`, message.suspicions);
					}
				}
			}
		},
	};
}

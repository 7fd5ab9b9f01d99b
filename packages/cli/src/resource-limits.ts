import {type SupervisionLimits} from '@papayaflow/inbound';
import {numberSetting} from '@papayaflow/settings';

const bytesPerMb = 1_048_576;

/** The parts of a machine's memory that clients may fill. A process without clients needs some 80 MB. */
const bodyMemoryRatio = 0.12;
const answerMemoryRatio = 0.18;
const aheadMemoryRatio = 0.04;

/** The settings that say how much a process may use. */
export const resourceSettings = {
	memoryMb: numberSetting('the memory of this machine; the limits of what clients may hold follow from it', {
		minimum: 64, maximum: 1_048_576, unit: 'megabytes', fallback: '350',
	}),
};

/** What clients of a process may hold. */
export type ResourceLimits = {
	readonly callers: SupervisionLimits;
	/** The most bytes of request bodies. */
	readonly bodyBytes: number;
	/** The most bytes of answers that are not whole yet or not read. */
	readonly answerBytes: number;
};

/**
Derives what clients may hold from the memory of the machine, in megabytes.

@example
resourceLimitsOf({memoryMb: 350}).callers.maxAheadBytes; // 14,680,064
*/
export function resourceLimitsOf({memoryMb}: {readonly memoryMb: number}): ResourceLimits {
	const memoryBytes = memoryMb * bytesPerMb;
	return {
		callers: {
			maxAheadBytes: memoryBytes * aheadMemoryRatio,
		},
		bodyBytes: memoryBytes * bodyMemoryRatio,
		answerBytes: memoryBytes * answerMemoryRatio,
	};
}

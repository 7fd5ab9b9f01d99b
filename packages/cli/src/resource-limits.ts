import {type SupervisionLimits} from '@papayaflow/inbound';
import {numberSetting} from '@papayaflow/settings';

const bytesPerMb = 1_048_576;

/** The descriptors that a machine reserves for files. Sockets and pipes share the others. */
const fileDescriptors = 200;

/** The part of the other descriptors that clients of one port may take: callers, or at the port for peers those that have not said who they are. Each call of a caller may need one more for its target; peers, the store and operators need the rest. */
const clientDescriptorRatio = 0.4;

/** What a connection costs in memory beside its bytes, with its parser, its request and its answer. */
const connectionBytes = 40_960;

/** The parts of a machine's memory that clients may fill. A process without clients needs some 80 MB. */
const connectionMemoryRatio = 0.25;
const bodyMemoryRatio = 0.12;
const answerMemoryRatio = 0.18;
const aheadMemoryRatio = 0.04;
const headMemoryRatio = 0.12;

/** The settings that say how much a process may use. */
export const resourceSettings = {
	memoryMb: numberSetting('the memory of this machine; the limits of what clients may hold follow from it', {
		minimum: 64, maximum: 1_048_576, unit: 'megabytes', fallback: '350',
	}),
	maxFds: numberSetting('the descriptors of this process, with those for files; the limits of clients\' connections follow from it', {minimum: 232, maximum: 10_000_000, fallback: '4096'}),
};

/** What clients of a process may hold. */
export type ResourceLimits = {
	readonly callers: SupervisionLimits;
	/** The most connections to the port for peers whose other end is not known yet. */
	readonly strangers: number;
	/** The most bytes of request bodies. */
	readonly bodyBytes: number;
	/** The most bytes of answers that are not whole yet or not read. */
	readonly answerBytes: number;
};

/**
Derives what clients may hold from the memory, in megabytes, and the descriptors of the process.

@example
resourceLimitsOf({memoryMb: 350, maxFds: 4200}).callers.maxConnections; // 1600
*/
export function resourceLimitsOf({memoryMb, maxFds}: {readonly memoryMb: number; readonly maxFds: number}): ResourceLimits {
	const memoryBytes = memoryMb * bytesPerMb;
	const clientDescriptors = Math.floor((maxFds - fileDescriptors) * clientDescriptorRatio);
	return {
		callers: {
			maxConnections: Math.min(clientDescriptors, Math.floor(memoryBytes * connectionMemoryRatio / connectionBytes)),
			maxAheadBytes: memoryBytes * aheadMemoryRatio,
			maxHeadBytes: memoryBytes * headMemoryRatio,
		},
		strangers: clientDescriptors,
		bodyBytes: memoryBytes * bodyMemoryRatio,
		answerBytes: memoryBytes * answerMemoryRatio,
	};
}

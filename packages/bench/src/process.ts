import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';

const clockTicksPerSecond = 100;
const pageKilobytes = 4;

/** The resource usage of a process, as reported by the operating system. */
export type Usage = {
	/** CPU time divided by elapsed time; 1 is one fully used core. */
	readonly cores: number;
	/** Resident memory at the end of the measurement, in megabytes. */
	readonly megabytes: number;
};

/**
Measures the CPU usage of a process over `ms` milliseconds, and its memory at the end.

@example
const {cores, megabytes} = await measureProcess(child.pid, 5000);
*/
export async function measureProcess(pid: number, ms: number): Promise<Usage> {
	const before = await readCpuSeconds(pid);
	const startedMs = performance.now();
	await sleep(ms);
	const after = await readCpuSeconds(pid);
	const seconds = (performance.now() - startedMs) / 1000;
	const statm = await readFile(`/proc/${pid}/statm`, 'utf8');
	return {
		cores: (after.user + after.kernel - before.user - before.kernel) / seconds,
		megabytes: Number(statm.split(' ')[1]) * pageKilobytes / 1024,
	};
}

/** The processor time that a process has used since its start, in seconds. */
export type CpuSeconds = {readonly user: number; readonly kernel: number};

/**
Reads the processor time of a process.

@example
const {user, kernel} = await readCpuSeconds(child.pid);
*/
export async function readCpuSeconds(pid: number): Promise<CpuSeconds> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return {user: Number(fields[11]) / clockTicksPerSecond, kernel: Number(fields[12]) / clockTicksPerSecond};
}

/** Fits a line through points by least squares. `base` is the value at x = 0, and `slope` the increase for each unit of x. */
export function fitLine(points: ReadonlyArray<readonly [x: number, y: number]>): {readonly base: number; readonly slope: number} {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	return {base: meanY - (slope * meanX), slope};
}

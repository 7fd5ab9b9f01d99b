import {readFile} from 'node:fs/promises';
import {setTimeout as sleep} from 'node:timers/promises';

const ticksPerSecond = 100;
const pageKilobytes = 4;

/** What a process uses, as the system counts it. */
export type Usage = {
	/** Processor time over the stretch, in parts of one core. */
	readonly core: number;
	/** Resident memory at its end, in megabytes. */
	readonly megabytes: number;
};

/**
Watches a process for a stretch of time.

@example
const {core, megabytes} = await watchProcess(child.pid, 5000);
*/
export async function watchProcess(pid: number, ms: number): Promise<Usage> {
	const before = await readTicks(pid);
	const startedMs = performance.now();
	await sleep(ms);
	const after = await readTicks(pid);
	const seconds = (performance.now() - startedMs) / 1000;
	const statm = await readFile(`/proc/${pid}/statm`, 'utf8');
	return {
		core: (after - before) / ticksPerSecond / seconds,
		megabytes: Number(statm.split(' ')[1]) * pageKilobytes / 1024,
	};
}

async function readTicks(pid: number): Promise<number> {
	const stat = await readFile(`/proc/${pid}/stat`, 'utf8');
	const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
	return Number(fields[11]) + Number(fields[12]);
}

/** Fits a line through points by least squares: what a process costs at rest, and for each one more. */
export function fitLine(points: ReadonlyArray<readonly [x: number, y: number]>): {readonly base: number; readonly slope: number} {
	const count = points.length;
	const meanX = points.reduce((sum, [x]) => sum + x, 0) / count;
	const meanY = points.reduce((sum, [, y]) => sum + y, 0) / count;
	const covariance = points.reduce((sum, [x, y]) => sum + ((x - meanX) * (y - meanY)), 0);
	const variance = points.reduce((sum, [x]) => sum + ((x - meanX) ** 2), 0);
	const slope = covariance / variance;
	return {base: meanY - (slope * meanX), slope};
}

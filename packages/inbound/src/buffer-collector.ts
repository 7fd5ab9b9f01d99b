import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** The bytes of buffers after whose allocation the short-lived objects are collected. */
const bytesPerCollection = 8_388_608;

/** By how many bytes the buffers in memory may have grown after that before all objects are collected. */
const maxGrowthBytes = 16_777_216;

/** Collects all objects, or those that have been in use for a short time only. */
type Collect = (options?: {readonly type: 'minor'}) => void;

/**
Creates a function that is told how many bytes of short-lived buffers have been allocated, and
runs the garbage collector from time to time.

By itself the collector starts when objects fill its part of the heap. A buffer takes little
there and keeps its bytes outside, so that buffers which are no longer used may hold hundreds
of megabytes before it does.

@example
const onAllocated = createBufferCollector();
socket.on('data', bytes => onAllocated(bytes.length));
*/
export function createBufferCollector(): (bytes: number) => void {
	let collect: Collect | undefined;
	let allocatedBytes = 0;
	let lowestBytes = Number.POSITIVE_INFINITY;
	return bytes => {
		allocatedBytes += bytes;
		if (allocatedBytes < bytesPerCollection) {
			return;
		}

		allocatedBytes = 0;
		collect ??= exposeCollector();
		collect({type: 'minor'});
		const {arrayBuffers} = process.memoryUsage();
		lowestBytes = Math.min(lowestBytes, arrayBuffers);
		if (arrayBuffers - lowestBytes > maxGrowthBytes) {
			// Node.js 20 takes every call with options for a minor collection.
			collect();
			lowestBytes = process.memoryUsage().arrayBuffers;
		}
	};
}

/** The collector of this process. */
export const onBuffersAllocated = createBufferCollector();

function exposeCollector(): Collect {
	setFlagsFromString('--expose-gc');
	return runInNewContext('typeof gc === "function" ? gc : () => undefined') as Collect;
}

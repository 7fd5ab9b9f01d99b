import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** The bytes of buffers after whose allocation the collector runs. */
const bytesPerCollection = 16_777_216;

/** Every how many collections all objects are collected, and with them the buffers that have been in use for some time. */
const collectionsPerMajor = 4;

type Collect = (options: {readonly type: 'minor' | 'major'}) => void;

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
	let collections = 0;
	return bytes => {
		allocatedBytes += bytes;
		if (allocatedBytes < bytesPerCollection) {
			return;
		}

		allocatedBytes = 0;
		collect ??= exposeCollector();
		collections++;
		collect({type: collections % collectionsPerMajor === 0 ? 'major' : 'minor'});
	};
}

/** The collector of this process. */
export const onBuffersAllocated = createBufferCollector();

function exposeCollector(): Collect {
	setFlagsFromString('--expose-gc');
	return runInNewContext('typeof gc === "function" ? gc : () => undefined') as Collect;
}

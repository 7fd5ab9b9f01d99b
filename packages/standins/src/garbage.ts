import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';

/** Time between two garbage collections, in milliseconds. */
const collectionIntervalMs = 3;

/**
Runs garbage collections at short intervals until `run` has ended, so that a test
fails if something that `run` needs is reachable only through weak references.

@example
await collectGarbageDuring(async () => store.changes('servers/', 1, 50, signal));
*/
export async function collectGarbageDuring<T>(run: () => Promise<T>): Promise<T> {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	const timer = setInterval(collect, collectionIntervalMs);
	try {
		return await run();
	} finally {
		clearInterval(timer);
	}
}

import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';

const maxRunMs = 112_000;
const exitCodes = {held: 0, broken: 1, failed: 2};

/**
Runs a case and returns its exit code: 1 if it returns `broken`, 0 if it returns `held` and 2
if it could not run. Its record goes to `record.txt` in the folder of the case. With
`TROUBLE=0` in the environment, `hasTrouble` is false. The functions that the case passes to
`onStop` are called at the end, also of a case that failed.

@example
process.exit(await runCase(import.meta.dirname, async ({hasTrouble, record, onStop}) => 'held'));
*/
export async function runCase(directory, play) {
	const lines = [];
	const stops = [];
	const startedMs = performance.now();
	const record = line => {
		lines.push(`${((performance.now() - startedMs) / 1000).toFixed(3)} ${line}`);
	};

	const endInTime = async () => {
		await sleep(maxRunMs);
		throw new Error('not finished in time');
	};

	const hasTrouble = process.env.TROUBLE !== '0';
	record(hasTrouble ? 'with the disruption' : 'without the disruption');
	let verdict = 'failed';
	try {
		verdict = await Promise.race([endInTime(), play({
			hasTrouble, record,
			onStop(stop) {
				stops.push(stop);
			},
		})]);
	} catch (error) {
		record(`could not run: ${error.stack}`);
	}

	for (const stop of stops) {
		await stop();
	}

	record(`verdict: ${verdict}`);
	writeFileSync(path.join(directory, 'record.txt'), `${lines.join('\n')}\n`);
	process.stdout.write(`${lines.slice(-2).join('\n')}\n`);
	return exitCodes[verdict];
}

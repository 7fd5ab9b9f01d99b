import process from 'node:process';
import {directEntrySettings, startDirectEntry} from './direct-entry-wiring.js';
import {entrySettings, startEntry} from './entry-wiring.js';
import {runProgram, settingsOrExit} from './program.js';

/** Starts the entry with the settings of the command line and the environment. */
export async function main(): Promise<void> {
	await runProgram(async () => process.argv[2] === 'direct'
		? startDirectEntry(settingsOrExit('papayaflow-entry', directEntrySettings))
		: startEntry(settingsOrExit('papayaflow-entry', entrySettings)));
}

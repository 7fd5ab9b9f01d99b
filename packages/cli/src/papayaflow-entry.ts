import process from 'node:process';
import {directEntrySettings, startDirectEntry} from './direct-entry-wiring.js';
import {entrySettings, startEntry} from './entry-wiring.js';
import {onStopSignal, settingsOrExit} from './program.js';

/** Starts the entry with the settings of the command line and the environment. */
export async function main(): Promise<void> {
	const running = process.argv[2] === 'direct'
		? await startDirectEntry(settingsOrExit('papayaflow-entry', directEntrySettings))
		: await startEntry(settingsOrExit('papayaflow-entry', entrySettings));
	onStopSignal(running.stop);
}

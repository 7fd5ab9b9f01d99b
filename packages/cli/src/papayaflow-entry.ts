import process from 'node:process';
import {directEntrySettings, startDirectEntry} from './direct-entry-wiring.js';
import {entrySettings, startEntry} from './entry-wiring.js';
import {onStopSignal, settingsOrExit} from './program.js';

const running = process.argv[2] === 'direct'
	? await startDirectEntry(settingsOrExit('papayaflow-entry', directEntrySettings))
	: await startEntry(settingsOrExit('papayaflow-entry', entrySettings));
onStopSignal(running.stop);

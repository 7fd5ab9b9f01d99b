import process from 'node:process';
import {directSidecarSettings, startDirectSidecar} from './direct-sidecar-wiring.js';
import {runProgram, settingsOrExit} from './program.js';
import {sidecarSettings, startSidecar} from './sidecar-wiring.js';

/** Starts the sidecar with the settings of the command line and the environment. */
export async function main(): Promise<void> {
	await runProgram(async () => process.argv[2] === 'direct'
		? startDirectSidecar(settingsOrExit('papayaflow-sidecar', directSidecarSettings))
		: startSidecar(settingsOrExit('papayaflow-sidecar', sidecarSettings)));
}

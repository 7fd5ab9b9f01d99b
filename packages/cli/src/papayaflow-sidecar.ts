import process from 'node:process';
import {directSidecarSettings, startDirectSidecar} from './direct-sidecar-wiring.js';
import {onStopSignal, settingsOrExit} from './program.js';
import {sidecarSettings, startSidecar} from './sidecar-wiring.js';

/** Starts the sidecar with the settings of the command line and the environment. */
export async function main(): Promise<void> {
	const running = process.argv[2] === 'direct'
		? await startDirectSidecar(settingsOrExit('papayaflow-sidecar', directSidecarSettings))
		: await startSidecar(settingsOrExit('papayaflow-sidecar', sidecarSettings));
	onStopSignal(running.stop);
}

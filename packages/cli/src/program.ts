import process from 'node:process';
import {type Server} from 'node:http';
import {type Server as TcpServer} from 'node:net';
import {type Log} from '@papayaflow/telemetry';
import {
	badSettingText, readSettings, type SettingDefs, type SettingsOf,
} from '@papayaflow/settings';

const badSettingsCode = 2;

/**
Reads the settings of a program or ends it: with 0 after `--help` and `--check`,
with 2 and a line for each problem where a setting is bad.

@example
const settings = settingsOrExit('papayaflow-entry', entrySettings);
*/
export function settingsOrExit<T extends SettingDefs>(program: string, defs: T): SettingsOf<T> {
	const result = readSettings(program, defs, process.argv.slice(2), process.env);
	switch (result.kind) {
		case 'run': {
			return result.settings;
		}

		case 'check': {
			process.stdout.write('settings are valid\n');
			return process.exit(0);
		}

		case 'help': {
			process.stdout.write(result.text);
			return process.exit(0);
		}

		case 'bad': {
			for (const problem of result.problems) {
				process.stderr.write(`${program}: ${badSettingText(problem)}\n`);
			}

			return process.exit(badSettingsCode);
		}
	}
}

/** Listens and resolves with the port; ends the program where the address can't be had. */
export async function listen(server: Server | TcpServer, port: number, address: string): Promise<number> {
	return new Promise(resolve => {
		server.once('error', error => {
			process.stderr.write(`can't listen on ${address}:${port}: ${error.message}\n`);
			process.exit(badSettingsCode);
		});
		server.listen(port, address, () => {
			const bound = server.address();
			resolve(typeof bound === 'object' && bound ? bound.port : port);
		});
	});
}

/**
Goes on through SIGHUP, which would end the process otherwise. Settings are read at
the start alone, so there is nothing to read again; the log says so.
*/
export function onHangup(log: Log): void {
	process.on('SIGHUP', () => {
		log.info({outcome: 'unchanged'}, 'reload asked for; settings are read at the start alone');
	});
}

/** Calls `stop` at the first signal to end; a second one ends the process at once. */
export function onStopSignal(stop: () => Promise<void>): void {
	let isStopping = false;
	const onSignal = async (): Promise<void> => {
		if (isStopping) {
			process.exit(1);
		}

		isStopping = true;
		await stop();
		process.exit(0);
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}

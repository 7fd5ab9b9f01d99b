import process from 'node:process';
import {type Server} from 'node:http';
import {type Server as TcpServer} from 'node:net';
import {type Log} from '@papayaflow/telemetry';
import {
	formatBadSetting, readSettings, type SettingDefs, type SettingsOf,
} from '@papayaflow/settings';

const badSettingsExitCode = 2;

/**
Reads the settings of a program. Exits with 0 after `--help` and `--check`, and with 2
and one line for each problem when a setting is invalid.

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
				process.stderr.write(`${program}: ${formatBadSetting(problem)}\n`);
			}

			return process.exit(badSettingsExitCode);
		}
	}
}

/** Listens on an address and resolves with the port; exits with 2 when the address is not available. */
export async function listen(server: Server | TcpServer, port: number, address: string): Promise<number> {
	return new Promise(resolve => {
		server.once('error', error => {
			process.stderr.write(`can't listen on ${address}:${port}: ${error.message}\n`);
			process.exit(badSettingsExitCode);
		});
		server.listen(port, address, () => {
			const bound = server.address();
			resolve(typeof bound === 'object' && bound ? bound.port : port);
		});
	});
}

/**
Tells the process that started this program, if it has opened an IPC channel, which ports
the program listens on.

@example
reportPorts({port: 8080, adminPort: 9101});
*/
export function reportPorts(ports: {readonly port: number; readonly adminPort: number}): void {
	process.send?.(ports);
}

/**
Logs SIGHUP and ignores it; without a handler the signal would end the process. Settings
are read only at startup, so there is nothing to reload.
*/
export function ignoreHangup(log: Log): void {
	process.on('SIGHUP', () => {
		log.info({outcome: 'unchanged'}, 'SIGHUP ignored; settings are read only at startup');
	});
}

/** Calls `stop` on the first SIGTERM or SIGINT and exits with 0 after it; a second signal exits with 1 at once. */
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

import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Server} from 'node:http';
import {type Server as TcpServer} from 'node:net';
import {type Containment, type Log} from '@papayaflow/telemetry';
import {
	formatBadSetting, readSettings, type SettingDefs, type SettingsOf,
} from '@papayaflow/settings';

/** A running program, which its signal handler stops. */
export type RunningProgram = {readonly port: number; readonly adminPort: number; readonly log: Log; readonly containment: Containment; readonly stop: () => Promise<void>};

const badSettingsExitCode = 2;
const startFailedExitCode = 1;

/** How long a start waits for an address that another process still holds, in milliseconds, and the pause between two attempts. */
const addressWaitMs = 10_000;
const addressRetryMs = 100;

/** How long callers whose requests were aborted at the end of the grace period have to receive the outcome, in milliseconds. */
export const abortFlushMs = 100;

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

/**
Listens on an address and resolves with the port. Waits up to ten seconds for an address
that is not available yet, such as one that the process before this one still holds, then
exits with 2. Errors of the server after that, as when it can't accept a connection, are
reported to `containment`.

@example
const port = await listen(server, {port: 8080, host: '127.0.0.1'}, {log, containment});
*/
export async function listen(
	server: Server | TcpServer,
	{port, host}: {readonly port: number; readonly host: string},
	{log, containment}: {readonly log: Log; readonly containment: Containment},
): Promise<number> {
	const deadlineMs = performance.now() + addressWaitMs;
	for (let attempt = 0; ; attempt++) {
		const error = await tryListen(server, port, host);
		if (!error) {
			break;
		}

		if (performance.now() >= deadlineMs || !isTemporary(error)) {
			process.stderr.write(`can't listen on ${host}:${port}: ${error.message}\n`);
			process.exit(badSettingsExitCode);
		}

		if (attempt === 0) {
			log.warn({host, port, detail: error.message}, 'address not available yet; trying again');
		}

		await sleep(addressRetryMs);
	}

	server.on('error', error => {
		containment.report('accept', error);
	});
	const bound = server.address();
	return typeof bound === 'object' && bound ? bound.port : port;
}

async function tryListen(server: Server | TcpServer, port: number, host: string): Promise<NodeJS.ErrnoException | undefined> {
	return new Promise(resolve => {
		const settle = (error?: NodeJS.ErrnoException): void => {
			server.off('error', settle);
			server.off('listening', settle);
			resolve(error);
		};

		server.once('error', settle);
		server.once('listening', settle);
		server.listen(port, host);
	});
}

/** Whether an address may become available by itself: another process holds it, or the interface does not have it yet. */
function isTemporary({code}: NodeJS.ErrnoException): boolean {
	return code === 'EADDRINUSE' || code === 'EADDRNOTAVAIL';
}

/**
Runs a program: starts it, keeps exceptions that nothing has caught from ending it once it
has started, and stops it on the first SIGTERM or SIGINT. During the start, when no request
has been accepted, these signals exit with 0 at once; an exception exits with 1, so that
the platform starts the program again.

@example
await runProgram(async () => startEntry(settings));
*/
export async function runProgram(start: () => Promise<RunningProgram>): Promise<void> {
	let running: RunningProgram | undefined;
	onStopSignal(() => running);
	try {
		running = await start();
	} catch (error) {
		process.stderr.write(`start failed: ${error instanceof Error ? error.stack ?? error.message : String(error)}\n`);
		process.exit(startFailedExitCode);
	}

	const {containment} = running;
	process.on('uncaughtException', error => {
		containment.report('process', error);
	});
	process.on('unhandledRejection', error => {
		containment.report('process', error);
	});
	ignoreHangup(running.log);
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
Logs SIGHUP and ignores it. Settings are read only at startup, so there is nothing to
reload.
*/
function ignoreHangup(log: Log): void {
	process.on('SIGHUP', () => {
		log.info({outcome: 'unchanged'}, 'SIGHUP ignored; settings are read only at startup');
	});
}

/**
Calls `stop` on the first SIGTERM or SIGINT and exits with 0 after it, or at once if the
program has not started. A second SIGTERM changes nothing, since requests are still being
answered; a second SIGINT, which a person sends, exits with 1 at once.
*/
function onStopSignal(running: () => RunningProgram | undefined): void {
	let isStopping = false;
	const onSignal = async (signal: NodeJS.Signals): Promise<void> => {
		const program = running();
		if (!program) {
			process.exit(0);
		}

		const {stop, log, containment} = program;
		if (isStopping && signal === 'SIGINT') {
			process.exit(1);
		}

		if (isStopping) {
			log.info({signal, outcome: 'unchanged'}, 'signal ignored; the program is already stopping');
			return;
		}

		isStopping = true;
		try {
			await stop();
			process.exit(0);
		} catch (error) {
			containment.report('process', error);
			process.exit(1);
		}
	};

	process.on('SIGTERM', onSignal);
	process.on('SIGINT', onSignal);
}

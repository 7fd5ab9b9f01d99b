import {once} from 'node:events';
import {connect} from 'node:net';

/** The result of a trial; `failed` for a time-out and for any error but a refusal. */
export type ConnectionTrial = 'accepted' | 'refused' | 'failed';

/**
Opens a connection to an address and closes it again.

@example
await tryConnect('10.0.0.4', 8000, 300); // 'refused'
*/
export async function tryConnect(host: string, port: number, timeoutMs: number): Promise<ConnectionTrial> {
	const socket = connect({host, port});
	try {
		await once(socket, 'connect', {signal: AbortSignal.timeout(timeoutMs)});
		return 'accepted';
	} catch (error) {
		return (error as NodeJS.ErrnoException).code === 'ECONNREFUSED' ? 'refused' : 'failed';
	} finally {
		socket.destroy();
	}
}

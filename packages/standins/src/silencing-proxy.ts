import {
	connect, createServer, type Server, type Socket,
} from 'node:net';

/** A TCP proxy whose open connections can go silent without being closed, as when a middlebox has dropped its state. */
export type SilencingProxy = {
	readonly server: Server;
	/** Silences the connections that are open now, in both directions. New connections work. */
	silence(): void;
	stop(): void;
};

/**
Creates a proxy before a port of the loopback address.

@example
const proxy = createSilencingProxy(8223);
proxy.server.listen(0, '127.0.0.1');
*/
export function createSilencingProxy(port: number): SilencingProxy {
	const pairs = new Set<{readonly near: Socket; readonly far: Socket; isSilent: boolean}>();
	const server = createServer(near => {
		const far = connect({host: '127.0.0.1', port});
		const pair = {near, far, isSilent: false};
		pairs.add(pair);
		for (const [from, to] of [[near, far], [far, near]]) {
			from.on('data', chunk => {
				if (!pair.isSilent) {
					to.write(chunk);
				}
			});
			from.on('error', () => undefined);
			from.on('close', () => {
				if (!pair.isSilent) {
					to.destroy();
				}
			});
		}
	});
	return {
		server,
		silence() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}
		},
		stop() {
			server.close();
			for (const {near, far} of pairs) {
				near.destroy();
				far.destroy();
			}
		},
	};
}

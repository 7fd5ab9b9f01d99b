import {connect, createServer} from 'node:net';

/** Creates a TCP proxy to a port on the loopback address. It can silence the connections that are open. */
export function createProxy(targetPort) {
	const pairs = new Set();
	const server = createServer(downstream => {
		const upstream = connect(targetPort, '127.0.0.1');
		const pair = {downstream, upstream, isSilent: false};
		pairs.add(pair);
		const end = () => {
			downstream.destroy();
			upstream.destroy();
			pairs.delete(pair);
		};

		downstream.on('data', bytes => {
			if (!pair.isSilent) {
				upstream.write(bytes);
			}
		});
		upstream.on('data', bytes => {
			if (!pair.isSilent) {
				downstream.write(bytes);
			}
		});
		upstream.on('close', () => {
			if (!pair.isSilent) {
				end();
			}
		});
		downstream.on('close', end);
		downstream.on('error', end);
		upstream.on('error', () => undefined);
	});

	return {
		server,
		/** Passes nothing more on over any connection that is open now, and keeps it open; new connections work. Returns their number. */
		silenceOpenConnections() {
			for (const pair of pairs) {
				pair.isSilent = true;
			}

			return pairs.size;
		},
		stop() {
			server.close();
			for (const {downstream, upstream} of pairs) {
				downstream.destroy();
				upstream.destroy();
			}
		},
	};
}

import {once} from 'node:events';
import {type AddressInfo, type Server} from 'node:net';

/**
Listens on a free port of a host and returns the port.

@example
const port = await listenOn(createServer());
*/
export async function listenOn(server: Server, host = '127.0.0.1'): Promise<number> {
	server.listen(0, host);
	await once(server, 'listening');
	return (server.address() as AddressInfo).port;
}

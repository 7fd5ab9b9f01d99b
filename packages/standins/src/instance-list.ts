import {createServer, type Server} from 'node:http';
import {readJson, sendJson} from './http.js';

type InstanceRecord = {readonly id: string; readonly state?: string} & Readonly<Record<string, unknown>>;

/**
Creates the server of the platform's list of instances. `POST /v1/instances` adds or
updates an instance, and `DELETE /v1/instances/ID` removes it. The list shows a change
only after `lagMs` milliseconds, which `POST /faults` sets.

@example
serveInstanceList().listen(2380, '127.0.0.1');
*/
export function serveInstanceList(): Server {
	const instances = new Map<string, InstanceRecord>();
	const faults = {lagMs: 0, down: false};
	let version = 0;

	const applyAfterLag = (applyChange: () => void): void => {
		setTimeout(() => {
			applyChange();
			version++;
		}, faults.lagMs);
	};

	return createServer(async (req, res) => {
		const body = await readJson(req);
		const path = req.url ?? '/';
		if (path === '/faults') {
			Object.assign(faults, body);
			sendJson(res, 200, faults);
			return;
		}

		if (faults.down) {
			req.socket.destroy();
			return;
		}

		if (req.method === 'POST') {
			applyAfterLag(() => {
				const record = body as InstanceRecord;
				instances.set(record.id, {state: 'live', ...instances.get(record.id), ...record});
			});
			sendJson(res, 200, {});
			return;
		}

		if (req.method === 'DELETE') {
			applyAfterLag(() => {
				instances.delete(path.split('/').at(-1) ?? '');
			});
			sendJson(res, 200, {});
			return;
		}

		const etag = `"${version}"`;
		if (req.headers['if-none-match'] === etag) {
			res.writeHead(304).end();
			return;
		}

		res.setHeader('etag', etag);
		sendJson(res, 200, {instances: [...instances.values()]});
	});
}

import {createServer, type Server} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {readJson, sendJson} from './http.js';

/** Fault switches of the plain service stand-in, set by `POST /faults`. */
export type PlainFaults = {
	/** Duration of each call, in milliseconds. */
	workMs: number;
	/** Number of further calls that take effect but whose connection is closed without a response. */
	cutAnswers: number;
	/** While true, calls take effect but get no response. */
	frozen: boolean;
};

/**
Creates the server of a plain service whose `POST` calls are not idempotent: each call
increments the count of its `order` in the ledger, which `GET /ledger` returns.

@example
servePlainService({workMs: 2}).listen(8000, '127.0.0.1');
*/
export function servePlainService(options: Partial<PlainFaults> = {}): Server {
	const faults: PlainFaults = {
		workMs: 2, cutAnswers: 0, frozen: false, ...options,
	};
	const ledger: Record<string, number> = {};

	return createServer(async (req, res) => {
		const body = await readJson(req);
		const path = req.url ?? '/';
		if (path === '/faults') {
			Object.assign(faults, body);
			sendJson(res, 200, faults);
			return;
		}

		if (path === '/ledger') {
			sendJson(res, 200, ledger);
			return;
		}

		if (req.method === 'POST') {
			const order = String(body.order);
			ledger[order] = (ledger[order] ?? 0) + 1;
		}

		await sleep(faults.workMs);
		if (faults.frozen) {
			return;
		}

		if (faults.cutAnswers > 0) {
			faults.cutAnswers--;
			req.socket.destroy();
			return;
		}

		sendJson(res, 200, {path, order: body.order ?? null, runs: ledger[String(body.order)] ?? 0});
	});
}

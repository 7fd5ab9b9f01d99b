import {Buffer} from 'node:buffer';
import {type IncomingMessage, type ServerResponse} from 'node:http';

/** Reads the body of a request as JSON. Returns an empty object if reading fails or the body is not valid JSON. */
export async function readJson(req: IncomingMessage): Promise<Record<string, unknown>> {
	const chunks: Uint8Array[] = [];
	try {
		for await (const chunk of req as AsyncIterable<Uint8Array>) {
			chunks.push(chunk);
		}

		return JSON.parse(Buffer.concat(chunks).toString()) as Record<string, unknown>;
	} catch {
		return {};
	}
}

/** Sends a complete response with a JSON body. */
export function sendJson(res: ServerResponse, status: number, body: unknown): void {
	res.writeHead(status, {'content-type': 'application/json'});
	res.end(JSON.stringify(body));
}
